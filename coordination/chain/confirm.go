package chain

import (
	"slices"
	"time"

	"emberquay/coordination/view"
)

// epochConfirmation asks the members to confirm that they have not sealed the epoch. One round runs at a time; a call that
// arrives during a round waits for the next one, whose requests are sent after the call arrived.
type epochConfirmation struct {
	nonce       int64 // of the current or the last round
	active      bool
	sentAt      time.Duration
	confirmedBy map[view.MemberID]bool
	waiters     []waiter
}

// waiter is a refusal at the head, or a read at any member of the chain.
type waiter struct {
	client    Peer
	id        CommandID
	read      bool
	have      int64  // of a read, as in Read
	result    []byte // of a refusal
	nonce     int64  // of the round that confirms it
	confirmed bool   // its round has confirmed the epoch
}

func (c *epochConfirmation) hasWaiter(id CommandID) bool {
	return slices.ContainsFunc(c.waiters, func(w waiter) bool { return w.id == id })
}

func (n *Node) onRead(from Peer, m Read) {
	if n.view.ChainPosition(n.self.ID) < 0 {
		n.send(from, ReadResult{ID: m.ID, Verdict: ResultRetry, Epoch: n.View().Epoch})
		n.sendViewNotice(from)
		return
	}
	n.awaitConfirmation(waiter{client: from, id: m.ID, read: true, have: m.Have})
}

func (n *Node) awaitConfirmation(w waiter) {
	c := &n.confirmation
	if len(c.waiters) >= maxWaiters || c.hasWaiter(w.id) {
		return
	}
	w.nonce = c.nonce + 1
	c.waiters = append(c.waiters, w)
	if !c.active {
		n.startConfirmation()
	}
}

func (n *Node) startConfirmation() {
	c := &n.confirmation
	c.nonce++
	c.active = true
	c.sentAt = n.now
	c.confirmedBy = map[view.MemberID]bool{}
	for _, m := range n.view.Members {
		n.sendMember(m, ConfirmEpoch{Epoch: n.view.Epoch, Nonce: c.nonce})
	}
}

func (n *Node) resendConfirmEpoch() {
	c := &n.confirmation
	if !c.active || n.now-c.sentAt < resendAfter {
		return
	}
	c.sentAt = n.now
	for _, m := range n.view.Members {
		if !c.confirmedBy[m.ID] {
			n.sendMember(m, ConfirmEpoch{Epoch: n.view.Epoch, Nonce: c.nonce})
		}
	}
}

func (n *Node) onConfirmEpoch(from Peer, m ConfirmEpoch) {
	if n.checkEpoch(from, m.Epoch, true) && !n.acceptor.Sealed() {
		n.send(from, EpochConfirmed(m))
	}
}

func (n *Node) onEpochConfirmed(from Peer, m EpochConfirmed) {
	c := &n.confirmation
	if !n.checkEpoch(from, m.Epoch, false) || !c.active || m.Nonce != c.nonce || c.confirmedBy[from.ID] {
		return
	}
	c.confirmedBy[from.ID] = true
	if len(c.confirmedBy) < n.view.Majority() {
		return
	}
	c.active = false
	for i := range c.waiters {
		if c.waiters[i].nonce == c.nonce {
			c.waiters[i].confirmed = true
		}
	}
	n.answerConfirmed()
	if slices.ContainsFunc(c.waiters, func(w waiter) bool { return !w.confirmed }) {
		n.startConfirmation()
	}
}

// answerConfirmed answers the waiters whose round is complete. Each chain member holds all acknowledged entries of its
// epoch, so a read is answered with its state as soon as all its entries are known to be committed.
func (n *Node) answerConfirmed() {
	c := &n.confirmation
	c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool {
		if !w.confirmed || w.read && n.committed != n.sequence {
			return false
		}
		n.answerWaiter(w)
		return true
	})
}

func (n *Node) answerWaiter(w waiter) {
	if !w.read {
		n.send(w.client, ProposeResult{ID: w.id, Verdict: ResultRefused, Epoch: n.view.Epoch, Sequence: n.committed, Result: w.result})
		return
	}
	answer := ReadResult{ID: w.id, Epoch: n.view.Epoch, Sequence: n.newestCommitted.Sequence}
	if w.have != answer.Sequence {
		answer.Full, answer.Snapshot = true, n.newestCommitted.Snapshot
	}
	n.send(w.client, answer)
}

// redirectWaiters asks the callers to retry elsewhere. None of these calls has changed the state.
func (n *Node) redirectWaiters() {
	c := &n.confirmation
	waiters := c.waiters
	c.active, c.waiters = false, nil
	for _, w := range waiters {
		if w.read {
			n.send(w.client, ReadResult{ID: w.id, Verdict: ResultRetry, Epoch: n.View().Epoch})
		} else {
			n.send(w.client, ProposeResult{ID: w.id, Verdict: ResultRetry, Epoch: n.View().Epoch})
		}
	}
}
