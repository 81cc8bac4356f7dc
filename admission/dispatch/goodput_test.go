package dispatch

import (
	"sync"
	"testing"
	"time"
)

// goodputSeeds is the number of runs that a figure averages: single runs vary by about 5 %.
const goodputSeeds = 3

// basePool is the pool of these tests; its capacity is about 38 programs per second.
var basePool = workload{proxies: 20, engines: 18, span: 40 * time.Second, outage: 1500 * time.Millisecond}

// measureGoodput runs a workload with several seeds. It returns the mean goodput per second of the programs that
// started in a span, and its share of the possible.
func measureGoodput(l workload, from, to time.Duration) (perSecond, share float64) {
	var group sync.WaitGroup
	runs := make([]*programModel, goodputSeeds)
	for i := range runs {
		group.Add(1)
		go func() {
			defer group.Done()
			runs[i] = runModel(uint64(i+1), l)
		}()
	}
	group.Wait()
	for _, m := range runs {
		perSecond += m.goodput(from, to) / goodputSeeds
		share += m.earnedShare(from, to) / goodputSeeds
	}
	return perSecond, share
}

// TestGoodputStaysLevelUnderOverload verifies that goodput grows with the load up to the pool's capacity and stays
// level beyond it, also after all proxies lose power during the overload.
func TestGoodputStaysLevelUnderOverload(t *testing.T) {
	capacity := 0.0
	for _, c := range []struct{ rate, minShare, minShareAfterLoss float64 }{
		{19, 0, 0}, {38, 0, 0}, {57, 0.9, 0.9}, {76, 0.9, 0.9}, {114, 0.9, 0.7},
	} {
		l := basePool
		l.programsPerSecond = c.rate
		goodput, share := measureGoodput(l, 10*time.Second, l.span)
		l.powerLosses = []time.Duration{16 * time.Second}
		goodputAfterLoss, shareAfterLoss := measureGoodput(l, 22*time.Second, l.span)
		t.Logf("%3.0f programs/s: goodput %3.0f (%.2f of the possible), after a power loss %3.0f (%.2f)", c.rate, goodput, share, goodputAfterLoss, shareAfterLoss)
		capacity = max(capacity, goodput)
		if goodput < c.minShare*capacity || goodputAfterLoss < c.minShareAfterLoss*capacity {
			t.Errorf("at %.0f programs/s the goodput is %.0f and, after a power loss, %.0f; the pool's capacity is %.0f",
				c.rate, goodput, goodputAfterLoss, capacity)
		}
	}
}

// TestOverloadEndsWithItsCause guards against metastable overload: after a burst, or after the loss of engines and
// two power losses of all proxies, a load within the capacity must be served in full again.
func TestOverloadEndsWithItsCause(t *testing.T) {
	l := basePool
	l.programsPerSecond = 25
	l.burstFactor, l.burstFrom, l.burstTo = 2.5, 8*time.Second, 14*time.Second
	if _, share := measureGoodput(l, 19*time.Second, l.span); share < 0.97 {
		t.Errorf("5 s after a burst the goodput is %.2f of the possible", share)
	}
	l = basePool
	l.programsPerSecond, l.span = 25, 50*time.Second
	l.powerLosses = []time.Duration{6 * time.Second, 16 * time.Second}
	l.removedEngines, l.removeFrom = 7, 6*time.Second
	if _, share := measureGoodput(l, 20*time.Second, l.span); share < 0.7 {
		t.Errorf("after the removal of 7 of 18 engines and two power losses of all proxies the goodput is %.2f of the possible", share)
	}
}

// TestZoneWithTooFewEngines verifies that the load beyond the capacity of a zone's engines is served in other zones
// while these have capacity.
func TestZoneWithTooFewEngines(t *testing.T) {
	l := basePool
	l.proxies, l.engines, l.zones, l.programsPerSecond = 21, 36, 3, 45
	l.removedEngines, l.removeFrom = 7, 4*time.Second
	if _, share := measureGoodput(l, 15*time.Second, l.span); share < 0.97 {
		t.Errorf("with 5 of 12 engines left in one of three zones the goodput is %.2f of the possible", share)
	}
}
