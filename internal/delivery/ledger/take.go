package ledger

import (
	"encoding/binary"
	"fmt"

	"emberquay/control"
)

// RecordAccepted keeps a text. Once that fails the text must be refused.
func (l *Ledger) RecordAccepted(t *Text) error {
	if l.unread {
		return errUnread
	}
	t.Seq = l.state.order + 1
	r := t.record()
	if !l.lay.Admits(r.size()) {
		return ErrFull
	}
	return l.write(r, false, func() {
		l.state.add(t)
		l.lay.Put(t.ID, r.size())
	})
}

// RecordAttempt keeps that a submit goes out; without that it must not.
func (l *Ledger) RecordAttempt(id string, at control.Time, zone string) error {
	t := l.state.texts[id]
	if t == nil {
		return fmt.Errorf("text %s is not held", id)
	}
	// Where somebody else fills the disk, submits use what is held back as long as that is plenty for the ends.
	plenty := int64(len(l.state.texts))*ending < l.reserve/2
	return l.write(note(submitted, sent{id, t.Attempts + 1, at, zone}), plenty, func() { t.out(t.Attempts+1, at, zone) })
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
	t.back()
	return l.write(note(neverRan, named{id}), false, nil)
}

// RecordEnd keeps that a text is over, or its notice has arrived, and that nothing more is owed. Where it cannot be written
// it is tried again with each write and Sync to come.
func (l *Ledger) RecordEnd(id string) error {
	if l.state.texts[id] == nil && l.state.notices[id] == nil {
		return nil // it was never kept
	}
	l.state.end(id)
	l.lay.Drop(id)
	return l.must(note(ended, named{id}))
}

// RecordEndOwingNotice keeps that a text is over and that the platform is owed a notice. It is tried again as Ended is.
func (l *Ledger) RecordEndOwingNotice(n *Notice) error {
	l.state.end(n.ID)
	l.lay.Drop(n.ID)
	n.Seq = l.state.order + 1
	l.state.owe(n)
	return l.must(note(untold, n))
}

// must writes an end: it finds room whenever there is any.
func (l *Ledger) must(r record) error {
	err := l.write(r, true, func() { l.lie(r) })
	if err != nil && !l.unread {
		l.pending = append(l.pending, r)
	}
	return err
}

// lie tells the layout where a record of what is live lies.
func (l *Ledger) lie(r record) {
	id := ""
	switch r.kind {
	case taken:
		k, n := binary.Uvarint(r.payload)
		if id = idOf(r.payload[n : n+int(k)]); l.state.texts[id] == nil {
			return
		}
	case untold:
		if id = idOf(r.payload); l.state.notices[id] == nil {
			return
		}
	default:
		return
	}
	l.lay.Put(id, r.size())
}
