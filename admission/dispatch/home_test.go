package dispatch

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func inProgram(name string) func(*Request) { return func(r *Request) { r.Program = name } }

var _ = ginkgo.Describe("the home of a program", func() {
	shared := PrefixPart{ID: 1, Tokens: 2500}
	own := PrefixPart{ID: 2, Tokens: 1500}

	// newProxy returns a dispatcher with engines in its own zone and idle ones in another.
	newProxy := func(seed uint64, local, remote int) *driver {
		var list []Receiver
		for i := range local {
			list = append(list, engine(InstanceID(fmt.Sprint("near-", i))))
		}
		for i := range remote {
			list = append(list, engine(InstanceID(fmt.Sprint("far-", i)), zone("there")))
		}
		s := &driver{Dispatcher: New(seed, "here"), now: start}
		s.setReceivers(list...)
		for _, e := range s.endpoints {
			e.probed = true
		}
		return s
	}
	// firstReceiver returns the receiver that a proxy without any state chooses for the program's prompt.
	firstReceiver := func(s *driver, program string) InstanceID {
		s.submit(RequestID(program), prompt(shared, own), inProgram(program))
		return s.lastSend(RequestID(program)).Instance
	}

	ginkgo.It("is the same for proxies that have not communicated", func() {
		for i := range 20 {
			program := fmt.Sprint("program-", i)
			Expect(firstReceiver(newProxy(1, 4, 8), program)).To(Equal(firstReceiver(newProxy(uint64(2+i), 4, 8), program)))
		}
	})
	ginkgo.It("spreads programs over the receivers of the proxy's zone", func() {
		used := map[InstanceID]int{}
		for i := range 200 {
			used[firstReceiver(newProxy(1, 4, 8), fmt.Sprint("program-", i))]++
		}
		Expect(used).To(HaveLen(4))
		Expect(used).To(HaveEach(BeNumerically(">", 25)))
	})
	ginkgo.It("changes only for the programs of a removed receiver", func() {
		for i := range 50 {
			program := fmt.Sprint("program-", i)
			before := firstReceiver(newProxy(1, 4, 0), program)
			s := newProxy(1, 4, 0)
			s.endpoints["near-3"].Draining = true
			after := firstReceiver(s, program)
			if before != "near-3" {
				Expect(after).To(Equal(before))
			}
		}
	})
	ginkgo.It("is among all receivers if the proxy's zone has none", func() {
		used := map[InstanceID]bool{}
		for i := range 50 {
			program := fmt.Sprint("program-", i)
			at := firstReceiver(newProxy(1, 0, 3), program)
			Expect(at).To(Equal(firstReceiver(newProxy(7, 0, 3), program)))
			used[at] = true
		}
		Expect(used).To(HaveLen(3))
	})
	ginkgo.It("is left for a receiver that has the prompt cached", func() {
		s := newProxy(1, 4, 0)
		home := firstReceiver(s, "program")
		s.complete("program", 200*ms)
		other := InstanceID("near-0")
		if home == other {
			other = "near-1"
		}
		s.endpoints[home].prefixes = prefixCache{}
		s.endpoints[other].prefixes.add(s.now, []PrefixPart{shared, own}, 200_000)
		s.submit("next", prompt(shared, own, PrefixPart{ID: 3, Tokens: 500}), inProgram("program"))
		Expect(s.lastSend("next").Instance).To(Equal(other))
	})
	ginkgo.It("is left for a short prompt if it is busy and others are idle", func() {
		shortPrompt := func(s *driver) InstanceID {
			s.submit("0", prompt(PrefixPart{ID: 2, Tokens: 300}), inProgram("program"))
			return s.lastSend("0").Instance
		}
		home := shortPrompt(newProxy(1, 4, 0))
		s := newProxy(1, 4, 0)
		s.service(pool).meanUncachedTokens, s.service(pool).meanDuration = 500, float64(time.Second) // of a typical turn
		for id := range s.endpoints {
			s.report(id, Report{})
		}
		s.now = s.now.Add(100 * ms)
		s.report(home, Report{Running: 20})
		Expect(shortPrompt(s)).NotTo(Equal(home))
	})
	ginkgo.It("is left if it has no allowance", func() {
		home := firstReceiver(newProxy(1, 4, 0), "program")
		s := newProxy(1, 4, 0)
		s.report(home, Report{Running: 24})
		Expect(firstReceiver(s, "program")).NotTo(Equal(home))
	})
	ginkgo.It("does not exist for a request without a program", func() {
		used := map[InstanceID]bool{}
		for i := range 20 {
			used[firstReceiver(newProxy(uint64(i), 4, 0), "")] = true
		}
		Expect(len(used)).To(BeNumerically(">", 1))
	})
})

var _ = ginkgo.Describe("a part of a prompt that grows from turn to turn", func() {
	const session = 7
	grown := func(tokens int) []PrefixPart {
		return []PrefixPart{{ID: 1, Tokens: 2500}, {ID: session, Tokens: tokens}}
	}

	ginkgo.It("is cached as far as it was sent", func() {
		var c prefixCache
		c.add(start, grown(600), 100_000)
		Expect(c.cachedTokens(start, grown(1300))).To(Equal(3100))
		c.add(start, grown(1300), 100_000)
		Expect(c.cachedTokens(start, grown(1300))).To(Equal(3800))
		Expect(c.tokens).To(Equal(3800))
	})
	ginkgo.It("hides the parts behind it once it has grown", func() {
		var c prefixCache
		c.add(start, append(grown(600), PrefixPart{ID: 9, Tokens: 400}), 100_000)
		Expect(c.cachedTokens(start, append(grown(1300), PrefixPart{ID: 9, Tokens: 400}))).To(Equal(3100))
		Expect(c.cachedTokens(start, append(grown(600), PrefixPart{ID: 9, Tokens: 400}))).To(Equal(3500))
	})
})
