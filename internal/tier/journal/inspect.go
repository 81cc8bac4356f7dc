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
	// MaxListedFindings bounds the findings that are listed; all are counted.
	MaxListedFindings = 100
	// searchBytes bounds the part of a file that is searched for records behind a place that cannot be read: as
	// much as the longest segments that the planes make.
	searchBytes = 16 << 20
	// searchWork bounds the bytes of which checksums are computed in one search, whatever the file announces.
	searchWork = 256 << 20
	// searchGenerations: a record found by search may be so many starts later than all that was read before it.
	// Bytes of texts taken for a generation are far above.
	searchGenerations = 1 << 16
	// lapsed is told where the disk alone cannot say whether what was acknowledged is touched.
	lapsed = " (a flipped byte, or power lost within a write)"
	// searchSegments bounds the segments in a row that are looked for in files without a header.
	searchSegments = 64
)

// ErrNoRing: no file of the folder belongs to a ring.
var ErrNoRing = eris.New("no ring of files is in it")

// Finding is a place that cannot be read as it was written.
type Finding struct {
	File    string `json:"file"` // name in the folder
	Offset  int64  `json:"offset"`
	Problem string `json:"problem"`
}

// Findings are what was found to be wrong: all are counted, the first MaxListedFindings kept.
type Findings struct {
	Count  int       `json:"count"`
	Listed []Finding `json:"listed"`
}

// Add takes one more.
func (f *Findings) Add(d Finding) {
	f.Count++
	if len(f.Listed) < MaxListedFindings {
		f.Listed = append(f.Listed, d)
	}
}

// Merge takes those of another list.
func (f *Findings) Merge(other Findings) {
	for _, d := range other.Listed {
		f.Add(d)
	}
	f.Count += other.Count - len(other.Listed)
}

// StopReason says why the reading of a segment ended where it did.
type StopReason string

// The reasons.
const (
	// StopFull: no further record had room.
	StopFull StopReason = "full"
	// StopUnwritten: nothing but zeros.
	StopUnwritten StopReason = "unwritten"
	// StopNoRecord: bytes that are no whole record. Behind the newest record these are what an earlier lap of
	// the ring left, or a write that was cut short.
	StopNoRecord StopReason = "no record"
)

// SegmentSummary is a live segment as it was found.
type SegmentSummary struct {
	File        string     `json:"file"` // name in the folder
	Sequence    uint64     `json:"sequence"`
	FileBytes   int64      `json:"file_bytes"`
	Records     int        `json:"records"`
	RecordBytes int64      `json:"record_bytes"` // without their frames
	End         int64      `json:"end"`          // offset at which the reading stopped
	Stop        StopReason `json:"stop"`
}

// Inspection is what a folder holds.
type Inspection struct {
	Files      int              `json:"files"`    // of the ring
	Segments   []SegmentSummary `json:"segments"` // live ones, the oldest first
	Generation uint32           `json:"generation"`
	// Lost says that Open finds the disk to have lost what was synced (Journal.Damaged). Findings may hold more
	// than Open can know: it takes the newest segment to end where it cannot be read.
	Lost     bool     `json:"lost"`
	Findings Findings `json:"findings"`
}

// Inspect reads the ring of a folder as Open does, without writing anything, and gives each record to the
// function with the name of its file; a record is valid during the call only. Where something cannot be read
// it goes on with the next segment. Beside a process that writes, segments may change while they are read.
// Errors: ErrNoRing, or the disk's.
func Inspect(files vfs.FS, dir string, each func(file string, p Position, record []byte)) (*Inspection, error) {
	i := &inspector{files: files, dir: dir, each: each}
	defer i.close()
	if err := i.openFiles(); err != nil {
		return nil, err
	}
	if err := i.readSegments(); err != nil {
		return nil, err
	}
	if err := i.searchMissing(); err != nil {
		return nil, err
	}
	return &i.found, nil
}

type inspector struct {
	files vfs.FS
	dir   string
	each  func(file string, p Position, record []byte)
	ring  Journal // its slots only
	live  []*segment
	found Inspection
}

// openFiles opens the files of the ring for reading.
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
		i.ring.slots = append(i.ring.slots, &slot{name: path, file: file})
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
		_ = s.file.Close() // it was only read
	}
}

