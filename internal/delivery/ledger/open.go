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
	if opt := l.opt; opt.PowerLossSafe { // what is acted on from now on must not go with the power
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
	if !found.Intact() {
		l.mend(found)
	}
	return nil
}

// syncAll has what was found on the disk: the process before may have ended between a write and its sync.
func (l *Ledger) syncAll(found *Inspection) error {
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
		sum += (size + layout.BlockBytes - 1) / layout.BlockBytes * layout.BlockBytes
	}
	return sum, nil
}

// carryOver writes what the old form holds into segments. Until the old file is removed, or set aside where not all of
// it can be read, nothing of them counts.
func (l *Ledger) carryOver(found *Inspection) error {
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
