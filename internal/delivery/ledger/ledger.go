// Package ledger keeps what a sender has taken on in the folder that outlasts its process. It only tells what was
// written; what follows from that is decided elsewhere. How to use it:
//
//	l, err := ledger.Open(vfs.OS{}, dir, ledger.Options{Room: 3e6})
//	l.Now(now)                               // at a start, before anything is done with
//	texts, notices := l.Owed()               // what is from before
//	err = l.Taken(t)                         // before its client hears that it is taken on
//	err = l.Submitted(t.ID, now, zone)       // before each call
//	err = l.Answered(t.ID, mayHaveRun)       // what became of it
//	err = l.Ended(t.ID) or l.Untold(notice)  // the end, and whether a notice is owed; l.Ended again once it arrived
//	err = l.Sync()                           // before anybody is told of any of this
//
// A write is in the file when a call returns: it outlasts the process. With Options.Power it outlasts the loss of power
// as well, once Sync has returned; then nothing may leave the sender before that. Many records share one sync.
//
// Records go to segments, one file after the other; internal/delivery/ledger/layout decides what of the oldest is written anew
// so that it can be removed, a little with each write. Nothing stops meanwhile. A record that was cut short by the
// process's death is seen and dropped; it was promised to no one. Where records are missing that had been kept, what is
// left is served, texts that may have run meanwhile count as such, and the damaged file is set aside.
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

// ErrFull says that a text finds no room.
var ErrFull = errors.New("the lasting folder is full")

var errUnavailable = errors.New("the lasting folder could not be read")

// Options say how a ledger is kept.
type Options struct {
	MaxBytes      int64 // bytes of the folder, each file counted in whole blocks of 512
	PowerLossSafe bool  // what was synced outlasts the loss of power
}

// Ledger is the open folder and what is live in it. It is used by one goroutine.
type Ledger struct {
	files  vfs.FS
	dir    string
	opt    Options
	lock   io.Closer
	layout *layout.Layout
	state  *state

	tail         vfs.File // the tail; nil if another is to be begun
	tailBytes    int64    // of what is whole in it
	lastSegment  uint64   // of the newest segment
	lastSeq      uint64   // of the last record
	dirty        bool     // something is not synced
	dirUnsynced  bool     // nor is the name of a file
	syncedSeq    uint64
	reserveSize  int64    // bytes of the file that is given up for ends; 0 if there is none now
	unwritten    []record // that could not be written yet: ends, and what a sync that failed may have lost
	unsynced     []record // written since the last sync
	unavailable  bool
	legacyDamage string // what could not be read of the old form
	buffer       []byte
}

// lockName is the file by which one process has the folder; reserveName holds room for ends.
const (
	lockName    = "lock"
	reserveName = "reserve"
	badPrefix   = "bad-"
)

// maxGrowthBytes is by how much a held text's record may still grow: submits, since when it may have run, and where. What else
// is written of it is garbage as soon as it is.
const maxGrowthBytes = 72

// endRecordBytes is about what the end of a text takes.
const endRecordBytes = 160

// largestRecordBytes is what one record may have: the largest body, the longest headers, and what is written with them.
const largestRecordBytes = 84 << 10

// Open reads what the folder holds, which may be nothing, and keeps on from there. A folder that another process uses
// is refused (vfs.ErrLocked). After another error the ledger takes nothing, so that texts are refused while the folder
// cannot be read, and what it may hold is not written over.
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

// newLayout is one for the room that is left beside everything else in the folder.
func (l *Ledger) newLayout(setAsideBytes int64) *layout.Layout {
	maxBytes := l.opt.MaxBytes - reserveBytes(l.opt.MaxBytes) - 2*layout.BlockBytes - setAsideBytes
	return layout.New(layout.Limits{MaxBytes: maxBytes, MaxRecordBytes: largestRecordBytes, GrowthBytes: maxGrowthBytes})
}

func (l *Ledger) path(name string) string { return filepath.Join(l.dir, name) }

// Unfinished gives the texts that have no end yet, in the order they were taken, and the notices that are due.
func (l *Ledger) Unfinished() ([]*Text, []*Notice) { return l.state.unfinished() }

// CheckClock tells the time at a start. If what is held tells of later instants, the clock was put back since.
func (l *Ledger) CheckClock(now control.Time) {
	if step := l.state.latestTime() - now; step > 0 {
		slog.Warn("clock_put_back", "part", "ledger", "tenths_of_ms", int64(step), "texts", len(l.state.texts))
		l.state.adjustForClockStep(step)
	}
}

// RequiresSync says whether Sync has to be waited for.
func (l *Ledger) RequiresSync() bool { return l.opt.PowerLossSafe }

// Stats tells how the folder is used.
func (l *Ledger) Stats() layout.Stats { return l.layout.Stats() }

// Close ends the use of the folder.
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
	l.unavailable = true // nothing is written from now on
	return err
}

// FileNames lists the files of a folder that are a ledger's.
func FileNames(files vfs.FS, dir string) ([]string, error) {
	names, err := files.List(dir)
	return slices.DeleteFunc(names, func(name string) bool {
		_, segment := parseSegmentName(name)
		return !segment && name != legacyName && name != lockName && name != reserveName && !strings.HasPrefix(name, badPrefix)
	}), err
}
