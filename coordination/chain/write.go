package chain

import (
	"fmt"
)

// proposed is a command that waits at the head.
type proposed struct {
	from Peer
	Propose
}

// flight is the command whose entry is on its way down the chain; zero: nobody waits for it.
type flight struct {
	to Peer
	id CommandID
}

func (n *Node) isHead() bool {
	head, ok := n.view.Head()
	return ok && head.ID == n.self.ID
}

func (n *Node) onPropose(from Peer, m Propose) {
	if !n.isHead() {
		n.send(from, ProposeResult{ID: m.ID, Verdict: ResultRetry, Epoch: n.View().Epoch})
		n.hint(from)
		return
	}
	if o, ok := n.outcome(m.ID); ok {
		n.answerAgain(from, o)
		return
	}
	if len(n.queue) >= maxQueue || n.waitsFor(m.ID) {
		return
	}
	n.queue = append(n.queue, proposed{from: from, Propose: m})
	n.advance()
}

// answerAgain answers a command that has its entry already.
func (n *Node) answerAgain(to Peer, o Outcome) {
	if o.Sequence > n.committed {
		n.flight = flight{to: to, id: o.ID}
		return
	}
	n.send(to, n.result(o))
}

func (n *Node) result(o Outcome) ProposeResult {
	return ProposeResult{ID: o.ID, Verdict: ResultOK, Epoch: n.view.Epoch, Sequence: o.Sequence, Result: o.Result}
}

func (n *Node) outcome(id CommandID) (Outcome, bool) {
	for at := len(n.recent) - 1; at >= 0; at-- {
		if n.recent[at].ID == id {
			return n.recent[at], true
		}
	}
	return Outcome{}, false
}

func (n *Node) waitsFor(id CommandID) bool {
	for _, p := range n.queue {
		if p.ID == id {
			return true
		}
	}
	return n.confirm.waitsFor(id)
}

// advance carries out waiting commands while nothing is on its way: a refusal from a state that is not committed could
// name a version that never comes to be.
func (n *Node) advance() {
	for len(n.queue) > 0 && n.isHead() && !n.acceptor.Sealed() && n.committed == n.sequence {
		p := n.queue[0]
		n.queue = n.queue[1:]
		n.evaluate(p)
	}
}

func (n *Node) evaluate(p proposed) {
	if o, ok := n.outcome(p.ID); ok {
		n.answerAgain(p.from, o)
		return
	}
	if p.After+int64(len(n.recent)) < n.sequence {
		n.send(p.from, ProposeResult{ID: p.ID, Verdict: ResultTooOld, Epoch: n.view.Epoch, Sequence: n.sequence})
		return
	}
	result, changed := n.machine.Apply(p.Command)
	if !changed {
		n.awaitConfirmation(waiter{to: p.from, id: p.ID, result: result})
		return
	}
	n.flight = flight{to: p.from, id: p.ID}
	n.add(Entry{Sequence: n.sequence + 1, ID: p.ID, Command: p.Command}, result)
}

// add takes an entry that has been applied, and passes it on.
func (n *Node) add(e Entry, result []byte) {
	n.sequence = e.Sequence
	n.recent = remember(n.recent, Outcome{ID: e.ID, Sequence: e.Sequence, Result: result})
	n.last = &e
	n.persist(EntryRecord{Epoch: n.view.Epoch, Entry: e})
	n.forward()
}

// forward passes the newest entry on; at the tail it is committed.
func (n *Node) forward() {
	next, ok := n.view.Successor(n.self.ID)
	if !ok {
		n.commitTo(n.sequence)
		return
	}
	n.lastAppend = n.now
	n.sendMember(next, Append{Epoch: n.view.Epoch, Entry: *n.last, Committed: n.committed})
}

func (n *Node) onAppend(from Peer, m Append) {
	if !n.sameEpoch(from, m.Epoch, true) || n.acceptor.Sealed() {
		return
	}
	before, ok := n.view.Predecessor(n.self.ID)
	if !ok || before.ID != from.ID {
		return
	}
	n.commitTo(min(m.Committed, n.sequence))
	switch {
	case m.Entry.Sequence == n.sequence+1:
		result, changed := n.machine.Apply(m.Entry.Command)
		if !changed {
			panic(fmt.Sprintf("chain: entry %d of epoch %d changes nothing here", m.Entry.Sequence, m.Epoch))
		}
		n.add(m.Entry, result)
	case m.Entry.Sequence > n.sequence+1:
		// The chain only goes on after this member's answer: its disk must have lost what it had synced.
		n.forget()
	case m.Entry.Sequence <= n.committed:
		n.sendMember(before, Ack{Epoch: m.Epoch, Sequence: n.committed})
	default:
		entry := m.Entry
		n.last = &entry
		n.forward()
	}
}

func (n *Node) onAck(from Peer, m Ack) {
	next, ok := n.view.Successor(n.self.ID)
	if m.Epoch == n.view.Epoch && ok && next.ID == from.ID {
		n.commitTo(min(m.Sequence, n.sequence))
	}
}

// commitTo notes that entries are committed, tells it up the chain and whoever waits.
func (n *Node) commitTo(sequence int64) {
	if sequence <= n.committed {
		return
	}
	n.committed = sequence
	n.noteCommitted()
	if before, ok := n.view.Predecessor(n.self.ID); ok {
		n.sendMember(before, Ack{Epoch: n.view.Epoch, Sequence: sequence})
	}
	n.answerFlight()
	n.releaseConfirmed()
	n.advance()
}

// noteCommitted gives out the state if all of it is committed.
func (n *Node) noteCommitted() {
	n.knownCommit = max(n.knownCommit, n.committed)
	if n.committed != n.sequence {
		return
	}
	n.learnt = true
	if n.newest.Snapshot == nil || n.newest.Sequence != n.committed {
		n.newest.Snapshot = n.machine.Snapshot()
	}
	n.newest.Epoch, n.newest.Sequence = n.view.Epoch, n.committed
	n.out.Committed = append(n.out.Committed, n.newest)
}

func (n *Node) answerFlight() {
	if n.flight == (flight{}) {
		return
	}
	if o, ok := n.outcome(n.flight.id); ok && o.Sequence <= n.committed {
		n.send(n.flight.to, n.result(o))
		n.flight = flight{}
	}
}

// resendAppend passes the newest entry on again while it is not known to be committed. The tail learns from the member
// before it whether that has the entry too, unless it is the whole chain.
func (n *Node) resendAppend() {
	if !n.member() || n.committed == n.sequence || n.last == nil || n.acceptor.Sealed() {
		return
	}
	tail, _ := n.view.Tail()
	if n.now-n.lastAppend < resendAfter || n.view.ChainPosition(n.self.ID) < 0 || tail.ID == n.self.ID && !n.isHead() {
		return
	}
	n.lastAppend = n.now
	n.forward()
}
