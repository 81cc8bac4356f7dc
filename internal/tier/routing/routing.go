// Package routing reads the operator's configuration: routes, services and limits.
//
//	snapshot, err := routing.Parse(body)
//	if err != nil {
//		return err // names the key, as in "routes[r-old].timeout_ms: must be above 0"
//	}
//	if route, ok := snapshot.Match(request.Host, request.URL.EscapedPath()); ok {
//		service := route.ChooseTarget(random.Float64()).Service
//	}
//	next, err := routing.ParseAfter(snapshot, nextBody) // shares the unchanged routes
//
// A Snapshot is fully validated and immutable, so any number of goroutines may read it; a new configuration replaces it
// as a whole. Unknown keys are ignored, since the configuration may gain new ones.
package routing

import (
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

const (
	// MaxBodyBytes limits the size of a configuration, so that a broken one cannot exhaust a machine's memory. A route
	// takes less than 500 bytes, so the limit admits over 16,000 routes.
	MaxBodyBytes = 8 << 20
	// maxDepth limits the nesting of a configuration, since the parser uses stack for each level.
	maxDepth = 64
)

// Snapshot is one complete configuration.
type Snapshot struct {
	Version  uint64 // above 0
	Body     []byte // as it was sent; must not be modified
	Routes   []*Route
	Services map[string]*Service // by name
	Limits   Limits

	routeTree       *iradix.Tree[*Route] // by Route.key
	longestKeyBytes int                  // at least the length of the longest Route.key
	source          sourceText
}

// Kind determines how often a request of a route may run.
type Kind int

// The kinds of route; the route_type of the configuration names them.
const (
	Unsafe    Kind = iota // at most once
	Safe                  // more than once
	Streaming             // answered with a stream of events; at most once, unless the route is resumable
)

// String returns the kind as route_type names it.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	}
	return "unsafe"
}

// Route determines where the requests for a host and path prefix are sent and how they are handled.
type Route struct {
	Name       string
	Authority  string // the host, as it was sent
	PathPrefix string // begins and ends with a slash
	Kind       Kind

	Timeout       time.Duration // above 0: the longest time for which a request is held
	TargetLatency time.Duration // within which a response has its full value; Timeout where none is given
	Priority      int           // 0 is the highest
	Targets       []Target      // at least one, each with a weight above 0
	MaxAttempts   int           // receivers that one try may be sent to; at least 1

	Retained        bool          // turns are kept
	Retention       time.Duration // how long turns are kept
	SessionAffinity bool
	Resumable       bool          // a stream may be resumed at another receiver
	TargetEventGap  time.Duration // the longest acceptable time between two events; 0 where none is given
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  float64 // above 0; relative to the sum of the route's weights
}

// Service is a group of interchangeable receivers.
type Service struct {
	Name           string
	HealthPath     string  // empty where none is given
	MaxConnections int     // to one receiver from all callers together; 0 where none is given
	Engine         *Engine // nil unless the receivers run models
}

// Engine describes how the receivers of a service run models.
type Engine struct {
	Slots            int // requests in one batch of a receiver
	KVCapacityTokens int // tokens that fit in one receiver's KV cache
	KVTokenBytes     int // memory of one token in the KV cache
	ChunkTokens      int // tokens in one event; at least 1
	Models           []string
}

// Limits are the limits on requests and connections of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // for a complete request header to arrive
	IdleTimeout    time.Duration // between two requests on a connection
}

// defaultLimits are used for the limits that a configuration does not set.
var defaultLimits = Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// RouteNames returns the set of the names of all routes.
func (s *Snapshot) RouteNames() map[string]bool {
	names := make(map[string]bool, len(s.Routes))
	for _, route := range s.Routes {
		names[route.Name] = true
	}
	return names
}

// ChooseTarget selects a target by weight. unit is uniformly distributed in [0, 1).
func (r *Route) ChooseTarget(unit float64) Target {
	var sum float64
	for _, target := range r.Targets {
		sum += target.Weight
	}
	rest := unit * sum
	for _, target := range r.Targets {
		if rest < target.Weight {
			return target
		}
		rest -= target.Weight
	}
	return r.Targets[len(r.Targets)-1] // reached when rounding leaves a rest
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}
