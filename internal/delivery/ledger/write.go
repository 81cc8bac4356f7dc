package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"

	"emberquay/internal/vfs"
)

// flushUnwritten writes the ends that could not be written when they came.
func (l *Ledger) flushUnwritten() error {
	for len(l.unwritten) > 0 {
		if err := l.appendRecord(l.unwritten[0], true, l.layout.AddWritten); err != nil {
			return err
		}
		l.updateLayout(l.unwritten[0])
		l.unwritten = l.unwritten[1:]
		if len(l.unwritten) == 0 {
			slog.Info("caught_up", "part", "ledger")
		}
	}
	return nil
}

// write appends a record whole or not at all, does then what follows from it, and cleans a little. What is held back
// may be used for ends.
func (l *Ledger) write(r record, isEnd bool, onWritten func()) error {
	if l.unavailable {
		return errUnavailable
	}
	if err := l.flushUnwritten(); err != nil {
		return err
	}
	// It takes a pass over the segments at most.
	for passes := l.layout.Stats().Segments; l.layout.MustCleanFirst(r.size()) && passes > 0; {
		l.layout.CountForced()
		before := l.layout.OldestSegment()
		if err := l.cleanStep(); err != nil {
			return err
		}
		if l.layout.OldestSegment() != before {
			passes--
		}
	}
	if l.layout.MustCleanFirst(r.size()) && !isEnd && r.kind == kindAccepted {
		return ErrFull
	}
	if err := l.appendRecord(r, isEnd, l.layout.AddWritten); err != nil {
		return err
	}
	if onWritten != nil { // before anything is moved: where it lies must be known
		onWritten()
	}
	for l.layout.CleaningDue() {
		if err := l.cleanStep(); err != nil {
			slog.Warn("not_cleaned", "part", "ledger", "err", err)
			break
		}
	}
	return nil
}

// cleanStep moves one record out of the oldest segment, or removes it once nothing in it is live.
func (l *Ledger) cleanStep() error {
	if id, _ := l.layout.NextToMove(); id != "" {
		return l.rewriteLive(id)
	}
	number, ok := l.layout.RemovableSegment()
	if !ok {
		return errors.New("nothing is left to clean")
	}
	// What was moved out of it must be on the disk before it goes, and it before the next one.
	if l.opt.PowerLossSafe {
		if err := l.Sync(); err != nil {
			return err
		}
	}
	return l.removeSegment(number)
}

func (l *Ledger) removeSegment(number uint64) error {
	if err := l.files.Remove(l.path(segmentName(number))); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("the lasting folder: %w", err)
	}
	l.layout.DropOldestSegment()
	if l.opt.PowerLossSafe {
		return l.files.SyncDir(l.dir)
	}
	return nil
}

// rewriteLive writes what is live of an id anew, in one record: half of it would be less than was kept.
func (l *Ledger) rewriteLive(id string) error {
	r, ok := l.state.recordOf(id)
	if !ok {
		l.layout.Drop(id)
		return nil
	}
	if err := l.appendRecord(r, true, l.layout.AddMoved); err != nil {
		return err
	}
	l.layout.Put(id, r.size())
	return nil
}

// appendRecord writes a record to the tail, a new one if need be.
func (l *Ledger) appendRecord(r record, isEnd bool, account func(int64)) error {
	if l.tail == nil || l.layout.NeedsNewSegment(r.size()) {
		if err := l.startSegment(); err != nil && !(isEnd && l.releaseReserve(err) && l.startSegment() == nil) {
			return fmt.Errorf("the lasting folder: %w", err)
		}
	}
	l.buffer = appendFrame(l.buffer[:0], r, l.lastSeq+1)
	n, err := l.tail.WriteAt(l.buffer, l.tailBytes)
	if err != nil && isEnd && l.releaseReserve(err) {
		n, err = l.tail.WriteAt(l.buffer, l.tailBytes)
	}
	if err != nil {
		// With no room the next write takes the same place. Anything else may be the file's fault: another one.
		if !vfs.IsFull(err) {
			l.closeTail()
			account(int64(n))
		}
		return fmt.Errorf("the lasting folder: %w", err)
	}
	l.lastSeq++
	l.tailBytes += int64(len(l.buffer))
	account(int64(len(l.buffer)))
	l.dirty = true
	if l.opt.PowerLossSafe {
		l.unsynced = append(l.unsynced, r)
	}
	if cap(l.buffer) > 2*largestRecordBytes {
		l.buffer = nil
	}
	return nil
}

// closeTail ends the use of the tail. What was not synced in it is written again, elsewhere: what became of it is not known,
// and a later sync need not tell.
func (l *Ledger) closeTail() {
	if l.tail != nil {
		l.tail.Close()
		l.tail = nil
	}
	if l.dirty && l.opt.PowerLossSafe {
		l.unwritten = append(l.unsynced, l.unwritten...)
	}
	l.unsynced, l.dirty = nil, false
}

// startSegment begins another segment.
func (l *Ledger) startSegment() error {
	if l.tail != nil && l.opt.PowerLossSafe && l.dirty {
		err := l.tail.Sync()
		if err == nil {
			err = l.files.SyncDir(l.dir)
		}
		if err != nil {
			l.closeTail()
			return err
		}
		l.markAllSynced()
	}
	l.closeTail()
	f, err := l.files.Create(l.path(segmentName(l.lastSegment + 1)))
	if err != nil {
		return err
	}
	l.lastSegment++
	l.dirUnsynced = true
	head := encodeSegmentHeader(l.lastSegment, l.lastSeq+1, l.opt.PowerLossSafe, l.syncedSeq)
	if _, err := f.WriteAt(head, 0); err != nil {
		f.Close()
		l.files.Remove(l.path(segmentName(l.lastSegment)))
		return err
	}
	l.tail, l.tailBytes = f, segmentHeaderBytes
	l.layout.StartSegment(l.lastSegment, segmentHeaderBytes)
	l.createReserve()
	return nil
}

// writeSyncMark notes in the log how far it is synced. It need not be on the disk itself.
func (l *Ledger) writeSyncMark() {
	r := record{kindSyncMark, binary.LittleEndian.AppendUint64(nil, l.syncedSeq)}
	b := appendFrame(nil, r, 0)
	if _, err := l.tail.WriteAt(b, l.tailBytes); err == nil {
		l.tailBytes += int64(len(b))
		l.layout.AddMoved(int64(len(b)))
	}
}

// Compact writes everything that is live anew and removes all else: a snapshot.
func (l *Ledger) Compact() error {
	if l.unavailable {
		return errUnavailable
	}
	last := l.lastSegment
	if err := l.startSegment(); err != nil {
		return err
	}
	for l.layout.OldestSegment() <= last {
		if err := l.cleanStep(); err != nil {
			return err
		}
	}
	return l.forceSync()
}
