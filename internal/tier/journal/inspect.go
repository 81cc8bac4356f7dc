package journal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"emberquay/internal/vfs"
)

const (
	// MaxListedFindings limits the findings that are listed; all are counted.
	MaxListedFindings = 100
	// maxSearchBytes limits the part of a file that is searched for records after an unreadable one. It is the size of
	// the largest segments that the control and store planes create.
	maxSearchBytes = 16 << 20
	// maxChecksummedBytes limits the bytes checksummed in one search, whatever lengths the file contains.
	maxChecksummedBytes = 256 << 20
	// maxGenerationGap limits how far the generation of a record found by a search may exceed the highest one read.
	// Text bytes interpreted as a generation are far above it.
	maxGenerationGap = 1 << 16
	// ambiguousCause is added where the disk alone does not show whether acknowledged records are affected.
	ambiguousCause = " (a flipped byte, or power lost within a write)"
	// maxMissingSegments limits the missing segments that are searched for in files without a header.
	maxMissingSegments = 64
)

// ErrNoRing means that the folder contains no segment files, so no journal.
var ErrNoRing = eris.New("no ring of files is in it")

// Finding is one location whose contents differ from what was written.
type Finding struct {
	File    string `json:"file"` // name within the folder
	Offset  int64  `json:"offset"`
	Problem string `json:"problem"`
}

// Findings collects problems: all are counted, the first MaxListedFindings are listed.
type Findings struct {
	Count  int       `json:"count"`
	Listed []Finding `json:"listed"`
}

// Add adds a finding.
func (f *Findings) Add(finding Finding) {
	f.Count++
	if len(f.Listed) < MaxListedFindings {
		f.Listed = append(f.Listed, finding)
	}
}

// Merge adds the findings of another list.
func (f *Findings) Merge(other Findings) {
	for _, finding := range other.Listed {
		f.Add(finding)
	}
	f.Count += other.Count - len(other.Listed)
}

// StopReason is the reason why reading a segment stopped.
type StopReason string

// Values of StopReason.
const (
	// StopFull means that the segment has no room for another record.
	StopFull StopReason = "full"
	// StopUnwritten means that only zeros follow.
	StopUnwritten StopReason = "unwritten"
	// StopNoRecord means that the bytes that follow are no valid record. After the newest record these are leftovers
	// of an earlier lap of the ring or a torn write.
	StopNoRecord StopReason = "no record"
)

// SegmentSummary describes a live segment.
type SegmentSummary struct {
	File        string     `json:"file"` // name within the folder
	Sequence    uint64     `json:"sequence"`
	FileBytes   int64      `json:"file_bytes"`
	Records     int        `json:"records"`
	RecordBytes int64      `json:"record_bytes"` // without frame headers
	End         int64      `json:"end"`          // offset at which reading stopped
	Stop        StopReason `json:"stop"`
}

// Inspection describes the contents of a journal folder.
type Inspection struct {
	Files      int              `json:"files"`    // number of files of the ring
	Segments   []SegmentSummary `json:"segments"` // live segments, oldest first
	Generation uint32           `json:"generation"`
	// Lost reports whether Open would find that the disk lost synced records (Journal.Damaged). Findings may list
	// problems that Open cannot detect, since Open takes the newest segment to end at its first unreadable record.
	Lost     bool     `json:"lost"`
	Findings Findings `json:"findings"`
}

// Inspect reads the journal in a folder as Open does, without writing anything, and passes each record to visit with the
// name of its file; a record is valid only during the call. At an unreadable record it continues with the next segment.
// If another process is writing the journal, segments may change during the read. Errors: ErrNoRing, or the disk's.
func Inspect(files vfs.FS, dir string, visit func(file string, p Position, record []byte)) (*Inspection, error) {
	i := &inspector{files: files, dir: dir, visit: visit}
	defer i.close()
	if err := i.openFiles(); err != nil {
		return nil, err
	}
	if err := i.readSegments(); err != nil {
		return nil, err
	}
	if err := i.findMissingSegments(); err != nil {
		return nil, err
	}
	return &i.found, nil
}

type inspector struct {
	files vfs.FS
	dir   string
	visit func(file string, p Position, record []byte)
	ring  Journal // only its slots, generation and damaged are used
	live  []*segment
	found Inspection
}

// openFiles opens the segment files for reading.
func (i *inspector) openFiles() error {
	names, err := i.files.List(i.dir)
	if err != nil {
		return eris.Wrapf(err, "journal: listing %s", i.dir)
	}
	for _, name := range names {
		if !strings.HasPrefix(name, namePrefix) {
			continue
		}
		path := filepath.Join(i.dir, name)
		file, err := i.files.Open(path)
		if err != nil {
			return eris.Wrapf(err, "journal: opening %s", path)
		}
		i.ring.slots = append(i.ring.slots, &slot{path: path, file: file})
		if i.ring.slots[len(i.ring.slots)-1].size, err = file.Size(); err != nil {
			return eris.Wrapf(err, "journal: opening %s", path)
		}
	}
	if len(i.ring.slots) == 0 {
		return ErrNoRing
	}
	i.found.Files = len(i.ring.slots)
	return nil
}

