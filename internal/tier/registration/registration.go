// Package registration keeps the receivers that send their heartbeats to one control node, and decides what
// is spread of them. It is pure: time comes in, records to publish go out.
//
//	table := registration.New("front-a-1", 1200*time.Millisecond)
//	change := table.Heartbeat(now, "i-7f3a91c2", beat)      // publish change.Record if change.Publish
//	changes := table.Tick(now, known, ownerLives)            // silences
//
// Only changes are spread, not each heartbeat: a record carries the sequence of the heartbeat that it comes
// from, and the stamp orders records by it, so that a late heartbeat changes nothing. What a node says of a
// receiver's silence is ordered after the heartbeat that was last heard, and before the next one.
package registration

import (
	"math"
	"slices"
	"time"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/cluster/records"
)

const (
	// silentAfter is how many heartbeat intervals pass before a receiver counts as silent: two may be lost or
	// late before that.
	silentAfter = 2.6
	// goneAfter is how many intervals pass before a silent receiver is forgotten.
	goneAfter = 12
)

// The second part of a stamp: what follows a heartbeat of the same sequence.
const (
	heard uint64 = iota
	silent
	gone
)

// leftEpoch is the first part of the stamp of a receiver that has left: its id never comes back.
const leftEpoch = math.MaxUint64 / 2

// Heartbeat is what a receiver says of itself.
type Heartbeat struct {
	Service       string
	Address       string // ip:port
	Zone          string
	Version       string // of its software
	Slots         int
	Draining      bool
	ColdRemaining time.Duration
	Stage         string
	Models        []string
	Sequence      uint64 // rises with every call
}

// Change is what follows from news of a receiver.
type Change struct {
	Publish bool // Record is to be published
	// NeedsConfirmation: the receiver takes no new requests from now on, and it is not known that a majority of the control
	// nodes have heard it. It must be acknowledged only once they have, see HasMajority and MarkConfirmed. Without Publish
	// it is what the cluster knows already that has to be confirmed.
	NeedsConfirmation bool
	Record            records.ReceiverRecord
	Stamp             cluster.Stamp
}

// watched is a receiver whose silence this node watches.
type watched struct {
	sequence uint64
	heardAt  time.Duration
	state    records.ReceiverState
}

// Table holds the receivers watched here. One goroutine owns it.
type Table struct {
	node     string
	interval time.Duration
	watched  map[string]*watched
	// confirmed are the receivers whose end a majority has heard, as this node was told.
	confirmed map[string]records.ReceiverState
}

// New makes an empty table of a control node; interval is that of the heartbeats.
func New(node string, interval time.Duration) *Table {
	return &Table{node: node, interval: interval, watched: map[string]*watched{},
		confirmed: map[string]records.ReceiverState{}}
}

// MarkConfirmed notes that a majority of the control nodes have heard that a receiver ends: the same word again may be
// acknowledged at once.
func (t *Table) MarkConfirmed(record records.ReceiverRecord) { t.confirmed[record.ID] = record.State }

// unconfirmed says whether the end of a receiver, draining or gone, has still to be confirmed.
func (t *Table) unconfirmed(id string, end records.ReceiverState) bool {
	known, ok := t.confirmed[id]
	return !ok || known != end && known != records.ReceiverGone
}

// HasMajority says whether those that have news of a receiver, by their addresses, are a majority of the voting control
// nodes. A proxy compares tables with a majority before it serves, so it then hears of it whoever is lost. Without
// voters there is none.
func HasMajority(voters, holders []string) bool {
	count := 0
	for _, voter := range voters {
		if slices.Contains(holders, voter) {
			count++
		}
	}
	return 2*count > len(voters)
}

// Heartbeat takes a heartbeat; known is the record that the cluster has of the receiver, nil if there is none.
func (t *Table) Heartbeat(now time.Duration, id string, beat Heartbeat, known *records.ReceiverRecord) Change {
	if known != nil && (known.Sequence > int64(beat.Sequence) || hasLeft(known)) {
		return t.again(id, beat, known)
	}
	w := t.watched[id]
	if w != nil && w.sequence > beat.Sequence {
		return t.again(id, beat, known)
	}
	record := t.record(id, beat)
	t.watched[id] = &watched{sequence: beat.Sequence, heardAt: now, state: record.State}
	if known != nil && same(*known, record) {
		return t.again(id, beat, known)
	}
	return Change{
		Publish:           true,
		NeedsConfirmation: beat.Draining && t.unconfirmed(id, records.ReceiverDraining),
		Record:            record,
		Stamp:             cluster.Stamp{Epoch: beat.Sequence, Sequence: heard, Origin: t.node},
	}
}

