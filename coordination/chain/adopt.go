package chain

import (
	"slices"

	"github.com/rotisserie/eris"

	"emberquay/coordination/view"
)

// decide spreads a decided proposal: to those who promised, most of whom have its state, and to the new members, who have
// none. The others learn of it by heartbeats.
func (n *Node) decide(a *attempt) {
	value := a.proposer.Value()
	if !value.State.Full && value.State.Sequence == n.sequence {
		value.State = n.fullState()
	}
	place := State{Epoch: value.State.Epoch, Sequence: value.State.Sequence}
	for _, m := range n.view.Members {
		if m.ID != n.self.ID && a.proposer.HasAccepted(m.ID) {
			n.sendMember(m, InstallView{View: value.View, State: place, Committed: place.Sequence})
		}
	}
	for _, m := range value.View.Members {
		if !n.view.HasMember(m.ID) {
			n.sendMember(m, InstallView{View: value.View, State: value.State, Committed: place.Sequence})
		}
	}
	if !value.View.HasMember(n.self.ID) {
		n.known = value.View
		n.forget()
		return
	}
	n.adopt(value.View, value.State, place.Sequence)
}

func (n *Node) onAdopt(from Peer, m InstallView) {
	if m.View.Epoch <= n.view.Epoch || !m.View.HasMember(n.self.ID) {
		return
	}
	if m.View.Validate() != nil {
		return
	}
	state, ok := n.resolve(m.State)
	if !ok {
		n.ask(from)
		return
	}
	n.adopt(m.View, state, m.Committed)
}

// resolve finds the bytes of a state that is told by its place: this member's own, or of what it accepted.
func (n *Node) resolve(s State) (State, bool) {
	if s.Full || n.has(s) {
		return s, true
	}
	accepted := n.acceptor.Value.State
	if n.member() && s.Epoch == n.view.Epoch && accepted.Full && accepted.Sequence == s.Sequence {
		return accepted, true
	}
	return State{}, false
}

// has says whether a state is this member's own: it has taken entries of one head only in an epoch.
func (n *Node) has(s State) bool {
	return n.member() && s.Epoch == n.view.Epoch && s.Sequence == n.sequence
}

// adopt goes on in a decided view. What this member had taken beyond the state was never acknowledged.
func (n *Node) adopt(next view.View, s State, committed int64) {
	if n.has(s) {
		s = State{Epoch: s.Epoch, Sequence: s.Sequence}
	}
	n.persist(ViewRecord{View: next, State: s, Committed: committed})
	waiting, queue := n.flight, n.queue
	n.flight, n.queue = flight{}, nil
	if s.Full {
		if err := n.machine.Restore(s.Snapshot); err != nil {
			panic(eris.Wrapf(err, "chain: state %d of epoch %d can't be restored", s.Sequence, s.Epoch))
		}
		n.recent = slices.Clone(s.Recent)
	}
	n.leaveView()
	n.beginning = beginning{}
	n.view, n.known = next, next
	n.acceptor = view.Acceptor[Proposal]{}
	n.sequence, n.committed, n.last = s.Sequence, committed, nil
	n.meetMembers()
	n.noteCommitted()
	n.settle(waiting)
	n.queue = queue
	if !n.isHead() {
		n.dropQueue()
	}
	n.advance()
	n.lastBeat = n.now - heartbeatEvery
	n.beat()
	n.callAgain()
}

// settle answers the command that was on its way when the view ended: it is in the state to begin with, or gone for good.
func (n *Node) settle(waiting flight) {
	if waiting == (flight{}) {
		return
	}
	o, ok := n.outcome(waiting.id)
	switch {
	case !ok:
		n.send(waiting.to, ProposeResult{ID: waiting.id, Verdict: ResultRetry, Epoch: n.view.Epoch})
	case o.Sequence <= n.committed:
		n.send(waiting.to, n.result(o))
	default:
		n.flight = waiting
	}
}
