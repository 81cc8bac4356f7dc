// Package registration tracks the receivers that send their heartbeats to one control node and decides which
// records of them are published to the cluster. It does no I/O and reads no clock: the caller passes the time and
// publishes the records.
//
//	table := registration.New("front-a-1", 1200*time.Millisecond)
//	change := table.Heartbeat(now, "i-7f3a91c2", beat, known) // publish change.Record if change.Publish
//	changes := table.Tick(now, records, alive)                // receivers that became silent or gone
//
// Only changes are published, not every heartbeat. A record carries the sequence number of the heartbeat that it
// comes from, and stamps order records by it, so that a late heartbeat changes nothing. A node's record of a
// receiver's silence is ordered after the last heartbeat received and before the next one.
package registration

import (
	"math"
	"slices"
	"time"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/cluster/records"
)

const (
	// silentIntervals is the number of heartbeat intervals without a heartbeat after which a receiver counts as
	// silent: two heartbeats may be lost or late before that.
	silentIntervals = 2.6
	// goneIntervals is the number of intervals without a heartbeat after which a receiver counts as gone.
	goneIntervals = 12
)

// The second part of a stamp, which orders the records that follow from one heartbeat sequence number.
const (
	stampHeartbeat uint64 = iota
	stampSilent
	stampGone
)

// leaveEpoch is the first part of the stamp of a receiver that has left. It is above all heartbeat sequence numbers,
// since the receiver's id is never used again.
const leaveEpoch = math.MaxUint64 / 2

// Heartbeat is a receiver's report of its own state.
type Heartbeat struct {
	Service       string
	Address       string // ip:port
	Zone          string
	Version       string // of the receiver's software
	Slots         int
	Draining      bool
	ColdRemaining time.Duration
	Stage         string
	Models        []string
	Sequence      uint64 // rises with every call
}

// Change is the result of a heartbeat, a leave or a timeout.
type Change struct {
	Publish bool // Record is to be published
	// NeedsConfirmation is set when the receiver takes no new requests from now on and it is not known that a majority
	// of the control nodes have the record. The receiver's call must be acknowledged only once they have, see
	// HasMajority and MarkConfirmed. Without Publish, Record is one that the cluster already has.
	NeedsConfirmation bool
	Record            records.ReceiverRecord
	Stamp             cluster.Stamp
}

// watchedReceiver is a receiver whose heartbeats this node times out.
type watchedReceiver struct {
	sequence    uint64
	lastHeardAt time.Duration
	state       records.ReceiverState
}

// Table holds the receivers that this node watches. It must be used by one goroutine only.
type Table struct {
	node     string
	interval time.Duration
	watched  map[string]*watchedReceiver
	// confirmed holds by receiver the end state, draining or gone, that a majority is known to have.
	confirmed map[string]records.ReceiverState
}

// New returns an empty table of the control node; interval is the time between two heartbeats.
func New(node string, interval time.Duration) *Table {
	return &Table{node: node, interval: interval, watched: map[string]*watchedReceiver{},
		confirmed: map[string]records.ReceiverState{}}
}

// MarkConfirmed records that a majority of the control nodes have the record of a receiver's end, so that a repeated
// call may be acknowledged at once.
func (t *Table) MarkConfirmed(record records.ReceiverRecord) { t.confirmed[record.ID] = record.State }

// needsConfirmation reports whether a receiver's end state, draining or gone, is not confirmed yet.
func (t *Table) needsConfirmation(id string, end records.ReceiverState) bool {
	known, ok := t.confirmed[id]
	return !ok || known != end && known != records.ReceiverGone
}

// HasMajority reports whether the holders of a record include a majority of the voting control nodes; both are given by
// address. A proxy compares tables with a majority before it serves, so it then learns of the record whichever nodes
// are lost. Without voters there is no majority.
func HasMajority(voters, holders []string) bool {
	count := 0
	for _, voter := range voters {
		if slices.Contains(holders, voter) {
			count++
		}
	}
	return 2*count > len(voters)
}

// Heartbeat handles a heartbeat; known is the cluster's record of the receiver, nil if there is none.
func (t *Table) Heartbeat(now time.Duration, id string, beat Heartbeat, known *records.ReceiverRecord) Change {
	if known != nil && (known.Sequence > int64(beat.Sequence) || hasLeft(known)) {
		return t.repeated(id, beat, known)
	}
	w := t.watched[id]
	if w != nil && w.sequence > beat.Sequence {
		return t.repeated(id, beat, known)
	}
	record := t.newRecord(id, beat)
	t.watched[id] = &watchedReceiver{sequence: beat.Sequence, lastHeardAt: now, state: record.State}
	if known != nil && sameContent(*known, record) {
		return t.repeated(id, beat, known)
	}
	return Change{
		Publish:           true,
		NeedsConfirmation: beat.Draining && t.needsConfirmation(id, records.ReceiverDraining),
		Record:            record,
		Stamp:             cluster.Stamp{Epoch: beat.Sequence, Sequence: stampHeartbeat, Origin: t.node},
	}
}

