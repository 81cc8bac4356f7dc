// Package journal is a write-ahead log of records in a ring of preallocated files (segments) in one folder, which takes at
// most Segments x SegmentBytes:
//
//	j, err := journal.Open(journal.Options{Files: vfs.OS{}, Dir: dir, SegmentBytes: 1 << 20, Segments: 8}, replay)
//	position, err := j.Append(record) // in memory
//	err = j.Sync()                    // all records appended before are on the disk: one write, one fsync
//	record, err = j.Read(position, nil)
//	if j.FreeSegments() < 2 {         // make room by reclaiming the oldest segment
//		err = j.Scan(j.OldestSegment(), func(p journal.Position, record []byte) error { ...append the records still needed... })
//		err = j.Reclaim(j.OldestSegment())
//	}
//
// Invariants: records are replayed in the order of their Append, each complete or not at all, and none without all those
// synced before it. A record whose Sync did not return nil may or may not be replayed by the next Open; what Open has
// replayed is on the disk. A reclaimed record may be replayed again, before all records appended after it, and its segment
// is in use again then: whoever needs a number of free segments reclaims after Open what its records show to be obsolete.
//
// Each frame carries the generation of its writer (the number of the Open) and a checksum over segment, offset, length,
// generation and payload. So bytes of an earlier lap of the ring, and bytes left after a torn frame by a power loss, are
// never taken for records.
//
// A Journal is safe for concurrent use, but only one goroutine may call Append, Scan with Reclaim, and Reset.
package journal

import (
	"sync"

	"github.com/rotisserie/eris"

	"emberquay/internal/vfs"
)

// Errors of the journal. All other errors come from the disk.
var (
	// ErrFull means that no segment is free; the oldest must be reclaimed first.
	ErrFull = eris.New("journal: no free segment")
	// ErrRecordSize means that the record is empty or longer than MaxRecordBytes.
	ErrRecordSize = eris.New("journal: record is empty or too long")
	// ErrNotFound means that the position holds no such record, or no longer does.
	ErrNotFound = eris.New("journal: no record at this position")
	// ErrNotOldest means that the segment is not the oldest one, or is the one being written.
	ErrNotOldest = eris.New("journal: not the oldest closed segment")
)

// Options configure a journal.
type Options struct {
	Files        vfs.FS
	Dir          string
	SegmentBytes int64 // per file, including frame and segment headers; at most 4 GiB
	Segments     int   // number of files in the ring, at least 2
}

// Position locates a record. It is valid until its segment is reclaimed.
type Position struct {
	Segment uint64 // sequence number of the segment; starts at 1 and is never reused
	Offset  uint32 // of the frame in the segment, bytes
	Length  uint32 // of the record, bytes
}

// Journal is an open journal.
type Journal struct {
	options Options

	mu          sync.RWMutex
	generation  uint32
	slots       []*slot         // one per file; a free slot has no segment
	live        []*segment      // oldest first; the last one is being written
	pending     []*pendingWrite // not yet on the disk, in order
	damaged     bool
	spareBuffer []byte // reused for the next pendingWrite

	syncMu sync.Mutex // held during a Sync
}

// slot is one file of the ring.
type slot struct {
	path       string
	file       vfs.File // nil: not created yet
	size       int64
	inUse      bool // by a segment in Journal.live
	nameSynced bool // the directory entry is synced
}

// segment is the use of a slot in one lap of the ring.
type segment struct {
	sequence       uint64
	slot           *slot
	end            int64  // offset of the next frame
	previousEnd    int64  // end of the preceding segment, 0 if that was dropped
	oldestSequence uint64 // of the oldest live segment when this one was started
	generation     uint32 // of the process that started it; its frames have the same one or later ones
	records        int    // number of its records
	damaged        bool   // found at Open: its frames end before previousEnd of the next segment
}

// pendingWrite is a run of bytes to be written. A barrier is synced on its own, before anything after it is written.
type pendingWrite struct {
	segment *segment
	offset  int64
	data    []byte
	barrier bool
}

// MaxRecordBytes returns the maximum length of a record.
func (j *Journal) MaxRecordBytes() int {
	return int(j.options.SegmentBytes) - segmentHeaderBytes - 2*frameHeaderBytes
}

// Append adds a copy of the record, in memory; it is on the disk once a later Sync has returned nil.
// Errors: ErrRecordSize, ErrFull.
func (j *Journal) Append(record []byte) (Position, error) {
	if len(record) == 0 || len(record) > j.MaxRecordBytes() {
		return Position{}, ErrRecordSize
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	frameLength := int64(frameHeaderBytes + len(record))
	if tail := j.tail(); tail == nil || tail.end+frameLength > tail.slot.size {
		if err := j.roll(); err != nil {
			return Position{}, err
		}
	}
	tail := j.tail()
	position := Position{Segment: tail.sequence, Offset: uint32(tail.end), Length: uint32(len(record))}
	write := j.writeFor(tail)
	write.data = appendFrame(write.data, position, j.generation, record)
	tail.end += frameLength
	tail.records++
	return position, nil
}

// RoomInSegment returns the length of the longest record that the newest segment takes yet; 0: none.
func (j *Journal) RoomInSegment() int {
	j.mu.RLock()
	defer j.mu.RUnlock()
	tail := j.tail()
	if tail == nil {
		return 0
	}
	return max(0, int(tail.slot.size-tail.end)-frameHeaderBytes)
}

// StartSegment has the next record begin a new segment, unless the newest one holds no record. Error: ErrFull.
func (j *Journal) StartSegment() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if tail := j.tail(); tail != nil && tail.records == 0 {
		return nil
	}
	return j.roll()
}

