package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// CompareInterval is how often a node compares digests with one peer.
	CompareInterval = 400 * time.Millisecond
	// batchDelay is how long a new entry waits for others to share a message with.
	batchDelay = 10 * time.Millisecond
	// expiryInterval is how often entries with a lifetime are checked for expiry.
	expiryInterval = time.Second
	// maxPushedValueBytes is the size above which a value is offered instead of pushed.
	maxPushedValueBytes = 2 << 10
	// maxRepairedPushes is the number of pending entries from comparisons above which these are offered instead of
	// pushed, as most peers have them already.
	maxRepairedPushes = 16
	// maxPendingPushes bounds the entries waiting to be pushed; further ones spread by comparisons only.
	maxPendingPushes = 8 << 10
	// maxMessageBytes bounds the bytes of values in one message, and maxMessageVersions the versions. They are
	// checked before an entry is added, so a single larger entry fits.
	maxMessageBytes    = 256 << 10
	maxMessageVersions = 2000
)

// Options configure a Disseminator.
type Options struct {
	Self         string // id of this node
	Zone         string
	Kinds        []Kind
	FirstCompare time.Time // when the first comparison is due
}

// pendingPush is a new entry that waits to be pushed.
type pendingPush struct {
	key      string
	source   string // the peer that sent it, or empty if published by this node
	repaired bool   // received in a comparison
}

// Disseminator is the gossip state machine of a node. It holds the node's table and decides which messages to send.
type Disseminator struct {
	options  Options
	random   *rand.Rand
	table    *table
	contacts contacts
	wanted   wantedEntries
	syncing  bool // entries received in comparisons are not pushed

	pending      []pendingPush
	pendingIndex map[string]int // key to index in pending
	flushAt      time.Time      // when pending is due to be pushed; zero if it is empty
	nextExpiry   time.Time
	nextCompare  time.Time // when the next comparison is due

	effects Effects
}

// New returns a Disseminator with an empty table. Its behavior is determined by the seed and the calls.
func New(now time.Time, options Options, seed uint64) *Disseminator {
	random := rand.New(rand.NewPCG(seed, 0))
	return &Disseminator{
		options:      options,
		random:       random,
		table:        newTable(options.Kinds),
		contacts:     contacts{self: options.Self, zone: options.Zone, random: random},
		wanted:       wantedEntries{random: random, byKey: map[string]*wantedEntry{}},
		pendingIndex: map[string]int{},
		nextExpiry:   now.Add(expiryInterval),
		nextCompare:  options.FirstCompare,
	}
}

// SetPeers replaces the peers, which must not include this node. The slice must not be modified afterwards.
func (d *Disseminator) SetPeers(now time.Time, peers []Peer) { d.contacts.setPeers(now, peers) }

// SetSyncing sets whether the node is copying whole tables from its peers. Entries received in comparisons are then
// not pushed, as the other nodes have them already.
func (d *Disseminator) SetSyncing(syncing bool) { d.syncing = syncing }

// Get returns the entry of a key, if it has not expired.
func (d *Disseminator) Get(key string) (Entry, bool) {
	r := d.table.find(key)
	if r == nil || r.phase == tombstone {
		return Entry{}, false
	}
	return r.entry, true
}

// GetWithTombstones returns the newest entry of a key, even if it has expired and remains only as a tombstone.
func (d *Disseminator) GetWithTombstones(key string) (Entry, bool) {
	r := d.table.find(key)
	if r == nil {
		return Entry{}, false
	}
	return r.entry, true
}

// Each calls f with every entry that has not expired, in no particular order.
func (d *Disseminator) Each(f func(Entry)) {
	for i := range d.table.buckets {
		for _, r := range d.table.buckets[i].records {
			if r.phase != tombstone {
				f(r.entry)
			}
		}
	}
}

// Root returns the digest of the table. Equal tables have equal digests.
func (d *Disseminator) Root() uint64 { return d.table.root() }

