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
	to    *receiver
	sent  Time
	idle  Time    // for how long its connection had been idle; 0: it was new
	texts []*text // not yet answered
	heard bool    // an outcome of it has been learned from
}

type submit struct {
	no   int
	call *call
}

// What lasts for one text.

type text struct {
	id         string
	seq        int64 // order of arrival
	product    *product
	dest       *destination
	key        string
	validUntil Time
	wantedBy   Time
	submits    int
	mayHaveRun bool
	ranSince   Time         // when the first submit that may have run was sent
	ranZone    string       // and the zone it went to
	out        *submit      // at most one
	next       func(Result) // what to do with the result of the step under way
	within     float64      // how much of its revenue counts, by its brand's share
	over       bool         // has its final answer, or is wanted no more
	owed       bool         // taken on before this process started
}

// What lasts for one receiver, one limit, one destination.

type receiver struct {
	id      ReceiverID
	dest    *destination
	bucket  *bucket
	kind    string
	rank    float64 // drawn: this sender's own order among equals
	apart   bool    // a route of its own
	bundle  int     // texts in one call at most
	zone    string
	rate    float64
	fee     float64 // of a route apart, by its zone
	listing ReceiverState
	left    Time    // when the list named it no more; 0 if it does
	calls   []*call // out, oldest first

	crowds      int     // connections refused there since its last delivery
	connected   bool    // a connection may be open
	idleSince   Time    // when its last call ended
	swallowed   Time    // an idle connection, for so long, gave no answer to what was sent on it; 0: none
	pace        float64 // of an answered call, tenths
	answered    Time    // last sign of life
	used        Time
	fails       int     // in a row
	merit       float64 // of the receiver for the text that is to go
	ill         float64 // share of late calls that failed
	failedSince Time    // the first of them
	restUntil   Time
	cold        Time    // when it was last seen to come back; 0 if warm
	weighed     []Time  // calls sent there within the window of the budget
	drawAt      Time    // when the fraction of a call in the budget is drawn anew
	draw        float64 // the draw
}

type bucket struct {
	key          bucketKey
	known        bool // an answer has come
	limit        float64
	share        float64 // as last reported
	left         float64 // calls, by that report and what was sent since
	fullAt       Time    // when the last of them was counted
	fulls        int     // refusals since the last delivery
	strain       float64 // share of late calls that were refused
	flight       int
	window       admission.ConcurrencyWindow // calls that have been found bearable at once
	refusedSince Time                        // first refusal for another reason than the limit with no delivery after it; 0 if none
	refusedAt    Time                        // the last such
	refusedFree  Time                        // the last refusal with the allowance untouched and no delivery after it
	waitUntil    Time                        // told
	heldUntil    Time                        // by the allowance
	used         int64
}

type bucketKey struct {
	dest  int64
	route ReceiverID // 0 where receivers share one limit
}

type destination struct {
	id        int64
	no        int // by first mention
	receivers []*receiver
	queue     []*text // held, in order of arrival
	flight    int
	busy      bool    // stands in Sender.busy
	arrived   float64 // texts handed in for it
	pace      float64
	through   admission.DecayingCount // texts that got through of late
}

// What lasts as long as the instance.

type product struct {
	name     string
	value    float64
	sla      Time
	validity Time
	repeat   string
	window   Time
	zoned    bool // repeats are known only within one zone
	inOrder  bool
	pace     float64
	lateKeep float64
}

type brand struct {
	part float64 // this sender's even part of its share, texts a second
	sent admission.DecayingCount
}

type keyLine struct {
	texts     []*text // unfinished, in the order they were taken
	restUntil Time
	untold    int // ends that are on their way to the platform
}

// NoticePending: a text of the key has an end that the platform has yet to hear; until Told, nothing of the key may go.
func (s *Sender) NoticePending(key string) { s.line(key).untold++ }

// NoticeDelivered: it has heard.
func (s *Sender) NoticeDelivered(key string) {
	s.line(key).untold--
	s.forgetKeys()
}

func (s *Sender) line(key string) *keyLine {
	if s.keys[key] == nil {
		s.keys[key] = &keyLine{}
	}
	return s.keys[key]
}

// forgetKeys drops the keys of which nothing is owed and whose rest is over.
func (s *Sender) forgetKeys() {
	maps.DeleteFunc(s.keys, func(_ string, k *keyLine) bool {
		return len(k.texts)+k.untold == 0 && s.now >= k.restUntil
	})
}

