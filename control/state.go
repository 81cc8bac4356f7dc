package control

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"emberquay/admission"
)

// State per attempt.

// call is what a destination counts as one call: one attempt, or a bundle of attempts with one outcome.
type call struct {
	receiver   *receiver
	sentAt     Time
	connIdle   Time    // how long its connection had been idle; 0: a new connection
	unanswered []*text // those without a result yet
	recorded   bool    // its first result has been passed to recordOutcome
}

type attempt struct {
	number int
	call   *call
}

// State per text.

type text struct {
	id           string
	seq          int64 // order of arrival
	product      *product
	dest         *destination
	key          string
	validUntil   Time
	slaDeadline  Time
	attempts     int
	mayHaveRun   bool
	firstRunAt   Time         // when the first attempt that may have run was sent
	firstRunZone string       // the zone of that attempt
	current      *attempt     // in flight; nil: none
	onResult     func(Result) // handles the result of the current attempt
	revenueShare float64      // how much of its revenue counts, by its brand's quota
	finished     bool         // has its final answer or was withdrawn
	recovered    bool         // accepted before this process started
}

// State per receiver, rate limit and destination.

type receiver struct {
	id        ReceiverID
	dest      *destination
	bucket    *bucket
	kind      string
	tieBreak  float64 // random: this sender's own order among equal receivers
	ownLimit  bool    // its route has a rate limit of its own
	maxBundle int     // maximum number of texts in one call
	zone      string
	rate      float64
	routeFee  float64 // of a route with its own limit, by its zone
	state     ReceiverState
	removedAt Time    // 0 if it is listed
	calls     []*call // in flight, oldest first

	connRefusals   int     // since its last delivery
	connected      bool    // a connection may be open
	idleSince      Time    // when its last call ended
	unansweredIdle Time    // idle time of a connection that gave no response to the last call on it; 0: none
	callDuration   float64 // mean of answered calls, in ticks
	respondedAt    Time    // last response of any kind
	usedAt         Time
	failures       int     // consecutive
	netRevenue     float64 // for the text that is sent next
	failureShare   float64 // share of recent calls that failed
	failedSince    Time    // time of the first of these failures
	backoffUntil   Time
	recoveredAt    Time    // when it was last seen to recover; 0: never
	callTimes      []Time  // of calls sent within the window of the recovery budget
	redrawAt       Time    // when budgetDraw is drawn again
	budgetDraw     float64 // random; decides whether a fraction of a call in the budget allows one
}

type bucket struct {
	key               bucketKey
	responded         bool // at least one response has come
	limit             float64
	remainingShare    float64 // of the limit, as last reported
	remaining         float64 // calls: by that report, less those sent since
	countedAt         Time    // when the last refusal was counted
	refusals          int     // halved with each delivery
	refusalShare      float64 // share of recent calls that were refused
	inFlight          int
	window            admission.ConcurrencyWindow // learned limit of calls in flight
	refusedSince      Time                        // first refusal for another reason than the rate limit since the last delivery; 0 if none
	refusedAt         Time                        // last such refusal
	refusedBelowLimit Time                        // last refusal with unused allowance since the last delivery; 0 if none
	retryAfterUntil   Time                        // end of the Retry-After delay
	pausedUntil       Time                        // for want of allowance or after refusals
	usedSeq           int64                       // text.seq of the latest arrival at its last call
}

type bucketKey struct {
	dest     int64
	receiver ReceiverID // 0 if the receivers of the destination share one limit
}

type destination struct {
	id           int64
	index        int // in order of first use
	receivers    []*receiver
	queue        []*text // waiting, in order of arrival
	inFlight     int
	active       bool    // is in Sender.active
	arrivals     float64 // number of texts handed in for it
	callDuration float64
	deliveries   admission.DecayingCount // recently delivered texts
}

// State per instance.

type product struct {
	name         string
	value        float64
	sla          Time
	validity     Time
	repeatPolicy string
	repeatWindow Time
	zoneScoped   bool // repeats are recognized only within one zone
	inOrder      bool
	callDuration float64
	lateShare    float64
}

type brand struct {
	quotaPerS float64 // this sender's even part of its quota, in texts per second
	recent    admission.DecayingCount
}

type keyQueue struct {
	texts          []*text // unfinished, in order of arrival
	pausedUntil    Time
	pendingNotices int // notices of ended texts that the platform has not received yet
}

// NoticePending records that the platform has yet to be notified of the end of a text of the key. Until NoticeDelivered
// nothing of the key may be sent.
func (s *Sender) NoticePending(key string) { s.keyQueue(key).pendingNotices++ }

// NoticeDelivered records that the platform has been notified.
func (s *Sender) NoticeDelivered(key string) {
	s.keyQueue(key).pendingNotices--
	s.removeIdleKeys()
}

func (s *Sender) keyQueue(key string) *keyQueue {
	if s.keys[key] == nil {
		s.keys[key] = &keyQueue{}
	}
	return s.keys[key]
}

// removeIdleKeys drops the keys without texts or pending notices whose pause is over.
func (s *Sender) removeIdleKeys() {
	maps.DeleteFunc(s.keys, func(_ string, k *keyQueue) bool {
		return len(k.texts)+k.pendingNotices == 0 && s.now >= k.pausedUntil
	})
}

