package chain

import (
	"slices"
	"time"

	"emberquay/coordination/view"
)

// confirmation is the questions to the members whether the epoch is open. One round is under way at a time; a call that
// comes during one waits for the next, which is asked after it came.
type confirmation struct {
	nonce    int64 // of the present round, or the last
	active   bool
	sent     time.Duration
	answered map[view.MemberID]bool
	waiters  []waiter
}

// waiter is a refusal at the head, or a read at any of the chain.
type waiter struct {
	to     Peer
	id     CommandID
	read   bool
	have   int64  // of a read
	result []byte // of a refusal
	nonce  int64  // of the round that answers it
	open   bool   // the epoch was open
}

func (c *confirmation) waitsFor(id CommandID) bool {
	return slices.ContainsFunc(c.waiters, func(w waiter) bool { return w.id == id })
}

func (n *Node) onRead(from Peer, m Read) {
	if n.view.ChainPosition(n.self.ID) < 0 {
		n.send(from, ReadResult{ID: m.ID, Verdict: ResultRetry, Epoch: n.View().Epoch})
		n.hint(from)
		return
	}
	n.awaitConfirmation(waiter{to: from, id: m.ID, read: true, have: m.Have})
}

func (n *Node) awaitConfirmation(w waiter) {
	c := &n.confirm
	if len(c.waiters) >= maxWaiters || c.waitsFor(w.id) {
		return
	}
	w.nonce = c.nonce + 1
	c.waiters = append(c.waiters, w)
	if !c.active {
		n.askMembers()
	}
}

func (n *Node) askMembers() {
	c := &n.confirm
	c.nonce++
	c.active = true
	c.sent = n.now
	c.answered = map[view.MemberID]bool{}
	for _, m := range n.view.Members {
		n.sendMember(m, ConfirmEpoch{Epoch: n.view.Epoch, Nonce: c.nonce})
	}
}

func (n *Node) resendConfirm() {
	c := &n.confirm
	if !c.active || n.now-c.sent < resendAfter {
		return
	}
	c.sent = n.now
	for _, m := range n.view.Members {
		if !c.answered[m.ID] {
			n.sendMember(m, ConfirmEpoch{Epoch: n.view.Epoch, Nonce: c.nonce})
		}
	}
}

func (n *Node) onConfirm(from Peer, m ConfirmEpoch) {
	if n.sameEpoch(from, m.Epoch, true) && !n.acceptor.Sealed() {
		n.send(from, EpochConfirmed(m))
	}
}

func (n *Node) onConfirmed(from Peer, m EpochConfirmed) {
	c := &n.confirm
	if !n.sameEpoch(from, m.Epoch, false) || !c.active || m.Nonce != c.nonce || c.answered[from.ID] {
		return
	}
	c.answered[from.ID] = true
	if len(c.answered) < n.view.Majority() {
		return
	}
	c.active = false
	for at := range c.waiters {
		if c.waiters[at].nonce == c.nonce {
			c.waiters[at].open = true
		}
	}
	n.releaseConfirmed()
	if slices.ContainsFunc(c.waiters, func(w waiter) bool { return !w.open }) {
		n.askMembers()
	}
}

// releaseConfirmed answers what was confirmed. Each of the chain has all acknowledged writes of its epoch; once all that it
// has is known to be committed, that is the state.
func (n *Node) releaseConfirmed() {
	c := &n.confirm
	c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool {
		if !w.open || w.read && n.committed != n.sequence {
			return false
		}
		n.answerWaiter(w)
		return true
	})
}

func (n *Node) answerWaiter(w waiter) {
	if !w.read {
		n.send(w.to, ProposeResult{ID: w.id, Verdict: ResultRefused, Epoch: n.view.Epoch, Sequence: n.committed, Result: w.result})
		return
	}
	answer := ReadResult{ID: w.id, Epoch: n.view.Epoch, Sequence: n.newest.Sequence}
	if w.have != answer.Sequence {
		answer.Full, answer.Snapshot = true, n.newest.Snapshot
	}
	n.send(w.to, answer)
}

// dropWaiters sends those who wait elsewhere: nothing of what they asked for has happened.
func (n *Node) dropWaiters() {
	c := &n.confirm
	waiters := c.waiters
	c.active, c.waiters = false, nil
	for _, w := range waiters {
		if w.read {
			n.send(w.to, ReadResult{ID: w.id, Verdict: ResultRetry, Epoch: n.View().Epoch})
		} else {
			n.send(w.to, ProposeResult{ID: w.id, Verdict: ResultRetry, Epoch: n.View().Epoch})
		}
	}
}
