package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// CompareInterval is how often a digest is compared with one peer.
	CompareInterval = 400 * time.Millisecond
	// batchDelay is how long news waits for more, to go in one message.
	batchDelay = 10 * time.Millisecond
	// ageInterval is how often entries with a lifetime are looked at.
	ageInterval = time.Second
	// largeValue is from how many bytes on a value is offered instead of pushed.
	largeValue = 2 << 10
	// manyRepaired is from how many entries on those that a comparison brought are offered instead of pushed:
	// most peers have them already.
	manyRepaired = 16
	// maxHot bounds the news that waits to be pushed; what is over it is left to the comparisons.
	maxHot = 8 << 10
	// maxPush bounds the bytes of values in one message, and maxVersions the versions; one entry always fits.
	maxPush     = 256 << 10
	maxVersions = 2000
)

// Options of a Spreader.
type Options struct {
	Self         string // id of this node
	Zone         string
	Kinds        []Kind
	FirstCompare time.Time // when the first comparison is due
}

// hotEntry is news that waits to be pushed.
type hotEntry struct {
	key      string
	holder   string // the peer that sent it, or empty if it is from here
	repaired bool   // a comparison brought it
}

// Disseminator holds the table of a node and decides what is sent to whom.
type Disseminator struct {
	options  Options
	random   *rand.Rand
	table    *table
	contacts contacts
	wants    wants
	syncing  bool // what comparisons bring is not pushed on

	hot      []hotEntry
	hotIndex map[string]int // of a key in hot
	hotAt    time.Time      // when hot is due; zero if there is none
	ageAt    time.Time
	compares time.Time // when the next comparison is due

	effects Effects
}

// New makes a Spreader with an empty table. All its choices follow from the seed and its inputs.
func New(now time.Time, options Options, seed uint64) *Disseminator {
	random := rand.New(rand.NewPCG(seed, 0))
	return &Disseminator{
		options:  options,
		random:   random,
		table:    newTable(options.Kinds),
		contacts: contacts{self: options.Self, zone: options.Zone, random: random},
		wants:    wants{random: random, byKey: map[string]*want{}},
		hotIndex: map[string]int{},
		ageAt:    now.Add(ageInterval),
		compares: options.FirstCompare,
	}
}

// SetPeers replaces the peers that take part, this node not among them. The slice must not be changed after.
func (s *Disseminator) SetPeers(now time.Time, peers []Peer) { s.contacts.set(now, peers) }

// SetSyncing tells whether the node is taking over whole tables: what comparisons bring then is not pushed on,
// as the others have it already.
func (s *Disseminator) SetSyncing(syncing bool) { s.syncing = syncing }

// Get gives the entry of a key.
func (s *Disseminator) Get(key string) (Entry, bool) {
	r := s.table.find(key)
	if r == nil || r.phase == hidden {
		return Entry{}, false
	}
	return r.entry, true
}

// GetWithTombstones gives the newest entry of a key, also one that was dropped and whose stamp is still defended.
func (s *Disseminator) GetWithTombstones(key string) (Entry, bool) {
	r := s.table.find(key)
	if r == nil {
		return Entry{}, false
	}
	return r.entry, true
}

// Each calls f with every entry that is not dropped, in no order.
func (s *Disseminator) Each(f func(Entry)) {
	for i := range s.table.buckets {
		for _, r := range s.table.buckets[i].records {
			if r.phase != hidden {
				f(r.entry)
			}
		}
	}
}

// Root is the digest of the table: equal for equal tables.
func (s *Disseminator) Root() uint64 { return s.table.root() }

// NextStamp gives a stamp above what is known of a key. The epoch is the time of day in milliseconds unless a
// later one is known: of two writers who know nothing of each other the later wins, as far as clocks agree.
func (s *Disseminator) NextStamp(now time.Time, key string) Stamp {
	known := s.table.stamp(key)
	epoch := uint64(now.UnixMilli())
	if epoch > known.Epoch {
		return Stamp{Epoch: epoch, Origin: s.options.Self}
	}
	return Stamp{Epoch: known.Epoch, Sequence: known.Sequence + 1, Origin: s.options.Self}
}

// Publish takes an entry from this node and spreads it. It tells whether the entry was above what was known.
func (s *Disseminator) Publish(now time.Time, e Entry) bool {
	return s.learn(now, e, hotEntry{key: e.Key})
}

// Put takes an entry without pushing it on: the caller brings it to the peers. A peer's entry may be refused.
func (s *Disseminator) Put(now time.Time, e Entry) bool {
	kind := kindOf(s.table.kinds, e.Key)
	if kind == nil || !kind.accepts(e) || !s.table.put(now, e) {
		return false
	}
	delete(s.wants.byKey, e.Key)
	s.effects.Changed = append(s.effects.Changed, e)
	return true
}

// learn takes an entry and, if it is news, has it pushed on.
func (s *Disseminator) learn(now time.Time, e Entry, hot hotEntry) bool {
	if !s.table.put(now, e) {
		return false
	}
	delete(s.wants.byKey, e.Key)
	s.effects.Changed = append(s.effects.Changed, e)
	if s.syncing && hot.repaired || len(s.hot) >= maxHot {
		return true
	}
	if at, waits := s.hotIndex[e.Key]; waits {
		s.hot[at] = hot
		return true
	}
	s.hotIndex[e.Key] = len(s.hot)
	s.hot = append(s.hot, hot)
	if s.hotAt.IsZero() {
		s.hotAt = now.Add(batchDelay)
	}
	return true
}

// Due is when Tick wants to be called next.
func (s *Disseminator) Due() time.Time {
	return earlier(earlier(s.compares, s.hotAt), s.wants.due())
}

