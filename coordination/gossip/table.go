package gossip

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is how many parts a digest has. A difference costs the keys and stamps of one part.
const bucketCount = 64

// defendedLives is how many lifetimes the stamp of a dropped entry is defended: an older value that a peer
// kept behind a cut must not come back.
const defendedLives = 5

// phase is how far an entry with a lifetime has come.
type phase uint8

const (
	listed phase = iota // visible and in the digests
	quiet               // visible; no longer in the digests
	hidden              // dropped for the owner; its stamp is defended
)

// record is an entry in the table.
type record struct {
	entry Entry
	kind  *kindState
	sum   uint64 // of key and stamp
	came  time.Time
	life  time.Duration // 0: for ever
	phase phase
}

// bucket is the part of the table whose keys have the same hash modulo bucketCount.
type bucket struct {
	sum     uint64 // of the sums of its listed, not ephemeral records, modulo 2^64
	records map[string]*record
}

// table holds the newest entry of each key.
type table struct {
	kinds   []*kindState
	buckets [bucketCount]bucket
	mortal  map[string]*record // those with a lifetime
}

func newTable(kinds []Kind) *table {
	t := &table{mortal: map[string]*record{}}
	for _, k := range kinds {
		t.kinds = append(t.kinds, &kindState{Kind: k})
	}
	for i := range t.buckets {
		t.buckets[i].records = map[string]*record{}
	}
	return t
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// sumOf hashes a key and its stamp.
func sumOf(e Entry) uint64 {
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

// find gives the record of a key, hidden ones too, or nil.
func (t *table) find(key string) *record { return t.buckets[bucketOf(key)].records[key] }

// stamp gives the newest stamp of a key, also of a hidden record; the zero stamp if there is none.
func (t *table) stamp(key string) Stamp {
	if r := t.find(key); r != nil {
		return r.entry.Stamp
	}
	return Stamp{}
}

// put takes an entry that is above what is known of its key and tells whether it did.
func (t *table) put(now time.Time, e Entry) bool {
	b := &t.buckets[bucketOf(e.Key)]
	old := b.records[e.Key]
	if old != nil && !e.Stamp.After(old.entry.Stamp) || e.Stamp.IsZero() {
		return false
	}
	kind := kindOf(t.kinds, e.Key)
	if kind == nil || !t.room(kind, old) {
		return false
	}
	if old != nil {
		t.remove(b, old)
	}
	t.insert(b, &record{entry: e, kind: kind, sum: sumOf(e), came: now, life: kind.lifetime(e)})
	return true
}

// room tells whether an entry of the kind may come in place of old, which may be nil.
func (t *table) room(kind *kindState, old *record) bool {
	return old != nil && old.phase != hidden || kind.count < kind.Limit
}

func (t *table) insert(b *bucket, r *record) {
	b.records[r.entry.Key] = r
	r.kind.count++
	if !r.kind.Ephemeral {
		b.sum += r.sum
	}
	if r.life > 0 {
		t.mortal[r.entry.Key] = r
	}
}

func (t *table) remove(b *bucket, r *record) {
	t.advance(r, hidden)
	r.kind.hidden--
	delete(b.records, r.entry.Key)
	delete(t.mortal, r.entry.Key)
}

// advance brings a record to a later phase and keeps the sums and counts.
func (t *table) advance(r *record, to phase) {
	if r.phase < quiet && to >= quiet && !r.kind.Ephemeral {
		t.buckets[bucketOf(r.entry.Key)].sum -= r.sum
	}
	if r.phase < hidden && to == hidden {
		r.kind.count--
		r.kind.hidden++
	}
	r.phase = max(r.phase, to)
}

// age moves the records with a lifetime on and gives the keys that are no longer visible.
func (t *table) age(now time.Time) (dropped []string) {
	for key, r := range t.mortal {
		age := now.Sub(r.came)
		before := r.phase
		switch {
		case age >= r.life:
			t.advance(r, hidden)
		case age >= r.life/2:
			t.advance(r, quiet)
		}
		if before != hidden && r.phase == hidden {
			dropped = append(dropped, key)
		}
		if r.phase == hidden && (age >= defendedLives*r.life || r.kind.hidden > r.kind.Limit || r.kind.Ephemeral) {
			t.remove(&t.buckets[bucketOf(key)], r)
		}
	}
	slices.Sort(dropped)
	return dropped
}

func (r *record) version() Version { return Version{Key: r.entry.Key, Stamp: r.entry.Stamp} }

// inDigest tells whether a record is one that peers compare.
func (r *record) inDigest() bool { return r.phase == listed && !r.kind.Ephemeral }

// root is the digest of the whole table.
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

// sums gives the digest of each bucket, folded to 32 bits. Equal folded sums of different buckets are found
// out when one of them changes next.
func (t *table) sums() []uint32 {
	sums := make([]uint32, bucketCount)
	for i := range t.buckets {
		sums[i] = fold(t.buckets[i].sum)
	}
	return sums
}

func fold(sum uint64) uint32 { return uint32(sum>>32) ^ uint32(sum) }
