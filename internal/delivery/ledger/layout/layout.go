// Package layout decides how a ledger uses the disk: it tracks the segments and their live records, and decides whether
// a text fits, which record of the oldest segment is moved next, and how much is moved at a time. It only gets
// sizes and does no I/O. Usage:
//
//	l := layout.New(layout.Limits{MaxBytes: 3 << 20, MaxRecordBytes: 84 << 10})
//	l.StartSegment(1, 64)                              // a new segment is the tail; its header has 64 bytes
//	if l.Admits(n) { ... }                             // a new text of n bytes may be accepted
//	if l.NeedsNewSegment(n) { ... }                    // the tail is full: start another segment first
//	l.AddWritten(n); l.Put("t1", n)                    // n bytes were appended: the live record of t1
//	for l.CleaningDue() { id, n := l.NextToMove() }    // rewrite this record to the tail: AddMoved, Put
//	no, ok := l.RemovableSegment()                     // no live record left: remove it, then DropOldestSegment
//
// Segments form a queue: records are appended to the newest, and only the oldest is cleaned, by rewriting its live
// records to the tail and removing it. A record that ends a text comes after all records of that text, so it can
// be removed with its segment without a check: what it ended was removed before.
//
// Sizes: space for moving the contents of one segment is reserved twice, and Admits leaves it free. So cleaning from the
// oldest segment on always succeeds, and an accepted text can always end. Cleaning is spread over writes: each
// write pays for as much as keeps the garbage limited, at most MaxStepBytes at a time; only if space runs out
// before, more is cleaned at once (counted by ForcedCleanings).
package layout

import "slices"

// Limits are the sizes that a layout observes, in bytes.
type Limits struct {
	MaxBytes       int64 // of all files, each in whole blocks
	MaxRecordBytes int64 // of one record
	SegmentBytes   int64 // of a segment with more than one record; 0: a 64th of MaxBytes, 2 KiB to 1 MiB
	GrowthBytes    int64 // how much the record of a held text may still grow
	MaxStepBytes   int64 // moved at a time; 0: MaxRecordBytes
}

// BlockBytes is the unit in which file sizes are counted.
const BlockBytes = 512

// Layout tracks the segments and their live records.
type Layout struct {
	limits          Limits
	segments        []*segment // oldest first; the last is the tail
	records         map[string]*liveRecord
	liveBytes       int64
	totalBytes      int64 // of all segments, in whole blocks
	moveCredit      int64 // bytes that may still be moved
	forcedCleanings int
	movedBytes      int64
	writtenBytes    int64
}

type segment struct {
	number      uint64
	headerBytes int64
	bytes       int64
	liveBytes   int64
	first       *liveRecord // first live record, in the order written
	last        *liveRecord
}

type liveRecord struct {
	id         string
	bytes      int64
	segment    *segment
	prev, next *liveRecord
}

// New returns an empty layout. It adjusts limits that cannot work.
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

// moveReserve returns the space needed to move all live records of one segment, which holds SegmentBytes or one record.
func (l *Layout) moveReserve() int64 {
	return max(l.limits.SegmentBytes, l.limits.MaxRecordBytes+4*BlockBytes) + BlockBytes
}

// liveCapacity returns how many bytes may be live, including what they may still grow by.
func (l *Layout) liveCapacity() int64 { return l.limits.MaxBytes - 2*l.moveReserve() }

// Admits reports whether there is space for a new text of n bytes.
func (l *Layout) Admits(n int64) bool {
	texts := int64(len(l.records)) + 1
	return n <= l.limits.MaxRecordBytes && l.liveBytes+n+texts*l.limits.GrowthBytes <= l.liveCapacity()
}

// NeedsNewSegment reports whether a record of n bytes does not fit the tail.
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

// StartSegment makes a new segment the tail.
func (l *Layout) StartSegment(number uint64, headerBytes int64) {
	l.segments = append(l.segments, &segment{number: number, headerBytes: headerBytes, bytes: headerBytes})
	l.totalBytes += roundToBlocks(headerBytes)
}

// AddWritten records that n new bytes were appended to the tail. They pay for cleaning.
func (l *Layout) AddWritten(n int64) {
	l.growTail(n)
	// To free one byte, the live bytes beside it must be moved.
	garbage := max(l.totalBytes-l.liveBytes, 1)
	l.moveCredit = min(l.moveCredit+n*min(32, 1+2*l.liveBytes/garbage)+64, 2*l.limits.MaxStepBytes)
}

// AddMoved records that n bytes of moved records were appended to the tail.
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

