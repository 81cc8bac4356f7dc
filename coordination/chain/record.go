package chain

import (
	"slices"

	"github.com/rotisserie/eris"

	"emberquay/coordination/view"
)

// Record is one of the types below. A member's disk holds a sequence of them.
type Record interface{ record() }

// IdentityRecord is the first record. A later one with another id turns the disk into that of a new member: all records
// before it are void.
type IdentityRecord struct {
	Member view.Member
	Known  []string // addresses of members to contact, besides the seeds
}

// ViewRecord is a decided view and its initial state; without State.Full this is the state built from the records before.
// A ViewRecord of the current epoch is a checkpoint: all records before it may be deleted, except for the identity and
// the vote.
type ViewRecord struct {
	View      view.View
	State     State
	Committed int64
	Last      []Entry // of a checkpoint: the newest entry, if it belongs to this epoch
}

// EntryRecord is an entry taken by this member.
type EntryRecord struct {
	Epoch int64
	Entry Entry
}

// VoteRecord is the acceptor state of an epoch.
type VoteRecord struct {
	Epoch    int64
	Acceptor view.Acceptor[Proposal]
}

func (IdentityRecord) record() {}
func (ViewRecord) record()     {}
func (EntryRecord) record()    {}
func (VoteRecord) record()     {}

// DurableState is the state rebuilt from the records of a disk. The zero value is an empty disk.
type DurableState struct {
	Member    view.Member
	Known     []string
	View      view.View
	State     State // Full, or the zero value
	Committed int64
	Last      []Entry // newest entry contained in State, as in ViewRecord
	Entries   []Entry // entries after State
	Acceptor  view.Acceptor[Proposal]
}

// Apply adds the next record. It returns an error for a record that cannot follow the previous ones.
func (d *DurableState) Apply(r Record) error {
	switch r := r.(type) {
	case IdentityRecord:
		if r.Member.ID != d.Member.ID {
			*d = DurableState{Member: r.Member, Known: r.Known}
		}
	case ViewRecord:
		return d.applyView(r)
	case EntryRecord:
		if d.View.Epoch == 0 {
			return nil // precedes the oldest remaining checkpoint
		}
		if r.Epoch != d.View.Epoch || r.Entry.Sequence > d.sequence()+1 {
			return eris.Errorf("entry %d of epoch %d after %d of %d", r.Entry.Sequence, r.Epoch, d.sequence(), d.View.Epoch)
		}
		if r.Entry.Sequence == d.sequence()+1 {
			d.Entries = append(d.Entries, r.Entry)
		}
	case VoteRecord:
		if r.Epoch == d.View.Epoch {
			d.Acceptor = r.Acceptor
		}
	}
	return nil
}

func (d *DurableState) sequence() int64 {
	return d.State.Sequence + int64(len(d.Entries))
}

func (d *DurableState) applyView(r ViewRecord) error {
	if r.View.Epoch < d.View.Epoch {
		return nil // an old record: its space was reclaimed, but it was read again
	}
	if d.View.Epoch == 0 && !r.State.Full {
		return nil // precedes the oldest remaining checkpoint
	}
	if r.View.Epoch > d.View.Epoch {
		d.Acceptor = view.Acceptor[Proposal]{}
	}
	if !r.State.Full && r.State.Sequence != d.sequence() {
		return eris.Errorf("view %d begins at entry %d, the records end at %d", r.View.Epoch, r.State.Sequence, d.sequence())
	}
	d.View, d.Committed = r.View, max(d.Committed, r.Committed)
	if r.State.Full {
		d.State, d.Last, d.Entries = r.State, r.Last, nil
	}
	return nil
}

// restore loads the state into the machine and returns the recent outcomes and the newest entry of the current epoch.
func (d *DurableState) restore(machine StateMachine) (recent []Outcome, last *Entry, err error) {
	if err := machine.Restore(d.State.Snapshot); err != nil {
		return nil, nil, eris.Wrap(err, "restoring the state machine")
	}
	recent = slices.Clone(d.State.Recent)
	if len(d.Last) > 0 {
		last = &d.Last[0]
	}
	for i := range d.Entries {
		e := d.Entries[i]
		result, changed := machine.Apply(e.Command)
		if !changed {
			return nil, nil, eris.Errorf("entry %d changes nothing", e.Sequence)
		}
		recent = appendOutcome(recent, Outcome{ID: e.ID, Sequence: e.Sequence, Result: result})
		last = &e
	}
	return recent, last, nil
}

// appendOutcome adds an outcome and drops the oldest ones beyond maxRecentOutcomes.
func appendOutcome(recent []Outcome, o Outcome) []Outcome {
	if len(recent) >= maxRecentOutcomes {
		recent = slices.Delete(recent, 0, len(recent)-maxRecentOutcomes+1)
	}
	return append(recent, o)
}
