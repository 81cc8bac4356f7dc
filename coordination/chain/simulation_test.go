package chain_test

import (
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The simulation runs CHAIN_SEEDS seeds from CHAIN_FIRST on; with CHAIN_TRACE it tells what happens.
const usualSeeds = 200

// gcPercent suits a small heap that is made anew with each seed.
const gcPercent = 800

// strikes is how often trouble strikes a cluster.
const strikes = 9

func setting(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

var _ = Describe("a cluster under faults", func() {
	It("loses nothing acknowledged, applies nothing refused, reads nothing stale, and goes on once calm", func() {
		DeferCleanup(debug.SetGCPercent, debug.SetGCPercent(gcPercent))
		first := setting("CHAIN_FIRST", 1)
		var total judge
		for seed := first; seed < first+setting("CHAIN_SEEDS", usualSeeds); seed++ {
			j, err := simulate(uint64(seed))
			Expect(err).NotTo(HaveOccurred())
			total.answers += j.answers
			total.refusals += j.refusals
			total.known += j.known
		}
		AddReportEntry("totals", fmt.Sprintf("%d answers, %d refusals, %d versions", total.answers, total.refusals, total.known))
		Expect(total.refusals).To(BeNumerically(">", 0))
	})
})

func simulate(seed uint64) (j judge, err error) {
	defer func() {
		if broken := recover(); broken != nil {
			err = fmt.Errorf("seed %d: %v", seed, broken)
		}
	}()
	trace := func(string, ...any) {}
	if os.Getenv("CHAIN_TRACE") != "" {
		trace = func(format string, arguments ...any) { fmt.Fprintf(GinkgoWriter, format+"\n", arguments...) }
	}
	hosts := 3 + int(seed%3)
	w := newWorld(seed, hosts, min(3, hosts), trace)
	w.judge = judge{refused: map[[2]uint64]bool{}, acked: map[uint64]uint64{}}
	t := &trouble{world: w}
	t.begin()
	for range strikes {
		t.strike()
		w.clients(w.between(200*time.Millisecond, 4*time.Second))
	}
	t.heal()
	w.clients(8 * time.Second)
	w.goesOn()
	return w.judge, nil
}

// clients call at random for a time.
func (w *world) clients(d time.Duration) {
	end := w.now + d
	for w.now < end {
		w.call(w.hosts[w.random.IntN(len(w.hosts))])
		w.run(w.between(5*time.Millisecond, 150*time.Millisecond))
	}
}

// goesOn checks that once calm, each host brings a change and a read through, and that all are in the chain.
func (w *world) goesOn() {
	for _, h := range w.hosts {
		if h.gone {
			continue
		}
		if h.node == nil {
			fail(w, "%s does not run", h.address)
		}
		answers := w.judge.answers
		w.judge.values++
		known := w.judge.known
		c := w.judge.begin(w, &call{base: uint64(known), value: w.judge.values})
		number, out, _ := h.node.Propose(w.now, command(c.base, c.value))
		h.calls[number] = c
		w.carryOut(h, out)
		w.schedule(h)
		w.run(2 * time.Second)
		if w.judge.answers == answers {
			fail(w, "%s answers nothing when all is calm: view %+v", h.address, h.node.View())
		}
		if w.judge.known <= known {
			fail(w, "%s takes nothing when all is calm: %d versions", h.address, known)
		}
		if v := h.node.View(); !h.node.IsMember() || v.ChainPosition(h.node.Self().ID) < 0 {
			fail(w, "%s (%d) is not in the chain when all is calm: view %+v", h.address, h.node.Self().ID, v)
		}
	}
}
