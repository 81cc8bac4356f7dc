package ledger

import "fmt"

// forceSync syncs the tail and the file names, in both modes.
func (l *Ledger) forceSync() error {
	if l.tail != nil {
		if err := l.tail.Sync(); err != nil {
			return err
		}
	}
	if err := l.files.SyncDir(l.dir); err != nil {
		return err
	}
	l.markAllSynced()
	return nil
}

// Sync makes the written records durable if the ledger is power loss safe. After an error nothing written since the last
// successful Sync may be made known, except ends.
func (l *Ledger) Sync() error {
	if l.unavailable {
		return nil
	}
	if err := l.flushUnwritten(); err != nil && l.opt.PowerLossSafe {
		return err
	}
	if !l.opt.PowerLossSafe || !l.dirty || l.tail == nil {
		return nil
	}
	err := l.tail.Sync()
	if err == nil && l.dirUnsynced {
		err = l.files.SyncDir(l.dir)
	}
	if err != nil {
		l.closeTail()
		return fmt.Errorf("the lasting folder: %w", err)
	}
	l.markAllSynced()
	l.writeSyncMark()
	return nil
}

// markAllSynced records that everything written is on disk.
func (l *Ledger) markAllSynced() {
	l.dirty, l.dirUnsynced, l.syncedSeq, l.unsynced = false, false, l.lastSeq, nil
}
