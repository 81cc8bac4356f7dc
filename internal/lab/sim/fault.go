package sim

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"emberquay/coordination/chain"
	"emberquay/coordination/gossip"
	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/controlstate"
)

// Fault is a deliberate one: each breaks a promise of the tier in the joints of the simulation, never in the service. The
// invariants have to find it.
type Fault string

// The faults.
const (
	none              Fault = ""
	answerBeforeSync  Fault = "a control node acknowledges before its disk has synced"
	voteAfterWipe     Fault = "a control node votes in its old name after its disk was lost"
	forgetsVotes      Fault = "a control node does not write its votes"
	headAcknowledges  Fault = "the head acknowledges before the chain has the change"
	sealIgnored       Fault = "a member confirms an epoch that it has sealed"
	staleRead         Fault = "a member reads without asking the others"
	repeatByVersion   Fault = "a repeat is known by its version alone"
	repeatForgotten   Fault = "accepted changes are not remembered"
	baseIgnored       Fault = "a change is taken on any base"
	invalidTaken      Fault = "a configuration is not checked"
	versionMayFall    Fault = "a proxy takes any configuration that comes"
	digestMissesEntry Fault = "the comparison of tables misses the configuration"
	drainUnconfirmed  Fault = "draining is acknowledged by one node alone, and not spread"
	drainOfOne        Fault = "draining is acknowledged once any one other node has confirmed it"
	silenceIgnored    Fault = "nobody looks for receivers that are silent"
	reserveUnsynced   Fault = "a store answers for a reservation before its disk has synced"
	reserveForgotten  Fault = "a store that starts again drops open reservations"
	oneRound          Fault = "a quorum's first answers grant a reservation"
	smallQuorum       Fault = "half of the stores are a quorum"
	incompleteCounts  Fault = "a store with a fresh disk counts as complete"
	tooFewCopies      Fault = "a turn is on one store too few"
	missingTooSoon    Fault = "one store that lacks a turn makes it missing"
	retireForgets     Fault = "a store that is emptied forgets a turn"
	brokenNotCounted  Fault = "a turn that broke off is settled with nothing"
	repeatOfNewest    Fault = "a repeat is known only while nothing newer is in force"
	fullAcknowledges  Fault = "a full disk counts as synced"
	fullForgets       Fault = "a store drops what a full disk refused, and knows it all the same"
	longSyncCounts    Fault = "a sync that takes long counts as done"
	stalledStays      Fault = "a member whose disk stalls goes on sending heartbeats"
	commitUnsynced    Fault = "a store answers for a turn before its disk has synced"
	retireUnsynced    Fault = "an emptied store counts what others have not synced"
	expiryByTimeOfDay Fault = "a store expires turns by its time of day"
	storesMissTurns   Fault = "the comparison of stores misses some turns"
	commitHoldsOn     Fault = "a turn waits for the stores where it belongs"
	reserveWaits      Fault = "a reservation waits for all stores"
	entryForgotten    Fault = "a control node's start leaves out the newest entry of its disk"
	callsRenumbered   Fault = "a process that starts again numbers its calls as the one before"
	answersCrossed    Fault = "an answer is given to another caller of the same node"
)

// falseBeatEvery is how often stalledStays sends heartbeats.
const falseBeatEvery = 100 * time.Millisecond

// Faults are all of them.
var Faults = []Fault{
	answerBeforeSync, voteAfterWipe, forgetsVotes, headAcknowledges, sealIgnored, staleRead, repeatByVersion, repeatForgotten,
	baseIgnored, invalidTaken, versionMayFall, digestMissesEntry, drainUnconfirmed, drainOfOne, silenceIgnored, reserveUnsynced,
	reserveForgotten, oneRound, smallQuorum, incompleteCounts, tooFewCopies, missingTooSoon, retireForgets, brokenNotCounted,
	repeatOfNewest, fullAcknowledges, fullForgets, longSyncCounts, stalledStays, commitUnsynced, retireUnsynced, expiryByTimeOfDay,
	storesMissTurns, commitHoldsOn, reserveWaits, entryForgotten, callsRenumbered, answersCrossed,
}

