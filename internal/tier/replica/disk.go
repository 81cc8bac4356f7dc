package replica

import (
	"time"

	"emberquay/coordination/chain"
	"emberquay/internal/tier/journal"
)

// openJournal reads the disk. A disk that lost what it had synced counts as empty, since a vote may be among it: lost is
// true, and the replica comes back as a new member.
func (r *Replica) openJournal() (durable *chain.DurableState, lost bool, err error) {
	durable = &chain.DurableState{}
	if r.options.Files == nil || !r.options.Voter {
		return durable, false, nil
	}
	bytes := r.options.JournalBytes
	if bytes == 0 {
		bytes = defaultDiskBytes
	}
	options := journal.Options{Files: r.options.Files, Dir: r.options.Dir, SegmentBytes: bytes / segments, Segments: segments}
	var parts assembler
	var broken error
	r.journal, err = journal.Open(options, func(_ journal.Position, b []byte) error {
		if record, whole := parts.add(b); whole && broken == nil {
			broken = apply(durable, record)
		}
		return nil
	})
	if err != nil {
		return nil, false, err
	}
	if broken == nil && !r.journal.Damaged() {
		return durable, false, nil
	}
	r.log.WithError(broken).Error("replica: the disk lost what was synced; coming back as a new member")
	if err := r.journal.Reset(); err != nil {
		r.closeJournal()
		return nil, false, err
	}
	return &chain.DurableState{}, true, nil
}

func apply(durable *chain.DurableState, b []byte) error {
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
		r.log.WithError(err).Warn("replica: closing the journal")
	}
}

// persist brings records to the disk. It tries until the disk takes them: going on without would break promises. It is
// false if the replica ends before that.
func (r *Replica) persist(records []chain.Record) bool {
	if r.journal == nil {
		return true
	}
	for _, record := range records {
		if !r.append(record) {
			return false
		}
	}
	return r.makeRoom() && r.sync()
}

// append adds a record in as many parts as the journal's bound on records demands.
func (r *Replica) append(record chain.Record) bool {
	b, err := encodeRecord(record)
	if err != nil {
		return r.fail(err)
	}
	most := r.journal.MaxRecordBytes() - 1
	for first := true; first || len(b) > 0; first = false {
		n := min(most, len(b))
		if _, err := r.journal.Append(part(b[:n], first, n == len(b))); err != nil {
			return r.fail(err)
		}
		b = b[n:]
	}
	return true
}

// makeRoom puts a checkpoint and gives older segments free before the last ones that are free are needed.
func (r *Replica) makeRoom() bool {
	if r.journal.FreeSegments() >= spareSegments {
		return true
	}
	from := r.journal.NewestSegment()
	for _, record := range r.node.Checkpoint() {
		if !r.append(record) {
			return false
		}
	}
	for r.journal.OldestSegment() < from {
		if err := r.journal.Reclaim(r.journal.OldestSegment()); err != nil {
			return r.fail(err)
		}
	}
	return true
}

// sync waits for the disk, for as long as it takes.
func (r *Replica) sync() bool {
	for {
		err := r.journal.Sync()
		if err == nil {
			return true
		}
		r.log.WithError(err).Error("replica: the disk does not take what has to be kept")
		select {
		case <-r.closing:
			return false
		case <-time.After(diskPause):
		}
	}
}

// fail ends a replica that can't keep what it has to.
func (r *Replica) fail(err error) bool {
	r.log.WithError(err).Error("replica: ended, its state can't be kept")
	if r.closed.CompareAndSwap(false, true) {
		close(r.closing)
	}
	return false
}