// earlier gives the earlier of two times; the zero time is no time.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Tick does what is due. What may wait goes with the comparisons: each wake-up of the process costs.
func (s *Disseminator) Tick(now time.Time) {
	if !s.hotAt.IsZero() && !now.Before(s.hotAt) {
		s.flush()
	}
	for _, ask := range s.wants.expired(now) {
		s.send(ask.to, Message{Want: ask.keys})
	}
	if now.Before(s.compares) {
		return
	}
	s.compares = now.Add(CompareInterval)
	if !now.Before(s.ageAt) {
		s.ageAt = now.Add(ageInterval)
		s.effects.Expired = append(s.effects.Expired, s.table.age(now)...)
		s.contacts.turn(now)
	}
	if peer, some := s.contacts.partner(CompareInterval); some {
		s.send(peer.ID, s.CompareRequest())
	}
}

// CompareRequest is the message that opens a comparison.
func (s *Disseminator) CompareRequest() Message {
	return Message{Compare: &Digest{Root: s.table.root()}}
}

// Compare opens a comparison with a peer now.
func (s *Disseminator) Compare(peer string) { s.send(peer, s.CompareRequest()) }

// Send has a message sent to a peer with the other effects.
func (s *Disseminator) send(to string, m Message) {
	if !m.IsZero() {
		s.effects.Messages = append(s.effects.Messages, Outgoing{To: to, Message: m})
	}
}

// Take gives the effects of the steps since the last Take.
func (s *Disseminator) Take() Effects {
	taken := s.effects
	s.effects = Effects{}
	return taken
}

// flush pushes the news that waits, each batch to one choice of targets.
func (s *Disseminator) flush() {
	own, passed := s.splitHot()
	s.hot = s.hot[:0]
	clear(s.hotIndex)
	s.hotAt = time.Time{}
	s.push(own, s.contacts.targets(true))
	if len(passed) > 0 {
		s.push(passed, s.contacts.targets(false))
	}
}

// splitHot parts the news from here from that of others.
func (s *Disseminator) splitHot() (own, passed []hotEntry) {
	for _, h := range s.hot {
		if h.holder == "" {
			own = append(own, h)
		} else {
			passed = append(passed, h)
		}
	}
	return own, passed
}

func (s *Disseminator) push(hot []hotEntry, targets []Peer) {
	if len(hot) == 0 {
		return
	}
	repaired := 0
	for _, h := range hot {
		if h.repaired {
			repaired++
		}
	}
	for _, target := range targets {
		s.send(target.ID, s.batch(hot, target.ID, repaired > manyRepaired))
	}
}

// batch puts news into one message for a peer: small values as they are, the others by their stamps.
func (s *Disseminator) batch(hot []hotEntry, target string, offerRepaired bool) Message {
	var m Message
	size := 0
	for _, h := range hot {
		r := s.table.find(h.key)
		if h.holder == target || r == nil || r.phase == hidden {
			continue
		}
		offered := len(r.entry.Value) > largeValue || size > maxPush || h.repaired && offerRepaired
		switch {
		case !offered || r.kind.Ephemeral:
			m.Push = append(m.Push, r.entry)
			size += len(r.entry.Value)
		case len(m.Offer) < maxVersions:
			m.Offer = append(m.Offer, r.version())
		}
	}
	return m
}

// Receive handles a message of a peer.
func (s *Disseminator) Receive(now time.Time, from string, m Message) {
	for _, e := range m.Push {
		s.take(now, from, e, false)
	}
	if len(m.Offer) > 0 {
		s.offered(now, from, m.Offer, false)
	}
	if len(m.Want) > 0 {
		s.send(from, Message{Push: s.entries(m.Want)})
	}
	if m.Compare != nil {
		s.answerCompare(from, *m.Compare)
	}
	if m.Equal {
		s.effects.Compared = append(s.effects.Compared, from)
	}
	if m.BucketSums != nil {
		s.answerSums(from, m.BucketSums)
	}
	if m.Summary != nil {
		s.answerSummary(now, from, *m.Summary)
	}
	if m.Delta != nil {
		s.takeDelta(now, from, *m.Delta)
	}
}

// take accepts an entry of a peer, unless its kind refuses it, and tells whether it was news.
func (s *Disseminator) take(now time.Time, from string, e Entry, repaired bool) bool {
	kind := kindOf(s.table.kinds, e.Key)
	if kind == nil || !kind.accepts(e) {
		return false
	}
	return s.learn(now, e, hotEntry{key: e.Key, holder: from, repaired: repaired})
}

// entries gives the entries of keys, as many as a message may hold.
func (s *Disseminator) entries(keys []string) []Entry {
	var found []Entry
	size := 0
	for _, key := range keys {
		r := s.table.find(key)
		if r == nil || size > maxPush {
			continue
		}
		found = append(found, r.entry)
		size += len(r.entry.Value)
	}
	return found
}

// offered asks for what a peer offers and this node lacks: at once if the peer is of the own zone, and else
// after a moment, as one of the own zone may offer it too. Late are offers that a comparison made.
func (s *Disseminator) offered(now time.Time, from string, versions []Version, late bool) {
	zone, known := s.contacts.zoneOf(from)
	made := offer{near: !known || zone == s.options.Zone, late: late}
	var ask []string
	for _, v := range versions {
		if v.Stamp.After(s.table.stamp(v.Key)) && s.wants.add(now, from, v, made) {
			ask = append(ask, v.Key)
		}
	}
	s.send(from, Message{Want: slices.Clip(ask)})
}
