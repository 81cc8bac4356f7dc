package ledger

import (
	"log/slog"

	"emberquay/internal/delivery/ledger/layout"
	"emberquay/internal/vfs"
)

// reserveOf is how much is held back for ends when somebody else fills the disk.
func reserveOf(room int64) int64 {
	return min(room/64, 1<<20) / layout.BlockBytes * layout.BlockBytes
}

// hold holds room back for ends, as a file that can be removed.
func (l *Ledger) hold() {
	want := reserveOf(l.opt.MaxBytes)
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
