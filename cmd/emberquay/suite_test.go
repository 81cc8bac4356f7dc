package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCommandsOfTheTier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Commands of the tier")
}

// fileOf writes a file into a folder of its own and gives its path.
func fileOf(name, text string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// expectRefused runs the program, which has to end badly with one line that says why.
func expectRefused(want string, args ...string) {
	GinkgoHelper()
	said, status := asProgram(args...)
	Expect(status).NotTo(BeZero())
	Expect(said).To(ContainSubstring(want))
	Expect(said).To(MatchRegexp(`^emberquay: error: [^\n]*\n$`))
}

// expectSays runs the program, which has to end well.
func expectSays(want string, args ...string) {
	GinkgoHelper()
	said, status := asProgram(args...)
	Expect(status).To(BeZero(), said)
	Expect(said).To(ContainSubstring(want))
}
