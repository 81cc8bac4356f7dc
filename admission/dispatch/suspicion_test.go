package dispatch

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a receiver whose calls fail", func() {
	three := func() *script { return newScript(plain("a", 8), plain("b", 8), plain("c", 8)).warm(50 * ms) }

	// spread serves calls one after the other, and counts where they went.
	spread := func(s *script, calls int) map[InstanceID]int {
		used := map[InstanceID]int{}
		for i := range calls {
			id := RequestID(fmt.Sprint("spread-", s.arrivals, "-", i))
			s.arrive(id)
			used[s.last(id).Instance]++
			s.end(id, Outcome{Kind: Success, Took: 50 * ms})
		}
		return used
	}

	ginkgo.DescribeTable("is told to the others at its first failure",
		func(kind OutcomeKind, told bool) {
			s := three()
			s.arrive("0")
			at := s.last("0").Instance
			s.end("0", Outcome{Kind: kind})
			if told {
				Expect(s.failing).To(Equal([]InstanceID{at}))
			} else {
				Expect(s.failing).To(BeEmpty())
			}
		},
		ginkgo.Entry("broken", Broken, true),
		ginkgo.Entry("timed out", TimedOut, true),
		ginkgo.Entry("not connected", NotConnected, true),
		ginkgo.Entry("full", Full, false),
		ginkgo.Entry("a failure of its own, which is an answer", ErrorAnswer, false),
		ginkgo.Entry("called off by its client", Cancelled, false),
		ginkgo.Entry("answered", Success, false),
	)
	ginkgo.It("is not told where it has answered others of late", func() {
		s := three()
		Expect(spread(s, 12)).To(HaveLen(3))
		s.pass(100 * ms)
		s.arrive("0")
		s.end("0", Outcome{Kind: Broken})
		Expect(s.failing).To(BeEmpty())
	})
	ginkgo.It("is told once while the suspicion lasts, and again after it", func() {
		s := three()
		for i := range 3 {
			id := RequestID(fmt.Sprint(i))
			s.arrive(id)
			b := s.buckets[s.last(id).Instance]
			s.end(id, Outcome{Kind: Broken})
			s.accuse(b)
			Expect(s.failing).To(HaveLen(1))
			s.pass(60 * time.Second)
			s.failing = nil
		}
	})
	ginkgo.It("is told while a call hangs there", func() {
		s := three()
		s.arrive("0")
		s.pass(2 * time.Second)
		s.arrive("1")
		Expect(s.failing).To(Equal([]InstanceID{s.last("0").Instance}))
	})
	ginkgo.It("is avoided on another's word, while there are others", func() {
		s := three()
		s.take(s.Suspect(s.now, "a"))
		Expect(spread(s, 30)).To(HaveLen(2))
		Expect(s.failing).To(BeEmpty())
	})
	ginkgo.It("is still used where no other is free", func() {
		s := newScript(plain("a", 8), plain("b", 1)).warm(50 * ms)
		s.take(s.Suspect(s.now, "a"))
		s.arrive("0")
		s.arrive("1")
		Expect(s.last("0").Instance).To(Equal(InstanceID("b")))
		Expect(s.last("1").Instance).To(Equal(InstanceID("a")))
	})
	ginkgo.It("is not avoided by one that it has answered of late", func() {
		s := three()
		spread(s, 12)
		s.take(s.Suspect(s.now, "a"))
		Expect(spread(s, 30)).To(HaveKey(InstanceID("a")))
	})
	ginkgo.It("is acquitted by an answer", func() {
		s := newScript(plain("a", 8), plain("b", 1)).warm(50 * ms)
		s.take(s.Suspect(s.now, "a"))
		s.arrive("0")
		s.arrive("1")
		s.serve("1", 50*ms)
		s.serve("0", 10*ms)
		Expect(spread(s, 20)).To(HaveKeyWithValue(InstanceID("a"), BeNumerically(">", 5)))
	})
	ginkgo.It("comes back after a while, later with each further word", func() {
		s := three()
		away := func() time.Duration {
			s.take(s.Suspect(s.now, "a"))
			return s.buckets["a"].suspicion.until.Sub(s.now)
		}
		first := away()
		Expect(first).To(BeNumerically("<=", 3*time.Second))
		s.pass(first + time.Second)
		Expect(spread(s, 30)).To(HaveKey(InstanceID("a")))
		for range 20 {
			s.pass(2 * time.Second)
			Expect(away()).To(BeNumerically("<=", 12*time.Second))
		}
		Expect(s.buckets["a"].suspicion.until.Sub(s.now)).To(BeNumerically(">", 3*time.Second))
	})
	ginkgo.It("may be one that is not known", func() {
		s := three()
		s.take(s.Suspect(s.now, "nobody"))
		Expect(spread(s, 30)).To(HaveLen(3))
	})
})
