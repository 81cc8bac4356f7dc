package chain

import (
	"slices"
	"time"

	"emberquay/coordination/view"
)

// callResendAfter is how long a call may go unanswered before it is resent; a change takes a disk sync at each chain member.
const callResendAfter = 400 * time.Millisecond

// viewRequestAfter is how long a call of a node that is not a member may go unanswered before the node asks all members of
// the view it knows for a newer one, and the interval between such requests: the receiver of the call may be gone, and the
// node has no other way to notice. A change takes some 40 ms on a machine with a whole core.
const viewRequestAfter = 100 * time.Millisecond

// noState is the value of Read.Have if the sender has no committed state.
const noState = -1

// pendingCalls holds the calls of this process that wait for an answer.
type pendingCalls struct {
	lastNumber       int64
	pending          map[int64]*pendingCall
	addressIndex     int           // rotates through the addresses asked for a view
	viewsRequestedAt time.Duration // when all members were last asked for a view
}

// pendingCall is a command or read of this process. It is resent under the same id until it is answered or abandoned. The
// state contains the outcomes of recent commands, so a command that was applied is not applied again.
type pendingCall struct {
	number  int64
	command []byte // nil: a read
	after   int64
	sends   int
	sentAt  time.Duration
	epoch   int64          // of the view that determined the receiver
	cached  CommittedState // of a read: the committed state available here
}

// Propose submits a command to the head. The Reply carries the returned number. It returns false if too many calls wait.
func (n *Node) Propose(now time.Duration, command []byte) (number int64, out Output, ok bool) {
	return n.startCall(now, &pendingCall{command: slices.Clip(append([]byte{}, command...)), after: n.knownCommitted})
}

// Read requests a state no older than this call. The Reply carries the returned number. It returns false if too many calls
// wait.
func (n *Node) Read(now time.Duration) (number int64, out Output, ok bool) {
	return n.startCall(now, &pendingCall{})
}

// Abandon stops waiting for a call. A command may still be applied.
func (n *Node) Abandon(number int64) { delete(n.calls.pending, number) }

func (n *Node) startCall(now time.Duration, c *pendingCall) (int64, Output, bool) {
	n.now = max(n.now, now)
	if len(n.calls.pending) >= maxPendingCalls {
		return 0, n.takeOutput(), false
	}
	n.calls.lastNumber++
	c.number = n.calls.lastNumber
	n.calls.pending[c.number] = c
	n.sendCall(c)
	return c.number, n.takeOutput(), true
}

// sendCall sends a call to the head or tail of the newest known view.
func (n *Node) sendCall(c *pendingCall) {
	c.sentAt = n.now
	v := n.View()
	target, ok := n.callTarget(v, c)
	if !ok {
		n.requestViewFromNext()
		return
	}
	c.epoch = v.Epoch
	id := CommandID{Process: n.processID, Number: c.number}
	if c.command != nil && !n.knownCommittedValid {
		// Without a known committed sequence, the command would be too old wherever it arrives late: ask for the sequence
		// first.
		if tail, ok := v.Tail(); ok {
			n.sendMember(tail, Read{ID: id, Have: noState})
		}
		return
	}
	c.sends++
	if c.command != nil {
		n.sendMember(target, Propose{ID: id, After: c.after, Command: c.command})
		return
	}
	c.cached = n.newestCommitted
	have := c.cached.Sequence
	if c.cached.Snapshot == nil {
		have = noState
	}
	n.sendMember(target, Read{ID: id, Have: have})
}

// callTarget returns the head for a command. For a read it returns this member if it is in the chain, or else the tail,
// which is the first to know what is committed.
func (n *Node) callTarget(v view.View, c *pendingCall) (view.Member, bool) {
	switch {
	case c.command != nil:
		return v.Head()
	case v.ChainPosition(n.self.ID) >= 0 && n.isMember():
		return n.self, true
	}
	return v.Tail()
}

// refreshView keeps the view of a forwarder up to date, as it receives no heartbeats.
func (n *Node) refreshView() {
	if n.settings.Voter || n.now-n.lastViewRefresh < viewRefreshInterval {
		return
	}
	n.lastViewRefresh = n.now
	n.requestViewFromNext()
}

// requestViewFromNext asks the next address in turn for a newer view.
func (n *Node) requestViewFromNext() {
	all := n.addresses()
	if len(all) == 0 {
		return
	}
	n.calls.addressIndex++
	n.send(Peer{Address: all[n.calls.addressIndex%len(all)]}, ViewRequest{Epoch: n.View().Epoch})
}

