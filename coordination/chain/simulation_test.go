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

// defaultSeeds is the number of simulated seeds. CHAIN_SEEDS sets another number, CHAIN_FIRST the first seed, and
// CHAIN_TRACE prints a trace of the events.
const defaultSeeds = 200

// gcPercent reduces garbage collection: the heap is small and rebuilt for each seed.
const gcPercent = 800

// faultsPerRun is the number of faults injected per seed.
const faultsPerRun = 9

func intFromEnvironment(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

var _ = Describe("a cluster under faults", func() {
	It("loses nothing acknowledged, applies nothing refused, reads nothing stale, and makes progress after the faults", func() {
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
	s := newSimulation(seed, hosts, min(3, hosts), trace)
	s.checker = checker{refused: map[[2]uint64]bool{}, acked: map[uint64]uint64{}}
	faults := &faultInjector{simulation: s}
	faults.chooseRates()
	for range faultsPerRun {
		faults.injectFault()
		s.runClients(s.between(200*time.Millisecond, 4*time.Second))
	}
	faults.heal()
	s.runClients(8 * time.Second)
	s.checkProgress()
	return s.checker, nil
}

// runClients makes client calls at random intervals for a duration.
func (s *simulation) runClients(d time.Duration) {
	end := s.now + d
	for s.now < end {
		s.startClientCall(s.hosts[s.random.IntN(len(s.hosts))])
		s.runFor(s.between(5*time.Millisecond, 150*time.Millisecond))
	}
}

// checkProgress checks that without faults each host completes a change, and that all hosts are in the chain.
func (s *simulation) checkProgress() {
	for _, h := range s.hosts {
		if h.removed {
			continue
		}
		if h.node == nil {
			fail(s, "%s is not running", h.address)
		}
		answers := s.checker.answers
		s.checker.lastValue++
		known := s.checker.knownVersions
		c := s.checker.startCall(s, &clientCall{base: uint64(known), value: s.checker.lastValue})
		number, out, _ := h.node.Propose(s.now, encodeCommand(c.base, c.value))
		h.calls[number] = c
		s.handleOutput(h, out)
		s.schedule(h)
		s.runFor(2 * time.Second)
		if s.checker.answers == answers {
			fail(s, "%s does not answer without faults: view %+v", h.address, h.node.View())
		}
		if s.checker.knownVersions <= known {
			fail(s, "%s completes no change without faults: %d versions", h.address, known)
		}
		if v := h.node.View(); !h.node.IsMember() || v.ChainPosition(h.node.Self().ID) < 0 {
			fail(s, "%s (%d) is not in the chain without faults: view %+v", h.address, h.node.Self().ID, v)
		}
	}
}
