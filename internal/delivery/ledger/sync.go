package ledger

import "fmt"

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

// Sync has on the disk what was written, where the ledger is kept so. After an error nothing that was written since the
// last Sync may be told to anybody but ends.
func (l *Ledger) Sync() error {
	if l.unread {
		return nil
	}
	if err := l.flush(); err != nil && l.opt.PowerLossSafe {
		return err
	}
	if !l.opt.PowerLossSafe || !l.dirty || l.file == nil {
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
