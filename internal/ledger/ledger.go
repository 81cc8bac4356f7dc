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
// Records go to segments, one file after the other; internal/ledger/layout decides what of the oldest is written anew
// so that it can be removed, a little with each write. Nothing stops meanwhile. A record that was cut short by the
// process's death is seen and dropped; it was promised to no one. Where records are missing that had been kept, what is
// left is served, texts that may have run meanwhile count as such, and the damaged file is set aside.
package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"

	"emberquay/control"
	"emberquay/internal/ledger/layout"
	"emberquay/internal/vfs"
)

// ErrFull says that a text finds no room.
var ErrFull = errors.New("the lasting folder is full")

var errUnread = errors.New("the lasting folder could not be read")

// Options say how a ledger is kept.
type Options struct {
	Room  int64 // bytes of the folder, each file counted in whole blocks of 512
	Power bool  // what was synced outlasts the loss of power
}

// Ledger is the open folder and what is live in it. It is used by one goroutine.
type Ledger struct {
	files vfs.FS
	dir   string
	opt   Options
	lock  io.Closer
	lay   *layout.Layout
	state *state

	file     vfs.File // the tail; nil if another is to be begun
	size     int64    // of what is whole in it
	number   uint64   // of the newest segment
	seq      uint64   // of the last record
	dirty    bool     // something is not synced
	names    bool     // nor is the name of a file
	promised uint64
	reserve  int64    // bytes of the file that is given up for ends; 0 if there is none now
	pending  []record // that could not be written yet: ends, and what a sync that failed may have lost
	unsynced []record // written since the last sync
	unread   bool
	oldBad   string // what could not be read of the old form
	buffer   []byte
}

// lockName is the file by which one process has the folder; reserveName holds room for ends.
const (
	lockName    = "lock"
	reserveName = "reserve"
	badPrefix   = "bad-"
)

// growth is by how much a held text's record may still grow: submits, since when it may have run, and where. What else
// is written of it is garbage as soon as it is.
const growth = 72

// ending is about what the end of a text takes.
const ending = 160

// largest is what one record may have: the largest body, the longest headers, and what is written with them.
const largest = 84 << 10

// reserveOf is how much is held back for ends when somebody else fills the disk.
func reserveOf(room int64) int64 {
	return min(room/64, 1<<20) / layout.Block * layout.Block
}

// Open reads what the folder holds, which may be nothing, and keeps on from there. A folder that another process uses
// is refused (vfs.ErrLocked). After another error the ledger takes nothing, so that texts are refused while the folder
// cannot be read, and what it may hold is not written over.
func Open(files vfs.FS, dir string, opt Options) (*Ledger, error) {
	l := &Ledger{files: files, dir: dir, opt: opt, state: newState()}
	l.lay = l.newLayout(0)
	if err := l.open(); err != nil {
		l.unread = true
		l.Close()
		l.state = newState()
		return l, fmt.Errorf("the lasting folder: %w", err)
	}
	return l, nil
}

// newLayout is one for the room that is left beside everything else in the folder.
func (l *Ledger) newLayout(others int64) *layout.Layout {
	room := l.opt.Room - reserveOf(l.opt.Room) - 2*layout.Block - others
	return layout.New(layout.Limits{Room: room, Record: largest, End: growth})
}

func (l *Ledger) path(name string) string { return filepath.Join(l.dir, name) }

func (l *Ledger) open() error {
	if err := l.files.MkdirAll(l.dir); err != nil {
		return err
	}
	lock, err := l.files.Lock(l.path(lockName))
	if err != nil {
		return err
	}
	l.lock = lock
	others, err := l.others()
	if err != nil {
		return err
	}
	l.lay = l.newLayout(others)
	found, err := load(l.files, l.dir, l.lay)
	if err != nil {
		return err
	}
	l.state, l.seq, l.promised = found.state, found.last, found.promised
	for _, s := range found.Segments {
		l.number = max(l.number, s.Number)
	}
	slog.Info("opened", "part", "ledger", "segments", len(found.Segments), "records", found.Records, "texts", found.Texts,
		"notices", found.Notices, "torn", found.Torn)
	if opt := l.opt; opt.Power { // what is acted on from now on must not go with the power
		if err := l.syncAll(found); err != nil {
			return err
		}
	}
	if found.Old {
		if err := l.carryOver(found); err != nil {
			return err
		}
	}
	l.hold()
	if !found.Sound() {
		l.mend(found)
	}
	return nil
}