// again is what follows from a heartbeat that is no news. That it drains may have been heard here without a majority
// hearing of it: an earlier call that could not be acknowledged comes again as the same word.
func (t *Table) again(id string, beat Heartbeat, known *records.ReceiverRecord) Change {
	if !beat.Draining || known == nil || !t.unconfirmed(id, records.ReceiverDraining) {
		return Change{}
	}
	return Change{NeedsConfirmation: true, Record: *known}
}

// Leave takes a receiver's word that it ends now.
func (t *Table) Leave(id string, known *records.ReceiverRecord) Change {
	delete(t.watched, id)
	record := records.ReceiverRecord{ID: id}
	if known != nil {
		if hasLeft(known) {
			return Change{NeedsConfirmation: t.unconfirmed(id, records.ReceiverGone), Record: *known}
		}
		record = *known
	}
	record.State, record.Owner, record.Sequence = records.ReceiverGone, t.node, math.MaxInt64
	return Change{Publish: true, NeedsConfirmation: true, Record: record, Stamp: cluster.Stamp{Epoch: leftEpoch, Origin: t.node}}
}

// hasLeft tells a receiver that said so from one that was silent for long.
func hasLeft(r *records.ReceiverRecord) bool {
	return r.State == records.ReceiverGone && r.Sequence == math.MaxInt64
}

func (t *Table) record(id string, b Heartbeat) records.ReceiverRecord {
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

// same says that a record has nothing that the known one lacks: the sequence alone is no news, nor is the time
// for which a receiver stays slow, as long as it does.
func same(known, record records.ReceiverRecord) bool {
	known.Sequence, record.Sequence = 0, 0
	coldBefore, cold := known.ColdRemainingMillis > 0, record.ColdRemainingMillis > 0
	known.ColdRemainingMillis, record.ColdRemainingMillis = 0, 0
	return coldBefore == cold && slices.Equal(known.Models, record.Models) && comparable(known) == comparable(record)
}

// receiverFields are the fields of a record that == compares.
type receiverFields struct {
	id, service, address, zone, version, stage, owner string
	slots                                             int
	state                                             records.ReceiverState
}

func comparable(r records.ReceiverRecord) receiverFields {
	return receiverFields{id: r.ID, service: r.Service, address: r.Address, zone: r.Zone, version: r.Version,
		stage: r.Stage, owner: r.Owner, slots: r.Slots, state: r.State}
}

// Tick finds the receivers that have been silent for too long: the own ones, and those whose owner is not
// alive. known are all records of the cluster.
func (t *Table) Tick(now time.Duration, known []records.ReceiverRecord, alive func(owner string) bool) []Change {
	var changes []Change
	seen := make(map[string]struct{}, len(known))
	for i := range known {
		r := &known[i]
		seen[r.ID] = struct{}{}
		if r.State == records.ReceiverGone {
			continue
		}
		if r.Owner != t.node && alive(r.Owner) {
			delete(t.watched, r.ID)
			continue
		}
		if change := t.silence(now, r); change.Publish {
			changes = append(changes, change)
		}
	}
	for id := range t.confirmed {
		if _, listed := seen[id]; !listed {
			delete(t.confirmed, id)
		}
	}
	for id, w := range t.watched {
		if _, listed := seen[id]; !listed && now-w.heardAt > t.after(goneAfter) {
			delete(t.watched, id)
		}
	}
	return changes
}

// silence says what the silence of a receiver watched here has come to.
func (t *Table) silence(now time.Duration, r *records.ReceiverRecord) Change {
	w := t.watched[r.ID]
	if w == nil { // its owner is not alive, or this process has just started: its time begins now
		t.watched[r.ID] = &watched{sequence: uint64(r.Sequence), heardAt: now, state: r.State}
		return Change{}
	}
	quiet := now - w.heardAt
	record := *r
	record.Owner = t.node
	stamp := cluster.Stamp{Epoch: uint64(r.Sequence), Origin: t.node}
	switch {
	case quiet > t.after(goneAfter):
		delete(t.watched, r.ID)
		record.State, stamp.Sequence = records.ReceiverGone, gone
	case quiet > t.after(silentAfter) && r.State == records.ReceiverReady:
		record.State, stamp.Sequence = records.ReceiverSilent, silent
	default:
		return Change{}
	}
	return Change{Publish: true, Record: record, Stamp: stamp}
}

func (t *Table) after(intervals float64) time.Duration {
	return time.Duration(intervals * float64(t.interval))
}