func (i *inspector) close() {
	for _, s := range i.ring.slots {
		_ = s.file.Close() // errors of closing a file opened for reading do not matter
	}
}

// readSegments reads the live segments and checks that each ends where the header of the next one states.
func (i *inspector) readSegments() error {
	found, err := i.ring.readHeaders()
	if err != nil || len(found) == 0 {
		return err
	}
	newest := found[len(found)-1]
	i.live = slices.DeleteFunc(found, func(s *segment) bool { return s.sequence < newest.oldestSequence })
	i.ring.checkGaps(i.live, newest.oldestSequence)
	for index, s := range i.live {
		s.slot.inUse = true
		summary, generation, err := i.readSegment(s)
		if err != nil {
			return err
		}
		i.ring.generation = max(i.ring.generation, generation)
		i.found.Segments = append(i.found.Segments, summary)
		if index+1 == len(i.live) {
			err = i.checkTail(s, summary, generation)
		} else {
			i.checkEnd(s, i.live[index+1].previousEnd)
		}
		if err != nil {
			return err
		}
	}
	i.found.Generation = i.ring.generation
	i.found.Lost = i.ring.damaged
	return nil
}

func (i *inspector) readSegment(s *segment) (SegmentSummary, uint32, error) {
	summary := SegmentSummary{File: filepath.Base(s.slot.path), Sequence: s.sequence, FileBytes: s.slot.size}
	end, generation, err := scan(s, s.slot.size, func(p Position, record []byte) error {
		summary.Records++
		summary.RecordBytes += int64(len(record))
		i.visit(summary.File, p, record)
		return nil
	})
	if err != nil {
		return summary, 0, err
	}
	s.end, summary.End = end, end
	summary.Stop, err = stopReasonAt(s.slot, end)
	return summary, generation, err
}

// stopReasonAt returns why reading stopped at an offset.
func stopReasonAt(s *slot, end int64) (StopReason, error) {
	if end+frameHeaderBytes > s.size {
		return StopFull, nil
	}
	var head [frameHeaderBytes]byte
	if _, err := s.file.ReadAt(head[:], end); err != nil {
		return "", eris.Wrapf(err, "journal: reading %s", s.path)
	}
	if head == [frameHeaderBytes]byte{} {
		return StopUnwritten, nil
	}
	return StopNoRecord, nil
}

// checkEnd compares the end of a closed segment with the one stated in the header of the next segment.
func (i *inspector) checkEnd(s *segment, expectedEnd int64) {
	if s.end == expectedEnd {
		return
	}
	i.ring.damaged = true
	problem := fmt.Sprintf("segment %d can be read up to here, it went on to %d", s.sequence, expectedEnd)
	i.addFinding(s.slot, s.end, problem)
}

// checkTail searches for damage that Open cannot detect: valid records after the apparent end of the newest segment.
func (i *inspector) checkTail(s *segment, summary SegmentSummary, generation uint32) error {
	if summary.Stop == StopFull {
		return nil
	}
	later, err := i.searchFrames(s.slot, s.sequence, s.end, generation)
	if err != nil {
		return err
	}
	if later.count > 0 {
		i.addFinding(s.slot, s.end, fmt.Sprintf(
			"unreadable record; valid records after it: %d, the first at offset %d%s",
			later.count, later.firstOffset, ambiguousCause))
		return nil
	}
	return i.checkTruncation(s.slot, s.end, generation)
}

// checkTruncation reports a frame of a recent generation that extends past the end of its file. Files have their full size
// before the first record, so either the file was truncated or the frame's length is corrupt.
func (i *inspector) checkTruncation(s *slot, offset int64, generation uint32) error {
	var head [frameHeaderBytes]byte
	if _, err := s.file.ReadAt(head[:], offset); err != nil {
		return eris.Wrapf(err, "journal: reading %s", s.path)
	}
	f := parseFrameHeader(head[:])
	recent := f.generation != 0 && f.generation >= generation && f.generation <= i.ring.generation
	if frameEnd := offset + frameHeaderBytes + int64(f.length); recent && frameEnd > s.size {
		i.addFinding(s, offset, fmt.Sprintf("the record should end at %d, but the file ends at %d", frameEnd, s.size))
	}
	return nil
}

