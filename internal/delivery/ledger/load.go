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

	state         *state
	lastSeq       uint64 // number of the last record
	powerLossSafe bool   // the log is one that is synced
	syncedSeq     uint64 // all up to here had been
	logEnded      bool   // what stands further on is void
}

// SegmentInspection is one of its files.
type SegmentInspection struct {
	Number  uint64 `json:"number"`
	Bytes   int64  `json:"bytes"`
	Records int    `json:"records"`
	Torn    int64  `json:"torn"`
	Bad     string `json:"bad,omitempty"` // what is wrong with it

	raw    []byte
	header segmentHeader // nought if it cannot be read
}

// Intact says whether nothing that had been kept is missing.
func (f *Inspection) Intact() bool {
	return f.Lost == 0 && f.OldBad == "" && !slices.ContainsFunc(f.Segments, func(s SegmentInspection) bool { return s.Bad != "" })
}

// readFile reads a whole file, of a bounded size.
func readFile(files vfs.FS, name string) ([]byte, error) {
	f, err := files.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size > maxSegmentFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", name, size, maxSegmentFileBytes)
	}
	raw := make([]byte, size)
	n, err := f.ReadAt(raw, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return raw[:n], nil
}

// loadFolder reads a folder and changes nothing. Where each live record lies is told to the layout.
func loadFolder(files vfs.FS, dir string, lay *layout.Layout) (*Inspection, error) {
	names, err := files.List(dir)
	if err != nil {
		return nil, err
	}
	f := &Inspection{state: newState()}
	if slices.Contains(names, legacyName) {
		// Segments beside it are of a carrying over that was not finished.
		raw, err := readFile(files, filepath.Join(dir, legacyName))
		if err != nil {
			return nil, err
		}
		f.Old = true
		f.Torn, f.OldBad = f.state.replayLegacy(raw)
		f.finish()
		return f, nil
	}
	for _, name := range names {
		number, ok := parseSegmentName(name)
		if !ok {
			continue
		}
		raw, err := readFile(files, filepath.Join(dir, name))
		if err != nil {
			return nil, err
		}
		s := SegmentInspection{Number: number, Bytes: int64(len(raw)), raw: raw}
		if s.header, err = parseSegmentHeader(raw, number); err != nil {
			var headerErr headerError
			if !errors.As(err, &headerErr) {
				return nil, err
			}
			s.Bad = string(headerErr)
		}
		f.Segments = append(f.Segments, s)
	}
	slices.SortFunc(f.Segments, func(a, b SegmentInspection) int { return int(int64(a.Number - b.Number)) })
	f.findSyncedSeq()
	for i := range f.Segments {
		f.replaySegment(i, lay)
		f.Segments[i].raw = nil
	}
	f.finish()
	return f, nil
}

// findSyncedSeq finds how far the log is known to have been synced: heads and marks say so, those of the last two segments
// the most. A single segment whose head cannot be read was being begun when the power went, as a rule.
func (f *Inspection) findSyncedSeq() {
	f.powerLossSafe = len(f.Segments) == 1 && f.Segments[0].Bad != ""
	for _, s := range f.Segments[max(0, len(f.Segments)-2):] {
		f.powerLossSafe = f.powerLossSafe || s.header.powerLossSafe
		f.syncedSeq = max(f.syncedSeq, s.header.syncedSeq)
		if !f.powerLossSafe {
			continue
		}
		scanRecords(s.body(), func(r record, _ uint64, _ int) {
			if r.kind == kindSyncMark && len(r.payload) == 8 {
				f.syncedSeq = max(f.syncedSeq, binary.LittleEndian.Uint64(r.payload))
			}
		})
	}
}

func (s *SegmentInspection) body() []byte { return s.raw[min(segmentHeaderBytes, len(s.raw)):] }

