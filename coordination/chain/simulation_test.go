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
const defaultSeeds = 200

// gcPercent suits a small heap that is made anew with each seed.
const gcPercent = 800

// faultsPerRun is how often trouble strikes a cluster.
const faultsPerRun = 9

func intFromEnvironment(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

var _ = Describe("a cluster under faults", func() {
	It("loses nothing acknowledged, applies nothing refused, reads nothing stale, and goes on once calm", func() {
		DeferCleanup(debug.SetGCPercent, debug.SetGCPercent(gcPercent))
		first := intFromEnvironment("CHAIN_FIRST", 1)
		var total checker
		for seed := first; seed < first+intFromEnvironment("CHAIN_SEEDS", defaultSeeds); seed++ {
			j, err := simulate(uint64(seed))
			Expect(err).NotTo(HaveOccurred())
			total.answers += j.answers
			total.refusals += j.refusals
			total.knownVersions += j.knownVersions
		}
		AddReportEntry("totals", fmt.Sprintf("%d answers, %d refusals, %d versions", total.answers, total.refusals, total.knownVersions))
		Expect(total.refusals).To(BeNumerically(">", 0))
	})
})

func simulate(seed uint64) (j checker, err error) {
	defer func() {
		if failure := recover(); failure != nil {
			err = fmt.Errorf("seed %d: %v", seed, failure)
		}
	}()
	trace := func(string, ...any) {}
	if os.Getenv("CHAIN_TRACE") != "" {
		trace = func(format string, arguments ...any) { fmt.Fprintf(GinkgoWriter, format+"\n", arguments...) }
	}
	hosts := 3 + int(seed%3)
	w := newSimulation(seed, hosts, min(3, hosts), trace)
	w.checker = checker{refused: map[[2]uint64]bool{}, acked: map[uint64]uint64{}}
	t := &faultInjector{simulation: w}
	t.chooseRates()
	for range faultsPerRun {
		t.injectFault()
		w.runClients(w.between(200*time.Millisecond, 4*time.Second))
	}
	t.heal()
	w.runClients(8 * time.Second)
	w.checkProgress()
	return w.checker, nil
}

// runClients call at random for a time.
func (w *simulation) runClients(d time.Duration) {
	end := w.now + d
	for w.now < end {
		w.startClientCall(w.hosts[w.random.IntN(len(w.hosts))])
		w.runFor(w.between(5*time.Millisecond, 150*time.Millisecond))
	}
}

// checkProgress checks that once calm, each host brings a change and a read through, and that all are in the chain.
func (w *simulation) checkProgress() {
	for _, h := range w.hosts {
		if h.removed {
			continue
		}
		if h.node == nil {
			fail(w, "%s does not run", h.address)
		}
		answers := w.checker.answers
		w.checker.lastValue++
		known := w.checker.knownVersions
		c := w.checker.startCall(w, &clientCall{base: uint64(known), value: w.checker.lastValue})
		number, out, _ := h.node.Propose(w.now, encodeCommand(c.base, c.value))
		h.calls[number] = c
		w.handleOutput(h, out)
		w.schedule(h)
		w.runFor(2 * time.Second)
		if w.checker.answers == answers {
			fail(w, "%s answers nothing when all is calm: view %+v", h.address, h.node.View())
		}
		if w.checker.knownVersions <= known {
			fail(w, "%s takes nothing when all is calm: %d versions", h.address, known)
		}
		if v := h.node.View(); !h.node.IsMember() || v.ChainPosition(h.node.Self().ID) < 0 {
			fail(w, "%s (%d) is not in the chain when all is calm: view %+v", h.address, h.node.Self().ID, v)
		}
	}
}