// findMissingSegments searches for missing segments in the files without a valid header. The oldest one may be missing:
// its file may have been about to be overwritten. Whether there was one after the newest is unknown, so that is
// searched for too.
func (i *inspector) findMissingSegments() error {
	next := uint64(1)
	if len(i.live) > 0 {
		next = i.live[len(i.live)-1].sequence + 1
	}
	missing := i.missingSequences()
	found, err := i.searchWithoutHeader(append(slices.Clone(missing), next), "")
	if err != nil {
		return err
	}
	for _, sequence := range missing {
		if !slices.Contains(found, sequence) {
			problem := fmt.Sprintf("segment %d is in no file: its file is missing or entirely unreadable", sequence)
			i.found.Findings.Add(Finding{File: namePrefix + "*", Problem: problem})
		}
	}
	switch {
	case len(i.live) == 0 && len(found) == 0:
		return i.checkNoHeaders()
	case len(i.live) > 0 && i.live[0].sequence > i.live[len(i.live)-1].oldestSequence:
		_, err = i.searchWithoutHeader([]uint64{i.live[len(i.live)-1].oldestSequence}, ambiguousCause)
	}
	return err
}

// missingSequences returns the required segments that are missing, at most maxMissingSegments.
func (i *inspector) missingSequences() []uint64 {
	if len(i.live) == 0 {
		return nil
	}
	var sequences []uint64
	next := i.live[len(i.live)-1].oldestSequence + 1
	for _, s := range i.live {
		for ; next < s.sequence && len(sequences) < maxMissingSegments; next++ {
			sequences = append(sequences, next)
		}
		next = s.sequence + 1
	}
	return sequences
}

// searchWithoutHeader returns those of the segments that have records in files without a valid header. A header is
// synced before the first record after it, so the header was lost. The note is added to each finding.
func (i *inspector) searchWithoutHeader(sequences []uint64, note string) (found []uint64, err error) {
	for _, s := range i.ring.slots {
		valid, err := hasValidHeader(s)
		if err != nil {
			return nil, err
		}
		for n := 0; !valid && n < len(sequences); n++ {
			later, err := i.searchFrames(s, sequences[n], segmentHeaderBytes, 1)
			if err != nil {
				return nil, err
			}
			if later.count == 0 {
				continue
			}
			i.addFinding(s, 0, fmt.Sprintf(
				"invalid header; valid records after it: %d of segment %d, the first at offset %d%s",
				later.count, sequences[n], later.firstOffset, note))
			found = append(found, sequences[n])
		}
	}
	return found, nil
}

func hasValidHeader(s *slot) (bool, error) {
	var b [segmentHeaderBytes]byte
	if n, err := s.file.ReadAt(b[:], 0); err != nil && !errors.Is(err, io.EOF) {
		return false, eris.Wrapf(err, "journal: reading %s", s.path)
	} else if n < segmentHeaderBytes {
		return false, nil
	}
	_, valid := parseSegmentHeader(b[:])
	return valid, nil
}

// checkNoHeaders reports a ring without any valid header, unless all headers are zeros; Open treats it as empty.
func (i *inspector) checkNoHeaders() error {
	for _, s := range i.ring.slots {
		var b [segmentHeaderBytes]byte
		if _, err := s.file.ReadAt(b[:], 0); err != nil && !errors.Is(err, io.EOF) {
			return eris.Wrapf(err, "journal: reading %s", s.path)
		}
		if b != [segmentHeaderBytes]byte{} {
			i.addFinding(s, 0, "no file of the ring has a valid header")
			return nil
		}
	}
	return nil
}

// laterFrames describes the valid frames found after an unreadable location.
type laterFrames struct {
	firstOffset int64
	count       int
}

// searchFrames tries each offset for a valid frame of a segment with at least the given generation.
func (i *inspector) searchFrames(s *slot, sequence uint64, from int64, generation uint32) (laterFrames, error) {
	var found laterFrames
	region := make([]byte, max(0, min(s.size-from, maxSearchBytes)))
	if n, err := s.file.ReadAt(region, from); err != nil && !errors.Is(err, io.EOF) {
		return found, eris.Wrapf(err, "journal: reading %s", s.path)
	} else {
		region = region[:n]
	}
	maxGeneration := uint64(i.ring.generation) + maxGenerationGap
	checksummed := 0
	for offset := 0; offset+frameHeaderBytes <= len(region) && checksummed < maxChecksummedBytes; {
		f := parseFrameHeader(region[offset:])
		frameEnd := int64(offset) + frameHeaderBytes + int64(f.length)
		if f.generation < max(generation, 1) || uint64(f.generation) > maxGeneration || frameEnd > int64(len(region)) {
			offset++
			continue
		}
		checksummed += frameHeaderBytes + int(f.length)
		position := Position{Segment: sequence, Offset: uint32(from + int64(offset)), Length: f.length}
		if f.checksum != checksum(position, f.generation, region[offset+frameHeaderBytes:frameEnd]) {
			offset++
			continue
		}
		if found.count == 0 {
			found.firstOffset = from + int64(offset)
		}
		found.count++
		offset = int(frameEnd)
	}
	return found, nil
}

func (i *inspector) addFinding(s *slot, offset int64, problem string) {
	i.found.Findings.Add(Finding{File: filepath.Base(s.path), Offset: offset, Problem: problem})
}
