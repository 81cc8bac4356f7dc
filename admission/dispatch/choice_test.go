package dispatch

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func prompt(parts ...PrefixPart) func(*Request) {
	return func(r *Request) {
		r.Kind, r.Prefix, r.MaxOutputTokens = Streaming, parts, 100
		r.InputTokens = 0
		for _, p := range parts {
			r.InputTokens += p.Tokens
		}
	}
}

var _ = ginkgo.Describe("the choice of a model receiver", func() {
	shared := PrefixPart{ID: 1, Tokens: 2500}
	turnPart := func(id uint64) PrefixPart { return PrefixPart{ID: id, Tokens: 500} }

	engines := func(n int) *driver {
		var list []Receiver
		for i := range n {
			list = append(list, engine(InstanceID(rune('a'+i))))
		}
		s := newDriver(list...)
		for _, e := range s.endpoints {
			e.probed = true
		}
		return s
	}

	ginkgo.It("prefers the receiver that has the session's prompt cached", func() {
		s := engines(8)
		s.submit("0", prompt(shared, turnPart(2)))
		first := s.lastSend("0").Instance
		s.complete("0", 200*ms)
		for i := range 5 {
			id := RequestID(fmt.Sprint("next-", i))
			s.submit(id, prompt(shared, turnPart(2), turnPart(3)))
			Expect(s.lastSend(id).Instance).To(Equal(first))
			s.complete(id, 200*ms)
		}
	})
	ginkgo.It("leaves that receiver if it has no allowance", func() {
		s := engines(4)
		s.submit("0", prompt(shared, turnPart(2)))
		first := s.lastSend("0").Instance
		s.complete("0", 200*ms)
		s.report(first, Report{Running: 24})
		s.submit("1", prompt(shared, turnPart(2), turnPart(3)))
		Expect(s.lastSend("1").Instance).NotTo(Equal(first))
	})
	ginkgo.It("leaves that receiver if its load costs more than reading the prompt again elsewhere", func() {
		s := engines(4)
		s.submit("0", prompt(shared, turnPart(2)))
		first := s.lastSend("0").Instance
		s.complete("0", 200*ms)
		s.report(first, Report{Running: 20})
		s.submit("1", prompt(shared, turnPart(2), turnPart(3)))
		Expect(s.lastSend("1").Instance).NotTo(Equal(first))
	})
	ginkgo.It("spreads prompts without common parts", func() {
		s := engines(8)
		used := map[InstanceID]bool{}
		for i := range 8 {
			id := RequestID(fmt.Sprint(i))
			s.submit(id, prompt(PrefixPart{ID: uint64(100 + i), Tokens: 2000}))
			used[s.lastSend(id).Instance] = true
		}
		Expect(used).To(HaveLen(8))
	})
	ginkgo.It("counts a part as cached only behind the parts that preceded it", func() {
		var c prefixCache
		c.add(start, []PrefixPart{shared, turnPart(2)}, 100_000)
		Expect(c.cachedTokens(start, []PrefixPart{shared, turnPart(2), turnPart(3)})).To(Equal(3000))
		Expect(c.cachedTokens(start, []PrefixPart{shared, turnPart(3), turnPart(2)})).To(Equal(2500))
		Expect(c.cachedTokens(start, []PrefixPart{turnPart(2)})).To(BeZero())
		Expect(c.cachedTokens(start.Add(cachedPartLifetime+1), []PrefixPart{shared})).To(BeZero())
	})
	ginkgo.It("evicts the least recently used parts, the last of a prompt first", func() {
		var c prefixCache
		c.add(start, []PrefixPart{shared, turnPart(2)}, 4000)
		c.add(start, []PrefixPart{shared, turnPart(3)}, 4000)
		c.add(start, []PrefixPart{shared, turnPart(4)}, 4000)
		c.add(start, []PrefixPart{shared, turnPart(5)}, 4000)
		Expect(c.tokens).To(Equal(4000))
		Expect(c.cachedTokens(start, []PrefixPart{shared, turnPart(2)})).To(Equal(2500))
		Expect(c.cachedTokens(start, []PrefixPart{shared, turnPart(5)})).To(Equal(3000))
	})
	ginkgo.It("bounds the remembered parts", func() {
		var c prefixCache
		for i := range uint64(3 * maxCachedParts) {
			c.add(start, []PrefixPart{{ID: i, Tokens: 1}}, 1_000_000)
		}
		Expect(c.parts).To(HaveLen(maxCachedParts))
	})
	ginkgo.It("avoids engines whose memory runs out", func() {
		s := engines(2)
		s.report("a", Report{Running: 4, KVUsedTokens: 199_000, KVTotalTokens: 200_000})
		s.report("b", Report{Running: 4, KVUsedTokens: 20_000, KVTotalTokens: 200_000})
		for i := range 6 {
			id := RequestID(fmt.Sprint(i))
			s.submit(id, prompt(PrefixPart{ID: uint64(100 + i), Tokens: 2000}))
			Expect(s.lastSend(id).Instance).To(Equal(InstanceID("b")))
			s.complete(id, 5*ms)
		}
	})
	ginkgo.It("prefers its own zone among equals, unless it is full", func() {
		s := newDriver(plain("far", 8, zone("there")), plain("near", 8)).warmUp(50 * ms)
		s.submit("0")
		Expect(s.lastSend("0").Instance).To(Equal(InstanceID("near")))
		s.report("near", Report{Running: 7})
		s.submit("1")
		Expect(s.lastSend("1").Instance).To(Equal(InstanceID("far")))
	})
	ginkgo.It("prefers the faster of two plain receivers", func() {
		s := newDriver(plain("a", 8), plain("b", 8)).warmUp(50 * ms)
		s.endpoints["a"].relativeDuration = 2
		s.submit("0")
		Expect(s.lastSend("0").Instance).To(Equal(InstanceID("b")))
	})
	ginkgo.It("chooses among equals at random", func() {
		s := newDriver(plain("a", 8), plain("b", 8), plain("c", 8)).warmUp(50 * ms)
		used := map[InstanceID]int{}
		for i := range 60 {
			id := RequestID(fmt.Sprint(i))
			s.submit(id)
			used[s.lastSend(id).Instance]++
			s.endAttempt(id, Outcome{Kind: Success, Duration: 50 * ms})
		}
		Expect(used).To(HaveLen(3))
		Expect(used).To(HaveEach(BeNumerically(">", 8)))
	})
	ginkgo.DescribeTable("the priority sent to receivers",
		func(route int, started bool, timeLeft time.Duration, sent int) {
			s := newDriver(plain("a", 8)).warmUp(100 * ms)
			s.submit("0", priority(route), func(r *Request) { r.ProgramStarted, r.ProgramTimeLeft = started, timeLeft })
			Expect(s.lastSend("0").Priority).To(Equal(sent))
		},
		ginkgo.Entry("the most urgent route", 0, false, time.Duration(0), 4),
		ginkgo.Entry("the next route", 1, false, time.Duration(0), DefaultPriority),
		ginkgo.Entry("the least urgent route", 40, false, time.Duration(0), 8),
		ginkgo.Entry("a running program with enough time left", 1, true, time.Second, DefaultPriority),
		ginkgo.Entry("a running program with little time left", 1, true, 150*ms, 4),
		ginkgo.Entry("a new program", 1, false, 150*ms, DefaultPriority),
	)
})
