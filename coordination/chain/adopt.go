package chain

import (
	"slices"

	"github.com/rotisserie/eris"

	"emberquay/coordination/view"
)

// distributeDecision sends the decided view to the members that accepted it, most of which have its state, and to the new
// members, which have none. All others learn of it from heartbeats.
func (n *Node) distributeDecision(a *attempt) {
	value := a.proposer.Value()
	if !value.State.Full && value.State.Sequence == n.sequence {
		value.State = n.fullState()
	}
	position := State{Epoch: value.State.Epoch, Sequence: value.State.Sequence}
	for _, m := range n.view.Members {
		if m.ID != n.self.ID && a.proposer.HasAccepted(m.ID) {
			n.sendMember(m, InstallView{View: value.View, State: position, Committed: position.Sequence})
		}
	}
	for _, m := range value.View.Members {
		if !n.view.HasMember(m.ID) {
			n.sendMember(m, InstallView{View: value.View, State: value.State, Committed: position.Sequence})
		}
	}
	if !value.View.HasMember(n.self.ID) {
		n.newestView = value.View
		n.becomeNewMember()
		return
	}
	n.installView(value.View, value.State, position.Sequence)
}

func (n *Node) onInstallView(from Peer, m InstallView) {
	if m.View.Epoch <= n.view.Epoch || !m.View.HasMember(n.self.ID) {
		return
	}
	if m.View.Validate() != nil {
		return
	}
	state, ok := n.resolveState(m.State)
	if !ok {
		n.requestView(from)
		return
	}
	n.installView(m.View, state, m.Committed)
}

// resolveState returns a full state for one that is only identified: this member's own, or the one it accepted.
func (n *Node) resolveState(s State) (State, bool) {
	if s.Full || n.hasState(s) {
		return s, true
	}
	accepted := n.acceptor.Value.State
	if n.isMember() && s.Epoch == n.view.Epoch && accepted.Full && accepted.Sequence == s.Sequence {
		return accepted, true
	}
	return State{}, false
}

// hasState reports whether s is this member's own state. A member takes the entries of only one head per epoch, so the
// epoch and sequence identify it.
func (n *Node) hasState(s State) bool {
	return n.isMember() && s.Epoch == n.view.Epoch && s.Sequence == n.sequence
}

// installView switches to a decided view. Entries that this member took beyond the state were never acknowledged.
func (n *Node) installView(next view.View, s State, committed int64) {
	if n.hasState(s) {
		s = State{Epoch: s.Epoch, Sequence: s.Sequence}
	}
	n.persist(ViewRecord{View: next, State: s, Committed: committed})
	inFlight, queue := n.inFlight, n.commandQueue
	n.inFlight, n.commandQueue = inFlightCommand{}, nil
	if s.Full {
		if err := n.machine.Restore(s.Snapshot); err != nil {
			panic(eris.Wrapf(err, "chain: restoring state %d of epoch %d", s.Sequence, s.Epoch))
		}
		n.recent = slices.Clone(s.Recent)
	}
	n.endView()
	n.bootstrap = bootstrapState{}
	n.view, n.newestView = next, next
	n.acceptor = view.Acceptor[Proposal]{}
	n.sequence, n.committed, n.newestEntry = s.Sequence, committed, nil
	n.trackMembers()
	n.publishCommitted()
	n.settleInFlight(inFlight)
	n.commandQueue = queue
	if !n.isHead() {
		n.redirectQueue()
	}
	n.processQueue()
	n.lastHeartbeat = n.now - heartbeatInterval
	n.sendHeartbeats()
	n.resendCallsInNewView()
}

// settleInFlight answers the command that was in flight when the view ended. It is part of the state of the new view, or it
// will never be applied.
func (n *Node) settleInFlight(c inFlightCommand) {
	if c == (inFlightCommand{}) {
		return
	}
	o, ok := n.findOutcome(c.id)
	switch {
	case !ok:
		n.send(c.client, ProposeResult{ID: c.id, Verdict: ResultRetry, Epoch: n.view.Epoch})
	case o.Sequence <= n.committed:
		n.send(c.client, n.resultFor(o))
	default:
		n.inFlight = c
	}
}