// readSegments reads the live segments and checks that each ends where the next one's header says.
func (i *inspector) readSegments() error {
	found, err := i.ring.headers()
	if err != nil || len(found) == 0 {
		return err
	}
	newest := found[len(found)-1]
	i.live = slices.DeleteFunc(found, func(s *segment) bool { return s.sequence < newest.oldest })
	i.ring.checkSequence(i.live, newest.oldest)
	for at, s := range i.live {
		s.slot.taken = true
		one, generation, err := i.readSegment(s)
		if err != nil {
			return err
		}
		i.ring.generation = max(i.ring.generation, generation)
		i.found.Segments = append(i.found.Segments, one)
		if at+1 == len(i.live) {
			err = i.checkTail(s, one, generation)
		} else {
			i.checkEnd(s, i.live[at+1].previous)
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
	one := SegmentSummary{File: filepath.Base(s.slot.name), Sequence: s.sequence, FileBytes: s.slot.size}
	end, generation, err := scan(s.slot, s.sequence, s.slot.size, func(p Position, record []byte) error {
		one.Records++
		one.RecordBytes += int64(len(record))
		i.each(one.File, p, record)
		return nil
	})
	if err != nil {
		return one, 0, err
	}
	s.end, one.End = end, end
	one.Stop, err = stopAt(s.slot, end)
	return one, generation, err
}

// stopAt says what stands where a reading stopped.
func stopAt(s *slot, end int64) (StopReason, error) {
	if end+frameBytes > s.size {
		return StopFull, nil
	}
	var head [frameBytes]byte
	if _, err := s.file.ReadAt(head[:], end); err != nil {
		return "", eris.Wrapf(err, "journal: reading %s", s.name)
	}
	if head == [frameBytes]byte{} {
		return StopUnwritten, nil
	}
	return StopNoRecord, nil
}

// checkEnd: the header of the next segment says where a closed one ends.
func (i *inspector) checkEnd(s *segment, should int64) {
	if s.end == should {
		return
	}
	i.ring.damaged = true
	problem := fmt.Sprintf("segment %d can be read up to here, it went on to %d", s.sequence, should)
	i.damage(s.slot, s.end, problem)
}

// checkTail looks for what Open cannot know: records behind the place at which the newest segment seems to
// end.
func (i *inspector) checkTail(s *segment, one SegmentSummary, generation uint32) error {
	if one.Stop == StopFull {
		return nil
	}
	behind, err := i.search(s.slot, s.sequence, s.end, generation)
	if err != nil {
		return err
	}
	if behind.frames > 0 {
		i.damage(s.slot, s.end, fmt.Sprintf(
			"no record can be read here, but %d whole ones stand behind it, from %d on%s",
			behind.frames, behind.first, lapsed))
		return nil
	}
	return i.checkLength(s.slot, s.end, generation)
}

// checkLength finds a frame of this time that goes on behind the end of its file: files have their whole
// length before the first record, so the file was cut, or the length is not what was written.
func (i *inspector) checkLength(s *slot, at int64, generation uint32) error {
	var head [frameBytes]byte
	if _, err := s.file.ReadAt(head[:], at); err != nil {
		return eris.Wrapf(err, "journal: reading %s", s.name)
	}
	f := parseFrame(head[:])
	recent := f.generation != 0 && f.generation >= generation && f.generation <= i.ring.generation
	if after := at + frameBytes + int64(f.length); recent && after > s.size {
		i.damage(s, at, fmt.Sprintf("a record up to %d is announced, the file ends at %d", after, s.size))
	}
	return nil
}

// searchMissing looks for segments that are not there, in the files without a whole header. The oldest one
// may be missing: its file may just have been about to be written over. Whether there was one behind the
// newest is not known.
func (i *inspector) searchMissing() error {
	next := uint64(1)
	if len(i.live) > 0 {
		next = i.live[len(i.live)-1].sequence + 1
	}
	missing := i.gaps()
	found, err := i.searchHeaderless(append(slices.Clone(missing), next), "")
	if err != nil {
		return err
	}
	for _, sequence := range missing {
		if !slices.Contains(found, sequence) {
			problem := fmt.Sprintf("segment %d is in no file: that is gone, or nothing in it can be read", sequence)
			i.found.Findings.Add(Finding{File: namePrefix + "*", Problem: problem})
		}
	}
	switch {
	case len(i.live) == 0 && len(found) == 0:
		return i.checkAnyHeader()
	case len(i.live) > 0 && i.live[0].sequence > i.live[len(i.live)-1].oldest:
		_, err = i.searchHeaderless([]uint64{i.live[len(i.live)-1].oldest}, lapsed)
	}
	return err
}

// gaps gives the segments that have to be there and are not, searchSegments at most.
func (i *inspector) gaps() []uint64 {
	if len(i.live) == 0 {
		return nil
	}
	var missing []uint64
	next := i.live[len(i.live)-1].oldest + 1
	for _, s := range i.live {
		for ; next < s.sequence && len(missing) < searchSegments; next++ {
			missing = append(missing, next)
		}
		next = s.sequence + 1
	}
	return missing
}

// searchHeaderless gives those of the segments of which records stand in files without a whole header. A
// header is synced before the first record behind it, so it was there. The doubt is told with what is found.
func (i *inspector) searchHeaderless(sequences []uint64, doubt string) (found []uint64, err error) {
	for _, s := range i.ring.slots {
		whole, err := wholeHeader(s)
		if err != nil {
			return nil, err
		}
		for at := 0; !whole && at < len(sequences); at++ {
			behind, err := i.search(s, sequences[at], headerBytes, 1)
			if err != nil {
				return nil, err
			}
			if behind.frames == 0 {
				continue
			}
			i.damage(s, 0, fmt.Sprintf(
				"no whole header, but %d whole records of segment %d stand behind it, from %d on%s",
				behind.frames, sequences[at], behind.first, doubt))
			found = append(found, sequences[at])
		}
	}
	return found, nil
}

func wholeHeader(s *slot) (bool, error) {
	var b [headerBytes]byte
	if n, err := s.file.ReadAt(b[:], 0); err != nil && !errors.Is(err, io.EOF) {
		return false, eris.Wrapf(err, "journal: reading %s", s.name)
	} else if n < headerBytes {
		return false, nil
	}
	_, whole := parseHeader(b[:])
	return whole, nil
}

// checkAnyHeader: a ring of which no file has a whole header counts as empty at the next Open.
func (i *inspector) checkAnyHeader() error {
	for _, s := range i.ring.slots {
		var b [headerBytes]byte
		if _, err := s.file.ReadAt(b[:], 0); err != nil && !errors.Is(err, io.EOF) {
			return eris.Wrapf(err, "journal: reading %s", s.name)
		}
		if b != [headerBytes]byte{} {
			i.damage(s, 0, "no file of the ring has a whole header")
			return nil
		}
	}
	return nil
}

// foundBehind are whole frames behind a place that cannot be read.
type foundBehind struct {
	first  int64 // offset of the first one
	frames int
}

// search looks at each offset for a whole frame of a segment, from a generation on.
func (i *inspector) search(s *slot, sequence uint64, from int64, generation uint32) (foundBehind, error) {
	var found foundBehind
	region := make([]byte, max(0, min(s.size-from, searchBytes)))
	if n, err := s.file.ReadAt(region, from); err != nil && !errors.Is(err, io.EOF) {
		return found, eris.Wrapf(err, "journal: reading %s", s.name)
	} else {
		region = region[:n]
	}
	last := uint64(i.ring.generation) + searchGenerations
	work := 0
	for at := 0; at+frameBytes <= len(region) && work < searchWork; {
		f := parseFrame(region[at:])
		after := int64(at) + frameBytes + int64(f.length)
		if f.generation < max(generation, 1) || uint64(f.generation) > last || after > int64(len(region)) {
			at++
			continue
		}
		work += frameBytes + int(f.length)
		position := Position{Segment: sequence, Offset: uint32(from + int64(at)), Length: f.length}
		if f.checksum != checksum(position, f.generation, region[at+frameBytes:after]) {
			at++
			continue
		}
		if found.frames == 0 {
			found.first = from + int64(at)
		}
		found.frames++
		at = int(after)
	}
	return found, nil
}

func (i *inspector) damage(s *slot, offset int64, problem string) {
	i.found.Findings.Add(Finding{File: filepath.Base(s.name), Offset: offset, Problem: problem})
}
