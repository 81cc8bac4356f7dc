package chain

import (
	"slices"
	"time"

	"emberquay/coordination/view"
)

// Delays before proposing a view. Their only purpose is to keep two members from proposing at the same time.
const (
	// shrinkDelayPerRank is the delay per rank before proposing a chain without a silent member.
	shrinkDelayPerRank = 150 * time.Millisecond
	// changeDelayPerRank is the delay per rank before other changes. A member that returns must in addition be heard
	// for extendDelay before the chain is extended.
	extendDelay        = 200 * time.Millisecond
	changeDelayPerRank = 250 * time.Millisecond
	// sealedDelay and sealedDelayPerRank apply if the epoch is sealed and no next view is decided.
	sealedDelay        = 500 * time.Millisecond
	sealedDelayPerRank = 150 * time.Millisecond
	// maxRankJitter separates members of the same rank.
	maxRankJitter = 60 * time.Millisecond
	// attemptTimeout limits the duration of an attempt.
	attemptTimeout = time.Second
	// maxRetryDelay is the maximum delay after a failed attempt.
	maxRetryDelay = 300 * time.Millisecond
)

// attempt is this node's attempt to decide the view after its epoch.
type attempt struct {
	proposer    *view.Proposer[Proposal]
	startedAt   time.Duration
	sentAt      time.Duration
	sequences   map[view.MemberID]int64 // of the members that promised
	newestState State                   // newest state among the promises
}

// plannedChange is the change that this node will propose if it is still wanted when due.
type plannedChange struct {
	change view.Change
	due    time.Duration
}

// reconfigure starts, continues or ends attempts as time passes.
func (n *Node) reconfigure() {
	switch {
	case !n.isMember():
	case n.attempt != nil:
		n.continueAttempt()
	case n.now < n.retryAt || !n.hearsMajority():
		n.planned = plannedChange{}
	case n.acceptor.Sealed():
		n.planned = plannedChange{}
		if n.now-n.lastBallotAt >= sealedDelay+time.Duration(n.rank())*sealedDelayPerRank {
			n.startAttempt()
		}
	default:
		n.considerPlan()
	}
}

// considerPlan delays a planned change according to the rank, and drops it if it is no longer wanted. Only chain members
// propose changes: the other members of the chain know best whether one of them is silent.
func (n *Node) considerPlan() {
	if n.view.ChainPosition(n.self.ID) < 0 || n.leavingChain {
		return
	}
	next, change := view.Plan(n.view, n.self.ID, connectivity{n})
	if change == view.NoChange || next.Validate() != nil {
		n.planned = plannedChange{}
		return
	}
	if n.planned.change != change {
		n.planned = plannedChange{change: change, due: n.now + n.proposalDelay(change)}
	}
	if n.now >= n.planned.due {
		n.startAttempt()
	}
}

func (n *Node) proposalDelay(c view.Change) time.Duration {
	rank := time.Duration(n.rank())
	switch c {
	case view.ShrinkChain:
		return rank*shrinkDelayPerRank + n.jitter(maxRankJitter)
	case view.ExtendChain:
		return extendDelay + rank*changeDelayPerRank + n.jitter(maxRankJitter)
	}
	return rank*changeDelayPerRank + n.jitter(maxRankJitter)
}

// rank returns the position in the chain; members outside the chain follow it. Chain members before this one that are
// silent or about to stop are not counted, as they will not propose anything.
func (n *Node) rank() int {
	if position := n.view.ChainPosition(n.self.ID); position >= 0 {
		return position - n.countAbsent(n.view.Chain[:position])
	}
	position := slices.IndexFunc(n.view.Members, func(m view.Member) bool { return m.ID == n.self.ID })
	return len(n.view.Chain) + position
}

func (n *Node) countAbsent(ids []view.MemberID) int {
	count := 0
	for _, id := range ids {
		c := connectivity{n}
		if c.SilentFor(id) >= view.SuspectTimeout || c.isLeaving(id) {
			count++
		}
	}
	return count
}

// hearsMajority keeps a partitioned member from sealing an epoch for which it could not decide the next view.
func (n *Node) hearsMajority() bool {
	heard := 0
	for _, m := range n.view.Members {
		if (connectivity{n}).SilentFor(m.ID) < view.SuspectTimeout {
			heard++
		}
	}
	return heard >= n.view.Majority()
}

// startAttempt starts a new ballot. This member's own promise is on disk before any message is sent, so a ballot is never
// reused.
func (n *Node) startAttempt() {
	n.highestRound = max(n.highestRound, n.acceptor.Promised.Round) + 1
	ballot := view.Ballot{Round: n.highestRound, Proposer: n.self.ID}
	n.planned = plannedChange{}
	n.lastBallotAt = n.now
	n.attempt = &attempt{
		proposer:    view.NewProposer[Proposal](ballot, n.view.Majority()),
		startedAt:   n.now,
		sentAt:      n.now,
		sequences:   map[view.MemberID]int64{},
		newestState: State{Epoch: n.view.Epoch, Sequence: n.sequence},
	}
	for _, m := range n.view.Members {
		n.sendMember(m, Prepare{Epoch: n.view.Epoch, Ballot: ballot, Sequence: n.sequence})
	}
}

func (n *Node) continueAttempt() {
	a := n.attempt
	if n.now-a.startedAt >= attemptTimeout {
		n.endAttempt()
		return
	}
	if n.now-a.sentAt < resendAfter {
		return
	}
	a.sentAt = n.now
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
	n.retryAt = n.now + n.jitter(maxRetryDelay)
}

