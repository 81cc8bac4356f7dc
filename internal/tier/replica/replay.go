package replica

import (
	"emberquay/coordination/chain"
	"emberquay/internal/tier/journal"
)

// replay rebuilds the durable state from the records of a journal, and finds out which of its segments are obsolete.
type replay struct {
	durable     *chain.DurableState
	fragments   fragmentAssembler
	checkpoints checkpointFinder
	err         error // of the first record that could not be applied
}

// add processes the next record of the journal, a fragment.
func (r *replay) add(p journal.Position, fragment []byte) error {
	if r.err != nil {
		return nil
	}
	if len(fragment) > 0 && fragment[0]&firstFragment != 0 {
		r.checkpoints.beginRecord(p.Segment)
	}
	b, complete := r.fragments.add(fragment)
	if !complete {
		return nil
	}
	record, err := decodeRecord(b)
	if err == nil {
		r.checkpoints.add(record, r.durable)
		err = r.durable.Apply(record)
	}
	r.err = err
	return nil
}

// checkpointStage is how much of a checkpoint has been read.
type checkpointStage int

const (
	noCheckpoint checkpointStage = iota
	identityRead
	viewRead
)

// checkpointFinder finds checkpoints among records: an identity, a view with its whole state, and a vote, in a row. All
// records before a complete one are obsolete.
type checkpointFinder struct {
	newest uint64 // segment in which the newest complete checkpoint begins; 0: none

	recordSegment  uint64 // in which the current record begins
	beginsSegment  bool   // the current record is the first one of its segment
	stage          checkpointStage
	start          uint64 // segment in which the checkpoint being read begins
	ownsSegment    bool   // that segment holds nothing before it
	epoch          int64  // of its view
	replacesMember bool   // the state before it was that of a member, so it must have a view
}

// beginRecord is called for the first fragment of each record.
func (c *checkpointFinder) beginRecord(segment uint64) {
	c.beginsSegment = segment != c.recordSegment
	c.recordSegment = segment
}

// add processes a complete record. before is the state that it is applied to.
func (c *checkpointFinder) add(record chain.Record, before *chain.DurableState) {
	stage := noCheckpoint
	switch r := record.(type) {
	case chain.IdentityRecord:
		stage = identityRead
		c.start, c.ownsSegment = c.recordSegment, c.beginsSegment
		sameMember := r.Member.ID == before.Member.ID
		c.replacesMember = sameMember && before.View.Epoch > 0
		if !sameMember {
			c.newest = c.recordSegment // everything before it is void
		}
	case chain.ViewRecord:
		if c.stage == identityRead && r.State.Full && r.View.Epoch >= before.View.Epoch {
			stage, c.epoch = viewRead, r.View.Epoch
		}
	case chain.VoteRecord:
		if c.stage == viewRead && r.Epoch == c.epoch {
			c.newest = c.start
		}
	}
	c.stage = stage
}

// incomplete returns the segment from which on the journal holds nothing but the beginning of a checkpoint. A process writes
// nothing else until the checkpoint is complete, so nothing was promised on the strength of these records.
func (c *checkpointFinder) incomplete() (first uint64, found bool) {
	return c.start, c.stage != noCheckpoint && c.ownsSegment && c.replacesMember
}
