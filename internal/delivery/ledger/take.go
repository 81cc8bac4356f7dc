package ledger

import (
	"encoding/binary"
	"fmt"

	"emberquay/control"
)

// RecordAccepted stores a text. If it fails, the text must be refused.
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

// RecordAttempt records that an attempt is about to be sent; if it fails, the attempt must not be sent.
func (l *Ledger) RecordAttempt(id string, at control.Time, zone string) error {
	t := l.state.texts[id]
	if t == nil {
		return fmt.Errorf("text %s is not held", id)
	}
	// If other programs fill the disk, attempts may use the reserve as long as it is more than enough for the ends.
	useReserve := int64(len(l.state.texts))*endRecordBytes < l.reserveSize/2
	return l.write(jsonRecord(kindAttempt, attemptRecord{id, t.Attempts + 1, at, zone}), useReserve, func() { t.startAttempt(t.Attempts+1, at, zone) })
}

// RecordResult records whether the attempt in flight may have run.
func (l *Ledger) RecordResult(id string, mayHaveRun bool) error {
	t := l.state.texts[id]
	if t == nil || !t.FirstRunTentative {
		return nil
	}
	if mayHaveRun {
		t.FirstRunTentative = false // as already recorded
		return nil
	}
	t.clearTentativeRun()
	return l.write(jsonRecord(kindNotRun, idRecord{id}), false, nil)
}

// RecordEnd records that a text has ended, or that its notice was delivered, and that nothing more is owed. If the write
// fails, each later write and Sync retries it.
func (l *Ledger) RecordEnd(id string) error {
	if l.state.texts[id] == nil && l.state.notices[id] == nil {
		return nil // it was never recorded
	}
	l.state.remove(id)
	l.layout.Drop(id)
	return l.writeEnd(jsonRecord(kindEnded, idRecord{id}))
}

// RecordEndOwingNotice records that a text has ended and that the platform is owed a notice. It is retried like RecordEnd.
func (l *Ledger) RecordEndOwingNotice(n *Notice) error {
	l.state.remove(n.ID)
	l.layout.Drop(n.ID)
	n.Seq = l.state.lastSeq + 1
	l.state.addNotice(n)
	return l.writeEnd(jsonRecord(kindEndedOwingNotice, n))
}

// writeEnd writes an end, which may use the reserve.
func (l *Ledger) writeEnd(r record) error {
	err := l.write(r, true, func() { l.updateLayout(r) })
	if err != nil && !l.unavailable {
		l.unwritten = append(l.unwritten, r)
	}
	return err
}

// updateLayout tells the layout where the record of a live text or notice is.
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
