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
	limits          Limits
	segments        []*segment // oldest first; the last is the tail
	records         map[string]*liveRecord
	liveBytes       int64
	totalBytes      int64 // bytes of all segments, in whole blocks
	moveCredit      int64 // of moving, not yet used
	forcedCleanings int
	movedBytes      int64
	writtenBytes    int64
}

type segment struct {
	number      uint64
	headerBytes int64
	bytes       int64
	liveBytes   int64
	first       *liveRecord // of what is live, in the order written
	last        *liveRecord
}

type liveRecord struct {
	id         string
	bytes      int64
	segment    *segment
	prev, next *liveRecord
}

// New makes an empty layout. Limits that are too small are raised to what works.
func New(limits Limits) *Layout {
	l := &Layout{limits: limits, records: map[string]*liveRecord{}}
	if l.limits.SegmentBytes == 0 {
		l.limits.SegmentBytes = min(max(limits.MaxBytes/64, 2<<10), 1<<20)
	}
	l.limits.MaxRecordBytes = min(l.limits.MaxRecordBytes, limits.MaxBytes/8)
	if l.limits.MaxStepBytes == 0 {
		l.limits.MaxStepBytes = max(l.limits.MaxRecordBytes, 4<<10)
	}
	return l
}

func roundToBlocks(n int64) int64 { return (n + BlockBytes - 1) / BlockBytes * BlockBytes }

// moveReserve is what is needed to move all that is live in one segment: it ends before it is passed, or holds one record.
func (l *Layout) moveReserve() int64 {
	return max(l.limits.SegmentBytes, l.limits.MaxRecordBytes+4*BlockBytes) + BlockBytes
}

// liveCapacity is how much may be live, with what it still needs.
func (l *Layout) liveCapacity() int64 { return l.limits.MaxBytes - 2*l.moveReserve() }

// Admits says whether a new text of so many bytes finds room.
func (l *Layout) Admits(n int64) bool {
	texts := int64(len(l.records)) + 1
	return n <= l.limits.MaxRecordBytes && l.liveBytes+n+texts*l.limits.GrowthBytes <= l.liveCapacity()
}

// NeedsNewSegment says whether another segment is begun before a record of so many bytes is written: where it does not fit.
func (l *Layout) NeedsNewSegment(n int64) bool {
	t := l.tail()
	return t == nil || t.bytes+n > l.limits.SegmentBytes && t.bytes > t.headerBytes
}

func (l *Layout) tail() *segment {
	if len(l.segments) == 0 {
		return nil
	}
	return l.segments[len(l.segments)-1]
}

// StartSegment makes a new segment the tail; its head has so many bytes.
func (l *Layout) StartSegment(number uint64, headerBytes int64) {
	l.segments = append(l.segments, &segment{number: number, headerBytes: headerBytes, bytes: headerBytes})
	l.totalBytes += roundToBlocks(headerBytes)
}

// AddWritten says that the tail has grown by something new. It pays for cleaning.
func (l *Layout) AddWritten(n int64) {
	l.growTail(n)
	// To free one byte, as much has to be moved as is live beside it.
	garbage := max(l.totalBytes-l.liveBytes, 1)
	l.moveCredit = min(l.moveCredit+n*min(32, 1+2*l.liveBytes/garbage)+64, 2*l.limits.MaxStepBytes)
}

// AddMoved says that it has grown by something that was moved there.
func (l *Layout) AddMoved(n int64) {
	l.growTail(n)
	l.movedBytes += n
	l.moveCredit -= n
}

func (l *Layout) growTail(n int64) {
	t := l.tail()
	l.totalBytes += roundToBlocks(t.bytes+n) - roundToBlocks(t.bytes)
	t.bytes += n
	l.writtenBytes += n
}

// Put says that a text's live record lies at the end of the tail now, and no longer where it was.
func (l *Layout) Put(id string, n int64) {
	l.Drop(id)
	t := l.tail()
	p := &liveRecord{id: id, bytes: n, segment: t, prev: t.last}
	if t.last != nil {
		t.last.next = p
	} else {
		t.first = p
	}
	t.last = p
	t.liveBytes += n
	l.liveBytes += n
	l.records[id] = p
}