// voteless is what is left where a wiped disk keeps its name: the view, without votes and entries.
func voteless(records []chain.Record) []chain.Record {
	var d chain.DurableState
	for _, r := range records {
		if err := d.Apply(r); err != nil {
			return nil
		}
	}
	if d.View.Epoch == 0 {
		return nil
	}
	state := chain.State{Epoch: d.View.Epoch, Full: true, Snapshot: controlstate.New().Snapshot()}
	return []chain.Record{chain.IdentityRecord{Member: d.Member}, chain.ViewRecord{View: d.View, State: state}}
}

// recordsAtStart are what a start finds on the disk; entryForgotten bites here.
func (h *host) recordsAtStart() []chain.Record {
	records := h.control.synced
	if !h.world.has(entryForgotten) {
		return records
	}
	for at, r := range slices.Backward(records) {
		if _, ok := r.(chain.EntryRecord); ok {
			return slices.Delete(slices.Clone(records), at, at+1)
		}
	}
	return records
}

// chanceOf is what a process draws its own name in calls from; callsRenumbered bites here.
func (h *host) chanceOf() [2]uint64 {
	if h.world.has(callsRenumbered) {
		return [2]uint64{uint64(len(h.name)), uint64(h.name[len(h.name)-1])}
	}
	return [2]uint64{h.world.random.Uint64(), h.world.random.Uint64()}
}

// answerTo gives the call that a reply goes to; answersCrossed bites here.
func (r *replica) answerTo(number int64) int64 {
	w := r.life.host.world
	if !w.has(answersCrossed) || len(r.waiting) < 2 || !w.one(2) {
		return number
	}
	for _, other := range slices.Sorted(maps.Keys(r.waiting)) {
		if other != number {
			return other
		}
	}
	return number
}

// spoilRecords is where forgetsVotes bites.
func (w *world) spoilRecords(records []chain.Record) []chain.Record {
	if !w.has(forgetsVotes) {
		return records
	}
	var kept []chain.Record
	for _, r := range records {
		if _, vote := r.(chain.VoteRecord); !vote {
			kept = append(kept, r)
		}
	}
	return kept
}

// spoilMessages is where headAcknowledges bites: whoever proposed hears that it is done once the entry is under way.
func (w *world) spoilMessages(r *replica, send []chain.Envelope) []chain.Envelope {
	if !w.has(headAcknowledges) {
		return send
	}
	for _, e := range send {
		a, ok := e.Body.(chain.Append)
		if !ok || r.proposers[a.Entry.ID].Address == "" {
			continue
		}
		copied := w.machine()
		if copied.Restore(r.machine.Snapshot()) != nil {
			continue
		}
		result, _ := copied.Apply(a.Entry.Command) // a repeat is acknowledged as the first was
		to := r.proposers[a.Entry.ID]
		delete(r.proposers, a.Entry.ID)
		send = append(send, chain.Envelope{From: e.From, To: to, Body: chain.ProposeResult{ID: a.Entry.ID, Verdict: chain.ResultOK, Epoch: a.Epoch, Sequence: a.Entry.Sequence, Result: result}})
	}
	return send
}

// forge answers some messages in the node's place; true: the node does not see it.
func (w *world) forge(r *replica, e chain.Envelope) bool {
	self := chain.Peer{ID: r.node.Self().ID, Address: r.node.Self().Address}
	switch m := e.Body.(type) {
	case chain.Propose:
		if w.has(headAcknowledges) {
			if r.proposers == nil {
				r.proposers = map[chain.CommandID]chain.Peer{}
			}
			r.proposers[m.ID] = e.From
		}
	case chain.ConfirmEpoch:
		if w.has(sealIgnored) && r.node.IsMember() {
			r.post(chain.Envelope{From: self, To: e.From, Body: chain.EpochConfirmed(m)})
			return true
		}
	}
	return false
}

