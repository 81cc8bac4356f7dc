package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/cluster/records"
)

// faultInjector injects random faults into a simulation.
type faultInjector struct {
	*simulation
	size         int
	zones        int
	replacements int // number of replace calls so far
}

// injectFault injects one random fault, ends a partition or publishes an entry. Faults that end by themselves end within
// 12 seconds.
func (f *faultInjector) injectFault() {
	switch f.random.IntN(10) {
	case 0:
		f.restart(f.randomProcess(), time.Duration(f.random.Int64N(int64(8*time.Second))), false)
	case 1:
		f.restart(f.randomProcess(), time.Duration(f.random.Int64N(int64(2*time.Second))), true)
	case 2:
		if p := f.randomProcess(); p != nil && !p.isPaused {
			f.pause(p, time.Duration(f.random.Int64N(int64(12*time.Second))))
		}
	case 3:
		f.partition()
	case 4:
		f.partitionOneWay()
	case 5:
		f.isBlocked = func(_, _ *process) bool { return false }
	case 6:
		f.lossRate, f.duplicateRate = f.random.Float64()*0.3, f.random.Float64()*0.2
		f.maxDelay = time.Duration(1 + f.random.Int64N(int64(300*time.Millisecond)))
	case 7:
		f.replace()
	default:
		f.publish()
	}
}

func (f *faultInjector) randomProcess() *process {
	up := f.running()
	if len(up) == 0 {
		return nil
	}
	return up[f.random.IntN(len(up))]
}

// restart stops a process and starts it again after downtime, with its clock set back if setClockBack is set.
func (f *faultInjector) restart(p *process, downtime time.Duration, setClockBack bool) {
	if p == nil {
		return
	}
	skew := time.Duration(0)
	if setClockBack {
		skew = -5 * time.Second
	}
	f.stop(p)
	f.schedule(downtime, func() {
		if f.byAddress[p.node.Address] == nil {
			f.start(p.node, skew)
		}
	})
}

// partition splits the machines into two sides that cannot reach each other.
func (f *faultInjector) partition() {
	sides := f.randomSides()
	f.isBlocked = func(from, to *process) bool { return sides[from.node.Name] != sides[to.node.Name] }
}

// partitionOneWay blocks messages from one side to the other, but not in the opposite direction.
func (f *faultInjector) partitionOneWay() {
	sides := f.randomSides()
	f.isBlocked = func(from, to *process) bool { return sides[from.node.Name] && !sides[to.node.Name] }
}

func (f *faultInjector) randomSides() map[string]bool {
	share := f.random.Float64() * 0.6
	sides := map[string]bool{}
	for _, p := range f.running() {
		sides[p.node.Name] = f.random.Float64() < share
	}
	return sides
}

// replace stops a process. Later another machine starts at its address, or the same machine at another address.
func (f *faultInjector) replace() {
	p := f.randomProcess()
	if p == nil || p.node.Role == membership.Control {
		return
	}
	f.stop(p)
	f.replacements++
	n := p.node
	if f.random.IntN(2) == 0 {
		n.Name = fmt.Sprintf("new-%d", f.replacements)
	} else {
		n.Address = addressOf(10_000 + f.replacements)
	}
	f.schedule(time.Duration(f.random.Int64N(int64(4*time.Second))), func() {
		if f.byAddress[n.Address] == nil {
			f.start(n, 0)
		}
	})
}

// publish has a random node publish a receiver record or random-sized bytes.
func (f *faultInjector) publish() {
	p := f.randomProcess()
	if p == nil || p.isPaused {
		return
	}
	key := fmt.Sprintf("%s%d", core.ReceiverPrefix, f.random.IntN(30))
	value := make([]byte, f.random.IntN(3000))
	if f.random.IntN(2) == 0 {
		state := records.ReceiverState(f.random.IntN(4))
		var err error
		value, err = records.ReceiverCodec.Encode(records.ReceiverRecord{ID: key, State: state, Owner: p.node.Name})
		Expect(err).NotTo(HaveOccurred())
	}
	p.core.Publish(f.now, gossip.Entry{Key: key, Value: value})
	p.applyPendingEffects()
}

// healAll ends partitions, loss, duplication and long delays.
func (f *faultInjector) healAll() {
	f.isBlocked = func(_, _ *process) bool { return false }
	f.lossRate, f.duplicateRate, f.maxDelay = 0, 0, 2*time.Millisecond
}

var _ = Describe("a fleet with random faults", func() {
	const runs = 40
	for seed := range uint64(runs) {
		It(fmt.Sprintf("converges once all nodes can communicate again, seed %d", seed), func() {
			s := newSimulation(seed)
			f := &faultInjector{simulation: s, size: 5 + s.random.IntN(56), zones: 1 + s.random.IntN(4)}
			s.startFleet(f.size, f.zones)
			s.advance(5 * time.Second)
			for range 20 + s.random.IntN(60) {
				f.injectFault()
				s.advance(time.Duration(s.random.Int64N(int64(2 * time.Second))))
			}
			f.healAll()
			s.advance(12 * time.Second) // until the last pauses and restarts are over
			took := s.advanceUntil(20*time.Second, 100*time.Millisecond, func() bool { return s.disagreement() == "" })
			Expect(s.disagreement()).To(BeEmpty(), "after %v", took)
			s.advance(5 * time.Second)
			Expect(s.disagreement()).To(BeEmpty())
			for _, p := range s.running() {
				Expect(p.core.Ready()).To(BeTrue(), "%s is not ready", p.node.ID())
			}
		})
	}
})
