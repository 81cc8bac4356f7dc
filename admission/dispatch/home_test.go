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

	// sender makes a dispatcher with engines of its own zone, idle ones in another zone beside them.
	sender := func(seed uint64, local, remote int) *driver {
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
	// first gives where a sender that knows nothing sends the program's prompt.
	firstReceiver := func(s *driver, program string) InstanceID {
		s.submit(RequestID(program), prompt(shared, own), inProgram(program))
		return s.lastSend(RequestID(program)).Instance
	}

	ginkgo.It("is the same at senders that have not heard of each other", func() {
		for i := range 20 {
			program := fmt.Sprint("program-", i)
			Expect(firstReceiver(sender(1, 4, 8), program)).To(Equal(firstReceiver(sender(uint64(2+i), 4, 8), program)))
		}
	})
	ginkgo.It("spreads programs over the receivers of the sender's zone", func() {
		used := map[InstanceID]int{}
		for i := range 200 {
			used[firstReceiver(sender(1, 4, 8), fmt.Sprint("program-", i))]++
		}
		Expect(used).To(HaveLen(4))
		Expect(used).To(HaveEach(BeNumerically(">", 25)))
	})
	ginkgo.It("stays where it is for all programs but those of a receiver that goes", func() {
		for i := range 50 {
			program := fmt.Sprint("program-", i)
			before := firstReceiver(sender(1, 4, 0), program)
			s := sender(1, 4, 0)
			s.endpoints["near-3"].Draining = true
			after := firstReceiver(s, program)
			if before != "near-3" {
				Expect(after).To(Equal(before))
			}
		}
	})
	ginkgo.It("is among all receivers where the sender's zone has none", func() {
		used := map[InstanceID]bool{}
		for i := range 50 {
			program := fmt.Sprint("program-", i)
			at := firstReceiver(sender(1, 0, 3), program)
			Expect(at).To(Equal(firstReceiver(sender(7, 0, 3), program)))
			used[at] = true
		}
		Expect(used).To(HaveLen(3))
	})
	ginkgo.It("is left for a receiver that keeps the prompt", func() {
		s := sender(1, 4, 0)
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
	ginkgo.It("is left where many run and others are idle, for what a short prompt is worth", func() {
		shortPrompt := func(s *driver) InstanceID {
			s.submit("0", prompt(PrefixPart{ID: 2, Tokens: 300}), inProgram("program"))
			return s.lastSend("0").Instance
		}
		home := shortPrompt(sender(1, 4, 0))
		s := sender(1, 4, 0)
		s.service(pool).meanUncachedTokens, s.service(pool).meanDuration = 500, float64(time.Second) // of a usual turn
		for id := range s.endpoints {
			s.report(id, Report{})
		}
		s.now = s.now.Add(100 * ms)
		s.report(home, Report{Running: 20})
		Expect(shortPrompt(s)).NotTo(Equal(home))
	})
	ginkgo.It("is left where it has no allowance", func() {
		home := firstReceiver(sender(1, 4, 0), "program")
		s := sender(1, 4, 0)
		s.report(home, Report{Running: 24})
		Expect(firstReceiver(s, "program")).NotTo(Equal(home))
	})
	ginkgo.It("is nothing to a request without a program", func() {
		used := map[InstanceID]bool{}
		for i := range 20 {
			used[firstReceiver(sender(uint64(i), 4, 0), "")] = true
		}
		Expect(len(used)).To(BeNumerically(">", 1))
	})
})

var _ = ginkgo.Describe("a part of a prompt that grows from turn to turn", func() {
	const session = 7
	grown := func(tokens int) []PrefixPart {
		return []PrefixPart{{ID: 1, Tokens: 2500}, {ID: session, Tokens: tokens}}
	}

	ginkgo.It("is kept as far as it was sent", func() {
		var c prefixCache
		c.add(start, grown(600), 100_000)
		Expect(c.cachedTokens(start, grown(1300))).To(Equal(3100))
		c.add(start, grown(1300), 100_000)
		Expect(c.cachedTokens(start, grown(1300))).To(Equal(3800))
		Expect(c.tokens).To(Equal(3800))
	})
	ginkgo.It("counts no part after it that comes behind more of it than was sent", func() {
		var c prefixCache
		c.add(start, append(grown(600), PrefixPart{ID: 9, Tokens: 400}), 100_000)
		Expect(c.cachedTokens(start, append(grown(1300), PrefixPart{ID: 9, Tokens: 400}))).To(Equal(3100))
		Expect(c.cachedTokens(start, append(grown(600), PrefixPart{ID: 9, Tokens: 400}))).To(Equal(3500))
	})
})