// Sender decides for one sender instance.
type Sender struct {
	actions          Actions
	settings         Settings
	now              Time
	startedAt        Time // time of the first SetTime
	rng              admission.PCG
	products         map[string]*product
	texts            map[string]*text
	keys             map[string]*keyQueue
	receivers        map[ReceiverID]*receiver
	buckets          map[bucketKey]*bucket
	destinations     map[int64]*destination
	brands           map[string]*brand
	connLimited      map[string]bool // kinds of receivers of which one has refused a connection for want of places
	connsOpened      map[string]int  // connections made to receivers of a kind
	removed          []*receiver     // no longer listed, not forgotten yet
	destinationsSeen int             // count of destinations, for destination.index
	active           []*destination  // those with texts, calls or connections to check, by index
	maxCalls         int
	longestSLA       Time
	shortestSLA      Time
	refusalShare     float64 // share of recent calls to all destinations that were refused
	meanValue        float64 // of recent texts
	callsInFlight    int
	watchAt          Time // when the list is next requested; 0: not drawn yet, or the list is pushed
	watchFailures    int  // consecutive
	lastSeq          int64
	processLateness  Time // see SetProcessLateness
	brokenIdle       Time // shortest trusted idle time after which a connection broke; 0: none broke
	brokenIdleAt     Time // when the last one broke
	wakeAt           Time // earliest wake requested that has not come; 0 if none
	lastMark         int64
}

func (s *Sender) destination(id int64) *destination {
	if s.destinations[id] == nil {
		s.destinationsSeen++
		s.destinations[id] = &destination{id: id, index: s.destinationsSeen}
	}
	return s.destinations[id]
}

// activate has Schedule visit a destination until there is nothing left to do for it.
func (s *Sender) activate(d *destination) {
	if !d.active {
		d.active = true
		index, _ := slices.BinarySearchFunc(s.active, d.index, func(o *destination, no int) int { return o.index - no })
		s.active = slices.Insert(s.active, index, d)
	}
}

func newSender(seed uint64, settings Settings, actions Actions) *Sender {
	return &Sender{
		actions: actions, settings: settings, rng: admission.NewPCG(seed),
		products: map[string]*product{}, texts: map[string]*text{}, keys: map[string]*keyQueue{},
		receivers: map[ReceiverID]*receiver{}, buckets: map[bucketKey]*bucket{},
		destinations: map[int64]*destination{},
		connLimited:  map[string]bool{}, brands: map[string]*brand{}, connsOpened: map[string]int{},
	}
}

// recentCalls returns the number of calls to a receiver within the window of the recovery budget.
func (s *Sender) recentCalls(r *receiver) int {
	windowStart := s.now - s.duration("Contract.FallUs", 2*Second)
	r.callTimes = slices.DeleteFunc(r.callTimes, func(at Time) bool { return at <= windowStart })
	return len(r.callTimes)
}

// SetProcessLateness sets how much longer than usual a call may take because the caller's own process is scheduled late.
// It is 0 until set, and where the caller's clock is simulated.
func (s *Sender) SetProcessLateness(by Time) { s.processLateness = by }

// HandlePeerNote ignores a broadcast of another sender: this package sends none.
func (s *Sender) HandlePeerNote(int, []byte) {}

// UpdateReceivers applies changes of the list; if complete, receivers that are not in entries are removed.
func (s *Sender) UpdateReceivers(complete bool, entries []ReceiverEntry) {
	s.watchFailures = 0
	if complete {
		for _, r := range s.receivers {
			r.state = Removed
		}
	}
	for _, e := range entries {
		r := s.receivers[e.Receiver]
		if r == nil {
			if e.State == Removed {
				continue
			}
			r = &receiver{id: e.Receiver, dest: s.destination(e.Destination), kind: e.Kind, tieBreak: s.rng.Float64(),
				ownLimit: s.kindValue("Specifics.RoutesApart", e.Kind) == "true"}
			r.maxBundle, _ = strconv.Atoi(s.kindValue("Specifics.BundleMax", e.Kind))
			s.receivers[e.Receiver] = r
			byID := func(o *receiver, id ReceiverID) int { return cmp.Compare(o.id, id) }
			index, _ := slices.BinarySearchFunc(r.dest.receivers, r.id, byID)
			r.dest.receivers = slices.Insert(r.dest.receivers, index, r)
		}
		if e.State == Removed && r.state != Removed {
			s.removed = append(s.removed, r)
		}
		r.state, r.rate, r.zone = e.State, e.Rate, e.Zone
		if r.ownLimit {
			r.routeFee, _ = strconv.ParseFloat(s.valueFor("Specifics.Carriage", "FailureDomains", r.zone), 64)
		}
	}
	if complete {
		s.removed = slices.Collect(maps.Values(s.receivers))
	}
	s.dropRemoved()
}

// enqueue adds a text to its destination's queue by order of arrival: one that is retried goes before later ones.
func (s *Sender) enqueue(t *text) {
	bySeq := func(o *text, seq int64) int { return cmp.Compare(o.seq, seq) }
	index, _ := slices.BinarySearchFunc(t.dest.queue, t.seq, bySeq)
	t.dest.queue = slices.Insert(t.dest.queue, index, t)
	s.activate(t.dest)
}

// finish ends a text; while an attempt of it is in flight it is kept, so that its result can be matched.
func (s *Sender) finish(t *text) {
	t.finished = true
	t.dest.queue = slices.DeleteFunc(t.dest.queue, func(o *text) bool { return o == t })
	if t.current != nil {
		return
	}
	delete(s.texts, t.id)
	if k := s.keys[t.key]; k != nil && t.product.inOrder {
		k.texts = slices.DeleteFunc(k.texts, func(o *text) bool { return o == t })
		if len(k.texts) == 0 {
			s.removeIdleKeys()
		}
	}
}
