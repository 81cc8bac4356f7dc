package proxy

import (
	"math"
	"math/rand/v2"
	"sync"

	"emberquay/internal/tier/routing"
)

// goldenRatioStep is the step of the additive sequence with the least discrepancy: after any number of steps its points
// are about evenly distributed (Knuth, The Art of Computer Programming, volume 3, 6.4).
const goldenRatioStep = 0.6180339887498949

// routeSequences yields for each route a low-discrepancy sequence in [0, 1), so that the targets of a route get their
// shares even of few requests; with independent random points the counts would deviate by the square root of the number
// of requests. Each route starts at a random point, so that the proxies' sequences differ.
type routeSequences struct {
	mu     sync.Mutex
	random *rand.Rand
	points map[string]float64 // the last point by route
}

func newRouteSequences(seed uint64) *routeSequences {
	return &routeSequences{random: rand.New(rand.NewPCG(seed, 0)), points: make(map[string]float64)}
}

// next returns the route's next point.
func (s *routeSequences) next(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	point, known := s.points[route]
	if !known {
		point = s.random.Float64()
	}
	_, point = math.Modf(point + goldenRatioStep)
	s.points[route] = point
	return point
}

// retain drops the sequences of all routes that are not named. It asks for the names only if there are sequences.
func (s *routeSequences) retain(names func() map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.points) == 0 {
		return
	}
	named := names()
	for route := range s.points {
		if !named[route] {
			delete(s.points, route)
		}
	}
}

// chooseService returns the service for a request on a route, chosen by the weights of the route's targets.
func (p *Proxy) chooseService(route *routing.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	return route.ChooseTarget(p.routeSequences.next(route.Name)).Service
}
