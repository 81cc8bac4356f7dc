package dispatch

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a receiver that does not respond to a call", func() {
	var s *driver
	const slots = 8
	overdueDelay := overdueFactor*10*ms + minOverdueDelay

	// hangCall submits a request whose call gets no response, and returns its receiver.
	hangCall := func() InstanceID {
		s.submit("hangs")
		return s.lastSend("hangs").Instance
	}
	// countChoices counts the receivers of count calls, each of which is answered at once.
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

	ginkgo.It("gets no more calls while the other is healthy, though it has allowance", func() {
		at := hangCall()
		s.advance(overdueDelay + 100*ms)
		Expect(countChoices("later-", 10)).NotTo(HaveKey(at))
	})

	ginkgo.It("gets calls as before until the response is overdue", func() {
		at := hangCall()
		s.advance(20 * ms)
		Expect(countChoices("soon-", 20)).To(HaveKey(at))
	})

	ginkgo.It("gets calls again once the response has come", func() {
		at := hangCall()
		s.advance(overdueDelay + 100*ms)
		s.endAttempt("hangs", Outcome{Kind: Success, TimeToFirstByte: overdueDelay, Duration: overdueDelay})
		counts := map[InstanceID]int{}
		for i := range 2 * slots { // more than the other has slots
			id := RequestID("after-" + string(rune('a'+i)))
			s.submit(id)
			counts[s.lastSend(id).Instance]++
		}
		Expect(counts).To(HaveKeyWithValue(at, slots))
	})

	ginkgo.It("counts as failing if the client cancels the overdue call", func() {
		at := hangCall()
		s.advance(overdueDelay + 100*ms)
		s.collect(s.Cancel(s.now, "hangs"))
		s.endAttempt("hangs", Outcome{Kind: Cancelled})
		Expect(s.Dispatcher.endpoints[at].consecutiveFailures).To(Equal(1))
	})

	ginkgo.It("does not count as failing if the client cancels before the call is overdue", func() {
		at := hangCall()
		s.advance(5 * ms)
		s.collect(s.Cancel(s.now, "hangs"))
		s.endAttempt("hangs", Outcome{Kind: Cancelled})
		Expect(s.Dispatcher.endpoints[at].consecutiveFailures).To(Equal(0))
	})

	ginkgo.It("is still used if all receivers behave so", func() {
		s = newDriver(plain("one", slots)).warmUp(20 * ms)
		s.submit("hangs")
		s.advance(overdueDelay + 100*ms)
		s.submit("next", func(r *Request) { r.Deadline = s.now.Add(5 * time.Second) })
		s.advance(time.Second)
		Expect(s.lastSend("next").Instance).To(BeEquivalentTo("one"))
	})
})
