package dispatch

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("an overloaded queue", func() {
	// overloaded has one receiver with two slots, both in use, that answers in 100 ms: a slot is freed every 50 ms.
	overloaded := func() *driver {
		s := newDriver(plain("a", 2)).warmUp(100 * ms)
		s.submit("out-0")
		s.submit("out-1")
		return s
	}
	ginkgo.It("refuses on submission what would wait longer than its objective allows, with a Retry-After", func() {
		s := overloaded()
		for i := range 6 {
			s.submit(RequestID(fmt.Sprint(i)), objective(300*ms)) // may wait 250 ms: the first byte is expected after 50
		}
		Expect(s.refusals).To(HaveLen(1))
		Expect(s.refusal("5").RetryAfter).To(BeNumerically(">=", 50*ms))
		Expect(s.refusal("5").RetryAfter).To(BeNumerically("<", 200*ms))
	})
	ginkgo.It("refuses the least urgent first, of these the newest", func() {
		s := overloaded()
		for i := range 5 {
			s.submit(RequestID(fmt.Sprint(i)), objective(300*ms), priority(i%2))
		}
		s.submit("urgent", objective(300*ms), priority(0))
		Expect(s.refusals).To(HaveLen(1))
		Expect(s.refusal("3")).NotTo(BeNil())
	})
	ginkgo.It("refuses the new request if it is the least urgent", func() {
		s := overloaded()
		for i := range 5 {
			s.submit(RequestID(fmt.Sprint(i)), objective(300*ms))
		}
		s.submit("idle", objective(300*ms), priority(3))
		Expect(s.refusal("idle")).NotTo(BeNil())
	})
	ginkgo.It("keeps the requests of running programs", func() {
		s := overloaded()
		started := func(r *Request) { r.ProgramStarted = true }
		s.submit("new", objective(300*ms))
		for i := range 4 {
			s.submit(RequestID(fmt.Sprint(i)), objective(300*ms), started)
		}
		s.submit("under way", objective(300*ms), started)
		Expect(s.refusal("new")).NotTo(BeNil())
		Expect(s.refusals).To(HaveLen(1))
	})
	ginkgo.It("queues the requests of a program for a fraction of its remaining time", func() {
		s := overloaded()
		for i := range 12 {
			s.submit(RequestID(fmt.Sprint(i)), objective(300*ms), func(r *Request) { r.ProgramTimeLeft = 3 * time.Second })
		}
		Expect(s.refusals).To(BeEmpty())
	})
	ginkgo.It("refuses nothing for its objective while there is capacity", func() {
		s := newDriver(plain("a", 8), plain("b", 8)).warmUp(100 * ms)
		s.report("a", Report{Running: 8})
		s.report("b", Report{Running: 0})
		for i := range 9 {
			s.submit(RequestID(fmt.Sprint(i)), objective(30*ms))
		}
		// Half of the slots are in use from the eighth request on.
		Expect(s.sends).To(HaveLen(8))
		Expect(s.refusals).To(HaveLen(1))
		s = newDriver(plain("a", 8), plain("b", 8)) // no response yet: one call each
		for i := range 5 {
			s.submit(RequestID(fmt.Sprint(i)), objective(30*ms))
		}
		Expect(s.refusals).To(BeEmpty())
	})
	ginkgo.It("does not refuse a request that may have run while it can refuse others", func() {
		s := newDriver(plain("a", 1), plain("b", 1)).warmUp(100 * ms)
		s.submit("ran", objective(150*ms), kind(Safe, 2), priority(9))
		s.submit("out")
		s.endAttempt("ran", Outcome{Kind: TransportError})
		s.advance(ms)
		for i := range 3 {
			s.submit(RequestID(fmt.Sprint(i)), objective(150*ms))
		}
		Expect(s.refusal("ran")).To(BeNil())
	})
	ginkgo.It("is bounded in length", func() {
		s := newDriver(plain("a", 1)).warmUp(ms)
		for i := range maxQueueLength + 10 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		Expect(s.services[pool].queue).To(HaveLen(maxQueueLength))
		Expect(s.refusals).To(HaveLen(9))
	})
	ginkgo.It("sends one call although the expected duration exceeds the deadline", func() {
		s := newDriver(plain("a", 4)).warmUp(4 * time.Second)
		s.submit("0", deadline(s, time.Second))
		Expect(s.sendOrder()).To(Equal([]RequestID{"0"}))
		s.submit("1", deadline(s, time.Second))
		Expect(s.refusal("1")).NotTo(BeNil())
	})
})
