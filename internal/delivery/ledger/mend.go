package ledger

import (
	"log/slog"
	"strings"
)

// repair removes damaged segments: it rewrites the live records of the segments up to the last damaged one, then
// removes or sets aside these segments in order. If it is interrupted, the next start finds them again and
// gets the same result.
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
		number, ok := l.layout.RemovableSegment()
		if !ok {
			return
		}
		if err := l.forceSync(); err != nil {
			return
		}
		if err := l.removeOldest(number, bad[number]); err != nil {
			slog.Error("not_set_aside", "part", "ledger", "file", segmentName(number), "err", err)
			return
		}
	}
}

// removeOldest removes the oldest segment, or sets it aside if it is damaged.
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

// discardFile removes a file. It renames a damaged one instead, for later examination, unless such files already take
// more than an eighth of the space.
func (l *Ledger) discardFile(name string, damaged bool) error {
	if !damaged {
		return l.files.Remove(l.path(name))
	}
	setAsideBytes, err := l.setAsideBytes()
	if err != nil {
		return err
	}
	if setAsideBytes > l.opt.MaxBytes/8 {
		slog.Warn("not_kept_aside", "part", "ledger", "file", name, "err", "files set aside take more than an eighth of the space")
		return l.files.Remove(l.path(name))
	}
	if err := l.files.Rename(l.path(name), l.path(badPrefix+name)); err != nil {
		return err
	}
	slog.Warn("set_aside", "part", "ledger", "file", badPrefix+name)
	return nil
}

// LegacyDamage returns what Open found wrong with a file of the legacy format, which is then set aside; empty if nothing.
func (l *Ledger) LegacyDamage() string { return l.legacyDamage }
