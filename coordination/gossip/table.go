package gossip

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets of a table. For each bucket that differs, a comparison exchanges the keys and
// stamps of all its entries.
const bucketCount = 64

// tombstoneLifetimes is the age, in lifetimes of the entry, up to which its stamp is kept. The tombstone rejects an older
// value that a peer kept during a network partition.
const tombstoneLifetimes = 5

// phase is the stage of an entry in its lifetime.
type phase uint8

const (
	active    phase = iota // visible and in the digests
	aging                  // visible, but no longer in the digests
	tombstone              // expired; only its stamp still counts
)

// record is an entry of the table with its bookkeeping.
type record struct {
	entry       Entry
	kind        *kindState
	versionHash uint64 // hash of key and stamp
	receivedAt  time.Time
	lifetime    time.Duration // 0 for no expiry
	phase       phase
}

// bucket holds the records whose keys have the same hash modulo bucketCount.
type bucket struct {
	sum     uint64 // sum of the version hashes of its records that are in digests, modulo 2^64
	records map[string]*record
}

// table holds the newest entry of each key, tombstones included.
type table struct {
	kinds    []*kindState
	buckets  [bucketCount]bucket
	expiring map[string]*record // records with a lifetime, by key
}

func newTable(kinds []Kind) *table {
	t := &table{expiring: map[string]*record{}}
	for _, k := range kinds {
		t.kinds = append(t.kinds, &kindState{Kind: k})
	}
	for i := range t.buckets {
		t.buckets[i].records = map[string]*record{}
	}
	return t
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// hashVersion hashes a key and its stamp.
func hashVersion(e Entry) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(e.Key)
	var numbers [17]byte
	binary.BigEndian.PutUint64(numbers[1:9], e.Stamp.Epoch)
	binary.BigEndian.PutUint64(numbers[9:17], e.Stamp.Sequence)
	_, _ = d.Write(numbers[:])
	_, _ = d.WriteString(e.Stamp.Origin)
	return d.Sum64()
}

// find returns the record of a key, tombstones included, or nil.
func (t *table) find(key string) *record { return t.buckets[bucketOf(key)].records[key] }

// stamp returns the newest stamp of a key, including that of a tombstone, or the zero stamp.
func (t *table) stamp(key string) Stamp {
	if r := t.find(key); r != nil {
		return r.entry.Stamp
	}
	return Stamp{}
}

// put adds an entry if its stamp is newer than the known one of its key and its kind has room. It reports whether it did.
func (t *table) put(now time.Time, e Entry) bool {
	b := &t.buckets[bucketOf(e.Key)]
	old := b.records[e.Key]
	if old != nil && !e.Stamp.After(old.entry.Stamp) || e.Stamp.IsZero() {
		return false
	}
	kind := kindOf(t.kinds, e.Key)
	if kind == nil || !t.hasRoom(kind, old) {
		return false
	}
	if old != nil {
		t.remove(b, old)
	}
	t.insert(b, &record{entry: e, kind: kind, versionHash: hashVersion(e), receivedAt: now, lifetime: kind.lifetime(e)})
	return true
}

// hasRoom reports whether the limit of the kind allows an entry in place of old, which may be nil.
func (t *table) hasRoom(kind *kindState, old *record) bool {
	return old != nil && old.phase != tombstone || kind.visible < kind.Limit
}

func (t *table) insert(b *bucket, r *record) {
	b.records[r.entry.Key] = r
	r.kind.visible++
	if !r.kind.Ephemeral {
		b.sum += r.versionHash
	}
	if r.lifetime > 0 {
		t.expiring[r.entry.Key] = r
	}
}

func (t *table) remove(b *bucket, r *record) {
	t.advance(r, tombstone)
	r.kind.tombstones--
	delete(b.records, r.entry.Key)
	delete(t.expiring, r.entry.Key)
}

// advance moves a record to a later phase and updates the sums and counts.
func (t *table) advance(r *record, to phase) {
	if r.phase < aging && to >= aging && !r.kind.Ephemeral {
		t.buckets[bucketOf(r.entry.Key)].sum -= r.versionHash
	}
	if r.phase < tombstone && to == tombstone {
		r.kind.visible--
		r.kind.tombstones++
	}
	r.phase = max(r.phase, to)
}

// expire advances the records with a lifetime and returns the keys that have just expired. It removes tombstones that
// are too old or too many.
func (t *table) expire(now time.Time) (expired []string) {
	for key, r := range t.expiring {
		age := now.Sub(r.receivedAt)
		before := r.phase
		switch {
		case age >= r.lifetime:
			t.advance(r, tombstone)
		case age >= r.lifetime/2:
			t.advance(r, aging)
		}
		if before != tombstone && r.phase == tombstone {
			expired = append(expired, key)
		}
		if r.phase == tombstone && (age >= tombstoneLifetimes*r.lifetime || r.kind.tombstones > r.kind.Limit || r.kind.Ephemeral) {
			t.remove(&t.buckets[bucketOf(key)], r)
		}
	}
	slices.Sort(expired)
	return expired
}

func (r *record) version() Version { return Version{Key: r.entry.Key, Stamp: r.entry.Stamp} }

// inDigest reports whether a record is part of the digests.
func (r *record) inDigest() bool { return r.phase == active && !r.kind.Ephemeral }

// root returns the digest of the whole table.
func (t *table) root() uint64 {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	for i := range t.buckets {
		binary.BigEndian.PutUint64(number[:], t.buckets[i].sum)
		_, _ = d.Write(number[:])
	}
	return d.Sum64()
}

// foldedSums returns the sum of each bucket, folded to 32 bits. A collision of the folded sums of different buckets
// lasts until one of the buckets changes.
func (t *table) foldedSums() []uint32 {
	sums := make([]uint32, bucketCount)
	for i := range t.buckets {
		sums[i] = fold32(t.buckets[i].sum)
	}
	return sums
}

func fold32(sum uint64) uint32 { return uint32(sum>>32) ^ uint32(sum) }