// repeated returns the change for a heartbeat that brings nothing new. This node may know that the receiver drains
// although a majority does not: a call that could not be acknowledged is repeated with the same content.
func (t *Table) repeated(id string, beat Heartbeat, known *records.ReceiverRecord) Change {
	if !beat.Draining || known == nil || !t.needsConfirmation(id, records.ReceiverDraining) {
		return Change{}
	}
	return Change{NeedsConfirmation: true, Record: *known}
}

// Leave handles a receiver's call that it ends now.
func (t *Table) Leave(id string, known *records.ReceiverRecord) Change {
	delete(t.watched, id)
	record := records.ReceiverRecord{ID: id}
	if known != nil {
		if hasLeft(known) {
			return Change{NeedsConfirmation: t.needsConfirmation(id, records.ReceiverGone), Record: *known}
		}
		record = *known
	}
	record.State, record.Owner, record.Sequence = records.ReceiverGone, t.node, math.MaxInt64
	return Change{Publish: true, NeedsConfirmation: true, Record: record,
		Stamp: cluster.Stamp{Epoch: leaveEpoch, Origin: t.node}}
}

// hasLeft reports whether a receiver is gone by its own Leave call rather than by a timeout.
func hasLeft(r *records.ReceiverRecord) bool {
	return r.State == records.ReceiverGone && r.Sequence == math.MaxInt64
}

func (t *Table) newRecord(id string, b Heartbeat) records.ReceiverRecord {
	state := records.ReceiverReady
	if b.Draining {
		state = records.ReceiverDraining
	}
	return records.ReceiverRecord{
		ID: id, Service: b.Service, Address: b.Address, Zone: b.Zone, Version: b.Version, Slots: b.Slots,
		State: state, ColdRemainingMillis: b.ColdRemaining.Milliseconds(), Stage: b.Stage, Models: b.Models,
		Sequence: int64(b.Sequence), Owner: t.node,
	}
}

// sameContent reports whether a record brings nothing new over the known one. The sequence number does not count, nor
// does the remaining cold time as long as it stays above 0.
func sameContent(known, record records.ReceiverRecord) bool {
	known.Sequence, record.Sequence = 0, 0
	coldBefore, cold := known.ColdRemainingMillis > 0, record.ColdRemainingMillis > 0
	known.ColdRemainingMillis, record.ColdRemainingMillis = 0, 0
	return coldBefore == cold && slices.Equal(known.Models, record.Models) && comparableFields(known) == comparableFields(record)
}

// comparableRecord holds the fields of a record that can be compared by ==.
type comparableRecord struct {
	id, service, address, zone, version, stage, owner string
	slots                                             int
	state                                             records.ReceiverState
}

func comparableFields(r records.ReceiverRecord) comparableRecord {
	return comparableRecord{id: r.ID, service: r.Service, address: r.Address, zone: r.Zone, version: r.Version,
		stage: r.Stage, owner: r.Owner, slots: r.Slots, state: r.State}
}

// Tick returns the changes of receivers that have sent no heartbeat for too long: of those that this node owns and of
// those whose owner is not alive. known holds all receiver records of the cluster.
func (t *Table) Tick(now time.Duration, known []records.ReceiverRecord, alive func(owner string) bool) []Change {
	var changes []Change
	listed := make(map[string]struct{}, len(known))
	for i := range known {
		r := &known[i]
		listed[r.ID] = struct{}{}
		if r.State == records.ReceiverGone {
			continue
		}
		if r.Owner != t.node && alive(r.Owner) {
			delete(t.watched, r.ID)
			continue
		}
		if change := t.checkSilence(now, r); change.Publish {
			changes = append(changes, change)
		}
	}
	for id := range t.confirmed {
		if _, ok := listed[id]; !ok {
			delete(t.confirmed, id)
		}
	}
	for id, w := range t.watched {
		if _, ok := listed[id]; !ok && now-w.lastHeardAt > t.intervals(goneIntervals) {
			delete(t.watched, id)
		}
	}
	return changes
}

// checkSilence returns the change that the time since a watched receiver's last heartbeat calls for.
func (t *Table) checkSilence(now time.Duration, r *records.ReceiverRecord) Change {
	w := t.watched[r.ID]
	if w == nil { // its owner is not alive, or this process has just started: the timeout begins now
		t.watched[r.ID] = &watchedReceiver{sequence: uint64(r.Sequence), lastHeardAt: now, state: r.State}
		return Change{}
	}
	silentFor := now - w.lastHeardAt
	record := *r
	record.Owner = t.node
	stamp := cluster.Stamp{Epoch: uint64(r.Sequence), Origin: t.node}
	switch {
	case silentFor > t.intervals(goneIntervals):
		delete(t.watched, r.ID)
		record.State, stamp.Sequence = records.ReceiverGone, stampGone
	case silentFor > t.intervals(silentIntervals) && r.State == records.ReceiverReady:
		record.State, stamp.Sequence = records.ReceiverSilent, stampSilent
	default:
		return Change{}
	}
	return Change{Publish: true, Record: record, Stamp: stamp}
}

func (t *Table) intervals(count float64) time.Duration {
	return time.Duration(count * float64(t.interval))
}
