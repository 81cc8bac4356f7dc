package chain

import (
	"cmp"
	"slices"
	"time"

	"emberquay/coordination/view"
)

// beat sends heartbeats, or asks to join, when it is time.
func (n *Node) beat() {
	if !n.settings.Voter || n.now-n.lastBeat < heartbeatEvery {
		return
	}
	n.lastBeat = n.now
	n.expireJoining()
	if !n.member() {
		n.askToJoin()
		n.inquire()
		return
	}
	if n.leaving {
		n.sendOthers(n.view, LeavingChain{Epoch: n.view.Epoch})
		return
	}
	n.sendOthers(n.view, Heartbeat{Epoch: n.view.Epoch, Committed: n.committed, Heard: n.heardLately()})
}

// sendOthers sends to all members of a view but this one.
func (n *Node) sendOthers(v view.View, body Message) {
	for _, m := range v.Members {
		if m.ID != n.self.ID {
			n.sendMember(m, body)
		}
	}
}

// LeaveChain tells the others that this process is about to stop: they leave it out of the chain by a view that this member
// still takes part in, so that nothing has to wait until its silence is noticed. It answers all that comes meanwhile;
// HasLeftChain says when it may go.
func (n *Node) LeaveChain(now time.Duration) Output {
	n.now = max(n.now, now)
	n.leaving = true
	if n.settings.Voter && n.member() {
		n.lastBeat = n.now
		n.sendOthers(n.view, LeavingChain{Epoch: n.view.Epoch})
	}
	return n.finish()
}

// HasLeftChain says whether the chain does without this member. One whose absence would leave too few stays in it.
func (n *Node) HasLeftChain() bool { return !n.member() || n.view.ChainPosition(n.self.ID) < 0 }

// onLeave notes that a member is about to stop. Its next heartbeat, of the process that follows, ends that.
func (n *Node) onLeave(from Peer, m LeavingChain) {
	if c := n.contacts[from.ID]; c != nil {
		c.leaving, c.epoch = true, m.Epoch
	}
	n.sameEpoch(from, m.Epoch, true)
}

func (n *Node) onHeartbeat(from Peer, m Heartbeat) {
	if c := n.contacts[from.ID]; c != nil {
		c.epoch, c.leaving = m.Epoch, false
		for _, id := range m.Heard {
			if _, joins := n.joining[id]; joins || n.view.HasMember(id) {
				c.reported[id] = n.now
			}
		}
	}
	n.knownCommit = max(n.knownCommit, m.Committed)
	if n.sameEpoch(from, m.Epoch, true) {
		n.commitTo(min(m.Committed, n.sequence))
	}
}

// sameEpoch says whether a message is from a member of this view, in this view. One from a later epoch is asked for it;
// one from an earlier is told, if it wants to go on.
func (n *Node) sameEpoch(from Peer, epoch int64, tell bool) bool {
	switch {
	case epoch > n.view.Epoch:
		n.ask(from)
		return false
	case epoch < n.view.Epoch:
		if tell {
			n.hint(from)
		}
		return false
	}
	return n.view.HasMember(from.ID)
}

// ask asks for a later view, not more often than an answer takes.
func (n *Node) ask(from Peer) {
	if n.now-n.lastAsk < busyEvery {
		return
	}
	n.lastAsk = n.now
	n.send(from, ViewRequest{Epoch: n.view.Epoch})
}

func (n *Node) hint(to Peer) {
	if v := n.View(); v.Epoch > 0 {
		n.send(to, ViewNotice{View: v, Committed: n.knownCommit})
	}
}

func (n *Node) onAsk(from Peer, m ViewRequest) {
	if n.view.Epoch > m.Epoch && n.view.HasMember(from.ID) {
		n.send(from, InstallView{View: n.view, State: n.fullState(), Committed: n.committed})
		return
	}
	n.hint(from)
}

// onHint learns of a view. One without this member means that it was removed: it may only come back as a new one.
func (n *Node) onHint(from Peer, m ViewNotice) {
	n.knownCommit = max(n.knownCommit, m.Committed)
	if m.View.HasMember(from.ID) && !n.member() {
		n.meet(from.ID)
	}
	if m.View.Epoch <= n.View().Epoch {
		if !n.member() && m.View.HasMember(n.self.ID) {
			n.ask(from)
		}
		return
	}
	n.known = m.View
	switch {
	case m.View.HasMember(n.self.ID):
		n.ask(from)
	case n.member():
		n.forget()
	}
	n.callAgain()
}

