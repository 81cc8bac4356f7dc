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
	RunSpecs(t, "Commands of the serving tier")
}

// writeFile writes a file into a new temporary directory and returns its path.
func writeFile(name, text string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// expectError runs the program and expects a failure with one line that contains want.
func expectError(want string, args ...string) {
	GinkgoHelper()
	output, status := runProgram(args...)
	Expect(status).NotTo(BeZero())
	Expect(output).To(ContainSubstring(want))
	Expect(output).To(MatchRegexp(`^emberquay: error: [^\n]*\n$`))
}

// expectOutput runs the program and expects success with output that contains want.
func expectOutput(want string, args ...string) {
	GinkgoHelper()
	output, status := runProgram(args...)
	Expect(status).To(BeZero(), output)
	Expect(output).To(ContainSubstring(want))
}
