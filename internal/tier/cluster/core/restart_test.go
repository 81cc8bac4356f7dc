package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A fleet whose machines were all started at one moment", func() {
	It("is ready soon, though nobody was ready before", func() {
		w := newWorld(7)
		w.fleet(14, 4)
		ready := func() bool {
			for _, p := range w.running() {
				if p.readyAt.IsZero() {
					return false
				}
			}
			return true
		}
		took := w.runUntil(5*time.Second, 5*time.Millisecond, ready)
		Expect(ready()).To(BeTrue())
		Expect(took).To(BeNumerically("<", 900*time.Millisecond))
	})
})
