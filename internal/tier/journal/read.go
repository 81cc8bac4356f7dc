package journal

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// scanBufferBytes is the size of one read of a file.
const scanBufferBytes = 64 << 10

// Read returns the record at a position. It uses the buffer if that is large enough. Errors: ErrNotFound, or the disk's.
func (j *Journal) Read(p Position, buffer []byte) ([]byte, error) {
	if !j.contains(p) {
		return nil, ErrNotFound
	}
	frameLength := frameHeaderBytes + int(p.Length)
	if cap(buffer) < frameLength {
		buffer = make([]byte, frameLength)
	}
	buffer = buffer[:frameLength]
	if err := j.readAt(p, buffer); err != nil {
		return nil, err
	}
	f := parseFrameHeader(buffer)
	record := buffer[frameHeaderBytes:]
	if f.length != p.Length || f.checksum != checksum(p, f.generation, record) {
		return nil, ErrNotFound
	}
	return record, nil
}

// readAt reads bytes of a segment, from memory if they are pending. A frame is never split between memory and disk: a
// sync writes complete frames.
func (j *Journal) readAt(p Position, buffer []byte) error {
	j.mu.RLock()
	defer j.mu.RUnlock()
	s := j.findSegment(p.Segment)
	if s == nil || int64(p.Offset)+int64(len(buffer)) > s.end {
		return ErrNotFound
	}
	for _, w := range j.pending {
		if offset := int64(p.Offset) - w.offset; w.segment == s && offset >= 0 && offset < int64(len(w.data)) {
			copy(buffer, w.data[offset:])
			return nil
		}
	}
	// The lock is held during the read, so that the segment cannot be reclaimed and overwritten meanwhile.
	if _, err := s.slot.file.ReadAt(buffer, int64(p.Offset)); err != nil {
		return eris.Wrapf(err, "journal: reading %s", s.slot.path)
	}
	return nil
}

// contains reports whether the position lies within a live segment.
func (j *Journal) contains(p Position) bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	s := j.findSegment(p.Segment)
	return s != nil && int64(p.Offset)+frameHeaderBytes+int64(p.Length) <= s.end
}

func (j *Journal) findSegment(sequence uint64) *segment {
	index, ok := slices.BinarySearchFunc(j.live, sequence, func(s *segment, sequence uint64) int {
		return cmp.Compare(s.sequence, sequence)
	})
	if !ok {
		return nil
	}
	return j.live[index]
}

// Scan passes the records of a segment to visit in order. A record is valid only during the call; visit may call Append.
// An error of visit aborts the scan and is returned. Of a segment found damaged at Open, Scan passes the readable records.
// Other errors: ErrNotFound, or the disk's.
func (j *Journal) Scan(sequence uint64, visit func(Position, []byte) error) error {
	j.mu.RLock()
	s := j.findSegment(sequence)
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
	reached, _, err := scan(s, end, visit)
	if err == nil && reached != end && !s.damaged {
		return eris.Wrapf(ErrNotFound, "journal: %s is damaged at %d", s.slot.path, reached)
	}
	return err
}

// scan reads frames after the segment header until an invalid one or the limit. It returns where it stopped and the
// highest generation seen. A frame of a lower generation than the one before it, or than the segment's header, is a leftover
// of a power loss or of dropped segments.
func scan(in *segment, limit int64, visit func(Position, []byte) error) (end int64, generation uint32, err error) {
	s := in.slot
	generation = in.generation
	reader := bufio.NewReaderSize(io.NewSectionReader(s.file, segmentHeaderBytes, limit-segmentHeaderBytes), int(min(scanBufferBytes, max(limit, 16))))
	end = segmentHeaderBytes
	var head [frameHeaderBytes]byte
	var record []byte
	for {
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			return end, generation, ignoreEOF(s, err)
		}
		header := parseFrameHeader(head[:])
		frameEnd := end + frameHeaderBytes + int64(header.length)
		if header.generation == 0 || header.generation < generation || frameEnd > limit {
			return end, generation, nil
		}
		if cap(record) < int(header.length) {
			record = make([]byte, header.length)
		}
		record = record[:header.length]
		if _, err := io.ReadFull(reader, record); err != nil {
			return end, generation, ignoreEOF(s, err)
		}
		position := Position{Segment: in.sequence, Offset: uint32(end), Length: header.length}
		if header.checksum != checksum(position, header.generation, record) {
			return end, generation, nil
		}
		end, generation = frameEnd, header.generation
		if len(record) == 0 {
			continue
		}
		if err := visit(position, record); err != nil {
			return end, generation, err
		}
	}
}

// ignoreEOF returns nil at the end of the file, which also ends the frames.
func ignoreEOF(s *slot, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return eris.Wrapf(err, "journal: reading %s", s.path)
}
