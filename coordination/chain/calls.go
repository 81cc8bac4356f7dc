package chain

import (
	"slices"
	"time"

	"emberquay/coordination/view"
)

// callAgainAfter is how long a call may be without an answer before it is sent again: a change takes the chain's syncs.
const callAgainAfter = 400 * time.Millisecond

// lostAfter is how long the oldest call of a node that is no member may be without an answer before all members of the view
// it knows are asked for a newer one, and again each time it has passed: whoever the call went to may be gone, and nothing
// else tells such a node. A change takes some 40 ms on a machine with a whole core.
const lostAfter = 100 * time.Millisecond

// noState is the Have of a Read whose sender has no committed state.
const noState = -1

// calls are the calls of this process that wait for an answer.
type calls struct {
	last    int64
	pending map[int64]*call
	turn    int           // of the addresses asked for a view
	asked   time.Duration // when all members were last asked for a view
}

// call is a command or read of this process. It is sent again, under the same id, until it is answered or withdrawn: the
// state knows its latest commands, so one that was carried out is not carried out again.
type call struct {
	number  int64
	command []byte // nil: a read
	after   int64
	sends   int
	sent    time.Duration
	epoch   int64          // of the view that told where to send it
	have    CommittedState // of a read: the state at hand
}

// Propose brings a command to the head; the Reply has the number. It is false if too many calls wait.
func (n *Node) Propose(now time.Duration, command []byte) (number int64, out Output, ok bool) {
	return n.begin(now, &call{command: slices.Clip(append([]byte{}, command...)), after: n.knownCommit})
}

// Read asks for a state that is no older than this call; the Reply has the number. It is false if too many calls wait.
func (n *Node) Read(now time.Duration) (number int64, out Output, ok bool) {
	return n.begin(now, &call{})
}

// Abandon ends the waiting for a call; its fate stays open.
func (n *Node) Abandon(number int64) { delete(n.calls.pending, number) }

func (n *Node) begin(now time.Duration, c *call) (int64, Output, bool) {
	n.now = max(n.now, now)
	if len(n.calls.pending) >= maxPending {
		return 0, n.finish(), false
	}
	n.calls.last++
	c.number = n.calls.last
	n.calls.pending[c.number] = c
	n.submit(c)
	return c.number, n.finish(), true
}

// submit sends a call to the head or tail of the newest view known.
func (n *Node) submit(c *call) {
	c.sent = n.now
	v := n.View()
	target, ok := n.target(v, c)
	if !ok {
		n.askAround()
		return
	}
	c.epoch = v.Epoch
	id := CommandID{Process: n.process, Number: c.number}
	if c.command != nil && !n.learnt {
		// A command from one that knows of no commit would be too old wherever it is carried out late.
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
	c.have = n.newest
	have := c.have.Sequence
	if c.have.Snapshot == nil {
		have = noState
	}
	n.sendMember(target, Read{ID: id, Have: have})
}

// target is the head for a command. For a read it is this member if it is in the chain, or else the tail, which knows best
// what is committed.
func (n *Node) target(v view.View, c *call) (view.Member, bool) {
	switch {
	case c.command != nil:
		return v.Head()
	case v.ChainPosition(n.self.ID) >= 0 && n.member():
		return n.self, true
	}
	return v.Tail()
}

// follow keeps the view of a node up to date that only forwards calls: no heartbeat tells it of another one.
func (n *Node) follow() {
	if n.settings.Voter || n.now-n.lastFollow < followEvery {
		return
	}
	n.lastFollow = n.now
	n.askAround()
}

// askAround asks the next address for a newer view.
func (n *Node) askAround() {
	all := n.addresses()
	if len(all) == 0 {
		return
	}
	n.calls.turn++
	n.send(Peer{Address: all[n.calls.turn%len(all)]}, ViewRequest{Epoch: n.View().Epoch})
}

// findView asks all members for a newer view while a call of a node that is none of them has no answer.
func (n *Node) findView() {
	if n.member() || n.now-n.calls.asked < lostAfter {
		return
	}
	for _, c := range n.calls.pending {
		if n.now-c.sent >= lostAfter {
			n.calls.asked = n.now
			n.sendOthers(n.View(), ViewRequest{Epoch: n.View().Epoch})
			return
		}
	}
}

// resendCalls sends calls again that got no answer; whoever they went to may be gone, so others are asked as well.
func (n *Node) resendCalls() {
	late := false
	for _, number := range n.sortedCalls() {
		c := n.calls.pending[number]
		if n.now-c.sent < callAgainAfter {
			continue
		}
		late = late || c.epoch > 0
		n.submit(c)
	}
	if late {
		n.askAround()
	}
}

// callAgain sends all calls to the head and tail of a view just heard of.
func (n *Node) callAgain() {
	epoch := n.View().Epoch
	for _, number := range n.sortedCalls() {
		if c := n.calls.pending[number]; c != nil && c.epoch < epoch {
			n.submit(c)
		}
	}
}

func (n *Node) sortedCalls() []int64 {
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

// mine finds the call that an answer is for.
func (n *Node) mine(id CommandID) *call {
	if id.Process != n.process {
		return nil
	}
	return n.calls.pending[id.Number]
}

func (n *Node) onResult(m ProposeResult) {
	c := n.mine(m.ID)
	if c == nil || c.command == nil {
		return
	}
	n.learn(m.Sequence)
	switch m.Verdict {
	case ResultRetry:
		n.moved(c)
	case ResultTooOld:
		n.tooOld(c, m.Sequence)
	default:
		delete(n.calls.pending, c.number)
		n.reply(Reply{Number: c.number, Changed: m.Verdict == ResultOK, Result: m.Result})
	}
}

// moved sends a call on if another place is known by now, and otherwise soon: the right place may be about to learn of its
// view.
func (n *Node) moved(c *call) {
	if n.View().Epoch > c.epoch {
		n.submit(c)
		return
	}
	c.sent = n.now - callAgainAfter + busyEvery
}

// tooOld ends a call that may have been carried out before. One that was sent only once was not: its only copy has come
// back.
func (n *Node) tooOld(c *call, sequence int64) {
	if c.sends == 1 {
		c.after, c.sends = sequence, 0
		n.submit(c)
		return
	}
	delete(n.calls.pending, c.number)
	n.reply(Reply{Number: c.number, Unknown: true})
}

func (n *Node) onReadResult(m ReadResult) {
	c := n.mine(m.ID)
	if c == nil || c.command != nil && c.sends > 0 {
		return
	}
	if m.Verdict == ResultRetry {
		n.moved(c)
		return
	}
	n.learn(m.Sequence)
	if c.command != nil {
		c.after = n.knownCommit
		n.submit(c)
		return
	}
	snapshot := m.Snapshot
	if !m.Full {
		if c.have.Snapshot == nil || c.have.Sequence != m.Sequence {
			n.submit(c)
			return
		}
		snapshot = c.have.Snapshot
	}
	delete(n.calls.pending, c.number)
	n.reply(Reply{Number: c.number, Epoch: m.Epoch, Sequence: m.Sequence, Snapshot: snapshot})
}

// learn notes that entries up to a sequence are committed.
func (n *Node) learn(sequence int64) {
	n.knownCommit = max(n.knownCommit, sequence)
	n.learnt = true
}

func (n *Node) reply(r Reply) { n.out.Replies = append(n.out.Replies, r) }