// NewestIsEmpty reports whether the newest segment holds no record, so that StartSegment starts none.
func (j *Journal) NewestIsEmpty() bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	tail := j.tail()
	return tail != nil && tail.records == 0
}

// RoomAfter returns the room that a record of some length leaves in a segment with room for one, see RoomInSegment.
func RoomAfter(room, length int) int { return max(0, room-length-frameHeaderBytes) }

// FreeSegments returns the number of segments that can be started before Append returns ErrFull.
func (j *Journal) FreeSegments() int {
	j.mu.RLock()
	defer j.mu.RUnlock()
	free := 0
	for _, s := range j.slots {
		if !s.inUse {
			free++
		}
	}
	return free
}

// OldestSegment returns the sequence number of the oldest segment, or 0 if there is none yet.
func (j *Journal) OldestSegment() uint64 {
	j.mu.RLock()
	defer j.mu.RUnlock()
	if len(j.live) == 0 {
		return 0
	}
	return j.live[0].sequence
}

// NewestSegment returns the sequence number of the segment being written, or 0 if there is none yet.
func (j *Journal) NewestSegment() uint64 {
	j.mu.RLock()
	defer j.mu.RUnlock()
	if len(j.live) == 0 {
		return 0
	}
	return j.tail().sequence
}

// PendingBytes returns the number of appended bytes that are not synced yet.
func (j *Journal) PendingBytes() int {
	j.mu.RLock()
	defer j.mu.RUnlock()
	total := 0
	for _, w := range j.pending {
		total += len(w.data)
	}
	return total
}

// Damaged reports whether Open found that the disk lost synced records. Reset clears it.
func (j *Journal) Damaged() bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.damaged
}

// Reclaim frees the oldest segment. Its file is overwritten only after all records appended before this call are synced,
// so records copied forward need no Sync before it. Error: ErrNotOldest.
func (j *Journal) Reclaim(segment uint64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.live) < 2 || j.live[0].sequence != segment {
		return ErrNotOldest
	}
	j.live[0].slot.inUse = false
	j.live = j.live[1:]
	return nil
}

// Reset drops all records, atomically at its last sync. Errors: the disk's.
func (j *Journal) Reset() error {
	if err := j.Sync(); err != nil {
		return err
	}
	j.mu.Lock()
	err := j.roll()
	if err == ErrFull { // the oldest may be freed first: if that is all that a crash leaves done, the next Reset drops the rest
		j.live[0].slot.inUse = false
		j.live = j.live[1:]
		err = j.roll()
	}
	if err != nil {
		j.mu.Unlock()
		return err
	}
	for _, s := range j.live[:len(j.live)-1] {
		s.slot.inUse = false
	}
	j.live = j.live[len(j.live)-1:]
	tail := j.tail()
	tail.previousEnd, tail.oldestSequence = 0, tail.sequence
	j.pending = []*pendingWrite{{segment: tail, data: appendSegmentHeader(nil, tail, j.generation), barrier: true}}
	j.mu.Unlock()
	if err := j.Sync(); err != nil {
		return err
	}
	j.mu.Lock()
	j.damaged = false
	j.mu.Unlock()
	return nil
}

// Close closes the files; records that are not synced may be lost.
func (j *Journal) Close() error {
	j.syncMu.Lock()
	defer j.syncMu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	var firstErr error
	for _, s := range j.slots {
		if s.file == nil {
			continue
		}
		if err := s.file.Close(); err != nil && firstErr == nil {
			firstErr = eris.Wrapf(err, "journal: closing %s", s.path)
		}
		s.file = nil
	}
	return firstErr
}

func (j *Journal) tail() *segment {
	if len(j.live) == 0 {
		return nil
	}
	return j.live[len(j.live)-1]
}

// writeFor returns the pendingWrite to which the next frame of a segment is added.
func (j *Journal) writeFor(tail *segment) *pendingWrite {
	if n := len(j.pending); n > 0 {
		if last := j.pending[n-1]; last.segment == tail && !last.barrier {
			return last
		}
	}
	w := &pendingWrite{segment: tail, offset: tail.end, data: j.spareBuffer}
	j.spareBuffer = nil
	j.pending = append(j.pending, w)
	return w
}

// roll starts a new segment. Its header is a barrier, so that its frames never follow the header of an earlier lap.
func (j *Journal) roll() error {
	var free *slot
	for _, s := range j.slots {
		if !s.inUse {
			free = s
			break
		}
	}
	if free == nil {
		return ErrFull
	}
	next := &segment{sequence: 1, slot: free, end: segmentHeaderBytes, generation: j.generation}
	if last := j.tail(); last != nil {
		next.sequence = last.sequence + 1
		next.previousEnd = last.end
		next.oldestSequence = j.live[0].sequence
	} else {
		next.oldestSequence = next.sequence
	}
	free.inUse = true
	j.live = append(j.live, next)
	j.pending = append(j.pending, &pendingWrite{segment: next, data: appendSegmentHeader(nil, next, j.generation), barrier: true})
	return nil
}
