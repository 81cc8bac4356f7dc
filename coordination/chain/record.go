package chain

import (
	"slices"

	"github.com/rotisserie/eris"

	"emberquay/coordination/view"
)

// Record is one of the types below; a member's disk holds them in order.
type Record interface{ record() }

// IdentityRecord is the first record. Another one later makes the disk that of a new member: nothing before it counts.
type IdentityRecord struct {
	Member view.Member
	Known  []string // addresses of members to ask, besides the seeds
}

// ViewRecord is a decided view and the state it begins with; without State.Full that is the state before. One of the
// present epoch is a checkpoint, and everything before it but the identity and the vote may go.
type ViewRecord struct {
	View      view.View
	State     State
	Committed int64
	Last      []Entry // of a checkpoint: the newest entry, if it is of this epoch
}

// EntryRecord is an entry taken.
type EntryRecord struct {
	Epoch int64
	Entry Entry
}

// VoteRecord is the acceptor of an epoch.
type VoteRecord struct {
	Epoch    int64
	Acceptor view.Acceptor[Proposal]
}

func (IdentityRecord) record() {}
func (ViewRecord) record()     {}
func (EntryRecord) record()    {}
func (VoteRecord) record()     {}

// DurableState is what the records of a disk add up to. The zero value is an empty disk.
type DurableState struct {
	Member    view.Member
	Known     []string
	View      view.View
	State     State // Full, or zero
	Committed int64
	Last      []Entry // as of State
	Entries   []Entry // since State
	Acceptor  view.Acceptor[Proposal]
}

// Apply adds the next record. Errors: a record that cannot follow those before it.
func (d *DurableState) Apply(r Record) error {
	switch r := r.(type) {
	case IdentityRecord:
		if r.Member.ID != d.Member.ID {
			*d = DurableState{Member: r.Member, Known: r.Known}
		}
	case ViewRecord:
		return d.adopt(r)
	case EntryRecord:
		if d.View.Epoch == 0 {
			return nil // before the first checkpoint that is left
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

func (d *DurableState) adopt(r ViewRecord) error {
	if r.View.Epoch < d.View.Epoch {
		return nil // reclaimed before, and found once more
	}
	if d.View.Epoch == 0 && !r.State.Full {
		return nil // before the first checkpoint that is left
	}
	if r.View.Epoch > d.View.Epoch {
		d.Acceptor = view.Acceptor[Proposal]{}
	}
	if !r.State.Full && r.State.Sequence != d.sequence() {
		return eris.Errorf("view %d begins at %d, the disk ends at %d", r.View.Epoch, r.State.Sequence, d.sequence())
	}
	d.View, d.Committed = r.View, max(d.Committed, r.Committed)
	if r.State.Full {
		d.State, d.Last, d.Entries = r.State, r.Last, nil
	}
	return nil
}

// restore fills the machine and gives the outcomes and the newest entry of the present epoch.
func (d *DurableState) restore(machine StateMachine) (recent []Outcome, last *Entry, err error) {
	if err := machine.Restore(d.State.Snapshot); err != nil {
		return nil, nil, eris.Wrap(err, "restoring the state")
	}
	recent = slices.Clone(d.State.Recent)
	if len(d.Last) > 0 {
		last = &d.Last[0]
	}
	for at := range d.Entries {
		e := d.Entries[at]
		result, changed := machine.Apply(e.Command)
		if !changed {
			return nil, nil, eris.Errorf("entry %d changes nothing", e.Sequence)
		}
		recent = remember(recent, Outcome{ID: e.ID, Sequence: e.Sequence, Result: result})
		last = &e
	}
	return recent, last, nil
}

// remember adds an outcome and drops the oldest over the bound.
func remember(recent []Outcome, o Outcome) []Outcome {
	if len(recent) >= maxRecent {
		recent = slices.Delete(recent, 0, len(recent)-maxRecent+1)
	}
	return append(recent, o)
}
