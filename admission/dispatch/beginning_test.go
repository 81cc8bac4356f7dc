package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("new programs", func() {
	turn := func(program string) func(*Request) {
		return func(r *Request) {
			r.Kind, r.IsTurn, r.Program, r.TargetLatency, r.Priority = Streaming, true, program, 200*ms, 1
		}
	}
	// nearlyFull has two engines with few free slots.
	nearlyFull := func() *driver {
		s := newDriver(engine("a"), engine("b")).warmUp(50 * ms)
		s.report("a", Report{Running: 20})
		s.report("b", Report{Running: 20})
		return s
	}
	// refusedPrograms submits the first turns of count programs and returns the names of those refused.
	refusedPrograms := func(s *driver, count int) map[string]bool {
		refused := map[string]bool{}
		for i := range count {
			name := fmt.Sprint("program-", i)
			s.submit(RequestID(name), turn(name))
			if s.refusal(RequestID(name)) != nil {
				refused[name] = true
				continue
			}
			s.collect(s.Cancel(s.now, RequestID(name)))
			if slices.Contains(s.sendOrder(), RequestID(name)) {
				s.endAttempt(RequestID(name), Outcome{Kind: Cancelled})
			}
		}
		return refused
	}

	ginkgo.It("are refused in part by a proxy that has just started, while slots are scarce", func() {
		refused := refusedPrograms(nearlyFull(), 200)
		Expect(len(refused)).To(BeNumerically("~", 200*(1-initialAdmitShare), 25))
	})
	ginkgo.It("get a Retry-After at once when refused", func() {
		s := nearlyFull()
		s.services[pool].admit = admitShares{}
		s.submit("1", turn("p"))
		Expect(s.refusal("1").Status).To(Equal(StatusServiceUnavailable))
		Expect(s.refusal("1").RetryAfter).To(BeNumerically(">=", defaultPause))
		Expect(s.refusal("1").MayHaveRun).To(BeFalse())
	})
	ginkgo.It("are admitted alike by all proxies", func() {
		first, second := nearlyFull(), nearlyFull()
		second.services[pool].admit.local = 0.6
		fewer, more := refusedPrograms(second, 100), refusedPrograms(first, 100)
		Expect(len(fewer)).To(BeNumerically("<", len(more)))
		for name := range fewer {
			Expect(more).To(HaveKey(name))
		}
	})
	ginkgo.It("are all admitted while few slots are in use", func() {
		s := newDriver(engine("a"), engine("b")).warmUp(50 * ms)
		s.report("a", Report{Running: 7})
		s.report("b", Report{Running: 7})
		Expect(refusedPrograms(s, 50)).To(BeEmpty())
	})
	ginkgo.It("are those without a known turn, whether known from the client or seen before", func() {
		s := nearlyFull()
		s.services[pool].admit = admitShares{}
		s.submit("1", turn("p"), func(r *Request) { r.ProgramStarted = true })
		Expect(s.refusals).To(BeEmpty())
		s.collect(s.ResponseStarted(s.now, "1"))
		s.endAttempt("1", Outcome{Kind: Success, TimeToFirstByte: 20 * ms, Duration: 50 * ms})
		s.services[pool].admit = admitShares{}
		s.submit("2", turn("p"))
		Expect(s.refusals).To(BeEmpty())
		s.submit("3", turn("q"))
		Expect(s.refusal("3")).NotTo(BeNil())
	})
	ginkgo.It("are not requests that are no turns", func() {
		s := nearlyFull()
		s.services[pool].admit = admitShares{}
		s.submit("1", func(r *Request) { r.Kind, r.TargetLatency = Streaming, 200*ms })
		Expect(s.refusals).To(BeEmpty())
	})

	// shareChange returns the change of the local share by a turn of a running program whose response starts, or that
	// is cancelled, after a time.
	shareChange := func(after time.Duration, begins bool) float64 {
		s := nearlyFull()
		before := s.services[pool].admit.local
		s.submit("1", turn("p"), func(r *Request) { r.ProgramStarted = true })
		s.now = s.now.Add(after)
		if begins {
			s.collect(s.ResponseStarted(s.now, "1"))
			s.endAttempt("1", Outcome{Kind: Success, TimeToFirstByte: after, Duration: after})
		} else {
			s.collect(s.Cancel(s.now, "1"))
			s.endAttempt("1", Outcome{Kind: Cancelled, Duration: after})
		}
		return s.services[pool].admit.local - before
	}
	ginkgo.DescribeTable("are admitted by how late turns start",
		func(after time.Duration, begins bool, change float64) {
			Expect(shareChange(after, begins)).To(BeNumerically("~", change, 1e-9))
		},
		ginkgo.Entry("in time", 100*ms, true, admitIncrease),
		ginkgo.Entry("late", 101*ms, true, -admitDecrease*initialAdmitShare),
		ginkgo.Entry("cancelled late", 2*time.Second, false, -admitDecrease*initialAdmitShare),
		ginkgo.Entry("cancelled early, which proves nothing", 50*ms, false, 0.0),
	)
	ginkgo.It("keep their admitted share between the minimum and one", func() {
		for _, at := range []placement{localZone, remoteZone} {
			a := newAdmitShares()
			for range 1000 {
				a.recordLate(at)
			}
			Expect(min(a.local, a.remote)).To(Equal(minAdmitShare))
			for range 1000 {
				a.recordOnTime(at)
			}
			Expect(max(a.local, a.remote)).To(Equal(1.0))
		}
	})
	ginkgo.DescribeTable("are placed by their draw",
		func(draw float64, elsewhere bool, placed placement, admitted bool) {
			at, ok := admitShares{local: 0.5, remote: 0.3}.place(draw, elsewhere)
			Expect(ok).To(Equal(admitted))
			Expect(at).To(Equal(placed))
		},
		ginkgo.Entry("within the share of the local zone", 0.49, true, localZone, true),
		ginkgo.Entry("beyond it", 0.51, true, remoteZone, true),
		ginkgo.Entry("beyond it where there is no other zone", 0.51, false, localZone, false),
		ginkgo.Entry("beyond both", 0.81, true, localZone, false),
	)
	ginkgo.It("go to a home in another zone when placed there, and stay there", func() {
		s := newDriver(engine("a"), engine("b", zone("there")), engine("c", zone("there"))).warmUp(50 * ms)
		for _, id := range []InstanceID{"a", "b", "c"} {
			s.report(id, Report{Running: 20})
		}
		s.services[pool].admit = admitShares{remote: 1}
		prompt := func(r *Request) { r.Prefix = []PrefixPart{{ID: 1, Tokens: 3000}} }
		s.submit("1", turn("p"), prompt)
		Expect(s.lastSend("1").Instance).NotTo(Equal(InstanceID("a")))
		s.collect(s.ResponseStarted(s.now, "1"))
		s.endAttempt("1", Outcome{Kind: Success, TimeToFirstByte: 20 * ms, Duration: 50 * ms})
		s.services[pool].admit = admitShares{local: 1}
		s.submit("2", turn("p"), prompt)
		Expect(s.lastSend("2").Instance).To(Equal(s.lastSend("1").Instance))
	})
	ginkgo.It("are remembered within bounds and for a limited time", func() {
		var p programSet
		for i := range uint64(10 * maxPrograms) {
			p.add(start, i, remoteZone)
		}
		Expect(len(p.current) + len(p.previous)).To(BeNumerically("<=", 2*maxPrograms))
		Expect(contains(&p, 10*maxPrograms-1)).To(BeTrue())
		Expect(contains(&p, 1)).To(BeFalse())
		p.add(start.Add(programRetention), 1, localZone)
		Expect(contains(&p, 10*maxPrograms-1)).To(BeTrue())
		p.add(start.Add(2*programRetention), 2, localZone)
		Expect(contains(&p, 10*maxPrograms-1)).To(BeFalse())
	})
})

func contains(p *programSet, program uint64) bool {
	_, some := p.get(program)
	return some
}
