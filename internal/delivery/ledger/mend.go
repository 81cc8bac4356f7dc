package ledger

import (
	"log/slog"
	"strings"
)

// mend clears a folder of damaged segments: what is live before and in them is written anew, then they are set aside,
// in their order. Until that has come to its end each start finds them again and comes to the same.
func (l *Ledger) mend(found *Inspection) {
	bad := map[uint64]bool{}
	last := uint64(0)
	for _, s := range found.Segments {
		if s.Bad != "" {
			slog.Error("damaged", "part", "ledger", "file", segName(s.Number), "err", s.Bad)
			bad[s.Number], last = true, s.Number
		}
	}
	if found.Lost > 0 {
		slog.Error("records_lost", "part", "ledger", "records", found.Lost, "unknown_texts", strings.Join(found.Unknown, ","))
	}
	for l.lay.OldestSegment() != 0 && l.lay.OldestSegment() <= last {
		if l.file == nil && l.roll() != nil {
			return
		}
		if id, _ := l.lay.NextToMove(); id != "" {
			if l.move(id) != nil {
				return
			}
			continue
		}
		no, ok := l.lay.RemovableSegment()
		if !ok {
			return
		}
		if err := l.settled(); err != nil {
			return
		}
		if err := l.setAside(no, bad[no]); err != nil {
			slog.Error("not_set_aside", "part", "ledger", "file", segName(no), "err", err)
			return
		}
	}
}

// setAside takes the oldest segment out.
func (l *Ledger) setAside(no uint64, damaged bool) error {
	if !damaged {
		return l.remove(no)
	}
	if err := l.giveUp(segName(no), true); err != nil {
		return err
	}
	l.lay.DropOldestSegment()
	return l.files.SyncDir(l.dir)
}

// giveUp takes a file out: a damaged one is kept under another name for whoever looks into it, unless such files would
// take an eighth of the room.
func (l *Ledger) giveUp(name string, damaged bool) error {
	if !damaged {
		return l.files.Remove(l.path(name))
	}
	others, err := l.others()
	if err != nil {
		return err
	}
	if others > l.opt.MaxBytes/8 {
		slog.Warn("not_kept_aside", "part", "ledger", "file", name, "err", "other damaged files take an eighth of the room")
		return l.files.Remove(l.path(name))
	}
	if err := l.files.Rename(l.path(name), l.path(badPrefix+name)); err != nil {
		return err
	}
	slog.Warn("set_aside", "part", "ledger", "file", badPrefix+name)
	return nil
}

// LegacyDamage says what Open found wrong with a file of the form of before; empty if nothing was. The file is set aside.
func (l *Ledger) LegacyDamage() string { return l.oldBad }