// replaySegment applies the records of one segment.
func (f *Inspection) replaySegment(i int, lay *layout.Layout) {
	s := &f.Segments[i]
	lay.StartSegment(s.Number, s.Bytes)
	end := uint64(math.MaxUint64) // numbers from here on belong to a later segment: what has them here is void
	for _, later := range f.Segments[i+1:] {
		if later.header.firstSeq > 0 {
			end = min(end, later.header.firstSeq)
		}
	}
	if i == 0 && s.header.firstSeq > 0 {
		f.lastSeq = s.header.firstSeq - 1 // what was before went with its segments
	}
	s.Torn = int64(scanRecords(s.body(), func(r record, no uint64, size int) {
		if r.kind == kindSyncMark { // it has no number: it may be lost without harm
			return
		}
		if no > f.lastSeq+1 && (f.lastSeq > 0 || i > 0) && no < end {
			f.handleGap(i, no)
		}
		if f.logEnded || no >= end || no <= f.lastSeq {
			f.Void++
			return
		}
		f.lastSeq = no
		if !f.state.apply(r.kind, r.payload) {
			s.Bad = fmt.Sprintf("record %d makes no sense", no)
			f.Lost++
			f.state.assumeAllMayHaveRun()
			return
		}
		s.Records++
		f.Records++
		f.updateLayout(r, size, lay)
	}))
	if last := i == len(f.Segments)-1; last && s.Records == 0 && s.Bad != "" && f.syncedSeq <= f.lastSeq {
		s.Bad = "" // it was being begun, and holds nothing yet
	}
	f.Torn += s.Torn
}

// handleGap: numbers are missing before a record. Where the log is synced, what had not been yet was promised to no one, and
// the log ends there.
func (f *Inspection) handleGap(i int, no uint64) {
	if f.logEnded = f.logEnded || f.powerLossSafe && f.lastSeq >= f.syncedSeq; f.logEnded {
		return
	}
	f.Lost += no - f.lastSeq - 1
	s := &f.Segments[i]
	if s.Records == 0 && i > 0 && s.header.firstSeq != f.lastSeq+1 { // at the end of the one before, or a whole segment
		s = &f.Segments[i-1]
	}
	if s.Bad == "" {
		s.Bad = fmt.Sprintf("records %d to %d are missing", f.lastSeq+1, no-1)
	}
	f.state.assumeAllMayHaveRun()
}

// updateLayout tells the layout what a record changes.
func (f *Inspection) updateLayout(r record, size int, lay *layout.Layout) {
	switch id := f.state.lastID; r.kind {
	case kindAccepted, kindEndedOwingNotice:
		lay.Put(id, int64(size))
	case kindEnded:
		lay.Drop(id)
	}
}

// finish ends the reading: what was out when the process ended may have run.
func (f *Inspection) finish() {
	for _, t := range f.state.texts {
		t.FirstRunTentative = false
	}
	f.Texts, f.Notices = len(f.state.texts), len(f.state.notices)
	if f.Lost > 0 || f.OldBad != "" {
		for id := range f.state.unknownIDs {
			f.Unknown = append(f.Unknown, id)
		}
		slices.Sort(f.Unknown)
	}
}

// maxListRetries bounds how often a folder is listed anew that a running sender cleans meanwhile.
const maxListRetries = 20

// Inspect reads a folder without changing it, also beside a sender that runs. It gives what was found, the texts that
// are held in the order they were taken, and the notices that are owed.
func Inspect(files vfs.FS, dir string) (*Inspection, []*Text, []*Notice, error) {
	for n := 0; ; n++ {
		f, err := loadFolder(files, dir, layout.New(layout.Limits{MaxBytes: 1 << 50, MaxRecordBytes: maxPayloadBytes}))
		if errors.Is(err, fs.ErrNotExist) && n < maxListRetries {
			if _, listErr := files.List(dir); listErr == nil {
				continue // a segment went while it was read: what it held stands further on
			}
		}
		if err != nil {
			return nil, nil, nil, err
		}
		texts, notices := f.state.unfinished()
		return f, texts, notices, nil
	}
}
