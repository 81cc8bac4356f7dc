package proxy

import (
	"fmt"
	"math"
	"testing"

	"emberquay/internal/tier/routing"
)

// weightedRoute has two targets, with nine tenths and one tenth of the weight.
var weightedRoute = &routing.Route{Name: "weighted", Targets: []routing.Target{{Service: "large", Weight: 90}, {Service: "small", Weight: 10}}}

// TestWeightsHoldOverFewRequests checks that the targets of a route get their shares even of few requests at one proxy.
func TestWeightsHoldOverFewRequests(t *testing.T) {
	for seed := range uint64(50) {
		p := &Proxy{routeSequences: newRouteSequences(seed)}
		small := 0
		for n := 1; n <= 300; n++ {
			if p.chooseService(weightedRoute) == "small" {
				small++
			}
			if deviation := math.Abs(float64(small) - float64(n)/10); deviation > 3 {
				t.Fatalf("seed %d: %d of %d requests went to the target with a tenth of the weight", seed, small, n)
			}
		}
	}
}

// TestWeightsHoldOverManyProxies checks the shares where each of many proxies gets only a few of the requests.
func TestWeightsHoldOverManyProxies(t *testing.T) {
	const proxies, each = 77, 4
	worst := 0.0
	for round := range uint64(100) {
		small := 0
		for i := range uint64(proxies) {
			p := &Proxy{routeSequences: newRouteSequences(1000*round + i)}
			for range each {
				if p.chooseService(weightedRoute) == "small" {
					small++
				}
			}
		}
		worst = max(worst, math.Abs(float64(small)/(proxies*each)-0.1))
	}
	if worst > 0.05 {
		t.Errorf("a share deviates by %.3f", worst)
	}
}

// TestSequencesOfRemovedRoutesAreDropped checks that the memory of routes does not grow with changes of configuration.
func TestSequencesOfRemovedRoutesAreDropped(t *testing.T) {
	s := newRouteSequences(1)
	for i := range 100 {
		s.next(fmt.Sprint("route-", i))
	}
	s.retain(func() map[string]bool { return map[string]bool{"route-7": true} })
	if len(s.points) != 1 {
		t.Errorf("%d routes are kept, want 1", len(s.points))
	}
}
