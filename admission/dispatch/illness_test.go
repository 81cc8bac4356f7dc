package dispatch

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a receiver that breaks off some of its calls", func() {
	var s *driver
	ginkgo.BeforeEach(func() { s = newDriver(plain("one", 8), plain("two", 8)).warmUp(20 * ms) })

	// breakCall has a call break off and returns its receiver.
	breakCall := func(id RequestID) InstanceID {
		s.submit(id)
		at := s.lastSend(id).Instance
		s.advance(2 * ms)
		s.endAttempt(id, Outcome{Kind: TransportError})
		return at
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

	ginkgo.It("is avoided after one such call, though it has answered others", func() {
		at := breakCall("broken")
		Expect(countChoices("next-", 20)).NotTo(HaveKey(at))
	})

	ginkgo.It("is tried again after some time", func() {
		at := breakCall("broken")
		s.advance(10 * errorHalfLife)
		Expect(countChoices("later-", 40)).To(HaveKey(at))
	})

	ginkgo.It("has an error rate that decays, and is restored by the next failure", func() {
		at := breakCall("broken")
		e := s.Dispatcher.endpoints[at]
		first := e.errorRate(s.now)
		Expect(e.errorRate(s.now.Add(errorHalfLife))).To(BeNumerically("~", first/2, 1e-9))
		e.recordError(s.now.Add(time.Minute))
		Expect(e.errorRate(s.now.Add(time.Minute))).To(BeNumerically("~", first, 1e-3))
	})

	ginkgo.It("keeps its error rate when a connection fails: it did not accept the call", func() {
		s.submit("unconnected")
		at := s.lastSend("unconnected").Instance
		s.endAttempt("unconnected", Outcome{Kind: NotConnected})
		Expect(s.Dispatcher.endpoints[at].errorRate(s.now)).To(BeZero())
	})
})
