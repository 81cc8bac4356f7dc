// Package journal keeps records in a ring of preallocated files (segments) of one folder, within a budget of
// Segments x SegmentBytes:
//
//	j, err := journal.Open(journal.Options{Files: vfs.OS{}, Dir: dir, SegmentBytes: 1 << 20, Segments: 8}, replay)
//	position, err := j.Append(record) // in memory
//	err = j.Sync()                    // all that was appended before is on the disk: one write, one fsync
//	record, err = j.Read(position, nil)
//	if j.FreeSegments() < 2 {                 // the oldest segment has to make room
//		err = j.Scan(j.OldestSegment(), func(p journal.Position, record []byte) error { ...append what is still needed... })
//		err = j.Reclaim(j.OldestSegment())
//	}
//
// Invariants: records come back in the order of their appending, each whole or not at all, and none without all those
// synced before it. A record whose Sync did not return nil may be found at the next Open or not. A record that was
// reclaimed may be found once more, before all that was appended after it.
//
// Every frame carries the generation of its writer and a checksum over segment, offset, generation and payload; so the
// bytes of an earlier lap, and those that a loss of power left behind a torn frame, are never taken for records.
//
// A Journal may be used by several goroutines; Append, Scan with Reclaim, and Restart belong to one owner.
package journal

import (
	"sync"

	"github.com/rotisserie/eris"

	"emberquay/internal/vfs"
)

// Errors of the journal. Any other error comes from the disk.
var (
	// ErrFull: no segment is free; the oldest has to be reclaimed first.
	ErrFull = eris.New("journal: no free segment")
	// ErrRecordSize: the record is empty or longer than MaxRecordBytes.
	ErrRecordSize = eris.New("journal: record is empty or too long")
	// ErrNotFound: there is no such record at the position (any more).
	ErrNotFound = eris.New("journal: no record at this position")
	// ErrNotOldest: only the oldest segment can be reclaimed, and not the one being written.
	ErrNotOldest = eris.New("journal: not the oldest closed segment")
)

// Options of a journal.
type Options struct {
	Files        vfs.FS
	Dir          string
	SegmentBytes int64 // of each file, frames and header included; 4 GiB at most
	Segments     int   // files in the ring, at least 2
}

// Position is where a record is; it is valid until its segment is reclaimed.
type Position struct {
	Segment uint64 // counts from 1 and is never used twice
	Offset  uint32 // of the frame
	Length  uint32 // of the record, bytes
}

// Journal is an open ring.
type Journal struct {
	options Options

	mu         sync.RWMutex
	generation uint32
	slots      []*slot    // each a file; those free have no segment
	live       []*segment // oldest first; the last is written
	pending    []*chunk   // not yet on the disk, in order
	damaged    bool
	spare      []byte // a buffer for the next chunk

	syncing sync.Mutex // held by the one Sync under way
}

// slot is a file of the ring.
type slot struct {
	name  string
	file  vfs.File // nil: not made yet
	size  int64
	taken bool // by a live segment
	named bool // the name has been synced
}

// segment is a slot in one lap.
type segment struct {
	sequence uint64
	slot     *slot
	end      int64 // where the next frame goes
	previous int64 // end of the segment before it, 0 if it was dropped
	oldest   uint64
	damaged  bool // found so at Open: its frames end before they should
}

// chunk is a run of bytes that waits for the disk. A barrier is synced by itself, before anything behind it is written.
type chunk struct {
	segment *segment
	offset  int64
	data    []byte
	barrier bool
}

// MaxRecordBytes is the greatest length of a record, bytes.
func (j *Journal) MaxRecordBytes() int {
	return int(j.options.SegmentBytes) - headerBytes - 2*frameBytes
}

