package ledger

import (
	"log/slog"
	"strings"

	"emberquay/internal/delivery/ledger/layout"
)

func (l *Ledger) open() error {
	if err := l.files.MkdirAll(l.dir); err != nil {
		return err
	}
	lock, err := l.files.Lock(l.path(lockName))
	if err != nil {
		return err
	}
	l.lock = lock
	setAsideBytes, err := l.setAsideBytes()
	if err != nil {
		return err
	}
	l.layout = l.newLayout(setAsideBytes)
	found, err := loadFolder(l.files, l.dir, l.layout)
	if err != nil {
		return err
	}
	l.state, l.lastSeq, l.syncedSeq = found.state, found.lastSeq, found.syncedSeq
	for _, s := range found.Segments {
		l.lastSegment = max(l.lastSegment, s.Number)
	}
	slog.Info("opened", "part", "ledger", "segments", len(found.Segments), "records", found.Records, "texts", found.Texts,
		"notices", found.Notices, "torn", found.Torn)
	if opt := l.opt; opt.PowerLossSafe { // what is acted on from now on must survive a power loss
		if err := l.syncSegments(found); err != nil {
			return err
		}
	}
	if found.Old {
		if err := l.migrateLegacy(found); err != nil {
			return err
		}
	}
	l.createReserve()
	if !found.Intact() {
		l.repair(found)
	}
	return nil
}

// syncSegments syncs the loaded segments: the previous process may have ended between a write and its sync.
func (l *Ledger) syncSegments(found *Inspection) error {
	for _, s := range found.Segments {
		f, err := l.files.Open(l.path(segmentName(s.Number)))
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
	l.syncedSeq = l.lastSeq
	return l.files.SyncDir(l.dir)
}

// setAsideBytes returns the disk space of the files set aside.
func (l *Ledger) setAsideBytes() (sum int64, err error) {
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
		sum += (size + layout.BlockBytes - 1) / layout.BlockBytes * layout.BlockBytes
	}
	return sum, nil
}

// migrateLegacy writes the state of a legacy file into segments. They are ignored until the legacy file is removed, or
// set aside if it is partly unreadable.
func (l *Ledger) migrateLegacy(found *Inspection) error {
	if l.legacyDamage = found.OldBad; l.legacyDamage != "" {
		slog.Error("damaged", "part", "ledger", "file", legacyName, "err", l.legacyDamage, "unknown_texts", strings.Join(found.Unknown, ","))
	}
	names, err := l.files.List(l.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if _, segment := parseSegmentName(name); segment || name == legacyTempName {
			if err := l.files.Remove(l.path(name)); err != nil {
				return err
			}
		}
	}
	texts, notices := l.state.unfinished()
	for _, t := range texts {
		if err := l.rewriteLive(t.ID); err != nil {
			return err
		}
	}
	for _, n := range notices {
		if err := l.rewriteLive(n.ID); err != nil {
			return err
		}
	}
	if err := l.forceSync(); err != nil { // in both modes: it happens once
		return err
	}
	if err := l.discardFile(legacyName, l.legacyDamage != ""); err != nil {
		return err
	}
	slog.Info("carried_over", "part", "ledger", "texts", len(texts), "notices", len(notices))
	return l.files.SyncDir(l.dir)
}
