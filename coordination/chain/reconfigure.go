package chain

import (
	"slices"
	"time"

	"emberquay/coordination/view"
)

// Delays of the one who proposes a view. They only keep two from doing it at once.
const (
	// shrinkStep is by how much the next of the chain waits longer to leave a silent member out.
	shrinkStep = 150 * time.Millisecond
	// changeStep is the same for other changes; before one takes a member back into the chain, it has to stay for
	// changeAfter.
	changeAfter = 200 * time.Millisecond
	changeStep  = 250 * time.Millisecond
	// sealedAfter and sealedStep are the same for an epoch that is sealed and whose successor does not come.
	sealedAfter = 500 * time.Millisecond
	sealedStep  = 150 * time.Millisecond
	// someJitter parts those of the same rank.
	someJitter = 60 * time.Millisecond
	// attemptWithin is how long an attempt may take.
	attemptWithin = time.Second
	// retryJitter is how long an attempt that failed rests at most.
	retryJitter = 300 * time.Millisecond
)

// attempt is this node's try to decide what follows its epoch.
type attempt struct {
	proposer  *view.Proposer[Proposal]
	started   time.Duration
	sent      time.Duration
	sequences map[view.MemberID]int64 // of those that promised
	best      State                   // newest state among the promises
}

// wanted is the change that this node waits to propose.
type wanted struct {
	change view.Change
	due    time.Duration
}

// reconfigure begins, repeats or ends attempts, as time goes on.
func (n *Node) reconfigure() {
	switch {
	case !n.member():
	case n.attempt != nil:
		n.continueAttempt()
	case n.now < n.retryAt || !n.hearsMajority():
		n.wanted = wanted{}
	case n.acceptor.Sealed():
		n.wanted = wanted{}
		if n.now-n.lastBallot >= sealedAfter+time.Duration(n.rank())*sealedStep {
			n.propose()
		}
	default:
		n.considerPlan()
	}
}

// considerPlan waits with a change that is wanted for as long as the rank says, and drops it if it isn't any more. Only
// those of the chain propose: its other members know best whether one of them is silent.
func (n *Node) considerPlan() {
	if n.view.ChainPosition(n.self.ID) < 0 || n.leaving {
		return
	}
	next, change := view.Plan(n.view, n.self.ID, contacts{n})
	if change == view.NoChange || next.Validate() != nil {
		n.wanted = wanted{}
		return
	}
	if n.wanted.change != change {
		n.wanted = wanted{change: change, due: n.now + n.delay(change)}
	}
	if n.now >= n.wanted.due {
		n.propose()
	}
}

func (n *Node) delay(c view.Change) time.Duration {
	rank := time.Duration(n.rank())
	switch c {
	case view.ShrinkChain:
		return rank*shrinkStep + n.jitter(someJitter)
	case view.ExtendChain:
		return changeAfter + rank*changeStep + n.jitter(someJitter)
	}
	return rank*changeStep + n.jitter(someJitter)
}

// rank is the place in the chain, or behind it. Members before this one that say nothing, or are about to stop, will not
// propose anything: nobody waits for them.
func (n *Node) rank() int {
	if at := n.view.ChainPosition(n.self.ID); at >= 0 {
		return at - n.absent(n.view.Chain[:at])
	}
	at := slices.IndexFunc(n.view.Members, func(m view.Member) bool { return m.ID == n.self.ID })
	return len(n.view.Chain) + at
}

func (n *Node) absent(members []view.MemberID) int {
	count := 0
	for _, id := range members {
		c := contacts{n}
		if c.SilentFor(id) >= view.SuspectAfter || c.isLeaving(id) {
			count++
		}
	}
	return count
}

// hearsMajority keeps a member that is cut off from sealing an epoch whose successor it couldn't decide.
func (n *Node) hearsMajority() bool {
	heard := 0
	for _, m := range n.view.Members {
		if (contacts{n}).SilentFor(m.ID) < view.SuspectAfter {
			heard++
		}
	}
	return heard >= n.view.Majority()
}

