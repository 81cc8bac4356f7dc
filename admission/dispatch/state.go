package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"emberquay/admission"
)

// State of requests, endpoints and services. This file makes no decisions.

// Dispatcher makes the dispatch decisions of one proxy. It is not safe for concurrent use.
type Dispatcher struct {
	now            Instant
	zone           string
	random         admission.PCG
	services       map[string]*service
	endpoints      map[InstanceID]*endpoint
	requests       map[RequestID]*request
	estimates      map[callClass]*callEstimate
	activePrograms programSet
	submitted      uint64
	scheduledWake  Instant // requested and not yet reached; 0: none
	nextWake       Instant // earliest one found in this event
	stopAt         Instant // end of the process; 0: none set

	// Reused between events to avoid allocations.
	effects         Effects
	free            []*endpoint
	costs           []float64
	meanLoad        float64 // of the free endpoints of the present choice
	assumedLoad     float64 // of endpoints without a fresh report
	spareRequests   []*request
	defaultEstimate callEstimate
}

// request is a request that has not ended, or whose call has not.
type request struct {
	Request
	class        callClass
	seq          uint64 // order of submission
	promptTokens int
	programKey   uint64    // hash of the program's name; 0: no program
	home         *endpoint // where the program's prompts are assumed to be cached; nil: nowhere
	submittedAt  Instant
	expiresAt    Instant // earliest of deadline, timeout and end of the process
	mayWaitUntil Instant // limit set by the latency objective

	endpoint             *endpoint // of the call in flight; nil: none
	sentAt               Instant
	overdueAt            Instant // when the response to the call in flight should have started
	attempt              int
	pendingPrefillTokens int          // prompt tokens that the receiver has yet to read
	minUncachedTokens    float64      // prompt tokens to be read by the free endpoint that has most of them cached
	notRunCalls          int          // calls that provably did not run
	ranOn                []InstanceID // receivers that may have run it
	lastFailedOn         InstanceID   // the last receiver with an outcome other than Full

	mayHaveRun      bool
	failureStatus   int  // for the last call that may have run and failed
	responseStarted bool // part of a response has gone to the client
	cancelled       bool // the client no longer waits
	startCounted    bool // its start has been counted as late or in time
	placement       placement
}

// maxSpareRequests bounds the request records kept for reuse.
const maxSpareRequests = 256

// service holds the endpoints of one service and the queue of its requests, in order of submission.
type service struct {
	name               string
	endpoints          []*endpoint
	queue              []*request
	inFlight           int     // calls
	meanDuration       float64 // of a call of any size, in nanoseconds
	meanUncachedTokens float64 // prompt tokens of a call that no receiver has cached

	admit admitShares
}

// endpoint is what this proxy knows of one receiver endpoint, and its calls in flight there.
type endpoint struct {
	Receiver
	idHash               uint64 // hash of the instance id
	probed               bool   // responded since it was new, blocked or in backoff; until then one call at a time
	misdirected          bool   // another instance answers at its address: no calls until its address changes
	window               admission.ConcurrencyWindow
	blockedUntil         Instant // end of the Retry-After of a rejection
	rejectionCountedAt   Instant // when a rejection last reduced the window; those of earlier calls are not counted
	backoffUntil         Instant // after failures
	consecutiveFailures  int
	lastResponse         Instant            // when a response last started or a rejection came
	errors               admission.Fraction // share of recent calls that failed, as of errorsAt
	errorsAt             Instant
	relativeDuration     float64 // of its calls, as a multiple of the expected duration; 0: unknown
	inFlight             []*request
	pendingPrefillTokens int // of calls in flight without a response
	reported             reportedState
	prefixes             prefixCache
}

// reportedState is the newest report and the changes by this proxy's calls since the time that it describes.
type reportedState struct {
	Report
	valid         bool
	measuredAt    Instant // the time that the report describes
	sentSince     int     // calls sent since that are in flight
	endedSince    int     // calls that were in flight then and have ended
	recentlyEnded []endedCall
}

type endedCall struct{ sent, ended Instant }

func newEndpoint(r Receiver) *endpoint {
	return &endpoint{Receiver: r, idHash: xxhash.Sum64String(string(r.ID)), window: admission.ConcurrencyWindow(max(1, r.Slots))}
}

// updateListing applies a new list entry of the receiver.
func (e *endpoint) updateListing(r Receiver) {
	if r.Address != e.Address {
		e.misdirected = false
	}
	if r.Slots > e.Slots {
		e.window = admission.ConcurrencyWindow(r.Slots)
	}
	e.Receiver = r
}

func (d *Dispatcher) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{name: name, admit: newAdmitShares()}
		d.services[name] = s
	}
	return s
}

// enqueue inserts a request by order of submission: a request that is retried goes before later ones.
func (s *service) enqueue(q *request) {
	bySeq := func(other *request, seq uint64) int { return cmp.Compare(other.seq, seq) }
	i, _ := slices.BinarySearchFunc(s.queue, q.seq, bySeq)
	s.queue = slices.Insert(s.queue, i, q)
}

func (s *service) removeQueued(q *request) {
	if i := slices.Index(s.queue, q); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// takeSpareRequest returns a request record, a spare one if there is any.
func (d *Dispatcher) takeSpareRequest() *request {
	n := len(d.spareRequests)
	if n == 0 {
		return &request{}
	}
	q := d.spareRequests[n-1]
	d.spareRequests = d.spareRequests[:n-1]
	return q
}

// removeRequest forgets a request that has ended and has no call in flight.
func (d *Dispatcher) removeRequest(q *request) {
	delete(d.requests, q.ID)
	if len(d.spareRequests) < maxSpareRequests {
		clear(q.ranOn[:cap(q.ranOn)])
		*q = request{ranOn: q.ranOn[:0]}
		d.spareRequests = append(d.spareRequests, q)
	}
}
