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

// namePrefix begins the names of the ring's files; other files of the folder are left alone.
const namePrefix = "ring-"

// Open opens the journal of a folder, which it makes if needed, and gives all records found to replay in their order; a
// record is valid during the call only. An error of replay ends Open and is returned. Errors: those of the disk; bad
// options.
func Open(o Options, replay func(Position, []byte) error) (*Journal, error) {
	if o.Segments < 2 || o.SegmentBytes < 4*headerBytes || o.SegmentBytes > math.MaxUint32 {
		return nil, eris.Errorf("journal: %d segments of %d bytes", o.Segments, o.SegmentBytes)
	}
	if err := o.Files.MkdirAll(o.Dir); err != nil {
		return nil, eris.Wrapf(err, "journal: making %s", o.Dir)
	}
	j := &Journal{options: o, generation: 1}
	if err := j.openSlots(); err != nil {
		j.Close()
		return nil, err
	}
	if err := j.replay(replay); err != nil {
		j.Close()
		return nil, err
	}
	return j, nil
}

// openSlots opens the files that are there and adds those that the options ask for.
func (j *Journal) openSlots() error {
	names, err := j.options.Files.List(j.options.Dir)
	if err != nil {
		return eris.Wrapf(err, "journal: listing %s", j.options.Dir)
	}
	for _, name := range names {
		if !strings.HasPrefix(name, namePrefix) {
			continue
		}
		s, err := j.openSlot(filepath.Join(j.options.Dir, name))
		if err != nil {
			return err
		}
		j.slots = append(j.slots, s)
	}
	for at := 0; len(j.slots) < j.options.Segments; at++ {
		name := filepath.Join(j.options.Dir, fmt.Sprintf("%s%04d", namePrefix, at))
		if !slices.ContainsFunc(j.slots, func(s *slot) bool { return s.name == name }) {
			j.slots = append(j.slots, &slot{name: name, size: j.options.SegmentBytes})
		}
	}
	return nil
}

func (j *Journal) openSlot(name string) (*slot, error) {
	file, err := j.options.Files.OpenReadWrite(name)
	if err != nil {
		return nil, eris.Wrapf(err, "journal: opening %s", name)
	}
	size, err := file.Size()
	if err != nil {
		file.Close()
		return nil, eris.Wrapf(err, "journal: opening %s", name)
	}
	// The name may not have been synced by the process that made the file: named stays false.
	return &slot{name: name, file: file, size: max(size, j.options.SegmentBytes)}, nil
}

// replay finds the live segments, reads them and puts a mark of the new generation behind them.
func (j *Journal) replay(f func(Position, []byte) error) error {
	found, err := j.headers()
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return nil
	}
	newest := found[len(found)-1]
	found = slices.DeleteFunc(found, func(s *segment) bool { return s.sequence < newest.oldest })
	j.checkSequence(found, newest.oldest)
	for at, s := range found {
		s.slot.taken = true
		end, generation, err := scan(s.slot, s.sequence, s.slot.size, f)
		if err != nil {
			return err
		}
		s.end = end
		j.generation = max(j.generation, generation)
		if at+1 < len(found) && found[at+1].previous != end {
			j.damaged, s.damaged = true, true
			s.end = max(end, found[at+1].previous)
		}
	}
	j.live = found
	return j.beginGeneration()
}

// headers gives a segment for each file with a whole header, in the order of their sequence.
func (j *Journal) headers() ([]*segment, error) {
	var found []*segment
	for _, s := range j.slots {
		if s.file == nil {
			continue
		}
		var b [headerBytes]byte
		if n, err := s.file.ReadAt(b[:], 0); err != nil && !errors.Is(err, io.EOF) {
			return nil, eris.Wrapf(err, "journal: reading %s", s.name)
		} else if n < headerBytes {
			continue
		}
		h, ok := parseHeader(b[:])
		if !ok {
			continue
		}
		j.generation = max(j.generation, h.generation)
		found = append(found, &segment{sequence: h.sequence, slot: s, previous: h.previous, oldest: h.oldest})
	}
	slices.SortFunc(found, func(a, b *segment) int { return cmp.Compare(a.sequence, b.sequence) })
	return found, nil
}

// checkSequence looks for segments that are gone. The first may be: it may just have been about to be written over when
// the process ended.
func (j *Journal) checkSequence(found []*segment, oldest uint64) {
	for at := 1; at < len(found); at++ {
		if found[at].sequence != found[at-1].sequence+1 {
			j.damaged = true
		}
	}
	if found[0].sequence > oldest+1 {
		j.damaged = true
	}
}

// beginGeneration puts a mark that is synced before any other record of this generation: a later Open sees it, so what
// this one writes and loses is known by its generation to be older.
func (j *Journal) beginGeneration() error {
	if j.generation == math.MaxUint32 {
		return eris.New("journal: generations are used up")
	}
	j.generation++
	tail := j.tail()
	if tail.end+frameBytes > tail.slot.size {
		return nil // the next header is the mark
	}
	p := Position{Segment: tail.sequence, Offset: uint32(tail.end)}
	mark := appendFrame(nil, p, j.generation, nil)
	j.pending = append(j.pending, &chunk{segment: tail, offset: tail.end, data: mark, barrier: true})
	tail.end += frameBytes
	return nil
}
