package chain

import (
	"fmt"
)

// queuedCommand is a command that waits at the head.
type queuedCommand struct {
	client Peer
	Propose
}

// inFlightCommand is the command whose entry is being replicated down the chain; zero if no client waits for one.
type inFlightCommand struct {
	client Peer
	id     CommandID
}

func (n *Node) isHead() bool {
	head, ok := n.view.Head()
	return ok && head.ID == n.self.ID
}

func (n *Node) onPropose(from Peer, m Propose) {
	if !n.isHead() {
		n.send(from, ProposeResult{ID: m.ID, Verdict: ResultRetry, Epoch: n.View().Epoch})
		n.sendViewNotice(from)
		return
	}
	if o, ok := n.findOutcome(m.ID); ok {
		n.answerDuplicate(from, o)
		return
	}
	if len(n.commandQueue) >= maxQueuedCommands || n.isPendingCommand(m.ID) {
		return
	}
	n.commandQueue = append(n.commandQueue, queuedCommand{client: from, Propose: m})
	n.processQueue()
}

// answerDuplicate answers a command that already has an entry.
func (n *Node) answerDuplicate(client Peer, o Outcome) {
	if o.Sequence > n.committed {
		n.inFlight = inFlightCommand{client: client, id: o.ID}
		return
	}
	n.send(client, n.resultFor(o))
}

func (n *Node) resultFor(o Outcome) ProposeResult {
	return ProposeResult{ID: o.ID, Verdict: ResultOK, Epoch: n.view.Epoch, Sequence: o.Sequence, Result: o.Result}
}

func (n *Node) findOutcome(id CommandID) (Outcome, bool) {
	for i := len(n.recent) - 1; i >= 0; i-- {
		if n.recent[i].ID == id {
			return n.recent[i], true
		}
	}
	return Outcome{}, false
}

func (n *Node) isPendingCommand(id CommandID) bool {
	for _, c := range n.commandQueue {
		if c.ID == id {
			return true
		}
	}
	return n.confirmation.hasWaiter(id)
}

// processQueue evaluates queued commands as long as no entry is in flight: a refusal based on an uncommitted state could
// name a version that never comes to exist.
func (n *Node) processQueue() {
	for len(n.commandQueue) > 0 && n.isHead() && !n.acceptor.Sealed() && n.committed == n.sequence {
		c := n.commandQueue[0]
		n.commandQueue = n.commandQueue[1:]
		n.evaluateCommand(c)
	}
}

func (n *Node) evaluateCommand(c queuedCommand) {
	if o, ok := n.findOutcome(c.ID); ok {
		n.answerDuplicate(c.client, o)
		return
	}
	if c.After+int64(len(n.recent)) < n.sequence {
		n.send(c.client, ProposeResult{ID: c.ID, Verdict: ResultTooOld, Epoch: n.view.Epoch, Sequence: n.sequence})
		return
	}
	result, changed := n.machine.Apply(c.Command)
	if !changed {
		n.awaitConfirmation(waiter{client: c.client, id: c.ID, result: result})
		return
	}
	n.inFlight = inFlightCommand{client: c.client, id: c.ID}
	n.appendEntry(Entry{Sequence: n.sequence + 1, ID: c.ID, Command: c.Command}, result)
}

// appendEntry records an entry that has been applied, and forwards it.
func (n *Node) appendEntry(e Entry, result []byte) {
	n.sequence = e.Sequence
	n.recent = appendOutcome(n.recent, Outcome{ID: e.ID, Sequence: e.Sequence, Result: result})
	n.newestEntry = &e
	n.persist(EntryRecord{Epoch: n.view.Epoch, Entry: e})
	n.forwardNewestEntry()
}

// forwardNewestEntry sends the newest entry to the successor; at the tail the entry is committed.
func (n *Node) forwardNewestEntry() {
	successor, ok := n.view.Successor(n.self.ID)
	if !ok {
		n.commitTo(n.sequence)
		return
	}
	n.lastAppend = n.now
	n.sendMember(successor, Append{Epoch: n.view.Epoch, Entry: *n.newestEntry, Committed: n.committed})
}

func (n *Node) onAppend(from Peer, m Append) {
	if !n.checkEpoch(from, m.Epoch, true) || n.acceptor.Sealed() {
		return
	}
	predecessor, ok := n.view.Predecessor(n.self.ID)
	if !ok || predecessor.ID != from.ID {
		return
	}
	n.commitTo(min(m.Committed, n.sequence))
	switch {
	case m.Entry.Sequence == n.sequence+1:
		result, changed := n.machine.Apply(m.Entry.Command)
		if !changed {
			panic(fmt.Sprintf("chain: entry %d of epoch %d changes nothing at this member", m.Entry.Sequence, m.Epoch))
		}
		n.appendEntry(m.Entry, result)
	case m.Entry.Sequence > n.sequence+1:
		// The head sends the next entry only after this one is committed, so this member's disk must have lost synced
		// entries.
		n.becomeNewMember()
	case m.Entry.Sequence <= n.committed:
		n.sendMember(predecessor, Ack{Epoch: m.Epoch, Sequence: n.committed})
	default:
		entry := m.Entry
		n.newestEntry = &entry
		n.forwardNewestEntry()
	}
}

func (n *Node) onAck(from Peer, m Ack) {
	successor, ok := n.view.Successor(n.self.ID)
	if m.Epoch == n.view.Epoch && ok && successor.ID == from.ID {
		n.commitTo(min(m.Sequence, n.sequence))
	}
}

// commitTo records that the entries up to sequence are committed, tells the predecessor, and answers waiting callers.
func (n *Node) commitTo(sequence int64) {
	if sequence <= n.committed {
		return
	}
	n.committed = sequence
	n.publishCommitted()
	if predecessor, ok := n.view.Predecessor(n.self.ID); ok {
		n.sendMember(predecessor, Ack{Epoch: n.view.Epoch, Sequence: sequence})
	}
	n.answerInFlight()
	n.answerConfirmed()
	n.processQueue()
}

// publishCommitted emits the state if all entries taken are committed.
func (n *Node) publishCommitted() {
	n.knownCommitted = max(n.knownCommitted, n.committed)
	if n.committed != n.sequence {
		return
	}
	n.knownCommittedValid = true
	if n.newestCommitted.Snapshot == nil || n.newestCommitted.Sequence != n.committed {
		n.newestCommitted.Snapshot = n.machine.Snapshot()
	}
	n.newestCommitted.Epoch, n.newestCommitted.Sequence = n.view.Epoch, n.committed
	n.output.Committed = append(n.output.Committed, n.newestCommitted)
}

func (n *Node) answerInFlight() {
	if n.inFlight == (inFlightCommand{}) {
		return
	}
	if o, ok := n.findOutcome(n.inFlight.id); ok && o.Sequence <= n.committed {
		n.send(n.inFlight.client, n.resultFor(o))
		n.inFlight = inFlightCommand{}
	}
}

// resendAppend forwards the newest entry again while it is not known to be committed. The tail does not, unless it is the
// whole chain: the resend of its predecessor shows that the predecessor has the entry too.
func (n *Node) resendAppend() {
	if !n.isMember() || n.committed == n.sequence || n.newestEntry == nil || n.acceptor.Sealed() {
		return
	}
	tail, _ := n.view.Tail()
	if n.now-n.lastAppend < resendAfter || n.view.ChainPosition(n.self.ID) < 0 || tail.ID == n.self.ID && !n.isHead() {
		return
	}
	n.lastAppend = n.now
	n.forwardNewestEntry()
}
