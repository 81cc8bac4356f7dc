package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"

	"emberquay/internal/vfs"
)

// flush writes the ends that could not be written when they came.
func (l *Ledger) flush() error {
	for len(l.pending) > 0 {
		if err := l.append(l.pending[0], true, l.lay.AddWritten); err != nil {
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
	for most := l.lay.Stats().Segments; l.lay.MustCleanFirst(r.size()) && most > 0; {
		l.lay.CountForced()
		before := l.lay.OldestSegment()
		if err := l.clean(); err != nil {
			return err
		}
		if l.lay.OldestSegment() != before {
			most--
		}
	}
	if l.lay.MustCleanFirst(r.size()) && !end && r.kind == taken {
		return ErrFull
	}
	if err := l.append(r, end, l.lay.AddWritten); err != nil {
		return err
	}
	if then != nil { // before anything is moved: where it lies must be known
		then()
	}
	for l.lay.CleaningDue() {
		if err := l.clean(); err != nil {
			slog.Warn("not_cleaned", "part", "ledger", "err", err)
			break
		}
	}
	return nil
}

// clean moves one record out of the oldest segment, or removes it once nothing in it is live.
func (l *Ledger) clean() error {
	if id, _ := l.lay.NextToMove(); id != "" {
		return l.move(id)
	}
	no, ok := l.lay.RemovableSegment()
	if !ok {
		return errors.New("nothing is left to clean")
	}
	// What was moved out of it must be on the disk before it goes, and it before the next one.
	if l.opt.PowerLossSafe {
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
	l.lay.DropOldestSegment()
	if l.opt.PowerLossSafe {
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
	if err := l.append(r, true, l.lay.AddMoved); err != nil {
		return err
	}
	l.lay.Put(id, r.size())
	return nil
}

// append writes a record to the tail, a new one if need be.
func (l *Ledger) append(r record, end bool, grow func(int64)) error {
	if l.file == nil || l.lay.NeedsNewSegment(r.size()) {
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
	if l.opt.PowerLossSafe {
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
	if l.dirty && l.opt.PowerLossSafe {
		l.pending = append(l.unsynced, l.pending...)
	}
	l.unsynced, l.dirty = nil, false
}

// roll begins another segment.
func (l *Ledger) roll() error {
	if l.file != nil && l.opt.PowerLossSafe && l.dirty {
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
	head := segmentHead(l.number, l.seq+1, l.opt.PowerLossSafe, l.promised)
	if _, err := f.WriteAt(head, 0); err != nil {
		f.Close()
		l.files.Remove(l.path(segName(l.number)))
		return err
	}
	l.file, l.size = f, segHead
	l.lay.StartSegment(l.number, segHead)
	l.hold()
	return nil
}

// mark notes in the log how far it is synced. It need not be on the disk itself.
func (l *Ledger) mark() {
	r := record{synced, binary.LittleEndian.AppendUint64(nil, l.promised)}
	b := frame(nil, r, 0)
	if _, err := l.file.WriteAt(b, l.size); err == nil {
		l.size += int64(len(b))
		l.lay.AddMoved(int64(len(b)))
	}
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
	for l.lay.OldestSegment() <= last {
		if err := l.clean(); err != nil {
			return err
		}
	}
	return l.settled()
}
