// Package routing reads the operator's configuration: routes, services and limits.
//
//	snapshot, err := routing.Parse(body)
//	if err != nil {
//		return err // names the key, as in "routes[r-old].timeout_ms: must be above 0"
//	}
//	if route, ok := snapshot.Match(request.Host, request.URL.EscapedPath()); ok {
//		service := route.ChooseTarget(random.Float64()).Service
//	}
//
// A Snapshot is valid as a whole and does not change once it was parsed, so it may be read by any number of goroutines
// and is replaced whole. Keys that are not known are skipped, since the configuration may gain new ones.
package routing

import (
	"slices"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

const (
	// MaxBodyBytes bounds a configuration, so that a broken one cannot take the memory of a machine. A route takes under
	// 500 bytes: this holds over 16,000 of them.
	MaxBodyBytes = 8 << 20
	// maxDepth bounds how deep a configuration may nest: reading it takes stack for each level.
	maxDepth = 64
)

// Snapshot is one whole configuration.
type Snapshot struct {
	Version  uint64 // above 0
	Body     []byte // as it was sent; not to be changed
	Routes   []*Route
	Services map[string]*Service // by name
	Limits   Limits

	places     *iradix.Tree[*Route] // by place
	longestKey int                  // bytes of the longest place
}

// Kind says how often a request may run.
type Kind int

// The kinds of route.
const (
	Unsafe    Kind = iota // once at most
	Safe                  // more than once
	Streaming             // answered with a series of events; once at most, unless the route is resumable
)

// String gives the kind as route_type has it.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	}
	return "unsafe"
}

// Route says where the requests of a place go and how they are handled.
type Route struct {
	Name       string
	Authority  string // the host, as it was sent
	PathPrefix string // begins and ends with a slash
	Kind       Kind

	Timeout       time.Duration // above 0: the longest that a request is held
	TargetLatency time.Duration // within which an answer has its full worth; the time-out where none is given
	Priority      int           // 0 is the highest rank
	Targets       []Target      // at least one, each of a weight above 0
	MaxAttempts   int           // receivers that one try may be sent to; 1 at least

	Retained        bool          // turns are kept
	Retention       time.Duration // for how long
	SessionAffinity bool
	Resumable       bool          // a stream may be taken up at another receiver
	TargetEventGap  time.Duration // the longest pause between events; 0 where none is given
}

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  float64 // above 0; counts against the sum of the route's weights
}

// Service are receivers that do the same.
type Service struct {
	Name           string
	HealthPath     string  // empty where none is given
	MaxConnections int     // that one receiver takes from all callers together; 0 where none is given
	Engine         *Engine // nil unless the receivers run models
}

// Engine tells how the receivers of a service run models.
type Engine struct {
	Slots            int // requests in one batch
	KVCapacityTokens int // tokens that one receiver's memory holds
	KVTokenBytes     int // bytes of memory for one token
	ChunkTokens      int // tokens in one event; 1 at least
	Models           []string
}

// Limits bound what clients may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // for the whole head of a request to come
	IdleTimeout    time.Duration // between two requests of a connection
}

// defaultLimits stand for what a configuration does not hold.
var defaultLimits = Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// HasRoute says whether a route of that name is there.
func (s *Snapshot) HasRoute(name string) bool {
	return slices.ContainsFunc(s.Routes, func(r *Route) bool { return r.Name == name })
}

// ChooseTarget picks a target by weight. unit is drawn evenly from 0 up to, but not including, 1.
func (r *Route) ChooseTarget(unit float64) Target {
	var sum float64
	for _, target := range r.Targets {
		sum += target.Weight
	}
	left := unit * sum
	for _, target := range r.Targets {
		if left < target.Weight {
			return target
		}
		left -= target.Weight
	}
	return r.Targets[len(r.Targets)-1] // rounding left something over
}

// Repeatable says whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}
