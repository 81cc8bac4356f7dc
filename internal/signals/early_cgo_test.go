//go:build cgo

package signals

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A SIGHUP that arrives before the Go runtime starts", func() {
	It("is ignored", func() {
		out, err := childCommand("unread").Output()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(out)).To(Equal("starts"))
	})
})
