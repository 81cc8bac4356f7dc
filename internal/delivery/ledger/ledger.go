// Package ledger stores the accepted texts of a sender in a folder, so that they survive the process. It only records
// and reports state; the decisions are made elsewhere. Usage:
//
//	l, err := ledger.Open(vfs.OS{}, dir, ledger.Options{MaxBytes: 3e6})
//	l.CheckClock(now)                        // at startup, before anything else
//	texts, notices := l.Unfinished()         // of earlier processes
//	err = l.RecordAccepted(t)                // before its client is told that it is accepted
//	err = l.RecordAttempt(t.ID, now, zone)   // before each call
//	err = l.RecordResult(t.ID, mayHaveRun)   // the result of the attempt
//	err = l.RecordEnd(t.ID)                  // no notice is owed, or the notice was delivered
//	err = l.RecordEndOwingNotice(notice)     // a notice is owed
//	err = l.Sync()                           // before any of this is made known
//
// A record is written to the file when the call returns and survives the end of the process. With Options.PowerLossSafe
// it also survives a power loss once Sync has returned; nothing may leave the sender before that. Many records
// share one sync.
//
// Records are appended to segment files. With each write a few live records of the oldest segment are rewritten, as
// internal/delivery/ledger/layout decides, so that it can be removed; operation never stops for that. A record truncated by
// the end of the process is detected and dropped: its write was never acknowledged. If acknowledged records are
// missing, the remaining texts are served and count as possibly run, and the damaged file is set aside.
package ledger

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"

	"emberquay/control"
	"emberquay/internal/delivery/ledger/layout"
	"emberquay/internal/vfs"
)

// ErrFull is returned if there is no space for a text.
var ErrFull = errors.New("the lasting folder is full")

var errUnavailable = errors.New("the lasting folder could not be read")

// Options configures a ledger.
type Options struct {
	MaxBytes      int64 // limit of the folder; each file counts in whole blocks of 512 bytes
	PowerLossSafe bool  // synced records survive a power loss
}

// Ledger is an open folder with its live state. It is used by one goroutine.
type Ledger struct {
	files  vfs.FS
	dir    string
	opt    Options
	lock   io.Closer
	layout *layout.Layout
	state  *state

	tail         vfs.File // newest segment; nil if the next record starts another
	tailBytes    int64    // length of its complete records
	lastSegment  uint64   // number of the newest segment
	lastSeq      uint64   // sequence number of the last record
	dirty        bool     // records are not synced
	dirUnsynced  bool     // file names are not synced
	syncedSeq    uint64
	reserveSize  int64    // bytes of the reserve file, which is removed to make space for ends; 0: no reserve
	unwritten    []record // still to be written: failed ends, and records that a failed sync may have lost
	unsynced     []record // written since the last sync
	unavailable  bool
	legacyDamage string // what is unreadable in a file of the legacy format
	buffer       []byte
}

// lockName is the file locked by the process that uses the folder; reserveName is the file that reserves space for ends.
const (
	lockName    = "lock"
	reserveName = "reserve"
	badPrefix   = "bad-"
)

// maxGrowthBytes is how much the record of a held text may still grow: by its attempts, and by the time and zone of
// the first that may have run. Any other record of it is garbage as soon as it is written.
const maxGrowthBytes = 72

// endRecordBytes is the approximate size of the record that ends a text.
const endRecordBytes = 160

// largestRecordBytes limits one record: the largest body, the longest headers and their encoding.
const largestRecordBytes = 84 << 10

// Open loads the folder, which may be empty, and continues it. It fails with vfs.ErrLocked if another process uses the
// folder. After any other error the ledger accepts nothing: texts are refused while the folder cannot be read, and its
// contents are not overwritten.
func Open(files vfs.FS, dir string, opt Options) (*Ledger, error) {
	l := &Ledger{files: files, dir: dir, opt: opt, state: newState()}
	l.layout = l.newLayout(0)
	if err := l.open(); err != nil {
		l.unavailable = true
		l.Close()
		l.state = newState()
		return l, fmt.Errorf("the lasting folder: %w", err)
	}
	return l, nil
}

// newLayout returns a layout for the space that remains beside the reserve and the files set aside.
func (l *Ledger) newLayout(setAsideBytes int64) *layout.Layout {
	maxBytes := l.opt.MaxBytes - reserveBytes(l.opt.MaxBytes) - 2*layout.BlockBytes - setAsideBytes
	return layout.New(layout.Limits{MaxBytes: maxBytes, MaxRecordBytes: largestRecordBytes, GrowthBytes: maxGrowthBytes})
}

func (l *Ledger) path(name string) string { return filepath.Join(l.dir, name) }

// Unfinished returns the texts that have not ended, in order of acceptance, and the undelivered notices.
func (l *Ledger) Unfinished() ([]*Text, []*Notice) { return l.state.unfinished() }

// CheckClock compares the time at startup with the recorded times; if any is later, the clock was set back since.
func (l *Ledger) CheckClock(now control.Time) {
	if step := l.state.latestTime() - now; step > 0 {
		slog.Warn("clock_put_back", "part", "ledger", "tenths_of_ms", int64(step), "texts", len(l.state.texts))
		l.state.adjustForClockStep(step)
	}
}

// RequiresSync reports whether Sync must return before results are made known.
func (l *Ledger) RequiresSync() bool { return l.opt.PowerLossSafe }

// Stats returns how the folder is used.
func (l *Ledger) Stats() layout.Stats { return l.layout.Stats() }

// Close releases the folder.
func (l *Ledger) Close() error {
	var err error
	if !l.unavailable {
		err = l.Sync()
		l.closeTail()
	}
	if l.lock != nil {
		err = errors.Join(err, l.lock.Close())
		l.lock = nil
	}
	l.unavailable = true // no more writes
	return err
}

// FileNames lists the files of a folder that belong to a ledger.
func FileNames(files vfs.FS, dir string) ([]string, error) {
	names, err := files.List(dir)
	return slices.DeleteFunc(names, func(name string) bool {
		_, segment := parseSegmentName(name)
		return !segment && name != legacyName && name != lockName && name != reserveName && !strings.HasPrefix(name, badPrefix)
	}), err
}
