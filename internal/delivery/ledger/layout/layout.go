// Package layout decides how a ledger lies on the disk: which segments there are and what is live in each, when a text
// finds no room, what is moved out of the oldest segment next, and how much of that is done at a time. It is pure: it is
// told sizes and does nothing itself. How to use it:
//
//	l := layout.New(layout.Limits{Room: 3 << 20, Record: 84 << 10})
//	l.Begin(1, 64)                     // a new segment is the tail; its head has 64 bytes
//	if l.Admits(n) { ... }             // a new text of n bytes may be taken on
//	if l.Rolls(n) { ... }              // the tail has had its share: begin another first
//	l.Wrote(n); l.Put("t1", n)         // n bytes went to the tail, and are what is live of t1
//	for l.Due() { id, n := l.Next() }  // move this: write it anew to the tail, and Put it
//	no, ok := l.Dead()                 // the oldest has nothing live any more: remove it, then Gone
//
// Segments are a queue: what is written goes to the newest, and only the oldest is cleaned, by writing what is still live
// in it anew and removing it. A record that ends a text stands after all that it ends, so it may go with its own segment
// without a look: what it ended went before.
//
// Sizes. Room is kept for moving what one segment can hold, twice over; what is admitted leaves it. So cleaning from the
// oldest on always comes to an end with room, and a text that was taken can always end. Cleaning goes along with writing:
// each write pays for as much as keeps the garbage in bounds, Step bytes at a time at most; only if the room runs out
// sooner is more done at once (Forced counts that).
package layout

import "slices"

// Limits are the sizes that a layout keeps to, in bytes.
type Limits struct {
	MaxBytes       int64 // all files together, each in whole blocks
	MaxRecordBytes int64 // the largest record
	SegmentBytes   int64 // a segment holds so much, or one record; 0: a 32nd of the room, 2 KiB to 8 MiB
	GrowthBytes    int64 // what a held text may still grow by
	MaxStepBytes   int64 // moved at a time, at most; 0: as much as the largest record
}

// BlockBytes is what files are counted in.
const BlockBytes = 512

// Layout is what lies where.
type Layout struct {
	limits   Limits
	segments []*segment // oldest first; the last is the tail
	at       map[string]*place
	live     int64
	total    int64 // bytes of all segments, in whole blocks
	credit   int64 // of moving, not yet used
	forced   int
	moved    int64
	written  int64
}

type segment struct {
	no    uint64
	head  int64
	size  int64
	live  int64
	first *place // of what is live, in the order written
	last  *place
}

type place struct {
	id         string
	size       int64
	in         *segment
	prev, next *place
}

// New makes an empty layout. Limits that are too small are raised to what works.
func New(limits Limits) *Layout {
	l := &Layout{limits: limits, at: map[string]*place{}}
	if l.limits.SegmentBytes == 0 {
		l.limits.SegmentBytes = min(max(limits.MaxBytes/64, 2<<10), 1<<20)
	}
	l.limits.MaxRecordBytes = min(l.limits.MaxRecordBytes, limits.MaxBytes/8)
	if l.limits.MaxStepBytes == 0 {
		l.limits.MaxStepBytes = max(l.limits.MaxRecordBytes, 4<<10)
	}
	return l
}

func blocks(n int64) int64 { return (n + BlockBytes - 1) / BlockBytes * BlockBytes }

// headroom is what is needed to move all that is live in one segment: it ends before it is passed, or holds one record.
func (l *Layout) headroom() int64 {
	return max(l.limits.SegmentBytes, l.limits.MaxRecordBytes+4*BlockBytes) + BlockBytes
}

// capacity is how much may be live, with what it still needs.
func (l *Layout) capacity() int64 { return l.limits.MaxBytes - 2*l.headroom() }

// Admits says whether a new text of so many bytes finds room.
func (l *Layout) Admits(n int64) bool {
	texts := int64(len(l.at)) + 1
	return n <= l.limits.MaxRecordBytes && l.live+n+texts*l.limits.GrowthBytes <= l.capacity()
}

// NeedsNewSegment says whether another segment is begun before a record of so many bytes is written: where it does not fit.
func (l *Layout) NeedsNewSegment(n int64) bool {
	t := l.tail()
	return t == nil || t.size+n > l.limits.SegmentBytes && t.size > t.head
}

func (l *Layout) tail() *segment {
	if len(l.segments) == 0 {
		return nil
	}
	return l.segments[len(l.segments)-1]
}

// StartSegment makes a new segment the tail; its head has so many bytes.
func (l *Layout) StartSegment(no uint64, head int64) {
	l.segments = append(l.segments, &segment{no: no, head: head, size: head})
	l.total += blocks(head)
}

// AddWritten says that the tail has grown by something new. It pays for cleaning.
func (l *Layout) AddWritten(n int64) {
	l.grow(n)
	// To free one byte, as much has to be moved as is live beside it.
	garbage := max(l.total-l.live, 1)
	l.credit = min(l.credit+n*min(32, 1+2*l.live/garbage)+64, 2*l.limits.MaxStepBytes)
}

