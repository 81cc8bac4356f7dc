package dispatch

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the statistics of a dispatcher", func() {
	ginkgo.It("count queued requests, calls in flight and the allowance", func() {
		s := newDriver(plain("a", 2), plain("b", 3)).warmUp(10 * ms)
		Expect(s.Stats(s.now)).To(Equal(Stats{Receivers: 2, Allowance: 5}))
		for _, id := range []RequestID{"0", "1", "2"} {
			s.submit(id)
		}
		Expect(s.Stats(s.now)).To(Equal(Stats{InFlight: 3, Receivers: 2, Allowance: 2}))
		for _, id := range []RequestID{"3", "4", "5", "6"} {
			s.submit(id)
		}
		Expect(s.Stats(s.now)).To(Equal(Stats{Queued: 2, InFlight: 5, Receivers: 2}))
	})

	ginkgo.DescribeTable("name the reason of a refusal", func(reason Reason, refused func(s *driver)) {
		s := newDriver(plain("a", 1)).warmUp(100 * ms)
		refused(s)
		Expect(s.refusal("x")).NotTo(BeNil())
		Expect(s.refusal("x").Reason).To(Equal(reason))
	},
		ginkgo.Entry("no time for an expected call after the one in flight", TooLate, func(s *driver) {
			s.submit("0")
			s.submit("x", deadline(s, 120*ms))
		}),
		ginkgo.Entry("its wait exceeds what its objective allows", Overloaded, func(s *driver) {
			s.submit("0")
			for _, id := range []RequestID{"1", "2", "3", "x"} {
				s.submit(id, func(r *Request) { r.TargetLatency = 150 * time.Millisecond })
			}
		}),
		ginkgo.Entry("its call failed and may have run", Unrepeatable, func(s *driver) {
			s.submit("x", kind(Unsafe, 3))
			s.endAttempt("x", Outcome{Kind: TransportError})
		}),
	)

	ginkgo.It("have a name for each reason", func() {
		names := map[string]bool{}
		for reason := range ReasonCount {
			names[reason.String()] = true
		}
		Expect(names).To(HaveLen(int(ReasonCount)))
	})
})