// syncAll has what was found on the disk: the process before may have ended between a write and its sync.
func (l *Ledger) syncAll(found *Found) error {
	for _, s := range found.Segments {
		f, err := l.files.Open(l.path(segName(s.Number)))
		if err != nil {
			return err
		}
		err = f.Sync()
		if err2 := f.Close(); err == nil {
			err = err2
		}
		if err != nil {
			return err
		}
	}
	l.promised = l.seq
	return l.files.SyncDir(l.dir)
}

// others counts what else is in the folder, but for what is ours to use.
func (l *Ledger) others() (sum int64, err error) {
	names, err := l.files.List(l.dir)
	if err != nil {
		return 0, err
	}
	for _, name := range names {
		if !strings.HasPrefix(name, badPrefix) {
			continue
		}
		f, err := l.files.Open(l.path(name))
		if err != nil {
			return 0, err
		}
		size, err := f.Size()
		f.Close()
		if err != nil {
			return 0, err
		}
		sum += (size + layout.Block - 1) / layout.Block * layout.Block
	}
	return sum, nil
}

// carryOver writes what the old form holds into segments. Until the old file is removed, or set aside where not all of
// it can be read, nothing of them counts.
func (l *Ledger) carryOver(found *Found) error {
	if l.oldBad = found.OldBad; l.oldBad != "" {
		slog.Error("damaged", "part", "ledger", "file", oldName, "err", l.oldBad, "unknown_texts", strings.Join(found.Unknown, ","))
	}
	names, err := l.files.List(l.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if _, segment := segNumber(name); segment || name == oldNew {
			if err := l.files.Remove(l.path(name)); err != nil {
				return err
			}
		}
	}
	texts, notices := l.state.owed()
	for _, t := range texts {
		if err := l.move(t.ID); err != nil {
			return err
		}
	}
	for _, n := range notices {
		if err := l.move(n.ID); err != nil {
			return err
		}
	}
	if err := l.settled(); err != nil { // in either mode: it happens once
		return err
	}
	if err := l.giveUp(oldName, l.oldBad != ""); err != nil {
		return err
	}
	slog.Info("carried_over", "part", "ledger", "texts", len(texts), "notices", len(notices))
	return l.files.SyncDir(l.dir)
}

// settled has everything on the disk, names too.
func (l *Ledger) settled() error {
	if l.file != nil {
		if err := l.file.Sync(); err != nil {
			return err
		}
	}
	if err := l.files.SyncDir(l.dir); err != nil {
		return err
	}
	l.promise()
	return nil
}

// mend clears a folder of damaged segments: what is live before and in them is written anew, then they are set aside,
// in their order. Until that has come to its end each start finds them again and comes to the same.
func (l *Ledger) mend(found *Found) {
	bad := map[uint64]bool{}
	last := uint64(0)
	for _, s := range found.Segments {
		if s.Bad != "" {
			slog.Error("damaged", "part", "ledger", "file", segName(s.Number), "err", s.Bad)
			bad[s.Number], last = true, s.Number
		}
	}
	if found.Lost > 0 {
		slog.Error("records_lost", "part", "ledger", "records", found.Lost, "unknown_texts", strings.Join(found.Unknown, ","))
	}
	for l.lay.Oldest() != 0 && l.lay.Oldest() <= last {
		if l.file == nil && l.roll() != nil {
			return
		}
		if id, _ := l.lay.Next(); id != "" {
			if l.move(id) != nil {
				return
			}
			continue
		}
		no, ok := l.lay.Dead()
		if !ok {
			return
		}
		if err := l.settled(); err != nil {
			return
		}
		if err := l.setAside(no, bad[no]); err != nil {
			slog.Error("not_set_aside", "part", "ledger", "file", segName(no), "err", err)
			return
		}
	}
}

// setAside takes the oldest segment out.
func (l *Ledger) setAside(no uint64, damaged bool) error {
	if !damaged {
		return l.remove(no)
	}
	if err := l.giveUp(segName(no), true); err != nil {
		return err
	}
	l.lay.Gone()
	return l.files.SyncDir(l.dir)
}

