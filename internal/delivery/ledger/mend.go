package ledger

import (
	"log/slog"
	"strings"
)

// repair clears a folder of damaged segments: what is live before and in them is written anew, then they are set aside,
// in their order. Until that has come to its end each start finds them again and comes to the same.
func (l *Ledger) repair(found *Inspection) {
	bad := map[uint64]bool{}
	last := uint64(0)
	for _, s := range found.Segments {
		if s.Bad != "" {
			slog.Error("damaged", "part", "ledger", "file", segmentName(s.Number), "err", s.Bad)
			bad[s.Number], last = true, s.Number
		}
	}
	if found.Lost > 0 {
		slog.Error("records_lost", "part", "ledger", "records", found.Lost, "unknown_texts", strings.Join(found.Unknown, ","))
	}
	for l.layout.OldestSegment() != 0 && l.layout.OldestSegment() <= last {
		if l.tail == nil && l.startSegment() != nil {
			return
		}
		if id, _ := l.layout.NextToMove(); id != "" {
			if l.rewriteLive(id) != nil {
				return
			}
			continue
		}
		no, ok := l.layout.RemovableSegment()
		if !ok {
			return
		}
		if err := l.forceSync(); err != nil {
			return
		}
		if err := l.removeOldest(no, bad[no]); err != nil {
			slog.Error("not_set_aside", "part", "ledger", "file", segmentName(no), "err", err)
			return
		}
	}
}

// removeOldest takes the oldest segment out.
func (l *Ledger) removeOldest(number uint64, damaged bool) error {
	if !damaged {
		return l.removeSegment(number)
	}
	if err := l.discardFile(segmentName(number), true); err != nil {
		return err
	}
	l.layout.DropOldestSegment()
	return l.files.SyncDir(l.dir)
}

// discardFile takes a file out: a damaged one is kept under another name for whoever looks into it, unless such files would
// take an eighth of the room.
func (l *Ledger) discardFile(name string, damaged bool) error {
	if !damaged {
		return l.files.Remove(l.path(name))
	}
	setAsideBytes, err := l.setAsideBytes()
	if err != nil {
		return err
	}
	if setAsideBytes > l.opt.MaxBytes/8 {
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
func (l *Ledger) LegacyDamage() string { return l.legacyDamage }
