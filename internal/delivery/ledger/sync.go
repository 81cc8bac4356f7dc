package ledger

import "fmt"

// forceSync has everything on the disk, names too.
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

// Sync has on the disk what was written, where the ledger is kept so. After an error nothing that was written since the
// last Sync may be told to anybody but ends.
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

// markAllSynced: all that was written is on the disk.
func (l *Ledger) markAllSynced() {
	l.dirty, l.dirUnsynced, l.syncedSeq, l.unsynced = false, false, l.lastSeq, nil
}
