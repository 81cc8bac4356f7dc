package replica

import (
	"time"

	"github.com/rotisserie/eris"

	"emberquay/coordination/chain"
	"emberquay/internal/tier/journal"
)

// openJournal recovers the durable state. A disk that lost synced records is treated as empty, since a vote may be among
// them: dataLost is true, and the replica rejoins as a new member.
func (r *Replica) openJournal() (durable *chain.DurableState, dataLost bool, err error) {
	durable = &chain.DurableState{}
	if r.options.Files == nil || !r.options.Voter {
		return durable, false, nil
	}
	journalBytes := r.options.JournalBytes
	if journalBytes == 0 {
		journalBytes = defaultJournalBytes
	}
	options := journal.Options{Files: r.options.Files, Dir: r.options.Dir, SegmentBytes: journalBytes / journalSegments, Segments: journalSegments}
	replay := &replay{durable: durable}
	r.journal, err = journal.Open(options, replay.add)
	if err != nil {
		return nil, false, err
	}
	replayErr := replay.err
	if replayErr == nil && !r.journal.Damaged() {
		if err := r.trimJournal(replay); err != nil {
			r.closeJournal()
			return nil, false, err
		}
		return durable, false, nil
	}
	r.log.WithError(replayErr).Error("replica: the disk lost synced records; rejoining as a new member")
	if err := r.journal.Reset(); err != nil {
		r.closeJournal()
		return nil, false, err
	}
	return &chain.DurableState{}, true, nil
}

// trimJournal frees the segments that hold only obsolete records, and those of a checkpoint that was not written to its
// end. So restarts at any time leave as much room as the process before had.
func (r *Replica) trimJournal(replay *replay) error {
	if first, found := replay.checkpoints.incomplete(); found {
		if err := r.journal.DropNewest(first); err != nil {
			return err
		}
	}
	return r.reclaimBefore(replay.checkpoints.newest)
}

// reclaimBefore reclaims the segments older than one.
func (r *Replica) reclaimBefore(segment uint64) error {
	for r.journal.OldestSegment() < segment {
		if err := r.journal.Reclaim(r.journal.OldestSegment()); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) closeJournal() {
	if r.journal == nil {
		return
	}
	if err := r.journal.Close(); err != nil {
		r.log.WithError(err).Warn("replica: error closing the journal")
	}
}

// persist appends records and syncs them. If they would leave too little room for a checkpoint, it writes the checkpoint
// instead, which contains their effect. It retries failed syncs until the disk accepts the records, since continuing
// without them would break promises given to other members. It returns false if the replica stops first.
func (r *Replica) persist(records []chain.Record) bool {
	if r.journal == nil {
		return true
	}
	change, err := r.split(records, r.journal.RoomInSegment())
	if err != nil {
		return r.stopWithError(err)
	}
	if r.journal.FreeSegments()-change.segments < minFreeSegments {
		err = r.writeCheckpoint()
	} else {
		err = r.appendAll(change)
	}
	if err != nil {
		return r.stopWithError(err)
	}
	return r.syncJournal()
}

// minFragmentBytes is the least length of a fragment that does not end its record.
const minFragmentBytes = 1 << 10

// fragments are records split into records of the journal.
type fragments struct {
	list     [][]byte
	segments int // that appending them starts
}

// split encodes records and splits them so that they fill the segments, of which the newest has some room left.
func (r *Replica) split(records []chain.Record, room int) (fragments, error) {
	var result fragments
	for _, record := range records {
		b, err := encodeRecord(record)
		if err != nil {
			return fragments{}, err
		}
		for first := true; first || len(b) > 0; first = false {
			if room-fragmentFlagsBytes < min(len(b), minFragmentBytes) {
				room = r.journal.MaxRecordBytes()
				result.segments++
			}
			n := min(room-fragmentFlagsBytes, len(b))
			fragment := encodeFragment(b[:n], first, n == len(b))
			result.list = append(result.list, fragment)
			room = journal.RoomAfter(room, len(fragment))
			b = b[n:]
		}
	}
	return result, nil
}

func (r *Replica) appendAll(records fragments) error {
	for _, fragment := range records.list {
		if _, err := r.journal.Append(fragment); err != nil {
			return err
		}
	}
	return nil
}

// writeCheckpoint appends a checkpoint and reclaims all segments before it. It begins a segment, so that nothing older
// shares one with it. Errors: journal.ErrFull, before anything is written, if the state is too large for the disk.
func (r *Replica) writeCheckpoint() error {
	room := 0
	if r.journal.NewestIsEmpty() {
		room = r.journal.RoomInSegment()
	}
	checkpoint, err := r.split(r.node.Checkpoint(), room)
	if err != nil {
		return err
	}
	if free := r.journal.FreeSegments(); checkpoint.segments > free {
		return eris.Wrapf(journal.ErrFull, "a checkpoint needs %d segments, %d are free", checkpoint.segments, free)
	}
	if err := r.journal.StartSegment(); err != nil {
		return err
	}
	first := r.journal.NewestSegment()
	if err := r.appendAll(checkpoint); err != nil {
		return err
	}
	return r.reclaimBefore(first)
}

// MaxStateBytes returns the longest encoded state for which the disk has room; 0: there is no disk, and no bound. A checkpoint
// holds two states and the newest command, which is no longer than a state, and must fit into minFreeSegments segments.
func (r *Replica) MaxStateBytes() int {
	if r.journal == nil {
		return 0
	}
	return int(maxStateShare * float64(r.journal.MaxRecordBytes()) * minFreeSegments / statesInCheckpoint)
}

// syncJournal syncs the journal, retrying until it succeeds or the replica is closed.
func (r *Replica) syncJournal() bool {
	for {
		err := r.journal.Sync()
		if err == nil {
			return true
		}
		r.log.WithError(err).Error("replica: cannot sync the journal; retrying")
		select {
		case <-r.closing:
			return false
		case <-time.After(diskRetryDelay):
		}
	}
}

// stopWithError stops a replica that cannot persist its state.
func (r *Replica) stopWithError(err error) bool {
	r.log.WithError(err).Error("replica: stopped; cannot persist its state")
	if r.closed.CompareAndSwap(false, true) {
		close(r.closing)
	}
	return false
}
