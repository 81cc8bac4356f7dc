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
	now      Instant
	zone     string
	chance   admission.PCG
	services map[string]*service
	buckets  map[InstanceID]*bucket
	requests map[RequestID]*request
	usuals   map[usualKey]*usual
	underWay programSet
	arrivals uint64
	wakeAt   Instant // asked for and not come; 0: none
	wake     Instant // the earliest that this event found
	endBy    Instant // the process ends; 0: it goes on

	// Kept between events, so that they need not be made anew.
	effects   Effects
	free      []*bucket
	costs     []float64
	meanLoad  float64 // of the receivers among which one is chosen
	usualLoad float64 // of the service's receivers that reports tell of
	spare     []*request
	guess     usual
}

// request is a request that has no end yet, or whose call has none.
type request struct {
	Request
	usualKey     usualKey
	seq          uint64  // order of arrival
	prompt       int     // tokens
	programKey   uint64  // hash of its program's name; 0: it has none
	home         *bucket // where its program's prompts are looked for when this sender has not sent them; nil: nowhere
	arrived      Instant
	end          Instant // the deadline, or the route's timeout
	mayWaitUntil Instant // what the objective bears

	to       *bucket // where a call is out; nil: none is
	sent     Instant
	overdue  Instant // by when the answer to the call that is out should have begun
	attempt  int
	unread   int          // prompt tokens that its receiver has yet to read
	least    float64      // prompt tokens that the free receiver which keeps most would have to read
	unrun    int          // calls of it that were proven not run
	ran      []InstanceID // receivers that may have run it
	failedAt InstanceID   // the last that failed it

	mayHaveRun bool
	failure    int  // the status that tells how the last call that may have run failed
	started    bool // part of an answer has gone to the client
	over       bool // nobody waits for it any more
	judged     bool // whether its answer began in time has been counted
	placed     placement
}

// spareRequests bounds the request records that are kept for reuse.
const spareRequests = 256

// service is the receivers of one service and what is held for them, in order of arrival.
type service struct {
	name    string
	buckets []*bucket
	queue   []*request
	out     int     // calls out
	took    float64 // a usual call, any size
	fresh   float64 // prompt tokens of a usual call that no receiver keeps

	admit admitShares
}

// bucket is what this sender knows of one receiver endpoint, and what it has out there.
type bucket struct {
	Receiver
	key       uint64 // hash of its id
	known     bool   // a call was answered since the bucket was new, waited or rested; until then one call is out
	elsewhere bool   // another instance answered at its address: nothing until the list says otherwise
	window    admission.Window
	waitUntil Instant         // told with a refusal
	fullAt    Instant         // when a refusal was last counted; those refused together count once
	restUntil Instant         // after failures
	fails     int             // in a row
	answered  Instant         // last sign of life
	ill       admission.Share // of late calls that failed, as of illAt
	illAt     Instant
	slowness  float64 // how long its calls take against usual ones; 0: not known
	out       []*request
	unread    int // prompt tokens of calls out that have not begun to answer
	reading   reading
	parts     prefixCache
}

// reading is the newest report, and what own calls have changed since the moment it speaks of.
type reading struct {
	Report
	told     bool
	at       Instant // the moment that it speaks of
	since    int     // own calls sent after it that are out
	returned int     // own calls that were out then and have ended
	ended    []endedCall
}

type endedCall struct{ sent, ended Instant }

func newBucket(r Receiver) *bucket {
	return &bucket{Receiver: r, key: xxhash.Sum64String(string(r.ID)), window: admission.Window(max(1, r.Slots))}
}

// list takes what the list says of the receiver now.
func (b *bucket) list(r Receiver) {
	if r.Address != b.Address {
		b.elsewhere = false
	}
	if r.Slots > b.Slots {
		b.window = admission.Window(r.Slots)
	}
	b.Receiver = r
}

func (d *Dispatcher) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{name: name, admit: newAdmitShares()}
		d.services[name] = s
	}
	return s
}

// hold puts a request in its place by arrival: one that comes back stands at the head again.
func (s *service) hold(q *request) {
	bySeq := func(o *request, seq uint64) int { return cmp.Compare(o.seq, seq) }
	i, _ := slices.BinarySearchFunc(s.queue, q.seq, bySeq)
	s.queue = slices.Insert(s.queue, i, q)
}

func (s *service) unhold(q *request) {
	if i := slices.Index(s.queue, q); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// record gives a record for a request, an old one if there is any.
func (d *Dispatcher) record() *request {
	n := len(d.spare)
	if n == 0 {
		return &request{}
	}
	q := d.spare[n-1]
	d.spare = d.spare[:n-1]
	return q
}

// forget drops a request that has its end and no call out.
func (d *Dispatcher) forget(q *request) {
	delete(d.requests, q.ID)
	if len(d.spare) < spareRequests {
		clear(q.ran[:cap(q.ran)])
		*q = request{ran: q.ran[:0]}
		d.spare = append(d.spare, q)
	}
}
