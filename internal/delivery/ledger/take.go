package ledger

import (
	"encoding/binary"
	"fmt"

	"emberquay/control"
)

// RecordAccepted keeps a text. Once that fails the text must be refused.
func (l *Ledger) RecordAccepted(t *Text) error {
	if l.unavailable {
		return errUnavailable
	}
	t.Seq = l.state.lastSeq + 1
	r := t.toRecord()
	if !l.layout.Admits(r.size()) {
		return ErrFull
	}
	return l.write(r, false, func() {
		l.state.addText(t)
		l.layout.Put(t.ID, r.size())
	})
}

// RecordAttempt keeps that a submit goes out; without that it must not.
func (l *Ledger) RecordAttempt(id string, at control.Time, zone string) error {
	t := l.state.texts[id]
	if t == nil {
		return fmt.Errorf("text %s is not held", id)
	}
	// Where somebody else fills the disk, submits use what is held back as long as that is plenty for the ends.
	useReserve := int64(len(l.state.texts))*endRecordBytes < l.reserveSize/2
	return l.write(jsonRecord(kindAttempt, attemptRecord{id, t.Attempts + 1, at, zone}), useReserve, func() { t.startAttempt(t.Attempts+1, at, zone) })
}

// RecordResult keeps what became of the submit that was out.
func (l *Ledger) RecordResult(id string, ran bool) error {
	t := l.state.texts[id]
	if t == nil || !t.FirstRunTentative {
		return nil
	}
	if ran {
		t.FirstRunTentative = false // as the file says already
		return nil
	}
	t.clearTentativeRun()
	return l.write(jsonRecord(kindNotRun, idRecord{id}), false, nil)
}

// RecordEnd keeps that a text is over, or its notice has arrived, and that nothing more is owed. Where it cannot be written
// it is tried again with each write and Sync to come.
func (l *Ledger) RecordEnd(id string) error {
	if l.state.texts[id] == nil && l.state.notices[id] == nil {
		return nil // it was never kept
	}
	l.state.remove(id)
	l.layout.Drop(id)
	return l.writeEnd(jsonRecord(kindEnded, idRecord{id}))
}

// RecordEndOwingNotice keeps that a text is over and that the platform is owed a notice. It is tried again as Ended is.
func (l *Ledger) RecordEndOwingNotice(n *Notice) error {
	l.state.remove(n.ID)
	l.layout.Drop(n.ID)
	n.Seq = l.state.lastSeq + 1
	l.state.addNotice(n)
	return l.writeEnd(jsonRecord(kindEndedOwingNotice, n))
}

// writeEnd writes an end: it finds room whenever there is any.
func (l *Ledger) writeEnd(r record) error {
	err := l.write(r, true, func() { l.updateLayout(r) })
	if err != nil && !l.unavailable {
		l.unwritten = append(l.unwritten, r)
	}
	return err
}

// updateLayout tells the layout where a record of what is live lies.
func (l *Ledger) updateLayout(r record) {
	id := ""
	switch r.kind {
	case kindAccepted:
		k, n := binary.Uvarint(r.payload)
		if id = parseID(r.payload[n : n+int(k)]); l.state.texts[id] == nil {
			return
		}
	case kindEndedOwingNotice:
		if id = parseID(r.payload); l.state.notices[id] == nil {
			return
		}
	default:
		return
	}
	l.layout.Put(id, r.size())
}