// giveUp takes a file out: a damaged one is kept under another name for whoever looks into it, unless such files would
// take an eighth of the room.
func (l *Ledger) giveUp(name string, damaged bool) error {
	if !damaged {
		return l.files.Remove(l.path(name))
	}
	others, err := l.others()
	if err != nil {
		return err
	}
	if others > l.opt.Room/8 {
		slog.Warn("not_kept_aside", "part", "ledger", "file", name, "err", "other damaged files take an eighth of the room")
		return l.files.Remove(l.path(name))
	}
	if err := l.files.Rename(l.path(name), l.path(badPrefix+name)); err != nil {
		return err
	}
	slog.Warn("set_aside", "part", "ledger", "file", badPrefix+name)
	return nil
}

// OldBad says what Open found wrong with a file of the form of before; empty if nothing was. The file is set aside.
func (l *Ledger) OldBad() string { return l.oldBad }

// Owed gives the texts that have no end yet, in the order they were taken, and the notices that are due.
func (l *Ledger) Owed() ([]*Text, []*Notice) { return l.state.owed() }

// Now tells the time at a start. If what is held tells of later instants, the clock was put back since.
func (l *Ledger) Now(now control.Time) {
	if by := l.state.latest() - now; by > 0 {
		slog.Warn("clock_put_back", "part", "ledger", "tenths_of_ms", int64(by), "texts", len(l.state.texts))
		l.state.steppedBack(by)
	}
}

// Durable says whether Sync has to be waited for.
func (l *Ledger) Durable() bool { return l.opt.Power }

// Stats tells how the folder is used.
func (l *Ledger) Stats() layout.Stats { return l.lay.Stats() }

// Taken keeps a text. Once that fails the text must be refused.
func (l *Ledger) Taken(t *Text) error {
	if l.unread {
		return errUnread
	}
	t.Order = l.state.order + 1
	r := t.record()
	if !l.lay.Admits(r.size()) {
		return ErrFull
	}
	return l.write(r, false, func() {
		l.state.add(t)
		l.lay.Put(t.ID, r.size())
	})
}

// Submitted keeps that a submit goes out; without that it must not.
func (l *Ledger) Submitted(id string, at control.Time, zone string) error {
	t := l.state.texts[id]
	if t == nil {
		return fmt.Errorf("text %s is not held", id)
	}
	// Where somebody else fills the disk, submits use what is held back as long as that is plenty for the ends.
	plenty := int64(len(l.state.texts))*ending < l.reserve/2
	return l.write(note(submitted, sent{id, t.Submits + 1, at, zone}), plenty, func() { t.out(t.Submits+1, at, zone) })
}

// Answered keeps what became of the submit that was out.
func (l *Ledger) Answered(id string, ran bool) error {
	t := l.state.texts[id]
	if t == nil || !t.Tentative {
		return nil
	}
	if ran {
		t.Tentative = false // as the file says already
		return nil
	}
	t.back()
	return l.write(note(neverRan, named{id}), false, nil)
}

// Ended keeps that a text is over, or its notice has arrived, and that nothing more is owed. Where it cannot be written
// it is tried again with each write and Sync to come.
func (l *Ledger) Ended(id string) error {
	if l.state.texts[id] == nil && l.state.notices[id] == nil {
		return nil // it was never kept
	}
	l.state.end(id)
	l.lay.Drop(id)
	return l.must(note(ended, named{id}))
}

// Untold keeps that a text is over and that the platform is owed a notice. It is tried again as Ended is.
func (l *Ledger) Untold(n *Notice) error {
	l.state.end(n.ID)
	l.lay.Drop(n.ID)
	n.Order = l.state.order + 1
	l.state.owe(n)
	return l.must(note(untold, n))
}

// must writes an end: it finds room whenever there is any.
func (l *Ledger) must(r record) error {
	err := l.write(r, true, func() { l.lie(r) })
	if err != nil && !l.unread {
		l.pending = append(l.pending, r)
	}
	return err
}