func (n *Node) onPrepare(from Peer, m Prepare) {
	if !n.checkEpoch(from, m.Epoch, true) {
		return
	}
	n.highestRound = max(n.highestRound, m.Ballot.Round)
	promised := n.acceptor.Promised
	if !n.acceptor.Prepare(m.Ballot) {
		n.send(from, BallotRejected{Epoch: m.Epoch, Ballot: m.Ballot, Promised: promised})
		return
	}
	if promised != m.Ballot {
		n.persistVote()
	}
	n.yieldToBallot(m.Ballot)
	n.send(from, n.promiseFor(m))
}

func (n *Node) promiseFor(m Prepare) Promise {
	p := Promise{Epoch: m.Epoch, Ballot: m.Ballot, Accepted: n.acceptor.Accepted, Sequence: n.sequence}
	switch {
	case p.Accepted != view.Ballot{}:
		p.Value = n.acceptor.Value
		p.Value.State = n.stateForReceiver(p.Value.State, m.Sequence)
	case n.sequence > m.Sequence:
		p.State = n.fullState()
	}
	return p
}

// yieldToBallot ends this node's attempt if it has seen a later ballot.
func (n *Node) yieldToBallot(b view.Ballot) {
	n.lastBallotAt = n.now
	if n.attempt != nil && n.attempt.proposer.Ballot.Less(b) {
		n.endAttempt()
	}
}

func (n *Node) persistVote() {
	n.persist(VoteRecord{Epoch: n.view.Epoch, Acceptor: n.acceptor})
}

// fullState returns this member's current state with its snapshot.
func (n *Node) fullState() State {
	snapshot := n.newestCommitted.Snapshot
	if snapshot == nil || n.committed != n.sequence || n.newestCommitted.Sequence != n.sequence {
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

// stateForReceiver returns a state of this epoch for a receiver whose own state is at sequence: it omits the snapshot if
// the receiver has the state. The sequence that a member reports with its promise remains valid because it has sealed.
func (n *Node) stateForReceiver(s State, sequence int64) State {
	if s.Sequence == sequence {
		return State{Epoch: s.Epoch, Sequence: s.Sequence}
	}
	if !s.Full {
		return n.fullState()
	}
	return s
}

// isCurrentAttempt reports whether a message answers the current attempt.
func (n *Node) isCurrentAttempt(from Peer, epoch int64, b view.Ballot) bool {
	return epoch == n.view.Epoch && n.attempt != nil && n.attempt.proposer.Ballot == b && n.view.HasMember(from.ID)
}

func (n *Node) onBallotRejected(m BallotRejected) {
	if m.Epoch != n.view.Epoch {
		return
	}
	n.highestRound = max(n.highestRound, m.Promised.Round)
	if n.attempt != nil && n.attempt.proposer.Ballot == m.Ballot {
		n.endAttempt()
	}
}

func (n *Node) onPromise(from Peer, m Promise) {
	if !n.isCurrentAttempt(from, m.Epoch, m.Ballot) {
		return
	}
	a := n.attempt
	a.sequences[from.ID] = m.Sequence
	if a.proposer.HasProposed() {
		n.sendAccept(from)
		return
	}
	if m.State.Full && m.State.Sequence > a.newestState.Sequence {
		a.newestState = m.State
	}
	if !a.proposer.RecordPromise(from.ID, m.Accepted, m.Value) {
		return
	}
	value, found := a.proposer.RequiredValue()
	if !found {
		value = Proposal{View: n.nextView(), State: a.newestState}
	}
	a.proposer.Propose(value)
	for _, member := range n.view.Members {
		if a.proposer.HasPromised(member.ID) {
			n.sendAccept(Peer{ID: member.ID, Address: member.Address})
		}
	}
}

// nextView returns the planned view or, if too few members hear each other, a chain of the members that promised, which
// this node hears.
func (n *Node) nextView() view.View {
	next, _ := view.Plan(n.view, n.self.ID, connectivity{n})
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
	value.State = n.stateForReceiver(value.State, n.attempt.sequences[to.ID])
	n.send(to, Accept{Epoch: n.view.Epoch, Ballot: n.attempt.proposer.Ballot, Value: value})
}

func (n *Node) onAccept(from Peer, m Accept) {
	if !n.checkEpoch(from, m.Epoch, true) || m.Value.View.Epoch != n.view.Epoch+1 {
		return
	}
	value := m.Value
	switch {
	case value.State.Sequence == n.sequence:
		value.State = State{Epoch: n.view.Epoch, Sequence: n.sequence} // this member has the snapshot
	case !value.State.Full:
		return
	}
	promised := n.acceptor.Promised
	if !n.acceptor.Accept(m.Ballot, value) {
		n.send(from, BallotRejected{Epoch: m.Epoch, Ballot: m.Ballot, Promised: promised})
		return
	}
	n.persistVote()
	n.yieldToBallot(m.Ballot)
	n.send(from, Accepted{Epoch: m.Epoch, Ballot: m.Ballot})
}

func (n *Node) onAccepted(from Peer, m Accepted) {
	if !n.isCurrentAttempt(from, m.Epoch, m.Ballot) || !n.attempt.proposer.RecordAccepted(from.ID) {
		return
	}
	n.distributeDecision(n.attempt)
}
