package engine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/lab/tierlab/engine"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Simulated inference engine")
}

func config() engine.Config {
	return engine.Config{Slots: 2, QueueLimit: 2, MemoryTokens: 1000, PrefillChunkTokens: 100, BasePassTime: time.Millisecond, PassTimePerRequest: time.Millisecond, PassTimePer100PromptTokens: time.Millisecond}
}

func request(id string, priority, out int, parts ...engine.PromptPart) engine.Request {
	return engine.Request{ID: id, Priority: priority, OutputTokens: out, Parts: parts}
}

// passesTo steps until the request is complete and returns the number of passes.
func passesTo(e *engine.Engine, id string) int {
	GinkgoHelper()
	for n := 1; n < 10000; n++ {
		for _, token := range e.Step().Tokens {
			if token.ID == id && token.Last {
				return n
			}
		}
	}
	Fail("request did not complete in 9999 passes: " + id)
	return 0
}

var _ = Describe("Engine", func() {
	It("reads a prompt in chunks and then generates one token per pass", func() {
		e := engine.New(config())
		Expect(e.Add(request("a", 5, 4, engine.PromptPart{ID: 1, Tokens: 250}))).To(BeTrue())
		Expect(passesTo(e, "a")).To(Equal(3 - 1 + 4))
		Expect(e.Idle()).To(BeTrue())
	})
	It("does not read cached parts again", func() {
		e := engine.New(config())
		e.Add(request("a", 5, 1, engine.PromptPart{ID: 1, Tokens: 400}))
		passesTo(e, "a")
		e.Add(request("b", 5, 1, engine.PromptPart{ID: 1, Tokens: 400}, engine.PromptPart{ID: 2, Tokens: 50}))
		Expect(passesTo(e, "b")).To(Equal(1))
	})
	It("reads everything after the first part that is not cached", func() {
		e := engine.New(config())
		e.Add(request("a", 5, 1, engine.PromptPart{ID: 1, Tokens: 400}))
		passesTo(e, "a")
		e.Add(request("b", 5, 1, engine.PromptPart{ID: 2, Tokens: 100}, engine.PromptPart{ID: 1, Tokens: 400}))
		Expect(passesTo(e, "b")).To(Equal(5))
	})
	It("refuses a request when batch and queue are full or when it is larger than the memory", func() {
		e := engine.New(config())
		for i := range 4 {
			Expect(e.Add(request(fmt.Sprint(i), 5, 1, engine.PromptPart{ID: uint64(i), Tokens: 10}))).To(BeTrue())
		}
		Expect(e.Add(request("more", 5, 1))).To(BeFalse())
		Expect(engine.New(config()).Add(request("large", 5, 1, engine.PromptPart{ID: 1, Tokens: 1000}))).To(BeFalse())
	})
	It("slows down as its batch fills", func() {
		e := engine.New(config())
		e.Add(request("a", 5, 9, engine.PromptPart{ID: 1, Tokens: 10}))
		e.Step()
		alone := e.Step().Duration
		e.Add(request("b", 5, 9, engine.PromptPart{ID: 2, Tokens: 10}))
		e.Step()
		Expect(e.Step().Duration).To(BeNumerically(">", alone))
	})
	It("preempts a request for a more urgent one", func() {
		e := engine.New(config())
		e.Add(request("a", 5, 50, engine.PromptPart{ID: 1, Tokens: 10}))
		e.Add(request("b", 5, 50, engine.PromptPart{ID: 2, Tokens: 10}))
		e.Step()
		e.Add(request("urgent", 0, 3, engine.PromptPart{ID: 3, Tokens: 10}))
		Expect(passesTo(e, "urgent")).To(Equal(3))
		passesTo(e, "b") // the newest of the less urgent was preempted and completes nevertheless
	})
	It("preempts the newest request of the lowest priority when memory runs out, and completes all", func() {
		e := engine.New(config())
		e.Add(request("a", 5, 400, engine.PromptPart{ID: 1, Tokens: 300}))
		e.Add(request("b", 5, 300, engine.PromptPart{ID: 2, Tokens: 300}))
		ended := map[string]bool{}
		for range 2000 {
			for _, token := range e.Step().Tokens {
				if token.Last {
					ended[token.ID] = true
				}
			}
			report := e.Report()
			Expect(report.UsedTokens).To(BeNumerically("<=", report.TotalTokens))
		}
		Expect(ended).To(HaveLen(2))
	})
	It("drops a request that is removed", func() {
		e := engine.New(config())
		e.Add(request("a", 5, 50, engine.PromptPart{ID: 1, Tokens: 10}))
		e.Step()
		e.Remove("a")
		Expect(e.Idle()).To(BeTrue())
	})
})