// meet notes that a member answers, for a node that wants to join. The members are told soon whom it hears.
func (n *Node) meet(id view.MemberID) {
	if c := n.contacts[id]; c != nil {
		c.heard = n.now
		return
	}
	if len(n.contacts) >= 2*view.MaxMembers {
		return
	}
	n.contacts[id] = &contact{heard: n.now, reported: map[view.MemberID]time.Duration{}, assumed: n.now}
	n.lastBeat = min(n.lastBeat, n.now-heartbeatEvery+busyEvery)
}

// forget makes this node a new one, with nothing of the state and the votes of the member that it was.
func (n *Node) forget() {
	if n.known.Epoch < n.view.Epoch {
		n.known = n.view
	}
	n.leaveView()
	n.rememberMembers()
	n.beginning = beginning{}
	n.self.ID = n.newID()
	n.persist(IdentityRecord{Member: n.self, Known: n.remembered})
	n.view = view.View{}
	n.acceptor = view.Acceptor[Proposal]{}
	n.sequence, n.committed, n.recent, n.last = 0, 0, nil, nil
	clear(n.contacts)
	clear(n.joining)
}

// rememberMembers keeps the addresses of the newest view known: the seeds may all be gone when this node starts again.
func (n *Node) rememberMembers() {
	n.remembered = nil
	for _, m := range n.known.Members {
		if m.Address != n.self.Address {
			n.remembered = append(n.remembered, m.Address)
		}
	}
}

// leaveView ends what belonged to the present view.
func (n *Node) leaveView() {
	n.attempt, n.wanted, n.highest, n.retryAt = nil, wanted{}, 0, 0
	n.dropWaiters()
	if n.flight != (flight{}) {
		n.send(n.flight.to, ProposeResult{ID: n.flight.id, Verdict: ResultRetry, Epoch: n.view.Epoch})
		n.flight = flight{}
	}
	n.dropQueue()
}

func (n *Node) dropQueue() {
	queue := n.queue
	n.queue = nil
	for _, p := range queue {
		n.send(p.from, ProposeResult{ID: p.ID, Verdict: ResultRetry, Epoch: n.view.Epoch})
	}
}

// askToJoin asks all that may be members.
func (n *Node) askToJoin() {
	join := JoinRequest{Member: n.self, Heard: n.heardLately()}
	for _, address := range n.addresses() {
		n.send(Peer{Address: address}, join)
	}
}

// addresses are those of the newest view known, the seeds, and those remembered.
func (n *Node) addresses() []string {
	var all []string
	for _, m := range n.View().Members {
		all = append(all, m.Address)
	}
	all = append(all, n.settings.Seeds...)
	all = append(all, n.remembered...)
	all = sortedDistinct(all)
	return slices.DeleteFunc(all, func(a string) bool { return a == n.self.Address })
}

func (n *Node) onJoin(from Peer, m JoinRequest) {
	if !n.member() || m.Member.ID != from.ID || from.ID == 0 {
		return
	}
	n.hint(from)
	if n.view.HasMember(from.ID) {
		return
	}
	if _, known := n.joining[from.ID]; !known {
		if len(n.joining) >= maxJoining {
			return
		}
		n.joining[from.ID] = m.Member
		n.contacts[from.ID] = &contact{reported: map[view.MemberID]time.Duration{}, assumed: never}
	}
	c := n.contacts[from.ID]
	c.heard = n.now
	for _, id := range m.Heard {
		if n.view.HasMember(id) {
			c.reported[id] = n.now
		}
	}
}

func (n *Node) expireJoining() {
	for id := range n.joining {
		if n.now-n.contacts[id].heard > view.ReplaceAfter {
			delete(n.joining, id)
			delete(n.contacts, id)
		}
	}
}

func sortedKeys[V any](m map[view.MemberID]V) []view.MemberID {
	keys := make([]view.MemberID, 0, len(m))
	for id := range m {
		keys = append(keys, id)
	}
	slices.SortFunc(keys, cmp.Compare[view.MemberID])
	return keys
}

func sortedDistinct(all []string) []string {
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
