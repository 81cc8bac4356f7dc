package dispatch

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a receiver that breaks off part of its calls", func() {
	var s *script
	ginkgo.BeforeEach(func() { s = newScript(plain("one", 8), plain("two", 8)).warm(20 * ms) })

	// breaks has a call broken off and says by whom.
	breaks := func(id RequestID) InstanceID {
		s.arrive(id)
		at := s.last(id).Instance
		s.pass(2 * ms)
		s.end(id, Outcome{Kind: TransportError})
		return at
	}
	// choices counts who gets so many calls that are answered at once.
	choices := func(prefix string, count int) map[InstanceID]int {
		by := map[InstanceID]int{}
		for i := range count {
			id := RequestID(prefix + string(rune('a'+i)))
			s.arrive(id)
			by[s.last(id).Instance]++
			s.serve(id, 2*ms)
		}
		return by
	}

	ginkgo.It("is passed over for the other after one, though it answered in between", func() {
		at := breaks("broken")
		Expect(choices("next-", 20)).NotTo(HaveKey(at))
	})

	ginkgo.It("is tried again when some time has passed", func() {
		at := breaks("broken")
		s.pass(10 * illnessHalves)
		Expect(choices("later-", 40)).To(HaveKey(at))
	})

	ginkgo.It("counts less with time, and as before with the next failure", func() {
		at := breaks("broken")
		b := s.Dispatcher.buckets[at]
		first := b.illness(s.now)
		Expect(b.illness(s.now.Add(illnessHalves))).To(BeNumerically("~", first/2, 1e-9))
		b.sick(s.now.Add(time.Minute))
		Expect(b.illness(s.now.Add(time.Minute))).To(BeNumerically("~", first, 1e-3))
	})

	ginkgo.It("that could not be connected to is not held for ill: it did not take the call", func() {
		s.arrive("unconnected")
		at := s.last("unconnected").Instance
		s.end("unconnected", Outcome{Kind: NotConnected})
		Expect(s.Dispatcher.buckets[at].illness(s.now)).To(BeZero())
	})
})
