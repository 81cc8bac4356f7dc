package journal

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// namePrefix is the name prefix of the segment files; other files in the folder are ignored.
const namePrefix = "ring-"

// Open opens the journal in a folder, which it creates if needed, and passes all records to replay in order; a record is
// valid only during the call. An error of replay aborts Open and is returned. Other errors: the disk's, invalid options.
func Open(o Options, replay func(Position, []byte) error) (*Journal, error) {
	if o.Segments < 2 || o.SegmentBytes < 4*segmentHeaderBytes || o.SegmentBytes > math.MaxUint32 {
		return nil, eris.Errorf("journal: invalid options: %d segments of %d bytes", o.Segments, o.SegmentBytes)
	}
	if err := o.Files.MkdirAll(o.Dir); err != nil {
		return nil, eris.Wrapf(err, "journal: creating %s", o.Dir)
	}
	j := &Journal{options: o, generation: 1}
	if err := j.openFiles(); err != nil {
		j.Close()
		return nil, err
	}
	if err := j.replay(replay); err != nil {
		j.Close()
		return nil, err
	}
	return j, nil
}

// openFiles opens the existing segment files and adds slots for those missing from Options.Segments.
func (j *Journal) openFiles() error {
	names, err := j.options.Files.List(j.options.Dir)
	if err != nil {
		return eris.Wrapf(err, "journal: listing %s", j.options.Dir)
	}
	for _, name := range names {
		if !strings.HasPrefix(name, namePrefix) {
			continue
		}
		s, err := j.openFile(filepath.Join(j.options.Dir, name))
		if err != nil {
			return err
		}
		j.slots = append(j.slots, s)
	}
	for n := 0; len(j.slots) < j.options.Segments; n++ {
		path := filepath.Join(j.options.Dir, fmt.Sprintf("%s%04d", namePrefix, n))
		if !slices.ContainsFunc(j.slots, func(s *slot) bool { return s.path == path }) {
			j.slots = append(j.slots, &slot{path: path, size: j.options.SegmentBytes})
		}
	}
	return nil
}

func (j *Journal) openFile(path string) (*slot, error) {
	file, err := j.options.Files.OpenReadWrite(path)
	if err != nil {
		return nil, eris.Wrapf(err, "journal: opening %s", path)
	}
	size, err := file.Size()
	if err != nil {
		file.Close()
		return nil, eris.Wrapf(err, "journal: opening %s", path)
	}
	// The process that created the file may not have synced its directory entry, so nameSynced stays false.
	return &slot{path: path, file: file, size: max(size, j.options.SegmentBytes)}, nil
}

// replay finds the live segments, reads them and starts a new generation after them.
func (j *Journal) replay(visit func(Position, []byte) error) error {
	found, err := j.readHeaders()
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return nil
	}
	newest := found[len(found)-1]
	found = slices.DeleteFunc(found, func(s *segment) bool { return s.sequence < newest.oldestSequence })
	j.checkGaps(found, newest.oldestSequence)
	for i, s := range found {
		s.slot.inUse = true
		end, generation, err := scan(s, s.slot.size, func(p Position, record []byte) error {
			s.records++
			return visit(p, record)
		})
		if err != nil {
			return err
		}
		s.end = end
		j.generation = max(j.generation, generation)
		if i+1 < len(found) && found[i+1].previousEnd != end {
			j.damaged, s.damaged = true, true
			s.end = max(end, found[i+1].previousEnd)
		}
	}
	j.live = found
	// The process that wrote the last frames may have ended before it synced them. All before them were synced in order.
	if err := newest.slot.file.Sync(); err != nil {
		return eris.Wrapf(err, "journal: syncing %s", newest.slot.path)
	}
	return j.startGeneration()
}

// DropNewest drops all segments from first on, so that none of their records is replayed again. It may be called directly
// after Open only, and not for the oldest segment. Errors: the disk's, after which the journal can't be used.
func (j *Journal) DropNewest(first uint64) error {
	j.syncMu.Lock()
	defer j.syncMu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending = nil // the marker of this generation, which is repeated below
	for len(j.live) > 1 && j.tail().sequence >= first {
		// Newest first and each synced, so that no gap is left wherever this ends.
		dropped := j.tail().slot
		if _, err := dropped.file.WriteAt(make([]byte, segmentHeaderBytes), 0); err != nil {
			return eris.Wrapf(err, "journal: writing %s", dropped.path)
		}
		if err := dropped.file.Sync(); err != nil {
			return eris.Wrapf(err, "journal: syncing %s", dropped.path)
		}
		dropped.inUse = false
		j.live = j.live[:len(j.live)-1]
	}
	return j.startGeneration()
}

// readHeaders returns a segment for each file with a valid header, ordered by sequence.
func (j *Journal) readHeaders() ([]*segment, error) {
	var found []*segment
	for _, s := range j.slots {
		if s.file == nil {
			continue
		}
		var b [segmentHeaderBytes]byte
		if n, err := s.file.ReadAt(b[:], 0); err != nil && !errors.Is(err, io.EOF) {
			return nil, eris.Wrapf(err, "journal: reading %s", s.path)
		} else if n < segmentHeaderBytes {
			continue
		}
		h, ok := parseSegmentHeader(b[:])
		if !ok {
			continue
		}
		j.generation = max(j.generation, h.generation)
		found = append(found, &segment{
			sequence: h.sequence, slot: s, previousEnd: h.previousEnd, oldestSequence: h.oldestSequence, generation: h.generation,
		})
	}
	slices.SortFunc(found, func(a, b *segment) int { return cmp.Compare(a.sequence, b.sequence) })
	return found, nil
}

// checkGaps checks that no segment is missing. The oldest one may be: the process may have ended while its file was being
// overwritten.
func (j *Journal) checkGaps(found []*segment, oldest uint64) {
	for i := 1; i < len(found); i++ {
		if found[i].sequence != found[i-1].sequence+1 {
			j.damaged = true
		}
	}
	if found[0].sequence > oldest+1 {
		j.damaged = true
	}
}

// startGeneration appends a marker that is synced before any record of the new generation. A later Open reads it and uses
// a higher generation, so it can tell frames that this process wrote and lost from its own.
func (j *Journal) startGeneration() error {
	if j.generation == math.MaxUint32 {
		return eris.New("journal: generation numbers exhausted")
	}
	j.generation++
	tail := j.tail()
	if tail.end+frameHeaderBytes > tail.slot.size {
		return nil // the header of the next segment serves as the marker
	}
	p := Position{Segment: tail.sequence, Offset: uint32(tail.end)}
	marker := appendFrame(nil, p, j.generation, nil)
	j.pending = append(j.pending, &pendingWrite{segment: tail, offset: tail.end, data: marker, barrier: true})
	tail.end += frameHeaderBytes
	return nil
}
