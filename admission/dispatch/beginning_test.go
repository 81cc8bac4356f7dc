package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("programs that begin", func() {
	turn := func(program string) func(*Request) {
		return func(r *Request) {
			r.Kind, r.IsTurn, r.Program, r.TargetLatency, r.Priority = Streaming, true, program, 200*ms, 1
		}
	}
	// crowded has two engines whose places are taken, but for a few.
	crowded := func() *script {
		s := newScript(engine("a"), engine("b")).warm(50 * ms)
		s.told("a", Report{Running: 20})
		s.told("b", Report{Running: 20})
		return s
	}
	// begin has programs come until so many were refused, or a hundred have come, and gives those that were refused.
	begin := func(s *script, count int) map[string]bool {
		refused := map[string]bool{}
		for i := range count {
			name := fmt.Sprint("program-", i)
			s.arrive(RequestID(name), turn(name))
			if s.refusal(RequestID(name)) != nil {
				refused[name] = true
				continue
			}
			s.take(s.Cancel(s.now, RequestID(name)))
			if slices.Contains(s.order(), RequestID(name)) {
				s.end(RequestID(name), Outcome{Kind: Cancelled})
			}
		}
		return refused
	}

	ginkgo.It("are refused in part by a sender that knows nothing yet, where places are scarce", func() {
		refused := begin(crowded(), 200)
		Expect(len(refused)).To(BeNumerically("~", 200*(1-firstAdmitShare), 25))
	})
	ginkgo.It("are told when to come back, at once", func() {
		s := crowded()
		s.services[pool].admit = admitShares{}
		s.arrive("1", turn("p"))
		Expect(s.refusal("1").Status).To(Equal(StatusServiceUnavailable))
		Expect(s.refusal("1").RetryAfter).To(BeNumerically(">=", defaultPause))
		Expect(s.refusal("1").MayHaveRun).To(BeFalse())
	})
	ginkgo.It("are the same ones at every sender", func() {
		one, two := crowded(), crowded()
		two.services[pool].admit.near = 0.6
		few, more := begin(two, 100), begin(one, 100)
		Expect(len(few)).To(BeNumerically("<", len(more)))
		for name := range few {
			Expect(more).To(HaveKey(name))
		}
	})
	ginkgo.It("are all admitted while few places are taken", func() {
		s := newScript(engine("a"), engine("b")).warm(50 * ms)
		s.told("a", Report{Running: 7})
		s.told("b", Report{Running: 7})
		Expect(begin(s, 50)).To(BeEmpty())
	})
	ginkgo.It("are those of which no turn is known: neither from the client nor from before", func() {
		s := crowded()
		s.services[pool].admit = admitShares{}
		s.arrive("1", turn("p"), func(r *Request) { r.ProgramStarted = true })
		Expect(s.refusals).To(BeEmpty())
		s.take(s.ResponseStarted(s.now, "1"))
		s.end("1", Outcome{Kind: Success, TimeToFirstByte: 20 * ms, Duration: 50 * ms})
		s.services[pool].admit = admitShares{}
		s.arrive("2", turn("p"))
		Expect(s.refusals).To(BeEmpty())
		s.arrive("3", turn("q"))
		Expect(s.refusal("3")).NotTo(BeNil())
	})
	ginkgo.It("are not those that are no turns", func() {
		s := crowded()
		s.services[pool].admit = admitShares{}
		s.arrive("1", func(r *Request) { r.Kind, r.TargetLatency = Streaming, 200*ms })
		Expect(s.refusals).To(BeEmpty())
	})

	// observed has one turn under way that begins after a span, or is given up then.
	observed := func(after time.Duration, begins bool) float64 {
		s := crowded()
		before := s.services[pool].admit.near
		s.arrive("1", turn("p"), func(r *Request) { r.ProgramStarted = true })
		s.now = s.now.Add(after)
		if begins {
			s.take(s.ResponseStarted(s.now, "1"))
			s.end("1", Outcome{Kind: Success, TimeToFirstByte: after, Duration: after})
		} else {
			s.take(s.Cancel(s.now, "1"))
			s.end("1", Outcome{Kind: Cancelled, Duration: after})
		}
		return s.services[pool].admit.near - before
	}
	ginkgo.DescribeTable("are admitted by how turns begin",
		func(after time.Duration, begins bool, change float64) {
			Expect(observed(after, begins)).To(BeNumerically("~", change, 1e-9))
		},
		ginkgo.Entry("in time", 100*ms, true, admitIncrease),
		ginkgo.Entry("late", 101*ms, true, -admitDecrease*firstAdmitShare),
		ginkgo.Entry("given up late", 2*time.Second, false, -admitDecrease*firstAdmitShare),
		ginkgo.Entry("given up early, which says nothing", 50*ms, false, 0.0),
	)
	ginkgo.It("are never all refused, nor admitted by more than all", func() {
		for _, at := range []placement{placedNear, placedFar} {
			a := newAdmitShares()
			for range 1000 {
				a.late(at)
			}
			Expect(min(a.near, a.far)).To(Equal(leastAdmitShare))
			for range 1000 {
				a.inTime(at)
			}
			Expect(max(a.near, a.far)).To(Equal(1.0))
		}
	})
	ginkgo.DescribeTable("are placed by what they draw",
		func(draw float64, elsewhere bool, placed placement, admitted bool) {
			at, ok := admitShares{near: 0.5, far: 0.3}.place(draw, elsewhere)
			Expect(ok).To(Equal(admitted))
			Expect(at).To(Equal(placed))
		},
		ginkgo.Entry("within the share of the own zone", 0.49, true, placedNear, true),
		ginkgo.Entry("beyond it", 0.51, true, placedFar, true),
		ginkgo.Entry("beyond it where there is no other zone", 0.51, false, placedNear, false),
		ginkgo.Entry("beyond both", 0.81, true, placedNear, false),
	)
	ginkgo.It("go to a home in another zone when placed there, and stay", func() {
		s := newScript(engine("a"), engine("b", zone("there")), engine("c", zone("there"))).warm(50 * ms)
		for _, id := range []InstanceID{"a", "b", "c"} {
			s.told(id, Report{Running: 20})
		}
		s.services[pool].admit = admitShares{far: 1}
		prompt := func(r *Request) { r.Prefix = []PrefixPart{{ID: 1, Tokens: 3000}} }
		s.arrive("1", turn("p"), prompt)
		Expect(s.last("1").Instance).NotTo(Equal(InstanceID("a")))
		s.take(s.ResponseStarted(s.now, "1"))
		s.end("1", Outcome{Kind: Success, TimeToFirstByte: 20 * ms, Duration: 50 * ms})
		s.services[pool].admit = admitShares{near: 1}
		s.arrive("2", turn("p"), prompt)
		Expect(s.last("2").Instance).To(Equal(s.last("1").Instance))
	})
	ginkgo.It("are remembered within bounds, and forgotten after a time", func() {
		var p programSet
		for i := range uint64(10 * mostPrograms) {
			p.add(start, i, placedFar)
		}
		Expect(len(p.young) + len(p.old)).To(BeNumerically("<=", 2*mostPrograms))
		Expect(has(&p, 10*mostPrograms-1)).To(BeTrue())
		Expect(has(&p, 1)).To(BeFalse())
		p.add(start.Add(programKept), 1, placedNear)
		Expect(has(&p, 10*mostPrograms-1)).To(BeTrue())
		p.add(start.Add(2*programKept), 2, placedNear)
		Expect(has(&p, 10*mostPrograms-1)).To(BeFalse())
	})
})

func has(p *programSet, program uint64) bool {
	_, some := p.get(program)
	return some
}
