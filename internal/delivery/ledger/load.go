package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"path/filepath"
	"slices"

	"emberquay/internal/delivery/ledger/layout"
	"emberquay/internal/vfs"
)

// Inspection is what a folder was found to hold.
type Inspection struct {
	Segments []SegmentInspection
	Texts    int
	Notices  int
	Records  int
	Old      bool     // it is in the form of before
	OldBad   string   // what is wrong with its file then
	Torn     int64    // bytes at the ends of segments that are no record: writes that were cut short
	Lost     uint64   // records that had been kept and are not there
	Void     int      // records behind a write that was never synced and did not survive: promised to no one
	Unknown  []string // ids that are named and not held: some of them may be texts that were lost

	state    *state
	last     uint64 // number of the last record
	marked   bool   // the log is one that is synced
	promised uint64 // all up to here had been
	hole     bool   // what stands further on is void
}

// SegmentInspection is one of its files.
type SegmentInspection struct {
	Number  uint64 `json:"number"`
	Bytes   int64  `json:"bytes"`
	Records int    `json:"records"`
	Torn    int64  `json:"torn"`
	Bad     string `json:"bad,omitempty"` // what is wrong with it

	raw  []byte
	head head // nought if it cannot be read
}

// Intact says whether nothing that had been kept is missing.
func (f *Inspection) Intact() bool {
	return f.Lost == 0 && f.OldBad == "" && !slices.ContainsFunc(f.Segments, func(s SegmentInspection) bool { return s.Bad != "" })
}

// read reads a whole file, of a bounded size.
func read(files vfs.FS, name string) ([]byte, error) {
	f, err := files.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size > mostSegment {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", name, size, mostSegment)
	}
	raw := make([]byte, size)
	n, err := f.ReadAt(raw, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return raw[:n], nil
}

// load reads a folder and changes nothing. Where each live record lies is told to the layout.
func load(files vfs.FS, dir string, lay *layout.Layout) (*Inspection, error) {
	names, err := files.List(dir)
	if err != nil {
		return nil, err
	}
	f := &Inspection{state: newState()}
	if slices.Contains(names, oldName) {
		// Segments beside it are of a carrying over that was not finished.
		raw, err := read(files, filepath.Join(dir, oldName))
		if err != nil {
			return nil, err
		}
		f.Old = true
		f.Torn, f.OldBad = f.state.replayOld(raw)
		f.settle()
		return f, nil
	}
	for _, name := range names {
		no, ok := segNumber(name)
		if !ok {
			continue
		}
		raw, err := read(files, filepath.Join(dir, name))
		if err != nil {
			return nil, err
		}
		s := SegmentInspection{Number: no, Bytes: int64(len(raw)), raw: raw}
		if s.head, err = readHead(raw, no); err != nil {
			var why errHead
			if !errors.As(err, &why) {
				return nil, err
			}
			s.Bad = string(why)
		}
		f.Segments = append(f.Segments, s)
	}
	slices.SortFunc(f.Segments, func(a, b SegmentInspection) int { return int(int64(a.Number - b.Number)) })
	f.marks()
	for i := range f.Segments {
		f.replay(i, lay)
		f.Segments[i].raw = nil
	}
	f.settle()
	return f, nil
}

// marks finds how far the log is known to have been synced: heads and marks say so, those of the last two segments
// the most. A single segment whose head cannot be read was being begun when the power went, as a rule.
func (f *Inspection) marks() {
	f.marked = len(f.Segments) == 1 && f.Segments[0].Bad != ""
	for _, s := range f.Segments[max(0, len(f.Segments)-2):] {
		f.marked = f.marked || s.head.power
		f.promised = max(f.promised, s.head.promised)
		if !f.marked {
			continue
		}
		scan(s.body(), func(r record, _ uint64, _ int) {
			if r.kind == synced && len(r.payload) == 8 {
				f.promised = max(f.promised, binary.LittleEndian.Uint64(r.payload))
			}
		})
	}
}

func (s *SegmentInspection) body() []byte { return s.raw[min(segHead, len(s.raw)):] }

// replay applies the records of one segment.
func (f *Inspection) replay(i int, lay *layout.Layout) {
	s := &f.Segments[i]
	lay.StartSegment(s.Number, s.Bytes)
	end := uint64(math.MaxUint64) // numbers from here on belong to a later segment: what has them here is void
	for _, later := range f.Segments[i+1:] {
		if later.head.first > 0 {
			end = min(end, later.head.first)
		}
	}
	if i == 0 && s.head.first > 0 {
		f.last = s.head.first - 1 // what was before went with its segments
	}
	s.Torn = int64(scan(s.body(), func(r record, no uint64, size int) {
		if r.kind == synced { // it has no number: it may be lost without harm
			return
		}
		if no > f.last+1 && (f.last > 0 || i > 0) && no < end {
			f.gap(i, no)
		}
		if f.hole || no >= end || no <= f.last {
			f.Void++
			return
		}
		f.last = no
		if !f.state.apply(r.kind, r.payload) {
			s.Bad = fmt.Sprintf("record %d makes no sense", no)
			f.Lost++
			f.state.doubt()
			return
		}
		s.Records++
		f.Records++
		f.lies(r, size, lay)
	}))
	if last := i == len(f.Segments)-1; last && s.Records == 0 && s.Bad != "" && f.promised <= f.last {
		s.Bad = "" // it was being begun, and holds nothing yet
	}
	f.Torn += s.Torn
}

// gap: numbers are missing before a record. Where the log is synced, what had not been yet was promised to no one, and
// the log ends there.
func (f *Inspection) gap(i int, no uint64) {
	if f.hole = f.hole || f.marked && f.last >= f.promised; f.hole {
		return
	}
	f.Lost += no - f.last - 1
	s := &f.Segments[i]
	if s.Records == 0 && i > 0 && s.head.first != f.last+1 { // at the end of the one before, or a whole segment
		s = &f.Segments[i-1]
	}
	if s.Bad == "" {
		s.Bad = fmt.Sprintf("records %d to %d are missing", f.last+1, no-1)
	}
	f.state.doubt()
}

// lies tells the layout what a record changes.
func (f *Inspection) lies(r record, size int, lay *layout.Layout) {
	switch id := f.state.named; r.kind {
	case taken, untold:
		lay.Put(id, int64(size))
	case ended:
		lay.Drop(id)
	}
}

// settle ends the reading: what was out when the process ended may have run.
func (f *Inspection) settle() {
	for _, t := range f.state.texts {
		t.FirstRunTentative = false
	}
	f.Texts, f.Notices = len(f.state.texts), len(f.state.notices)
	if f.Lost > 0 || f.OldBad != "" {
		for id := range f.state.unknown {
			f.Unknown = append(f.Unknown, id)
		}
		slices.Sort(f.Unknown)
	}
}

// tries bounds how often a folder is listed anew that a running sender cleans meanwhile.
const tries = 20

// Inspect reads a folder without changing it, also beside a sender that runs. It gives what was found, the texts that
// are held in the order they were taken, and the notices that are owed.
func Inspect(files vfs.FS, dir string) (*Inspection, []*Text, []*Notice, error) {
	for n := 0; ; n++ {
		f, err := load(files, dir, layout.New(layout.Limits{MaxBytes: 1 << 50, MaxRecordBytes: mostRecord}))
		if errors.Is(err, fs.ErrNotExist) && n < tries {
			if _, gone := files.List(dir); gone == nil {
				continue // a segment went while it was read: what it held stands further on
			}
		}
		if err != nil {
			return nil, nil, nil, err
		}
		texts, notices := f.state.owed()
		return f, texts, notices, nil
	}
}
