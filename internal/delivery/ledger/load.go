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

// Inspection describes the contents of a folder.
type Inspection struct {
	Segments []SegmentInspection
	Texts    int
	Notices  int
	Records  int
	Old      bool     // the folder is in the legacy format
	OldBad   string   // what is wrong with the legacy file
	Torn     int64    // bytes of truncated writes at the ends of segments
	Lost     uint64   // acknowledged records that are missing
	Void     int      // records after a write that was never synced and is lost: never acknowledged
	Unknown  []string // ids named by records of texts that are not held: some may be lost texts

	state         *state
	lastSeq       uint64 // sequence number of the last record
	powerLossSafe bool   // the log is synced
	syncedSeq     uint64 // every record up to this number was synced
	logEnded      bool   // the remaining records are void
}

// SegmentInspection describes one segment file.
type SegmentInspection struct {
	Number  uint64 `json:"number"`
	Bytes   int64  `json:"bytes"`
	Records int    `json:"records"`
	Torn    int64  `json:"torn"`
	Bad     string `json:"bad,omitempty"` // what is wrong with it

	raw    []byte
	header segmentHeader // zero if unreadable
}

// Intact reports whether no acknowledged record is missing.
func (f *Inspection) Intact() bool {
	return f.Lost == 0 && f.OldBad == "" && !slices.ContainsFunc(f.Segments, func(s SegmentInspection) bool { return s.Bad != "" })
}

// readFile reads a whole file of limited size.
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
		return nil, fmt.Errorf("%s: %d bytes, more than the limit of %d", name, size, maxSegmentFileBytes)
	}
	raw := make([]byte, size)
	n, err := f.ReadAt(raw, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return raw[:n], nil
}

// loadFolder reads a folder without changing it, and adds each live record to the layout.
func loadFolder(files vfs.FS, dir string, lay *layout.Layout) (*Inspection, error) {
	names, err := files.List(dir)
	if err != nil {
		return nil, err
	}
	f := &Inspection{state: newState()}
	if slices.Contains(names, legacyName) {
		// Segments beside it come from an unfinished migration.
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

// findSyncedSeq determines up to which record the log is known to be synced, from the headers and sync marks of the
// last two segments, which have the highest numbers. A single segment with an unreadable header was usually being
// created when the power failed.
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
	endSeq := uint64(math.MaxUint64) // records from this number on belong to a later segment; here they are void
	for _, later := range f.Segments[i+1:] {
		if later.header.firstSeq > 0 {
			endSeq = min(endSeq, later.header.firstSeq)
		}
	}
	if i == 0 && s.header.firstSeq > 0 {
		f.lastSeq = s.header.firstSeq - 1 // earlier records were removed with their segments
	}
	s.Torn = int64(scanRecords(s.body(), func(r record, seq uint64, size int) {
		if r.kind == kindSyncMark { // has no sequence number: it may be lost
			return
		}
		if seq > f.lastSeq+1 && (f.lastSeq > 0 || i > 0) && seq < endSeq {
			f.handleGap(i, seq)
		}
		if f.logEnded || seq >= endSeq || seq <= f.lastSeq {
			f.Void++
			return
		}
		f.lastSeq = seq
		if !f.state.apply(r.kind, r.payload) {
			s.Bad = fmt.Sprintf("record %d makes no sense", seq)
			f.Lost++
			f.state.assumeAllMayHaveRun()
			return
		}
		s.Records++
		f.Records++
		f.updateLayout(r, size, lay)
	}))
	if last := i == len(f.Segments)-1; last && s.Records == 0 && s.Bad != "" && f.syncedSeq <= f.lastSeq {
		s.Bad = "" // it was being created and has no records yet
	}
	f.Torn += s.Torn
}

// handleGap handles missing sequence numbers before a record. In a synced log unsynced records were never acknowledged:
// there the log ends at the gap.
func (f *Inspection) handleGap(i int, seq uint64) {
	if f.logEnded = f.logEnded || f.powerLossSafe && f.lastSeq >= f.syncedSeq; f.logEnded {
		return
	}
	f.Lost += seq - f.lastSeq - 1
	s := &f.Segments[i]
	if s.Records == 0 && i > 0 && s.header.firstSeq != f.lastSeq+1 { // at the end of the previous segment, or a whole segment
		s = &f.Segments[i-1]
	}
	if s.Bad == "" {
		s.Bad = fmt.Sprintf("records %d to %d are missing", f.lastSeq+1, seq-1)
	}
	f.state.assumeAllMayHaveRun()
}

// updateLayout applies a record to the layout.
func (f *Inspection) updateLayout(r record, size int, lay *layout.Layout) {
	switch id := f.state.lastID; r.kind {
	case kindAccepted, kindEndedOwingNotice:
		lay.Put(id, int64(size))
	case kindEnded:
		lay.Drop(id)
	}
}

// finish completes the load: the attempts in flight when the process ended may have run.
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

// maxListRetries limits how often a folder is listed again while a running sender cleans it.
const maxListRetries = 20

// Inspect reads a folder without changing it, even while a sender uses it. It returns the contents, the held texts
// in order of acceptance, and the undelivered notices.
func Inspect(files vfs.FS, dir string) (*Inspection, []*Text, []*Notice, error) {
	for n := 0; ; n++ {
		f, err := loadFolder(files, dir, layout.New(layout.Limits{MaxBytes: 1 << 50, MaxRecordBytes: maxPayloadBytes}))
		if errors.Is(err, fs.ErrNotExist) && n < maxListRetries {
			if _, listErr := files.List(dir); listErr == nil {
				continue // a segment was removed meanwhile: its live records are in later ones
			}
		}
		if err != nil {
			return nil, nil, nil, err
		}
		texts, notices := f.state.unfinished()
		return f, texts, notices, nil
	}
}
