package dispatch

import (
	"sync"
	"testing"
	"time"
)

// goodputSeeds is how many runs a figure is the mean of: one swings by a twentieth.
const goodputSeeds = 3

// basePool is what the tests play on: it bears about 38 programs a second.
var basePool = workload{proxies: 20, engines: 18, span: 40 * time.Second, outage: 1500 * time.Millisecond}

// measureGoodput plays a load with several seeds: the mean of what programs that began in a span earned a second, and the part of
// what they owed.
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

// TestGoodputStaysLevelUnderOverload: what is earned rises with the load up to what the pool bears, and stays level beyond, also after
// all proxies have lost power in the midst of it.
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
		t.Logf("%3.0f programs a second: %3.0f earned (%.2f), after a loss of power %3.0f (%.2f)", c.rate, goodput, share, goodputAfterLoss, shareAfterLoss)
		capacity = max(capacity, goodput)
		if goodput < c.minShare*capacity || goodputAfterLoss < c.minShareAfterLoss*capacity {
			t.Errorf("at %.0f programs a second %.0f and, after a loss of power, %.0f were earned, of %.0f that the pool bears",
				c.rate, goodput, goodputAfterLoss, capacity)
		}
	}
}

// TestOverloadEndsWithItsCause: after a burst, or where receivers go and all proxies lose power twice, what the pool bears
// is served again once it is no more than that.
func TestOverloadEndsWithItsCause(t *testing.T) {
	l := basePool
	l.programsPerSecond = 25
	l.burstFactor, l.burstFrom, l.burstTo = 2.5, 8*time.Second, 14*time.Second
	if _, share := measureGoodput(l, 19*time.Second, l.span); share < 0.97 {
		t.Errorf("5 s after a burst %.2f was earned", share)
	}
	l = basePool
	l.programsPerSecond, l.span = 25, 50*time.Second
	l.powerLosses = []time.Duration{6 * time.Second, 16 * time.Second}
	l.removedEngines, l.removeFrom = 7, 6*time.Second
	if _, share := measureGoodput(l, 20*time.Second, l.span); share < 0.7 {
		t.Errorf("after 7 of 18 engines had gone and all proxies had lost power twice %.2f was earned", share)
	}
}

// TestZoneWithTooFewEngines: what a zone's engines do not bear is served by those of other zones while these bear it.
func TestZoneWithTooFewEngines(t *testing.T) {
	l := basePool
	l.proxies, l.engines, l.zones, l.programsPerSecond = 21, 36, 3, 45
	l.removedEngines, l.removeFrom = 7, 4*time.Second
	if _, share := measureGoodput(l, 15*time.Second, l.span); share < 0.97 {
		t.Errorf("with 5 of 12 engines left in one of three zones %.2f was earned", share)
	}
}