// NextStamp returns a stamp newer than the known one of a key. The epoch is the wall clock in milliseconds unless a
// later epoch is known: of two concurrent writers the later one wins, as far as their clocks agree.
func (d *Disseminator) NextStamp(now time.Time, key string) Stamp {
	known := d.table.stamp(key)
	epoch := uint64(now.UnixMilli())
	if epoch > known.Epoch {
		return Stamp{Epoch: epoch, Origin: d.options.Self}
	}
	return Stamp{Epoch: known.Epoch, Sequence: known.Sequence + 1, Origin: d.options.Self}
}

// Publish adds an entry of this node and pushes it to peers. It reports whether the entry was newer than the known one.
func (d *Disseminator) Publish(now time.Time, e Entry) bool {
	return d.apply(now, e, pendingPush{key: e.Key})
}

// Put adds an entry without pushing it: the caller delivers it to the peers. It rejects an entry that its kind does
// not validate, and reports whether the entry was added.
func (d *Disseminator) Put(now time.Time, e Entry) bool {
	kind := kindOf(d.table.kinds, e.Key)
	if kind == nil || !kind.accepts(e) || !d.table.put(now, e) {
		return false
	}
	delete(d.wanted.byKey, e.Key)
	d.effects.Changed = append(d.effects.Changed, e)
	return true
}

// apply adds an entry and, if it is new, queues it for a push.
func (d *Disseminator) apply(now time.Time, e Entry, push pendingPush) bool {
	if !d.table.put(now, e) {
		return false
	}
	delete(d.wanted.byKey, e.Key)
	d.effects.Changed = append(d.effects.Changed, e)
	if d.syncing && push.repaired || len(d.pending) >= maxPendingPushes {
		return true
	}
	if index, isPending := d.pendingIndex[e.Key]; isPending {
		d.pending[index] = push
		return true
	}
	d.pendingIndex[e.Key] = len(d.pending)
	d.pending = append(d.pending, push)
	if d.flushAt.IsZero() {
		d.flushAt = now.Add(batchDelay)
	}
	return true
}

// Due returns when Tick must next be called.
func (d *Disseminator) Due() time.Time {
	return earlier(earlier(d.nextCompare, d.flushAt), d.wanted.nextDue())
}

// earlier returns the earlier of two times; the zero time counts as unset.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Tick performs the work that is due. Work that may wait is done along with the comparisons, because each wake-up of
// the process costs CPU time.
func (d *Disseminator) Tick(now time.Time) {
	if !d.flushAt.IsZero() && !now.Before(d.flushAt) {
		d.flush()
	}
	for _, request := range d.wanted.dueRequests(now) {
		d.send(request.to, Message{Want: request.keys})
	}
	if now.Before(d.nextCompare) {
		return
	}
	d.nextCompare = now.Add(CompareInterval)
	if !now.Before(d.nextExpiry) {
		d.nextExpiry = now.Add(expiryInterval)
		d.effects.Expired = append(d.effects.Expired, d.table.expire(now)...)
		d.contacts.rotate(now)
	}
	if peer, found := d.contacts.comparePeer(CompareInterval); found {
		d.send(peer.ID, d.CompareRequest())
	}
}

// CompareRequest returns the message that starts a comparison.
func (d *Disseminator) CompareRequest() Message {
	return Message{Compare: &Digest{Root: d.table.root()}}
}

// Compare starts a comparison with a peer immediately.
func (d *Disseminator) Compare(peer string) { d.send(peer, d.CompareRequest()) }

// send adds a message to a peer to the effects, unless it is empty.
func (d *Disseminator) send(to string, m Message) {
	if !m.IsZero() {
		d.effects.Messages = append(d.effects.Messages, Outgoing{To: to, Message: m})
	}
}

// Take returns the effects of all calls since the last Take.
func (d *Disseminator) Take() Effects {
	taken := d.effects
	d.effects = Effects{}
	return taken
}

// flush pushes the pending entries: those published here and those forwarded each to their own choice of targets.
func (d *Disseminator) flush() {
	published, forwarded := d.splitPending()
	d.pending = d.pending[:0]
	clear(d.pendingIndex)
	d.flushAt = time.Time{}
	d.push(published, d.contacts.pushTargets(true))
	if len(forwarded) > 0 {
		d.push(forwarded, d.contacts.pushTargets(false))
	}
}

