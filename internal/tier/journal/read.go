package journal

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// scanBytes is how much of a file is read at once.
const scanBytes = 64 << 10

// Read gives the record at a position; it uses the buffer if that is large enough. Errors: ErrNotFound, or the disk's.
func (j *Journal) Read(p Position, buffer []byte) ([]byte, error) {
	if !j.holds(p) {
		return nil, ErrNotFound
	}
	need := frameBytes + int(p.Length)
	if cap(buffer) < need {
		buffer = make([]byte, need)
	}
	buffer = buffer[:need]
	if err := j.readAt(p, buffer); err != nil {
		return nil, err
	}
	f := parseFrame(buffer)
	record := buffer[frameBytes:]
	if f.length != p.Length || f.checksum != checksum(p, f.generation, record) {
		return nil, ErrNotFound
	}
	return record, nil
}

// readAt reads bytes of a segment, from memory where they wait for the disk. A frame is wholly in one place: syncs take
// whole frames.
func (j *Journal) readAt(p Position, buffer []byte) error {
	j.mu.RLock()
	defer j.mu.RUnlock()
	s := j.find(p.Segment)
	if s == nil || int64(p.Offset)+int64(len(buffer)) > s.end {
		return ErrNotFound
	}
	for _, c := range j.pending {
		if at := int64(p.Offset) - c.offset; c.segment == s && at >= 0 && at < int64(len(c.data)) {
			copy(buffer, c.data[at:])
			return nil
		}
	}
	// The lock is held while reading, so that the segment can't be reclaimed and written over meanwhile.
	if _, err := s.slot.file.ReadAt(buffer, int64(p.Offset)); err != nil {
		return eris.Wrapf(err, "journal: reading %s", s.slot.name)
	}
	return nil
}

// holds says whether the position lies in a live segment.
func (j *Journal) holds(p Position) bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	s := j.find(p.Segment)
	return s != nil && int64(p.Offset)+frameBytes+int64(p.Length) <= s.end
}

func (j *Journal) find(sequence uint64) *segment {
	at, ok := slices.BinarySearchFunc(j.live, sequence, func(s *segment, sequence uint64) int {
		return cmp.Compare(s.sequence, sequence)
	})
	if !ok {
		return nil
	}
	return j.live[at]
}

// Scan gives the records of a segment in their order. The record is valid during the call only. The function may Append.
// An error of the function ends the scan and is returned. Of a segment found damaged at Open it gives what is left.
// Errors: ErrNotFound, or the disk's.
func (j *Journal) Scan(sequence uint64, f func(Position, []byte) error) error {
	j.mu.RLock()
	s := j.find(sequence)
	if s == nil {
		j.mu.RUnlock()
		return ErrNotFound
	}
	end := s.end
	pending := len(j.pending) > 0
	j.mu.RUnlock()
	if pending {
		if err := j.Sync(); err != nil {
			return err
		}
	}
	reached, _, err := scan(s.slot, sequence, end, f)
	if err == nil && reached != end && !s.damaged {
		return eris.Wrapf(ErrNotFound, "journal: %s is damaged at %d", s.slot.name, reached)
	}
	return err
}

// scan reads frames from the header on until one is not whole or the limit is reached, and tells where it stopped and
// the greatest generation that it saw. A generation older than the one before it was left by a loss of power.
func scan(s *slot, sequence uint64, limit int64, f func(Position, []byte) error) (end int64, generation uint32, err error) {
	reader := bufio.NewReaderSize(io.NewSectionReader(s.file, headerBytes, limit-headerBytes), int(min(scanBytes, max(limit, 16))))
	end = headerBytes
	var head [frameBytes]byte
	var record []byte
	for {
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			return end, generation, readError(s, err)
		}
		found := parseFrame(head[:])
		after := end + frameBytes + int64(found.length)
		if found.generation == 0 || found.generation < generation || after > limit {
			return end, generation, nil
		}
		if cap(record) < int(found.length) {
			record = make([]byte, found.length)
		}
		record = record[:found.length]
		if _, err := io.ReadFull(reader, record); err != nil {
			return end, generation, readError(s, err)
		}
		position := Position{Segment: sequence, Offset: uint32(end), Length: found.length}
		if found.checksum != checksum(position, found.generation, record) {
			return end, generation, nil
		}
		end, generation = after, found.generation
		if len(record) == 0 {
			continue
		}
		if err := f(position, record); err != nil {
			return end, generation, err
		}
	}
}

// readError leaves out the end of the file, which is where frames end too.
func readError(s *slot, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return eris.Wrapf(err, "journal: reading %s", s.name)
}
