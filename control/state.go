package control

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"emberquay/admission"
)

// What lasts for one submit.

// call is what a destination counts as one call: one submit, or a bundle of them with one fate.
type call struct {
	receiver   *receiver
	sentAt     Time
	connIdle   Time    // for how long its connection had been idle; 0: it was new
	unanswered []*text // not yet answered
	recorded   bool    // an outcome of it has been learned from
}

type attempt struct {
	number int
	call   *call
}

// What lasts for one text.

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
	firstRunAt   Time         // when the first submit that may have run was sent
	firstRunZone string       // and the zone it went to
	current      *attempt     // at most one
	onResult     func(Result) // what to do with the result of the step under way
	revenueShare float64      // how much of its revenue counts, by its brand's share
	finished     bool         // has its final answer, or is wanted no more
	recovered    bool         // taken on before this process started
}

// What lasts for one receiver, one limit, one destination.

type receiver struct {
	id        ReceiverID
	dest      *destination
	bucket    *bucket
	kind      string
	tieBreak  float64 // drawn: this sender's own order among equals
	ownLimit  bool    // a route of its own
	maxBundle int     // texts in one call at most
	zone      string
	rate      float64
	routeFee  float64 // of a route apart, by its zone
	state     ReceiverState
	removedAt Time    // when the list named it no more; 0 if it does
	calls     []*call // out, oldest first

	connRefusals   int     // connections refused there since its last delivery
	connected      bool    // a connection may be open
	idleSince      Time    // when its last call ended
	unansweredIdle Time    // an idle connection, for so long, gave no answer to what was sent on it; 0: none
	callDuration   float64 // of an answered call, tenths
	respondedAt    Time    // last sign of life
	usedAt         Time
	failures       int     // in a row
	netRevenue     float64 // of the receiver for the text that is to go
	failureShare   float64 // share of late calls that failed
	failedSince    Time    // the first of them
	backoffUntil   Time
	recoveredAt    Time    // when it was last seen to come back; 0 if warm
	callTimes      []Time  // calls sent there within the window of the budget
	redrawAt       Time    // when the fraction of a call in the budget is drawn anew
	budgetDraw     float64 // the draw
}

type bucket struct {
	key               bucketKey
	responded         bool // an answer has come
	limit             float64
	remainingShare    float64 // as last reported
	remaining         float64 // calls, by that report and what was sent since
	countedAt         Time    // when the last of them was counted
	refusals          int     // refusals since the last delivery
	refusalShare      float64 // share of late calls that were refused
	inFlight          int
	window            admission.ConcurrencyWindow // calls that have been found bearable at once
	refusedSince      Time                        // first refusal for another reason than the limit with no delivery after it; 0 if none
	refusedAt         Time                        // the last such
	refusedBelowLimit Time                        // the last refusal with the allowance untouched and no delivery after it
	retryAfterUntil   Time                        // told
	pausedUntil       Time                        // by the allowance
	usedSeq           int64
}

type bucketKey struct {
	dest     int64
	receiver ReceiverID // 0 where receivers share one limit
}

type destination struct {
	id           int64
	index        int // by first mention
	receivers    []*receiver
	queue        []*text // held, in order of arrival
	inFlight     int
	active       bool    // stands in Sender.busy
	arrivals     float64 // texts handed in for it
	callDuration float64
	deliveries   admission.DecayingCount // texts that got through of late
}

// What lasts as long as the instance.

type product struct {
	name         string
	value        float64
	sla          Time
	validity     Time
	repeatPolicy string
	repeatWindow Time
	zoneScoped   bool // repeats are known only within one zone
	inOrder      bool
	callDuration float64
	lateShare    float64
}

type brand struct {
	quotaPerS float64 // this sender's even part of its share, texts a second
	recent    admission.DecayingCount
}

type keyQueue struct {
	texts          []*text // unfinished, in the order they were taken
	pausedUntil    Time
	pendingNotices int // ends that are on their way to the platform
}

// NoticePending: a text of the key has an end that the platform has yet to hear; until Told, nothing of the key may go.
func (s *Sender) NoticePending(key string) { s.keyQueue(key).pendingNotices++ }

// NoticeDelivered: it has heard.
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

// removeIdleKeys drops the keys of which nothing is owed and whose rest is over.
func (s *Sender) removeIdleKeys() {
	maps.DeleteFunc(s.keys, func(_ string, k *keyQueue) bool {
		return len(k.texts)+k.pendingNotices == 0 && s.now >= k.pausedUntil
	})
}

// Sender is one instance of the module.
type Sender struct {
	actions          Actions
	settings         Settings
	now              Time
	startedAt        Time // when it was first told the time
	rng              admission.PCG
	products         map[string]*product
	texts            map[string]*text
	keys             map[string]*keyQueue
	receivers        map[ReceiverID]*receiver
	buckets          map[bucketKey]*bucket
	destinations     map[int64]*destination
	brands           map[string]*brand
	connLimited      map[string]bool // kinds of receivers of which one has refused a connection
	connsOpened      map[string]int  // connections made to receivers of a kind
	removed          []*receiver     // not listed and not forgotten
	destinationsSeen int             // of destinations, first ones
	active           []*destination  // those with texts or calls, by first mention
	maxCalls         int
	longestSLA       Time
	shortestSLA      Time
	refusalShare     float64 // share of late calls that were refused, at all destinations
	meanValue        float64 // of late texts
	callsInFlight    int
	watchAt          Time // when the list is asked next; 0: not drawn yet, or it comes by itself
	watchFailures    int  // in a row in vain
	lastSeq          int64
	processLateness  Time // how much longer than usual a call may take by the caller's own doing
	brokenIdle       Time // idle connections have broken after as little; 0: none has
	brokenIdleAt     Time // the last time one did
	wakeAt           Time // earliest wake asked for and not come; 0 if none
	lastMark         int64
}

func (s *Sender) destination(id int64) *destination {
	if s.destinations[id] == nil {
		s.destinationsSeen++
		s.destinations[id] = &destination{id: id, index: s.destinationsSeen}
	}
	return s.destinations[id]
}

// activate has a destination walked at each Settle, until there is nothing to be done for it.
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

// recentCalls counts the calls to a receiver within the window of the budget.
func (s *Sender) recentCalls(r *receiver) int {
	windowStart := s.now - s.duration("Contract.FallUs", 2*Second)
	r.callTimes = slices.DeleteFunc(r.callTimes, func(at Time) bool { return at <= windowStart })
	return len(r.callTimes)
}

// SetProcessLateness tells how much longer than usual a call may take because the caller's own process gets its processor late; 0
// until it is told, and where the caller's clock is not that of a machine.
func (s *Sender) SetProcessLateness(by Time) { s.processLateness = by }

// HandlePeerNote takes a note of another sender. None is sent, so none is expected.
func (s *Sender) HandlePeerNote(int, []byte) {}

// UpdateReceivers takes news of the list; whole: what is not in it is gone.
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

// enqueue puts a text in its destination's queue, by arrival: one that comes back stands at the head again.
func (s *Sender) enqueue(t *text) {
	bySeq := func(o *text, seq int64) int { return cmp.Compare(o.seq, seq) }
	index, _ := slices.BinarySearchFunc(t.dest.queue, t.seq, bySeq)
	t.dest.queue = slices.Insert(t.dest.queue, index, t)
	s.activate(t.dest)
}

// finish closes a text; while a submit of it is out it is remembered, so that its end can be told apart.
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
