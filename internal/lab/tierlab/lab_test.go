package tierlab

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The processes' folder", func() {
	It("may be new or empty, and must not hold the disks of an earlier run", func(ctx SpecContext) {
		dir := GinkgoT().TempDir()
		Expect(requireEmptyDir(filepath.Join(dir, "new"))).To(Succeed())
		Expect(requireEmptyDir(dir)).To(Succeed())
		Expect(os.Mkdir(filepath.Join(dir, "front-a-1"), 0o700)).To(Succeed())
		_, err := Run(ctx, Options{Program: binary, Dir: dir})
		Expect(err).To(MatchError(ContainSubstring("is not empty")))
	})
})