// propose begins an attempt. The promise of this member itself is on the disk before any message leaves, so a ballot is
// never used twice.
func (n *Node) propose() {
	n.highest = max(n.highest, n.acceptor.Promised.Round) + 1
	ballot := view.Ballot{Round: n.highest, Proposer: n.self.ID}
	n.wanted = wanted{}
	n.lastBallot = n.now
	n.attempt = &attempt{
		proposer:  view.NewProposer[Proposal](ballot, n.view.Majority()),
		started:   n.now,
		sent:      n.now,
		sequences: map[view.MemberID]int64{},
		best:      State{Epoch: n.view.Epoch, Sequence: n.sequence},
	}
	for _, m := range n.view.Members {
		n.sendMember(m, Prepare{Epoch: n.view.Epoch, Ballot: ballot, Sequence: n.sequence})
	}
}

func (n *Node) continueAttempt() {
	a := n.attempt
	if n.now-a.started >= attemptWithin {
		n.endAttempt()
		return
	}
	if n.now-a.sent < resendAfter {
		return
	}
	a.sent = n.now
	for _, m := range n.view.Members {
		switch {
		case !a.proposer.HasPromised(m.ID) && !a.proposer.HasProposed():
			n.sendMember(m, Prepare{Epoch: n.view.Epoch, Ballot: a.proposer.Ballot, Sequence: n.sequence})
		case a.proposer.HasPromised(m.ID) && a.proposer.HasProposed() && !a.proposer.HasAccepted(m.ID):
			n.sendAccept(Peer{ID: m.ID, Address: m.Address})
		}
	}
}

func (n *Node) endAttempt() {
	n.attempt = nil
	n.retryAt = n.now + n.jitter(retryJitter)
}

func (n *Node) onPrepare(from Peer, m Prepare) {
	if !n.sameEpoch(from, m.Epoch, true) {
		return
	}
	n.highest = max(n.highest, m.Ballot.Round)
	before := n.acceptor.Promised
	if !n.acceptor.Prepare(m.Ballot) {
		n.send(from, BallotRejected{Epoch: m.Epoch, Ballot: m.Ballot, Promised: before})
		return
	}
	if before != m.Ballot {
		n.persistVote()
	}
	n.yieldTo(m.Ballot)
	n.send(from, n.promise(m))
}

func (n *Node) promise(m Prepare) Promise {
	p := Promise{Epoch: m.Epoch, Ballot: m.Ballot, Accepted: n.acceptor.Accepted, Sequence: n.sequence}
	switch {
	case p.Accepted != view.Ballot{}:
		p.Value = n.acceptor.Value
		p.Value.State = n.stateFor(p.Value.State, m.Sequence)
	case n.sequence > m.Sequence:
		p.State = n.fullState()
	}
	return p
}

// yieldTo ends an attempt of this node for a later one of another.
func (n *Node) yieldTo(b view.Ballot) {
	n.lastBallot = n.now
	if n.attempt != nil && n.attempt.proposer.Ballot.Less(b) {
		n.endAttempt()
	}
}

func (n *Node) persistVote() {
	n.persist(VoteRecord{Epoch: n.view.Epoch, Acceptor: n.acceptor})
}

// fullState is this member's present state with its bytes.
func (n *Node) fullState() State {
	snapshot := n.newest.Snapshot
	if snapshot == nil || n.committed != n.sequence || n.newest.Sequence != n.sequence {
		snapshot = n.machine.Snapshot()
	}
	return State{
		Epoch:    n.view.Epoch,
		Sequence: n.sequence,
		Full:     true,
		Snapshot: snapshot,
		Recent:   slices.Clone(n.recent),
	}
}

