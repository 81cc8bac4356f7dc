package replica

import (
	"time"

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
	var fragments fragmentAssembler
	var replayErr error
	r.journal, err = journal.Open(options, func(_ journal.Position, b []byte) error {
		if record, complete := fragments.add(b); complete && replayErr == nil {
			replayErr = applyRecord(durable, record)
		}
		return nil
	})
	if err != nil {
		return nil, false, err
	}
	if replayErr == nil && !r.journal.Damaged() {
		return durable, false, nil
	}
	r.log.WithError(replayErr).Error("replica: the disk lost synced records; rejoining as a new member")
	if err := r.journal.Reset(); err != nil {
		r.closeJournal()
		return nil, false, err
	}
	return &chain.DurableState{}, true, nil
}

func applyRecord(durable *chain.DurableState, b []byte) error {
	record, err := decodeRecord(b)
	if err != nil {
		return err
	}
	return durable.Apply(record)
}

func (r *Replica) closeJournal() {
	if r.journal == nil {
		return
	}
	if err := r.journal.Close(); err != nil {
		r.log.WithError(err).Warn("replica: error closing the journal")
	}
}

// persist appends records and syncs them. It retries failed syncs until the disk accepts the records, since continuing
// without them would break promises given to other members. It returns false if the replica stops first.
func (r *Replica) persist(records []chain.Record) bool {
	if r.journal == nil {
		return true
	}
	for _, record := range records {
		if !r.appendRecord(record) {
			return false
		}
	}
	return r.compactJournal() && r.syncJournal()
}

// appendRecord appends a record in as many fragments as the journal's record size limit requires.
func (r *Replica) appendRecord(record chain.Record) bool {
	b, err := encodeRecord(record)
	if err != nil {
		return r.stopWithError(err)
	}
	maxFragment := r.journal.MaxRecordBytes() - 1
	for first := true; first || len(b) > 0; first = false {
		n := min(maxFragment, len(b))
		if _, err := r.journal.Append(encodeFragment(b[:n], first, n == len(b))); err != nil {
			return r.stopWithError(err)
		}
		b = b[n:]
	}
	return true
}

// compactJournal appends a checkpoint and reclaims the older segments when fewer than minFreeSegments are free.
func (r *Replica) compactJournal() bool {
	if r.journal.FreeSegments() >= minFreeSegments {
		return true
	}
	newest := r.journal.NewestSegment()
	for _, record := range r.node.Checkpoint() {
		if !r.appendRecord(record) {
			return false
		}
	}
	for r.journal.OldestSegment() < newest {
		if err := r.journal.Reclaim(r.journal.OldestSegment()); err != nil {
			return r.stopWithError(err)
		}
	}
	return true
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