// Put records that the live record of a text is now at the end of the tail, and no longer where it was.
func (l *Layout) Put(id string, n int64) {
	l.Drop(id)
	t := l.tail()
	rec := &liveRecord{id: id, bytes: n, segment: t, prev: t.last}
	if t.last != nil {
		t.last.next = rec
	} else {
		t.first = rec
	}
	t.last = rec
	t.liveBytes += n
	l.liveBytes += n
	l.records[id] = rec
}

// Drop records that a text has no live record any more.
func (l *Layout) Drop(id string) {
	rec := l.records[id]
	if rec == nil {
		return
	}
	delete(l.records, id)
	s := rec.segment
	if rec.prev != nil {
		rec.prev.next = rec.next
	} else {
		s.first = rec.next
	}
	if rec.next != nil {
		rec.next.prev = rec.prev
	} else {
		s.last = rec.prev
	}
	s.liveBytes -= rec.bytes
	l.liveBytes -= rec.bytes
}

// IsLive reports whether a text has a live record.
func (l *Layout) IsLive(id string) bool { return l.records[id] != nil }

// cleaningThreshold returns the disk usage above which cleaning starts: as much garbage as there are live bytes, or a few
// segments, so that opening takes time for live records and not for all that were ever written; but at most half of the
// remaining space as garbage, since long-lived records must be moved before the garbage after them can be removed.
func (l *Layout) cleaningThreshold() int64 {
	return min(l.liveBytes+(l.limits.MaxBytes-l.moveReserve()-l.liveBytes)/2, max(2*l.liveBytes, 8*l.limits.SegmentBytes))
}

// extraSegments limits how many segments there are beyond what their bytes need, as each start creates one.
const extraSegments = 128

func (l *Layout) tooManySegments() bool {
	return int64(len(l.segments)) > extraSegments+2*l.totalBytes/l.limits.SegmentBytes
}

// CleaningDue reports whether to move or remove something now, along with writing.
func (l *Layout) CleaningDue() bool {
	return len(l.segments) > 1 && l.moveCredit > 0 && (l.totalBytes > l.cleaningThreshold() || l.tooManySegments())
}

// MustCleanFirst reports whether a record of n bytes does not fit without cleaning. That takes at most moving all live
// records once.
func (l *Layout) MustCleanFirst(n int64) bool {
	return l.totalBytes+roundToBlocks(n)+BlockBytes > l.limits.MaxBytes-l.moveReserve() && len(l.segments) > 1
}

// CountForced counts a cleaning that had to be done at once.
func (l *Layout) CountForced() { l.forcedCleanings++ }

// NextToMove returns the first live record of the oldest segment and its size; none if that segment has none or is the
// tail.
func (l *Layout) NextToMove() (id string, n int64) {
	if len(l.segments) < 2 || l.segments[0].first == nil {
		return "", 0
	}
	p := l.segments[0].first
	return p.id, p.bytes
}

// RemovableSegment returns the oldest segment if it has no live record and is not the tail.
func (l *Layout) RemovableSegment() (number uint64, ok bool) {
	if len(l.segments) < 2 || l.segments[0].first != nil {
		return 0, false
	}
	return l.segments[0].number, true
}

// DropOldestSegment records that the oldest segment was removed.
func (l *Layout) DropOldestSegment() {
	l.totalBytes -= roundToBlocks(l.segments[0].bytes)
	l.segments = slices.Delete(l.segments, 0, 1)
}

// OldestSegment returns the number of the oldest segment, 0 if there is none.
func (l *Layout) OldestSegment() uint64 {
	if len(l.segments) == 0 {
		return 0
	}
	return l.segments[0].number
}

// UsedBytes returns the disk usage of all segments.
func (l *Layout) UsedBytes() int64 { return l.totalBytes }

// LiveBytes returns the size of all live records.
func (l *Layout) LiveBytes() int64 { return l.liveBytes }

// Stats describes the current state of a layout.
type Stats struct {
	Segments        int
	LiveBytes       int64
	UsedBytes       int64 // on disk
	MaxBytes        int64
	WrittenBytes    int64 // in total, including moved ones
	MovedBytes      int64
	ForcedCleanings int // cleanings that had to be done at once
}

// Stats returns the current statistics.
func (l *Layout) Stats() Stats {
	return Stats{len(l.segments), l.liveBytes, l.totalBytes, l.limits.MaxBytes, l.writtenBytes, l.movedBytes, l.forcedCleanings}
}

// CheckInvariants checks that all sums agree, for tests; it returns what is wrong.
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