// splitPending separates pending entries published by this node from those of other nodes.
func (d *Disseminator) splitPending() (published, forwarded []pendingPush) {
	for _, push := range d.pending {
		if push.source == "" {
			published = append(published, push)
		} else {
			forwarded = append(forwarded, push)
		}
	}
	return published, forwarded
}

func (d *Disseminator) push(pushes []pendingPush, targets []Peer) {
	if len(pushes) == 0 {
		return
	}
	repaired := 0
	for _, push := range pushes {
		if push.repaired {
			repaired++
		}
	}
	for _, target := range targets {
		d.send(target.ID, d.buildPush(pushes, target.ID, repaired > maxRepairedPushes))
	}
}

// buildPush returns a message with new entries for a peer: it pushes small values and offers large ones.
func (d *Disseminator) buildPush(pushes []pendingPush, target string, offerRepaired bool) Message {
	var m Message
	size := 0
	for _, push := range pushes {
		r := d.table.find(push.key)
		if push.source == target || r == nil || r.phase == tombstone {
			continue
		}
		asOffer := len(r.entry.Value) > maxPushedValueBytes || size > maxMessageBytes || push.repaired && offerRepaired
		switch {
		case !asOffer || r.kind.Ephemeral:
			m.Push = append(m.Push, r.entry)
			size += len(r.entry.Value)
		case len(m.Offer) < maxMessageVersions:
			m.Offer = append(m.Offer, r.version())
		}
	}
	return m
}

// Receive handles a message from a peer.
func (d *Disseminator) Receive(now time.Time, from string, m Message) {
	for _, e := range m.Push {
		d.receiveEntry(now, from, e, false)
	}
	if len(m.Offer) > 0 {
		d.receiveOffers(now, from, m.Offer, false)
	}
	if len(m.Want) > 0 {
		d.send(from, Message{Push: d.entriesFor(m.Want)})
	}
	if m.Compare != nil {
		d.handleCompare(from, *m.Compare)
	}
	if m.Equal {
		d.effects.Compared = append(d.effects.Compared, from)
	}
	if m.BucketSums != nil {
		d.handleBucketSums(from, m.BucketSums)
	}
	if m.Summary != nil {
		d.handleSummary(now, from, *m.Summary)
	}
	if m.Delta != nil {
		d.handleDelta(now, from, *m.Delta)
	}
}

// receiveEntry applies an entry from a peer, unless its kind rejects it, and reports whether it was new.
func (d *Disseminator) receiveEntry(now time.Time, from string, e Entry, repaired bool) bool {
	kind := kindOf(d.table.kinds, e.Key)
	if kind == nil || !kind.accepts(e) {
		return false
	}
	return d.apply(now, e, pendingPush{key: e.Key, source: from, repaired: repaired})
}

// entriesFor returns the entries of as many of the keys as fit into a message.
func (d *Disseminator) entriesFor(keys []string) []Entry {
	var found []Entry
	size := 0
	for _, key := range keys {
		r := d.table.find(key)
		if r == nil || size > maxMessageBytes {
			continue
		}
		found = append(found, r.entry)
		size += len(r.entry.Value)
	}
	return found
}

// receiveOffers requests the offered entries that this node lacks: immediately if the peer is in the own zone, otherwise
// after a delay in which a peer of the own zone may offer them too. Offers made in a comparison always wait.
func (d *Disseminator) receiveOffers(now time.Time, from string, versions []Version, fromComparison bool) {
	zone, known := d.contacts.zoneOf(from)
	kind := offerOrigin{sameZone: !known || zone == d.options.Zone, fromComparison: fromComparison}
	var request []string
	for _, v := range versions {
		if v.Stamp.After(d.table.stamp(v.Key)) && d.wanted.add(now, from, v, kind) {
			request = append(request, v.Key)
		}
	}
	d.send(from, Message{Want: slices.Clip(request)})
}
