package tierlab

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The processes' folder", func() {
	It("may be new, may be empty, and may not hold an earlier day's disks", func(ctx SpecContext) {
		dir := GinkgoT().TempDir()
		Expect(unused(filepath.Join(dir, "new"))).To(Succeed())
		Expect(unused(dir)).To(Succeed())
		Expect(os.Mkdir(filepath.Join(dir, "front-a-1"), 0o700)).To(Succeed())
		_, err := Play(ctx, Options{Program: binary, Dir: dir})
		Expect(err).To(MatchError(ContainSubstring("is not empty")))
	})
})
