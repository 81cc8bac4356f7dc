package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"

	"emberquay/internal/vfs"
)

// flushUnwritten writes the ends that could not be written before.
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

// write appends a record completely or not at all, calls onWritten, and does some cleaning. An end may use the reserve.
func (l *Ledger) write(r record, isEnd bool, onWritten func()) error {
	if l.unavailable {
		return errUnavailable
	}
	if err := l.flushUnwritten(); err != nil {
		return err
	}
	// This takes at most one pass over the segments.
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
	if onWritten != nil { // before any record is moved, as the layout must be current
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

// cleanStep moves one record out of the oldest segment, or removes the segment if it has no live record.
func (l *Ledger) cleanStep() error {
	if id, _ := l.layout.NextToMove(); id != "" {
		return l.rewriteLive(id)
	}
	number, ok := l.layout.RemovableSegment()
	if !ok {
		return errors.New("nothing left to clean")
	}
	// The moved records must be on disk before the segment is removed, and its removal before that of the next.
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

// rewriteLive rewrites the live state of an id in one record: several could be split by a crash, and a part is not enough.
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

// appendRecord appends a record to the tail, or to a new one if necessary.
func (l *Ledger) appendRecord(r record, isEnd bool, account func(int64)) error {
	if l.tail == nil || l.layout.NeedsNewSegment(r.size()) {
		if err := l.startSegment(); err != nil && !(isEnd && l.releaseReserve(err) && l.startSegment() == nil) {
			return fmt.Errorf("the lasting folder: %w", err)
		}
	}
	l.buffer = appendFrame(l.buffer[:0], r, l.lastSeq+1)
	written, err := l.tail.WriteAt(l.buffer, l.tailBytes)
	if err != nil && isEnd && l.releaseReserve(err) {
		written, err = l.tail.WriteAt(l.buffer, l.tailBytes)
	}
	if err != nil {
		// If the disk is full, the next write uses the same position. Other errors may be the file's: start another.
		if !vfs.IsFull(err) {
			l.closeTail()
			account(int64(written))
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

// closeTail closes the tail. Its unsynced records are written again to another segment: their state is unknown,
// and a later sync need not report the error.
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

// startSegment creates the next segment.
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
	header := encodeSegmentHeader(l.lastSegment, l.lastSeq+1, l.opt.PowerLossSafe, l.syncedSeq)
	if _, err := f.WriteAt(header, 0); err != nil {
		f.Close()
		l.files.Remove(l.path(segmentName(l.lastSegment)))
		return err
	}
	l.tail, l.tailBytes = f, segmentHeaderBytes
	l.layout.StartSegment(l.lastSegment, segmentHeaderBytes)
	l.createReserve()
	return nil
}

// writeSyncMark records up to which record the log is synced. The mark itself need not be synced.
func (l *Ledger) writeSyncMark() {
	r := record{kindSyncMark, binary.LittleEndian.AppendUint64(nil, l.syncedSeq)}
	b := appendFrame(nil, r, 0)
	if _, err := l.tail.WriteAt(b, l.tailBytes); err == nil {
		l.tailBytes += int64(len(b))
		l.layout.AddMoved(int64(len(b)))
	}
}

// Compact rewrites all live records into new segments and removes the old ones.
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
