package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"emberquay/admission"
)

// What is kept of requests, receivers and services. Nothing is decided here.

// Dispatcher holds the decisions of one proxy. It belongs to one goroutine.
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
	scheduledWake  Instant // asked for and not come; 0: none
	nextWake       Instant // the earliest that this event found
	stopAt         Instant // the process ends; 0: it goes on

	// Kept between events, so that they need not be made anew.
	effects         Effects
	free            []*endpoint
	costs           []float64
	meanLoad        float64 // of the receivers among which one is chosen
	assumedLoad     float64 // of the service's receivers that reports tell of
	spareRequests   []*request
	defaultEstimate callEstimate
}

// request is a request that has no end yet, or whose call has none.
type request struct {
	Request
	class        callClass
	seq          uint64    // order of arrival
	promptTokens int       // tokens
	programKey   uint64    // hash of its program's name; 0: it has none
	home         *endpoint // where its program's prompts are looked for when this sender has not sent them; nil: nowhere
	submittedAt  Instant
	expiresAt    Instant // the deadline, or the route's timeout
	mayWaitUntil Instant // what the objective bears

	endpoint             *endpoint // where a call is out; nil: none is
	sentAt               Instant
	overdueAt            Instant // by when the answer to the call that is out should have begun
	attempt              int
	pendingPrefillTokens int          // prompt tokens that its receiver has yet to read
	minUncachedTokens    float64      // prompt tokens that the free receiver which keeps most would have to read
	notRunCalls          int          // calls of it that were proven not run
	ranOn                []InstanceID // receivers that may have run it
	lastFailedOn         InstanceID   // the last that failed it

	mayHaveRun      bool
	failureStatus   int  // the status that tells how the last call that may have run failed
	responseStarted bool // part of an answer has gone to the client
	cancelled       bool // nobody waits for it any more
	startCounted    bool // whether its answer began in time has been counted
	placement       placement
}

// maxSpareRequests bounds the request records that are kept for reuse.
const maxSpareRequests = 256

// service is the receivers of one service and what is held for them, in order of arrival.
type service struct {
	name               string
	endpoints          []*endpoint
	queue              []*request
	inFlight           int     // calls out
	meanDuration       float64 // a usual call, any size
	meanUncachedTokens float64 // prompt tokens of a usual call that no receiver keeps

	admit admitShares
}

// endpoint is what this sender knows of one receiver endpoint, and what it has out there.
type endpoint struct {
	Receiver
	idHash               uint64 // hash of its id
	probed               bool   // a call was answered since the bucket was new, waited or rested; until then one call is out
	misdirected          bool   // another instance answered at its address: nothing until the list says otherwise
	window               admission.Window
	blockedUntil         Instant         // told with a refusal
	rejectionCountedAt   Instant         // when a refusal was last counted; those refused together count once
	backoffUntil         Instant         // after failures
	consecutiveFailures  int             // in a row
	lastResponse         Instant         // last sign of life
	errors               admission.Share // of late calls that failed, as of illAt
	errorsAt             Instant
	relativeDuration     float64 // how long its calls take against usual ones; 0: not known
	inFlight             []*request
	pendingPrefillTokens int // prompt tokens of calls out that have not begun to answer
	reported             reportedState
	prefixes             prefixCache
}

// reportedState is the newest report, and what own calls have changed since the moment it speaks of.
type reportedState struct {
	Report
	valid         bool
	measuredAt    Instant // the moment that it speaks of
	sentSince     int     // own calls sent after it that are out
	endedSince    int     // own calls that were out then and have ended
	recentlyEnded []endedCall
}

type endedCall struct{ sent, ended Instant }

func newEndpoint(r Receiver) *endpoint {
	return &endpoint{Receiver: r, idHash: xxhash.Sum64String(string(r.ID)), window: admission.Window(max(1, r.Slots))}
}

// updateListing takes what the list says of the receiver now.
func (e *endpoint) updateListing(r Receiver) {
	if r.Address != e.Address {
		e.misdirected = false
	}
	if r.Slots > e.Slots {
		e.window = admission.Window(r.Slots)
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

// enqueue puts a request in its place by arrival: one that comes back stands at the head again.
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

// takeSpareRequest gives a record for a request, an old one if there is any.
func (d *Dispatcher) takeSpareRequest() *request {
	n := len(d.spareRequests)
	if n == 0 {
		return &request{}
	}
	q := d.spareRequests[n-1]
	d.spareRequests = d.spareRequests[:n-1]
	return q
}

// removeRequest drops a request that has its end and no call out.
func (d *Dispatcher) removeRequest(q *request) {
	delete(d.requests, q.ID)
	if len(d.spareRequests) < maxSpareRequests {
		clear(q.ranOn[:cap(q.ranOn)])
		*q = request{ranOn: q.ranOn[:0]}
		d.spareRequests = append(d.spareRequests, q)
	}
}
