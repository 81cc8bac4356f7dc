package dispatch

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a receiver that leaves a call hanging", func() {
	var s *driver
	const slots = 8
	overdueDelay := overdueFactor*10*ms + minOverdueDelay

	// hang has one call taken by a receiver that does not begin to answer it.
	hangCall := func() InstanceID {
		s.submit("hangs")
		return s.lastSend("hangs").Instance
	}
	// taken says which receivers get the next calls; each is answered at once.
	countChoices := func(prefix string, count int) map[InstanceID]int {
		counts := map[InstanceID]int{}
		for i := range count {
			id := RequestID(prefix + string(rune('a'+i)))
			s.submit(id)
			counts[s.lastSend(id).Instance]++
			s.complete(id, 2*ms)
		}
		return counts
	}

	ginkgo.BeforeEach(func() { s = newDriver(plain("one", slots), plain("two", slots)).warmUp(20 * ms) })

	ginkgo.It("gets no more calls while the other is good, though it has allowance", func() {
		at := hangCall()
		s.advance(overdueDelay + 100*ms)
		Expect(countChoices("later-", 10)).NotTo(HaveKey(at))
	})

	ginkgo.It("gets calls as before until the answer is overdue", func() {
		at := hangCall()
		s.advance(20 * ms)
		Expect(countChoices("soon-", 20)).To(HaveKey(at))
	})

	ginkgo.It("gets calls again once the answer has come", func() {
		at := hangCall()
		s.advance(overdueDelay + 100*ms)
		s.endAttempt("hangs", Outcome{Kind: Success, TimeToFirstByte: overdueDelay, Duration: overdueDelay})
		counts := map[InstanceID]int{}
		for i := range 2 * slots { // more than the other takes at once
			id := RequestID("after-" + string(rune('a'+i)))
			s.submit(id)
			counts[s.lastSend(id).Instance]++
		}
		Expect(counts).To(HaveKeyWithValue(at, slots))
	})

	ginkgo.It("counts as failing where the client gave the call up", func() {
		at := hangCall()
		s.advance(overdueDelay + 100*ms)
		s.collect(s.Cancel(s.now, "hangs"))
		s.endAttempt("hangs", Outcome{Kind: Cancelled})
		Expect(s.Dispatcher.endpoints[at].consecutiveFailures).To(Equal(1))
	})

	ginkgo.It("counts for nothing where the client gave it up in the usual time", func() {
		at := hangCall()
		s.advance(5 * ms)
		s.collect(s.Cancel(s.now, "hangs"))
		s.endAttempt("hangs", Outcome{Kind: Cancelled})
		Expect(s.Dispatcher.endpoints[at].consecutiveFailures).To(Equal(0))
	})

	ginkgo.It("is still used where all do so", func() {
		s = newDriver(plain("one", slots)).warmUp(20 * ms)
		s.submit("hangs")
		s.advance(overdueDelay + 100*ms)
		s.submit("next", func(r *Request) { r.Deadline = s.now.Add(5 * time.Second) })
		s.advance(time.Second)
		Expect(s.lastSend("next").Instance).To(BeEquivalentTo("one"))
	})
})
