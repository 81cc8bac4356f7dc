package dispatch

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a queue that outgrows its receivers", func() {
	// overloaded has one receiver of two places, both taken, that answers in 100 ms: a place frees each 50 ms.
	overloaded := func() *script {
		s := newScript(plain("a", 2)).warm(100 * ms)
		s.arrive("out-0")
		s.arrive("out-1")
		return s
	}
	ginkgo.It("refuses at arrival what its objective does not bear, with the wait", func() {
		s := overloaded()
		for i := range 6 {
			s.arrive(RequestID(fmt.Sprint(i)), objective(300*ms)) // bears 250 ms: a usual call begins to answer at 50
		}
		Expect(s.refusals).To(HaveLen(1))
		Expect(s.refusal("5").RetryAfter).To(BeNumerically(">=", 50*ms))
		Expect(s.refusal("5").RetryAfter).To(BeNumerically("<", 200*ms))
	})
	ginkgo.It("refuses the least urgent first, the newest of them", func() {
		s := overloaded()
		for i := range 5 {
			s.arrive(RequestID(fmt.Sprint(i)), objective(300*ms), priority(i%2))
		}
		s.arrive("urgent", objective(300*ms), priority(0))
		Expect(s.refusals).To(HaveLen(1))
		Expect(s.refusal("3")).NotTo(BeNil())
	})
	ginkgo.It("refuses the one that arrives where it is the least urgent itself", func() {
		s := overloaded()
		for i := range 5 {
			s.arrive(RequestID(fmt.Sprint(i)), objective(300*ms))
		}
		s.arrive("idle", objective(300*ms), priority(3))
		Expect(s.refusal("idle")).NotTo(BeNil())
	})
	ginkgo.It("keeps those of programs under way", func() {
		s := overloaded()
		begun := func(r *Request) { r.ProgramStarted = true }
		s.arrive("new", objective(300*ms))
		for i := range 4 {
			s.arrive(RequestID(fmt.Sprint(i)), objective(300*ms), begun)
		}
		s.arrive("under way", objective(300*ms), begun)
		Expect(s.refusal("new")).NotTo(BeNil())
		Expect(s.refusals).To(HaveLen(1))
	})
	ginkgo.It("holds those of a program for a part of what it has left", func() {
		s := overloaded()
		for i := range 12 {
			s.arrive(RequestID(fmt.Sprint(i)), objective(300*ms), func(r *Request) { r.ProgramTimeLeft = 3 * time.Second })
		}
		Expect(s.refusals).To(BeEmpty())
	})
	ginkgo.It("refuses nothing for its objective while there is room", func() {
		s := newScript(plain("a", 8), plain("b", 8)).warm(100 * ms)
		s.told("a", Report{Running: 8})
		s.told("b", Report{Running: 0})
		for i := range 9 {
			s.arrive(RequestID(fmt.Sprint(i)), objective(30*ms))
		}
		// Half of the places are taken from the eighth on.
		Expect(s.sends).To(HaveLen(8))
		Expect(s.refusals).To(HaveLen(1))
		s = newScript(plain("a", 8), plain("b", 8)) // no first answer yet: one call each
		for i := range 5 {
			s.arrive(RequestID(fmt.Sprint(i)), objective(30*ms))
		}
		Expect(s.refusals).To(BeEmpty())
	})
	ginkgo.It("gives nobody up who may have run while others can be", func() {
		s := newScript(plain("a", 1), plain("b", 1)).warm(100 * ms)
		s.arrive("ran", objective(150*ms), kind(Safe, 2), priority(9))
		s.arrive("out")
		s.end("ran", Outcome{Kind: TransportError})
		s.pass(ms)
		for i := range 3 {
			s.arrive(RequestID(fmt.Sprint(i)), objective(150*ms))
		}
		Expect(s.refusal("ran")).To(BeNil())
	})
	ginkgo.It("is bounded", func() {
		s := newScript(plain("a", 1)).warm(ms)
		for i := range mostHeld + 10 {
			s.arrive(RequestID(fmt.Sprint(i)))
		}
		Expect(s.services[pool].queue).To(HaveLen(mostHeld))
		Expect(s.refusals).To(HaveLen(9))
	})
	ginkgo.It("lets one go after long usual calls, though they pass the deadline", func() {
		s := newScript(plain("a", 4)).warm(4 * time.Second)
		s.arrive("0", deadline(s, time.Second))
		Expect(s.order()).To(Equal([]RequestID{"0"}))
		s.arrive("1", deadline(s, time.Second))
		Expect(s.refusal("1")).NotTo(BeNil())
	})
})
