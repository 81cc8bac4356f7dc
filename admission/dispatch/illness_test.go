package dispatch

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a receiver that breaks off part of its calls", func() {
	var s *driver
	ginkgo.BeforeEach(func() { s = newDriver(plain("one", 8), plain("two", 8)).warmUp(20 * ms) })

	// breaks has a call broken off and says by whom.
	breakCall := func(id RequestID) InstanceID {
		s.submit(id)
		at := s.lastSend(id).Instance
		s.advance(2 * ms)
		s.endAttempt(id, Outcome{Kind: TransportError})
		return at
	}
	// choices counts who gets so many calls that are answered at once.
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

	ginkgo.It("is passed over for the other after one, though it answered in between", func() {
		at := breakCall("broken")
		Expect(countChoices("next-", 20)).NotTo(HaveKey(at))
	})

	ginkgo.It("is tried again when some time has passed", func() {
		at := breakCall("broken")
		s.advance(10 * errorHalfLife)
		Expect(countChoices("later-", 40)).To(HaveKey(at))
	})

	ginkgo.It("counts less with time, and as before with the next failure", func() {
		at := breakCall("broken")
		e := s.Dispatcher.endpoints[at]
		first := e.errorRate(s.now)
		Expect(e.errorRate(s.now.Add(errorHalfLife))).To(BeNumerically("~", first/2, 1e-9))
		e.recordError(s.now.Add(time.Minute))
		Expect(e.errorRate(s.now.Add(time.Minute))).To(BeNumerically("~", first, 1e-3))
	})

	ginkgo.It("that could not be connected to is not held for ill: it did not take the call", func() {
		s.submit("unconnected")
		at := s.lastSend("unconnected").Instance
		s.endAttempt("unconnected", Outcome{Kind: NotConnected})
		Expect(s.Dispatcher.endpoints[at].errorRate(s.now)).To(BeZero())
	})
})
