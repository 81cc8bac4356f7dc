package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a fleet whose machines all started at the same time", func() {
	It("becomes ready soon, although no node was ready before", func() {
		s := newSimulation(7)
		s.startFleet(14, 4)
		ready := func() bool {
			for _, p := range s.running() {
				if p.readyAt.IsZero() {
					return false
				}
			}
			return true
		}
		took := s.advanceUntil(5*time.Second, 5*time.Millisecond, ready)
		Expect(ready()).To(BeTrue())
		Expect(took).To(BeNumerically("<", 900*time.Millisecond))
	})
})