// beatWhileBusy is where stalledStays bites: heartbeats leave while the disk holds up everything else.
func (r *replica) beatWhileBusy() {
	if !r.life.host.world.has(stalledStays) || r.beating || !r.node.IsMember() {
		return
	}
	r.beating = true
	r.life.later(falseBeatEvery, func() {
		r.beating = false
		if !r.busy {
			return
		}
		self, v := r.node.Self(), r.node.View()
		beat := chain.Heartbeat{Epoch: v.Epoch}
		for _, m := range v.Members {
			if m.ID != self.ID {
				beat.Heard = append(beat.Heard, m.ID)
			}
		}
		for _, m := range v.Members {
			if m.ID != self.ID {
				r.post(chain.Envelope{From: chain.Peer{ID: self.ID, Address: self.Address}, To: chain.Peer{ID: m.ID, Address: m.Address}, Body: beat})
			}
		}
		r.beatWhileBusy()
	})
}

// readsAlone is where staleRead bites.
func (w *world) readsAlone(r *replica) (*controlstate.State, bool) {
	if !w.has(staleRead) || r.last == nil {
		return nil, false
	}
	state := controlstate.New()
	return state, state.Restore(r.last) == nil
}

// machine is the state machine on the chain.
func (w *world) machine() chain.StateMachine {
	state := controlstate.New()
	switch w.options.fault {
	case repeatByVersion, repeatForgotten, repeatOfNewest, baseIgnored, invalidTaken:
		return &spoiltMachine{State: state, fault: w.options.fault}
	}
	return state
}

// spoiltMachine is the control state with one of its promises broken.
type spoiltMachine struct {
	*controlstate.State
	fault Fault
}

func (m *spoiltMachine) Apply(command []byte) ([]byte, bool) {
	c, err := controlstate.DecodeCommand(command)
	if err != nil || c.Kind != controlstate.ReplaceConfiguration {
		return m.State.Apply(command)
	}
	version, body := m.State.Configuration()
	switch m.fault {
	case repeatByVersion:
		if strings.Contains(string(c.Body), versionText(version)) && version > 0 {
			return takenResult(version), false
		}
	case repeatForgotten:
		if c.Base != version {
			return refusedResult(), false
		}
	case repeatOfNewest:
		if c.Base != version && !slices.Equal(c.Body, body) {
			return refusedResult(), false
		}
	case baseIgnored:
		c.Base = version
	case invalidTaken:
		if c.Base == version && (c.Body[len(c.Body)-1] != '}' || !strings.Contains(string(c.Body), "limits")) {
			return takenResult(version + 1), false
		}
	}
	return m.State.Apply(controlstate.EncodeCommand(c))
}

// takenResult and refusedResult are what a state answers that takes or refuses a change.
func takenResult(version uint64) []byte {
	result, _ := controlstate.New().Apply(controlstate.EncodeCommand(controlstate.Command{
		Kind: controlstate.ReplaceConfiguration, HasBase: true, Body: bodyOf(version, 0)}))
	return result
}

func refusedResult() []byte {
	result, _ := controlstate.New().Apply(controlstate.EncodeCommand(controlstate.Command{
		Kind: controlstate.ReplaceConfiguration, HasBase: true, Base: 1, Body: bodyOf(2, 0)}))
	return result
}

func versionText(version uint64) string { return fmt.Sprintf(`{"version":%d,`, version) }

// withoutEntry drops the configuration from what a comparison of tables brings to light.
func withoutEntry(e core.Envelope) core.Envelope {
	messages := make([]gossip.Message, 0, len(e.Gossip))
	for _, m := range e.Gossip {
		if m.Delta != nil {
			delta := *m.Delta
			delta.Entries = withoutKey(delta.Entries, core.ConfigurationKey)
			delta.Want = slices.DeleteFunc(slices.Clone(delta.Want), func(key string) bool { return key == core.ConfigurationKey })
			delta.Offer = slices.DeleteFunc(slices.Clone(delta.Offer), func(v gossip.Version) bool { return v.Key == core.ConfigurationKey })
			m.Delta = &delta
		}
		messages = append(messages, m)
	}
	e.Gossip = messages
	return e
}

func withoutKey(entries []gossip.Entry, key string) []gossip.Entry {
	var kept []gossip.Entry
	for _, e := range entries {
		if e.Key != key {
			kept = append(kept, e)
		}
	}
	return kept
}