// Append adds a record, in memory: it is on the disk after the next Sync that returns nil. The record is copied.
// Errors: ErrRecordSize, ErrFull.
func (j *Journal) Append(record []byte) (Position, error) {
	if len(record) == 0 || len(record) > j.MaxRecordBytes() {
		return Position{}, ErrRecordSize
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	need := int64(frameBytes + len(record))
	if tail := j.tail(); tail == nil || tail.end+need > tail.slot.size {
		if err := j.roll(); err != nil {
			return Position{}, err
		}
	}
	tail := j.tail()
	position := Position{Segment: tail.sequence, Offset: uint32(tail.end), Length: uint32(len(record))}
	waiting := j.open(tail)
	waiting.data = appendFrame(waiting.data, position, j.generation, record)
	tail.end += need
	return position, nil
}

// FreeSegments counts the segments that can be begun before Append gives ErrFull.
func (j *Journal) FreeSegments() int {
	j.mu.RLock()
	defer j.mu.RUnlock()
	free := 0
	for _, s := range j.slots {
		if !s.taken {
			free++
		}
	}
	return free
}

// OldestSegment is the number of the oldest segment; 0: there is none yet.
func (j *Journal) OldestSegment() uint64 {
	j.mu.RLock()
	defer j.mu.RUnlock()
	if len(j.live) == 0 {
		return 0
	}
	return j.live[0].sequence
}

// NewestSegment is the segment that is written; 0: there is none yet.
func (j *Journal) NewestSegment() uint64 {
	j.mu.RLock()
	defer j.mu.RUnlock()
	if len(j.live) == 0 {
		return 0
	}
	return j.tail().sequence
}

// PendingBytes is the number of bytes that wait for Sync.
func (j *Journal) PendingBytes() int {
	j.mu.RLock()
	defer j.mu.RUnlock()
	sum := 0
	for _, c := range j.pending {
		sum += len(c.data)
	}
	return sum
}

// Damaged says that records which had been synced were not found at Open: the disk lost them. Reset ends that.
func (j *Journal) Damaged() bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.damaged
}

// Reclaim gives the oldest segment free. Its file is written over only after all that was appended before this call has
// been synced, so records appended anew need no Sync of their own first. Error: ErrNotOldest.
func (j *Journal) Reclaim(segment uint64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.live) < 2 || j.live[0].sequence != segment {
		return ErrNotOldest
	}
	j.live[0].slot.taken = false
	j.live = j.live[1:]
	return nil
}

// Reset drops all records, in one step once it is synced. Errors: the disk's.
func (j *Journal) Reset() error {
	if err := j.Sync(); err != nil {
		return err
	}
	j.mu.Lock()
	err := j.roll()
	if err == ErrFull { // the oldest may go first: whatever is found without it is dropped by the next Reset
		j.live[0].slot.taken = false
		j.live = j.live[1:]
		err = j.roll()
	}
	if err != nil {
		j.mu.Unlock()
		return err
	}
	for _, s := range j.live[:len(j.live)-1] {
		s.slot.taken = false
	}
	j.live = j.live[len(j.live)-1:]
	tail := j.tail()
	tail.previous, tail.oldest = 0, tail.sequence
	j.pending = []*chunk{{segment: tail, data: appendHeader(nil, tail, j.generation), barrier: true}}
	j.mu.Unlock()
	if err := j.Sync(); err != nil {
		return err
	}
	j.mu.Lock()
	j.damaged = false
	j.mu.Unlock()
	return nil
}

// Close closes the files; what was not synced may be lost.
func (j *Journal) Close() error {
	j.syncing.Lock()
	defer j.syncing.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	var first error
	for _, s := range j.slots {
		if s.file == nil {
			continue
		}
		if err := s.file.Close(); err != nil && first == nil {
			first = eris.Wrapf(err, "journal: closing %s", s.name)
		}
		s.file = nil
	}
	return first
}

func (j *Journal) tail() *segment {
	if len(j.live) == 0 {
		return nil
	}
	return j.live[len(j.live)-1]
}

// open is the chunk that takes the next frames of a segment.
func (j *Journal) open(tail *segment) *chunk {
	if n := len(j.pending); n > 0 {
		if last := j.pending[n-1]; last.segment == tail && !last.barrier {
			return last
		}
	}
	c := &chunk{segment: tail, offset: tail.end, data: j.spare}
	j.spare = nil
	j.pending = append(j.pending, c)
	return c
}

// roll begins a segment. Its header is a barrier: frames are never behind the header of an earlier lap.
func (j *Journal) roll() error {
	var free *slot
	for _, s := range j.slots {
		if !s.taken {
			free = s
			break
		}
	}
	if free == nil {
		return ErrFull
	}
	next := &segment{sequence: 1, slot: free, end: headerBytes}
	if last := j.tail(); last != nil {
		next.sequence = last.sequence + 1
		next.previous = last.end
		next.oldest = j.live[0].sequence
	} else {
		next.oldest = next.sequence
	}
	free.taken = true
	j.live = append(j.live, next)
	j.pending = append(j.pending, &chunk{segment: next, data: appendHeader(nil, next, j.generation), barrier: true})
	return nil
}