// AddMoved says that it has grown by something that was moved there.
func (l *Layout) AddMoved(n int64) {
	l.grow(n)
	l.moved += n
	l.credit -= n
}

func (l *Layout) grow(n int64) {
	t := l.tail()
	l.total += blocks(t.size+n) - blocks(t.size)
	t.size += n
	l.written += n
}

// Put says that a text's live record lies at the end of the tail now, and no longer where it was.
func (l *Layout) Put(id string, n int64) {
	l.Drop(id)
	t := l.tail()
	p := &place{id: id, size: n, in: t, prev: t.last}
	if t.last != nil {
		t.last.next = p
	} else {
		t.first = p
	}
	t.last = p
	t.live += n
	l.live += n
	l.at[id] = p
}

// Drop says that nothing of a text is live any more.
func (l *Layout) Drop(id string) {
	p := l.at[id]
	if p == nil {
		return
	}
	delete(l.at, id)
	s := p.in
	if p.prev != nil {
		p.prev.next = p.next
	} else {
		s.first = p.next
	}
	if p.next != nil {
		p.next.prev = p.prev
	} else {
		s.last = p.prev
	}
	s.live -= p.size
	l.live -= p.size
}

// IsLive says whether something of a text is live.
func (l *Layout) IsLive(id string) bool { return l.at[id] != nil }

// bound is how much may lie on the disk before cleaning sets in: as much garbage as there is live, or a few segments,
// so that opening takes time for what is live and not for all that ever was; but with half of what is left, as what is
// held for long has to be moved through before the garbage behind it is reached.
func (l *Layout) bound() int64 {
	return min(l.live+(l.limits.MaxBytes-l.headroom()-l.live)/2, max(2*l.live, 8*l.limits.SegmentBytes))
}

// crowd bounds how many segments there are beyond what their bytes need: each start begins a new one.
const crowd = 128

func (l *Layout) crowded() bool {
	return int64(len(l.segments)) > crowd+2*l.total/l.limits.SegmentBytes
}

// CleaningDue says whether something is to be moved now, in the course of writing.
func (l *Layout) CleaningDue() bool {
	return len(l.segments) > 1 && l.credit > 0 && (l.total > l.bound() || l.crowded())
}

// MustCleanFirst says whether a record of so many bytes finds no room before more is cleaned. At most it takes moving all
// that is live once.
func (l *Layout) MustCleanFirst(n int64) bool {
	return l.total+blocks(n)+BlockBytes > l.limits.MaxBytes-l.headroom() && len(l.segments) > 1
}

// CountForced notes that cleaning had to be done at once.
func (l *Layout) CountForced() { l.forced++ }

// NextToMove is what is to be moved: the first live record of the oldest segment, with its size. Nothing if that segment
// has none, or is the tail.
func (l *Layout) NextToMove() (id string, n int64) {
	if len(l.segments) < 2 || l.segments[0].first == nil {
		return "", 0
	}
	p := l.segments[0].first
	return p.id, p.size
}

// RemovableSegment is the oldest segment if nothing in it is live and it is not the tail.
func (l *Layout) RemovableSegment() (no uint64, ok bool) {
	if len(l.segments) < 2 || l.segments[0].first != nil {
		return 0, false
	}
	return l.segments[0].no, true
}

// DropOldestSegment says that the oldest segment is removed.
func (l *Layout) DropOldestSegment() {
	l.total -= blocks(l.segments[0].size)
	l.segments = slices.Delete(l.segments, 0, 1)
}

// OldestSegment is the number of the oldest segment, 0 if there is none.
func (l *Layout) OldestSegment() uint64 {
	if len(l.segments) == 0 {
		return 0
	}
	return l.segments[0].no
}

// UsedBytes is what lies on the disk, and Live how much of it counts.
func (l *Layout) UsedBytes() int64 { return l.total }

// LiveBytes is how many bytes are live.
func (l *Layout) LiveBytes() int64 { return l.live }

// Stats are what a layout has come to.
type Stats struct {
	Segments        int
	LiveBytes       int64 // bytes
	UsedBytes       int64 // bytes on the disk
	MaxBytes        int64
	WrittenBytes    int64 // bytes in all, moved ones too
	MovedBytes      int64
	ForcedCleanings int // times that cleaning had to be done at once
}

// Stats gives them.
func (l *Layout) Stats() Stats {
	return Stats{len(l.segments), l.live, l.total, l.limits.MaxBytes, l.written, l.moved, l.forced}
}

// CheckInvariants looks whether all adds up; for tests.
func (l *Layout) CheckInvariants() string {
	live, total, n := int64(0), int64(0), 0
	for _, s := range l.segments {
		sum := int64(0)
		for p := s.first; p != nil; p = p.next {
			if l.at[p.id] != p || p.in != s {
				return "a place is not where it says"
			}
			sum += p.size
			n++
		}
		if sum != s.live || s.live > s.size {
			return "a segment's live bytes do not add up"
		}
		live, total = live+sum, total+blocks(s.size)
	}
	switch {
	case n != len(l.at):
		return "places and segments differ"
	case live != l.live || total != l.total:
		return "the sums differ"
	}
	return ""
}