// requestViewForStalledCalls asks all members for a newer view if a call of a node that is not a member goes unanswered.
func (n *Node) requestViewForStalledCalls() {
	if n.isMember() || n.now-n.calls.viewsRequestedAt < viewRequestAfter {
		return
	}
	for _, c := range n.calls.pending {
		if n.now-c.sentAt >= viewRequestAfter {
			n.calls.viewsRequestedAt = n.now
			n.sendToOthers(n.View(), ViewRequest{Epoch: n.View().Epoch})
			return
		}
	}
}

// resendCalls resends unanswered calls. Their receivers may be gone, so another node is asked for a newer view as well.
func (n *Node) resendCalls() {
	overdue := false
	for _, number := range n.sortedCallNumbers() {
		c := n.calls.pending[number]
		if n.now-c.sentAt < callResendAfter {
			continue
		}
		overdue = overdue || c.epoch > 0
		n.sendCall(c)
	}
	if overdue {
		n.requestViewFromNext()
	}
}

// resendCallsInNewView sends the calls that were sent in an older view to the head and tail of the newest one.
func (n *Node) resendCallsInNewView() {
	epoch := n.View().Epoch
	for _, number := range n.sortedCallNumbers() {
		if c := n.calls.pending[number]; c != nil && c.epoch < epoch {
			n.sendCall(c)
		}
	}
}

func (n *Node) sortedCallNumbers() []int64 {
	if len(n.calls.pending) == 0 {
		return nil
	}
	numbers := make([]int64, 0, len(n.calls.pending))
	for number := range n.calls.pending {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

// findCall returns the pending call with the given id, or nil.
func (n *Node) findCall(id CommandID) *pendingCall {
	if id.Process != n.processID {
		return nil
	}
	return n.calls.pending[id.Number]
}

func (n *Node) onProposeResult(m ProposeResult) {
	c := n.findCall(m.ID)
	if c == nil || c.command == nil {
		return
	}
	n.recordKnownCommitted(m.Sequence)
	switch m.Verdict {
	case ResultRetry:
		n.retryCall(c)
	case ResultTooOld:
		n.handleTooOld(c, m.Sequence)
	default:
		delete(n.calls.pending, c.number)
		n.reply(Reply{Number: c.number, Changed: m.Verdict == ResultOK, Result: m.Result})
	}
}

// retryCall resends a call at once if a newer view is known by now, and otherwise soon: its receiver may be about to learn
// of its view.
func (n *Node) retryCall(c *pendingCall) {
	if n.View().Epoch > c.epoch {
		n.sendCall(c)
		return
	}
	c.sentAt = n.now - callResendAfter + busyTickInterval
}

// handleTooOld ends a call that may have been applied before. One that was sent only once was not applied, as its only
// copy was rejected: it is sent again with a newer sequence.
func (n *Node) handleTooOld(c *pendingCall, sequence int64) {
	if c.sends == 1 {
		c.after, c.sends = sequence, 0
		n.sendCall(c)
		return
	}
	delete(n.calls.pending, c.number)
	n.reply(Reply{Number: c.number, Unknown: true})
}

func (n *Node) onReadResult(m ReadResult) {
	c := n.findCall(m.ID)
	if c == nil || c.command != nil && c.sends > 0 {
		return
	}
	if m.Verdict == ResultRetry {
		n.retryCall(c)
		return
	}
	n.recordKnownCommitted(m.Sequence)
	if c.command != nil {
		c.after = n.knownCommitted
		n.sendCall(c)
		return
	}
	snapshot := m.Snapshot
	if !m.Full {
		if c.cached.Snapshot == nil || c.cached.Sequence != m.Sequence {
			n.sendCall(c)
			return
		}
		snapshot = c.cached.Snapshot
	}
	delete(n.calls.pending, c.number)
	n.reply(Reply{Number: c.number, Epoch: m.Epoch, Sequence: m.Sequence, Snapshot: snapshot})
}

// recordKnownCommitted records that the entries up to sequence are committed.
func (n *Node) recordKnownCommitted(sequence int64) {
	n.knownCommitted = max(n.knownCommitted, sequence)
	n.knownCommittedValid = true
}

func (n *Node) reply(r Reply) { n.output.Replies = append(n.output.Replies, r) }