// Sender is one instance of the module.
type Sender struct {
	out             Actions
	set             Settings
	now             Time
	began           Time // when it was first told the time
	chance          admission.PCG
	products        map[string]*product
	texts           map[string]*text
	keys            map[string]*keyLine
	receivers       map[ReceiverID]*receiver
	buckets         map[bucketKey]*bucket
	destinations    map[int64]*destination
	brands          map[string]*brand
	crowded         map[string]bool // kinds of receivers of which one has refused a connection
	opened          map[string]int  // connections made to receivers of a kind
	gone            []*receiver     // not listed and not forgotten
	mentions        int             // of destinations, first ones
	busy            []*destination  // those with texts or calls, by first mention
	slots           int
	longestSLA      Time
	shortestSLA     Time
	strain          float64 // share of late calls that were refused, at all destinations
	meanValue       float64 // of late texts
	callsOut        int
	askAt           Time // when the list is asked next; 0: not drawn yet, or it comes by itself
	asks            int  // in a row in vain
	seq             int64
	processLateness Time // how much longer than usual a call may take by the caller's own doing
	stale           Time // idle connections have broken after as little; 0: none has
	staleAt         Time // the last time one did
	wakeAt          Time // earliest wake asked for and not come; 0 if none
	marks           int64
}

func (s *Sender) destination(id int64) *destination {
	if s.destinations[id] == nil {
		s.mentions++
		s.destinations[id] = &destination{id: id, no: s.mentions}
	}
	return s.destinations[id]
}

// attend has a destination walked at each Settle, until there is nothing to be done for it.
func (s *Sender) attend(d *destination) {
	if !d.busy {
		d.busy = true
		at, _ := slices.BinarySearchFunc(s.busy, d.no, func(o *destination, no int) int { return o.no - no })
		s.busy = slices.Insert(s.busy, at, d)
	}
}

func newState(seed uint64, set Settings, out Actions) *Sender {
	return &Sender{
		out: out, set: set, chance: admission.NewPCG(seed),
		products: map[string]*product{}, texts: map[string]*text{}, keys: map[string]*keyLine{},
		receivers: map[ReceiverID]*receiver{}, buckets: map[bucketKey]*bucket{},
		destinations: map[int64]*destination{},
		crowded:      map[string]bool{}, brands: map[string]*brand{}, opened: map[string]int{},
	}
}

// recent counts the calls to a receiver within the window of the budget.
func (s *Sender) recent(r *receiver) int {
	from := s.now - s.span("Contract.FallUs", 2*Second)
	r.weighed = slices.DeleteFunc(r.weighed, func(at Time) bool { return at <= from })
	return len(r.weighed)
}

// SetProcessLateness tells how much longer than usual a call may take because the caller's own process gets its processor late; 0
// until it is told, and where the caller's clock is not that of a machine.
func (s *Sender) SetProcessLateness(by Time) { s.processLateness = by }

// HandlePeerNote takes a note of another sender. None is sent, so none is expected.
func (s *Sender) HandlePeerNote(int, []byte) {}

// UpdateReceivers takes news of the list; whole: what is not in it is gone.
func (s *Sender) UpdateReceivers(whole bool, entries []ReceiverEntry) {
	s.asks = 0
	if whole {
		for _, r := range s.receivers {
			r.listing = Removed
		}
	}
	for _, e := range entries {
		r := s.receivers[e.Receiver]
		if r == nil {
			if e.State == Removed {
				continue
			}
			r = &receiver{id: e.Receiver, dest: s.destination(e.Destination), kind: e.Kind, rank: s.chance.Float64(),
				apart: s.perKind("Specifics.RoutesApart", e.Kind) == "true"}
			r.bundle, _ = strconv.Atoi(s.perKind("Specifics.BundleMax", e.Kind))
			s.receivers[e.Receiver] = r
			byID := func(o *receiver, id ReceiverID) int { return cmp.Compare(o.id, id) }
			at, _ := slices.BinarySearchFunc(r.dest.receivers, r.id, byID)
			r.dest.receivers = slices.Insert(r.dest.receivers, at, r)
		}
		if e.State == Removed && r.listing != Removed {
			s.gone = append(s.gone, r)
		}
		r.listing, r.rate, r.zone = e.State, e.Rate, e.Zone
		if r.apart {
			r.fee, _ = strconv.ParseFloat(s.perName("Specifics.Carriage", "FailureDomains", r.zone), 64)
		}
	}
	if whole {
		s.gone = slices.Collect(maps.Values(s.receivers))
	}
	s.forget()
}

// hold puts a text in its destination's queue, by arrival: one that comes back stands at the head again.
func (s *Sender) hold(t *text) {
	bySeq := func(o *text, seq int64) int { return cmp.Compare(o.seq, seq) }
	i, _ := slices.BinarySearchFunc(t.dest.queue, t.seq, bySeq)
	t.dest.queue = slices.Insert(t.dest.queue, i, t)
	s.attend(t.dest)
}

// finish closes a text; while a submit of it is out it is remembered, so that its end can be told apart.
func (s *Sender) finish(t *text) {
	t.over = true
	t.dest.queue = slices.DeleteFunc(t.dest.queue, func(o *text) bool { return o == t })
	if t.out != nil {
		return
	}
	delete(s.texts, t.id)
	if k := s.keys[t.key]; k != nil && t.product.inOrder {
		k.texts = slices.DeleteFunc(k.texts, func(o *text) bool { return o == t })
		if len(k.texts) == 0 {
			s.forgetKeys()
		}
	}
}
