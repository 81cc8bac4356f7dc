package ledger

import (
	"log/slog"

	"emberquay/internal/delivery/ledger/layout"
	"emberquay/internal/vfs"
)

// reserveBytes returns how much space is reserved for ends, for when other programs fill the disk.
func reserveBytes(maxBytes int64) int64 {
	return min(maxBytes/64, 1<<20) / layout.BlockBytes * layout.BlockBytes
}

// createReserve reserves space for ends, as a file that can be removed.
func (l *Ledger) createReserve() {
	size := reserveBytes(l.opt.MaxBytes)
	if l.reserveSize > 0 || size == 0 || len(l.unwritten) > 0 {
		return
	}
	f, err := l.files.Create(l.path(reserveName))
	if err != nil {
		return
	}
	defer f.Close()
	if _, err := f.WriteAt(make([]byte, size), 0); err != nil {
		l.files.Remove(l.path(reserveName))
		return
	}
	l.reserveSize = size
}

// releaseReserve removes the reserve if the disk is full and there is one.
func (l *Ledger) releaseReserve(err error) bool {
	if !vfs.IsFull(err) || l.reserveSize == 0 {
		return false
	}
	l.reserveSize = 0
	slog.Warn("reserve_used", "part", "ledger", "err", err)
	return l.files.Remove(l.path(reserveName)) == nil
}