// stateFor gives a state of this epoch as it has to be sent to one that is at a sequence of this epoch: with its bytes
// only if the other is elsewhere. A sealed member's sequence stays what it told.
func (n *Node) stateFor(s State, sequence int64) State {
	if s.Sequence == sequence {
		return State{Epoch: s.Epoch, Sequence: s.Sequence}
	}
	if !s.Full {
		return n.fullState()
	}
	return s
}

// current says whether a message answers the present attempt.
func (n *Node) current(from Peer, epoch int64, b view.Ballot) bool {
	return epoch == n.view.Epoch && n.attempt != nil && n.attempt.proposer.Ballot == b && n.view.HasMember(from.ID)
}

func (n *Node) onOutbid(m BallotRejected) {
	if m.Epoch != n.view.Epoch {
		return
	}
	n.highest = max(n.highest, m.Promised.Round)
	if n.attempt != nil && n.attempt.proposer.Ballot == m.Ballot {
		n.endAttempt()
	}
}

func (n *Node) onPromise(from Peer, m Promise) {
	if !n.current(from, m.Epoch, m.Ballot) {
		return
	}
	a := n.attempt
	a.sequences[from.ID] = m.Sequence
	if a.proposer.HasProposed() {
		n.sendAccept(from)
		return
	}
	if m.State.Full && m.State.Sequence > a.best.Sequence {
		a.best = m.State
	}
	if !a.proposer.RecordPromise(from.ID, m.Accepted, m.Value) {
		return
	}
	value, found := a.proposer.RequiredValue()
	if !found {
		value = Proposal{View: n.nextView(), State: a.best}
	}
	a.proposer.Propose(value)
	for _, member := range n.view.Members {
		if a.proposer.HasPromised(member.ID) {
			n.sendAccept(Peer{ID: member.ID, Address: member.Address})
		}
	}
}

// nextView is the plan, or if too few hear each other, a chain of those who promised: this node hears them.
func (n *Node) nextView() view.View {
	next, _ := view.Plan(n.view, n.self.ID, contacts{n})
	if next.Validate() == nil {
		return next
	}
	next = view.View{Epoch: n.view.Epoch + 1, Initial: n.view.Initial, Members: slices.Clone(n.view.Members)}
	for _, id := range n.view.Chain {
		if n.attempt.proposer.HasPromised(id) {
			next.Chain = append(next.Chain, id)
		}
	}
	for _, m := range n.view.Members {
		if n.attempt.proposer.HasPromised(m.ID) && next.ChainPosition(m.ID) < 0 {
			next.Chain = append(next.Chain, m.ID)
		}
	}
	return next
}

func (n *Node) sendAccept(to Peer) {
	value := n.attempt.proposer.Value()
	value.State = n.stateFor(value.State, n.attempt.sequences[to.ID])
	n.send(to, Accept{Epoch: n.view.Epoch, Ballot: n.attempt.proposer.Ballot, Value: value})
}

func (n *Node) onAccept(from Peer, m Accept) {
	if !n.sameEpoch(from, m.Epoch, true) || m.Value.View.Epoch != n.view.Epoch+1 {
		return
	}
	value := m.Value
	switch {
	case value.State.Sequence == n.sequence:
		value.State = State{Epoch: n.view.Epoch, Sequence: n.sequence} // its bytes are here
	case !value.State.Full:
		return
	}
	before := n.acceptor.Promised
	if !n.acceptor.Accept(m.Ballot, value) {
		n.send(from, BallotRejected{Epoch: m.Epoch, Ballot: m.Ballot, Promised: before})
		return
	}
	n.persistVote()
	n.yieldTo(m.Ballot)
	n.send(from, Accepted{Epoch: m.Epoch, Ballot: m.Ballot})
}

func (n *Node) onAccepted(from Peer, m Accepted) {
	if !n.current(from, m.Epoch, m.Ballot) || !n.attempt.proposer.RecordAccepted(from.ID) {
		return
	}
	n.decide(n.attempt)
}