// Drop says that nothing of a text is live any more.
func (l *Layout) Drop(id string) {
	p := l.records[id]
	if p == nil {
		return
	}
	delete(l.records, id)
	s := p.segment
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
	s.liveBytes -= p.bytes
	l.liveBytes -= p.bytes
}

// IsLive says whether something of a text is live.
func (l *Layout) IsLive(id string) bool { return l.records[id] != nil }

// cleaningThreshold is how much may lie on the disk before cleaning sets in: as much garbage as there is live, or a few segments,
// so that opening takes time for what is live and not for all that ever was; but with half of what is left, as what is
// held for long has to be moved through before the garbage behind it is reached.
func (l *Layout) cleaningThreshold() int64 {
	return min(l.liveBytes+(l.limits.MaxBytes-l.moveReserve()-l.liveBytes)/2, max(2*l.liveBytes, 8*l.limits.SegmentBytes))
}

// extraSegments bounds how many segments there are beyond what their bytes need: each start begins a new one.
const extraSegments = 128

func (l *Layout) tooManySegments() bool {
	return int64(len(l.segments)) > extraSegments+2*l.totalBytes/l.limits.SegmentBytes
}

// CleaningDue says whether something is to be moved now, in the course of writing.
func (l *Layout) CleaningDue() bool {
	return len(l.segments) > 1 && l.moveCredit > 0 && (l.totalBytes > l.cleaningThreshold() || l.tooManySegments())
}

// MustCleanFirst says whether a record of so many bytes finds no room before more is cleaned. At most it takes moving all
// that is live once.
func (l *Layout) MustCleanFirst(n int64) bool {
	return l.totalBytes+roundToBlocks(n)+BlockBytes > l.limits.MaxBytes-l.moveReserve() && len(l.segments) > 1
}

// CountForced notes that cleaning had to be done at once.
func (l *Layout) CountForced() { l.forcedCleanings++ }

// NextToMove is what is to be moved: the first live record of the oldest segment, with its size. Nothing if that segment
// has none, or is the tail.
func (l *Layout) NextToMove() (id string, n int64) {
	if len(l.segments) < 2 || l.segments[0].first == nil {
		return "", 0
	}
	p := l.segments[0].first
	return p.id, p.bytes
}

// RemovableSegment is the oldest segment if nothing in it is live and it is not the tail.
func (l *Layout) RemovableSegment() (number uint64, ok bool) {
	if len(l.segments) < 2 || l.segments[0].first != nil {
		return 0, false
	}
	return l.segments[0].number, true
}

// DropOldestSegment says that the oldest segment is removed.
func (l *Layout) DropOldestSegment() {
	l.totalBytes -= roundToBlocks(l.segments[0].bytes)
	l.segments = slices.Delete(l.segments, 0, 1)
}

// OldestSegment is the number of the oldest segment, 0 if there is none.
func (l *Layout) OldestSegment() uint64 {
	if len(l.segments) == 0 {
		return 0
	}
	return l.segments[0].number
}

// UsedBytes is what lies on the disk, and Live how much of it counts.
func (l *Layout) UsedBytes() int64 { return l.totalBytes }

// LiveBytes is how many bytes are live.
func (l *Layout) LiveBytes() int64 { return l.liveBytes }

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
	return Stats{len(l.segments), l.liveBytes, l.totalBytes, l.limits.MaxBytes, l.writtenBytes, l.movedBytes, l.forcedCleanings}
}

// CheckInvariants looks whether all adds up; for tests.
func (l *Layout) CheckInvariants() string {
	live, total, n := int64(0), int64(0), 0
	for _, s := range l.segments {
		sum := int64(0)
		for p := s.first; p != nil; p = p.next {
			if l.records[p.id] != p || p.segment != s {
				return "a place is not where it says"
			}
			sum += p.bytes
			n++
		}
		if sum != s.liveBytes || s.liveBytes > s.bytes {
			return "a segment's live bytes do not add up"
		}
		live, total = live+sum, total+roundToBlocks(s.bytes)
	}
	switch {
	case n != len(l.records):
		return "places and segments differ"
	case live != l.liveBytes || total != l.totalBytes:
		return "the sums differ"
	}
	return ""
}