// lie tells the layout where a record of what is live lies.
func (l *Ledger) lie(r record) {
	id := ""
	switch r.kind {
	case taken:
		k, n := binary.Uvarint(r.payload)
		if id = idOf(r.payload[n : n+int(k)]); l.state.texts[id] == nil {
			return
		}
	case untold:
		if id = idOf(r.payload); l.state.notices[id] == nil {
			return
		}
	default:
		return
	}
	l.lay.Put(id, r.size())
}

// flush writes the ends that could not be written when they came.
func (l *Ledger) flush() error {
	for len(l.pending) > 0 {
		if err := l.append(l.pending[0], true, l.lay.Wrote); err != nil {
			return err
		}
		l.lie(l.pending[0])
		l.pending = l.pending[1:]
		if len(l.pending) == 0 {
			slog.Info("caught_up", "part", "ledger")
		}
	}
	return nil
}

// write appends a record whole or not at all, does then what follows from it, and cleans a little. What is held back
// may be used for ends.
func (l *Ledger) write(r record, end bool, then func()) error {
	if l.unread {
		return errUnread
	}
	if err := l.flush(); err != nil {
		return err
	}
	// It takes a pass over the segments at most.
	for most := l.lay.Stats().Segments; l.lay.Short(r.size()) && most > 0; {
		l.lay.Force()
		before := l.lay.Oldest()
		if err := l.clean(); err != nil {
			return err
		}
		if l.lay.Oldest() != before {
			most--
		}
	}
	if l.lay.Short(r.size()) && !end && r.kind == taken {
		return ErrFull
	}
	if err := l.append(r, end, l.lay.Wrote); err != nil {
		return err
	}
	if then != nil { // before anything is moved: where it lies must be known
		then()
	}
	for l.lay.Due() {
		if err := l.clean(); err != nil {
			slog.Warn("not_cleaned", "part", "ledger", "err", err)
			break
		}
	}
	return nil
}

// clean moves one record out of the oldest segment, or removes it once nothing in it is live.
func (l *Ledger) clean() error {
	if id, _ := l.lay.Next(); id != "" {
		return l.move(id)
	}
	no, ok := l.lay.Dead()
	if !ok {
		return errors.New("nothing is left to clean")
	}
	// What was moved out of it must be on the disk before it goes, and it before the next one.
	if l.opt.Power {
		if err := l.Sync(); err != nil {
			return err
		}
	}
	return l.remove(no)
}

func (l *Ledger) remove(no uint64) error {
	if err := l.files.Remove(l.path(segName(no))); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("the lasting folder: %w", err)
	}
	l.lay.Gone()
	if l.opt.Power {
		return l.files.SyncDir(l.dir)
	}
	return nil
}

// move writes what is live of an id anew, in one record: half of it would be less than was kept.
func (l *Ledger) move(id string) error {
	r, ok := l.state.anew(id)
	if !ok {
		l.lay.Drop(id)
		return nil
	}
	if err := l.append(r, true, l.lay.Moved); err != nil {
		return err
	}
	l.lay.Put(id, r.size())
	return nil
}

// append writes a record to the tail, a new one if need be.
func (l *Ledger) append(r record, end bool, grow func(int64)) error {
	if l.file == nil || l.lay.Rolls(r.size()) {
		if err := l.roll(); err != nil && !(end && l.release(err) && l.roll() == nil) {
			return fmt.Errorf("the lasting folder: %w", err)
		}
	}
	l.buffer = frame(l.buffer[:0], r, l.seq+1)
	n, err := l.file.WriteAt(l.buffer, l.size)
	if err != nil && end && l.release(err) {
		n, err = l.file.WriteAt(l.buffer, l.size)
	}
	if err != nil {
		// With no room the next write takes the same place. Anything else may be the file's fault: another one.
		if !vfs.IsFull(err) {
			l.leave()
			grow(int64(n))
		}
		return fmt.Errorf("the lasting folder: %w", err)
	}
	l.seq++
	l.size += int64(len(l.buffer))
	grow(int64(len(l.buffer)))
	l.dirty = true
	if l.opt.Power {
		l.unsynced = append(l.unsynced, r)
	}
	if cap(l.buffer) > 2*largest {
		l.buffer = nil
	}
	return nil
}

