package dispatch

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a receiver that leaves a call hanging", func() {
	var s *script
	const slots = 8
	overdue := overdueTimes*10*ms + leastOverdue

	// hang has one call taken by a receiver that does not begin to answer it.
	hang := func() InstanceID {
		s.arrive("hangs")
		return s.last("hangs").Instance
	}
	// taken says which receivers get the next calls; each is answered at once.
	taken := func(prefix string, count int) map[InstanceID]int {
		by := map[InstanceID]int{}
		for i := range count {
			id := RequestID(prefix + string(rune('a'+i)))
			s.arrive(id)
			by[s.last(id).Instance]++
			s.serve(id, 2*ms)
		}
		return by
	}

	ginkgo.BeforeEach(func() { s = newScript(plain("one", slots), plain("two", slots)).warm(20 * ms) })

	ginkgo.It("gets no more calls while the other is good, though it has allowance", func() {
		at := hang()
		s.pass(overdue + 100*ms)
		Expect(taken("later-", 10)).NotTo(HaveKey(at))
	})

	ginkgo.It("gets calls as before until the answer is overdue", func() {
		at := hang()
		s.pass(20 * ms)
		Expect(taken("soon-", 20)).To(HaveKey(at))
	})

	ginkgo.It("gets calls again once the answer has come", func() {
		at := hang()
		s.pass(overdue + 100*ms)
		s.end("hangs", Outcome{Kind: Success, TimeToFirstByte: overdue, Duration: overdue})
		by := map[InstanceID]int{}
		for i := range 2 * slots { // more than the other takes at once
			id := RequestID("after-" + string(rune('a'+i)))
			s.arrive(id)
			by[s.last(id).Instance]++
		}
		Expect(by).To(HaveKeyWithValue(at, slots))
	})

	ginkgo.It("counts as failing where the client gave the call up", func() {
		at := hang()
		s.pass(overdue + 100*ms)
		s.take(s.Cancel(s.now, "hangs"))
		s.end("hangs", Outcome{Kind: Cancelled})
		Expect(s.Dispatcher.buckets[at].fails).To(Equal(1))
	})

	ginkgo.It("counts for nothing where the client gave it up in the usual time", func() {
		at := hang()
		s.pass(5 * ms)
		s.take(s.Cancel(s.now, "hangs"))
		s.end("hangs", Outcome{Kind: Cancelled})
		Expect(s.Dispatcher.buckets[at].fails).To(Equal(0))
	})

	ginkgo.It("is still used where all do so", func() {
		s = newScript(plain("one", slots)).warm(20 * ms)
		s.arrive("hangs")
		s.pass(overdue + 100*ms)
		s.arrive("next", func(r *Request) { r.Deadline = s.now.Add(5 * time.Second) })
		s.pass(time.Second)
		Expect(s.last("next").Instance).To(BeEquivalentTo("one"))
	})
})
