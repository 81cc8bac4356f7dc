package proxy

import (
	"math"
	"math/rand/v2"
	"sync"

	"emberquay/internal/tier/routing"
)

// goldenRatioStep is the step of the additive sequence with the least discrepancy: after any number of steps the points lie
// about evenly (Knuth, The Art of Computer Programming, volume 3, 6.4).
const goldenRatioStep = 0.6180339887498949

// routeSequences gives each route points in [0, 1) that lie evenly over any stretch, so that the parts of a route get their shares
// also of few requests; drawn each for itself, shares would stray by the square root of the number. Each route begins at a
// point of this proxy's own, so that proxies do not follow one another.
type routeSequences struct {
	mu     sync.Mutex
	random *rand.Rand
	points map[string]float64 // by route, the latest
}

func newRouteSequences(seed uint64) *routeSequences {
	return &routeSequences{random: rand.New(rand.NewPCG(seed, 0)), points: make(map[string]float64)}
}

// next gives the route's next point.
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

// retain forgets all routes but those that are named.
func (s *routeSequences) retain(isNamed func(route string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for route := range s.points {
		if !isNamed(route) {
			delete(s.points, route)
		}
	}
}

// chooseService picks the service for a request on a route, by the weights of its targets.
func (p *Proxy) chooseService(route *routing.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	return route.Choose(p.routeSequences.next(route.Name)).Service
}