// leave ends the use of the tail. What was not synced in it is written again, elsewhere: what became of it is not known,
// and a later sync need not tell.
func (l *Ledger) leave() {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
	if l.dirty && l.opt.Power {
		l.pending = append(l.unsynced, l.pending...)
	}
	l.unsynced, l.dirty = nil, false
}

// roll begins another segment.
func (l *Ledger) roll() error {
	if l.file != nil && l.opt.Power && l.dirty {
		err := l.file.Sync()
		if err == nil {
			err = l.files.SyncDir(l.dir)
		}
		if err != nil {
			l.leave()
			return err
		}
		l.promise()
	}
	l.leave()
	f, err := l.files.Create(l.path(segName(l.number + 1)))
	if err != nil {
		return err
	}
	l.number++
	l.names = true
	head := segmentHead(l.number, l.seq+1, l.opt.Power, l.promised)
	if _, err := f.WriteAt(head, 0); err != nil {
		f.Close()
		l.files.Remove(l.path(segName(l.number)))
		return err
	}
	l.file, l.size = f, segHead
	l.lay.Begin(l.number, segHead)
	l.hold()
	return nil
}

// mark notes in the log how far it is synced. It need not be on the disk itself.
func (l *Ledger) mark() {
	r := record{synced, binary.LittleEndian.AppendUint64(nil, l.promised)}
	b := frame(nil, r, 0)
	if _, err := l.file.WriteAt(b, l.size); err == nil {
		l.size += int64(len(b))
		l.lay.Moved(int64(len(b)))
	}
}

// hold holds room back for ends, as a file that can be removed.
func (l *Ledger) hold() {
	want := reserveOf(l.opt.Room)
	if l.reserve > 0 || want == 0 || len(l.pending) > 0 {
		return
	}
	f, err := l.files.Create(l.path(reserveName))
	if err != nil {
		return
	}
	defer f.Close()
	if _, err := f.WriteAt(make([]byte, want), 0); err != nil {
		l.files.Remove(l.path(reserveName))
		return
	}
	l.reserve = want
}

// release gives up what is held back, if the disk is full and there is any.
func (l *Ledger) release(err error) bool {
	if !vfs.IsFull(err) || l.reserve == 0 {
		return false
	}
	l.reserve = 0
	slog.Warn("reserve_used", "part", "ledger", "err", err)
	return l.files.Remove(l.path(reserveName)) == nil
}

// Sync has on the disk what was written, where the ledger is kept so. After an error nothing that was written since the
// last Sync may be told to anybody but ends.
func (l *Ledger) Sync() error {
	if l.unread {
		return nil
	}
	if err := l.flush(); err != nil && l.opt.Power {
		return err
	}
	if !l.opt.Power || !l.dirty || l.file == nil {
		return nil
	}
	err := l.file.Sync()
	if err == nil && l.names {
		err = l.files.SyncDir(l.dir)
	}
	if err != nil {
		l.leave()
		return fmt.Errorf("the lasting folder: %w", err)
	}
	l.promise()
	l.mark()
	return nil
}

// promise: all that was written is on the disk.
func (l *Ledger) promise() {
	l.dirty, l.names, l.promised, l.unsynced = false, false, l.seq, nil
}

// Compact writes everything that is live anew and removes all else: a snapshot.
func (l *Ledger) Compact() error {
	if l.unread {
		return errUnread
	}
	last := l.number
	if err := l.roll(); err != nil {
		return err
	}
	for l.lay.Oldest() <= last {
		if err := l.clean(); err != nil {
			return err
		}
	}
	return l.settled()
}

// Close ends the use of the folder.
func (l *Ledger) Close() error {
	var err error
	if !l.unread {
		err = l.Sync()
		l.leave()
	}
	if l.lock != nil {
		err = errors.Join(err, l.lock.Close())
		l.lock = nil
	}
	l.unread = true // nothing is written from now on
	return err
}

// Names lists the files of a folder that are a ledger's.
func Names(files vfs.FS, dir string) ([]string, error) {
	names, err := files.List(dir)
	return slices.DeleteFunc(names, func(name string) bool {
		_, segment := segNumber(name)
		return !segment && name != oldName && name != lockName && name != reserveName && !strings.HasPrefix(name, badPrefix)
	}), err
}
