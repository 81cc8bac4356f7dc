package chain

import (
	"cmp"
	"slices"
	"time"

	"emberquay/coordination/view"
)

// sendHeartbeats sends heartbeats, or requests to join, when they are due.
func (n *Node) sendHeartbeats() {
	if !n.settings.Voter || n.now-n.lastHeartbeat < heartbeatInterval {
		return
	}
	n.lastHeartbeat = n.now
	n.expireJoining()
	if !n.isMember() {
		n.sendJoinRequests()
		n.probeFirstMembers()
		return
	}
	if n.leavingChain {
		n.sendToOthers(n.view, LeavingChain{Epoch: n.view.Epoch})
		return
	}
	n.sendToOthers(n.view, Heartbeat{Epoch: n.view.Epoch, Committed: n.committed, Heard: n.recentlyHeard()})
}

// sendToOthers sends a message to all members of a view except this one.
func (n *Node) sendToOthers(v view.View, body Message) {
	for _, m := range v.Members {
		if m.ID != n.self.ID {
			n.sendMember(m, body)
		}
	}
}

// LeaveChain announces that this process is about to stop. The others then decide on a view without this member in the
// chain, in which it still takes part, so that nothing waits for its silence to be noticed. The member keeps answering
// until HasLeftChain reports that it may stop.
func (n *Node) LeaveChain(now time.Duration) Output {
	n.now = max(n.now, now)
	n.leavingChain = true
	if n.settings.Voter && n.isMember() {
		n.lastHeartbeat = n.now
		n.sendToOthers(n.view, LeavingChain{Epoch: n.view.Epoch})
	}
	return n.takeOutput()
}

// HasLeftChain reports whether the chain works without this member. A member stays in the chain if too few would be left.
func (n *Node) HasLeftChain() bool { return !n.isMember() || n.view.ChainPosition(n.self.ID) < 0 }

// onLeavingChain records that a member is about to stop. The first heartbeat of its next process clears this.
func (n *Node) onLeavingChain(from Peer, m LeavingChain) {
	if p := n.peers[from.ID]; p != nil {
		p.leavingChain, p.epoch = true, m.Epoch
	}
	n.checkEpoch(from, m.Epoch, true)
}

func (n *Node) onHeartbeat(from Peer, m Heartbeat) {
	if p := n.peers[from.ID]; p != nil {
		p.epoch, p.leavingChain = m.Epoch, false
		for _, id := range m.Heard {
			if _, isJoining := n.joining[id]; isJoining || n.view.HasMember(id) {
				p.reportedHearing[id] = n.now
			}
		}
	}
	n.knownCommitted = max(n.knownCommitted, m.Committed)
	if n.checkEpoch(from, m.Epoch, true) {
		n.commitTo(min(m.Committed, n.sequence))
	}
}

// checkEpoch reports whether a message is from a member of this view and from this epoch. For a later epoch it requests
// the view from the sender; for an earlier one it sends the sender a notice of this view, if notifySender is set.
func (n *Node) checkEpoch(from Peer, epoch int64, notifySender bool) bool {
	switch {
	case epoch > n.view.Epoch:
		n.requestView(from)
		return false
	case epoch < n.view.Epoch:
		if notifySender {
			n.sendViewNotice(from)
		}
		return false
	}
	return n.view.HasMember(from.ID)
}

// requestView requests a later view, at most once per busyTickInterval so that an answer can arrive first.
func (n *Node) requestView(from Peer) {
	if n.now-n.lastViewRequest < busyTickInterval {
		return
	}
	n.lastViewRequest = n.now
	n.send(from, ViewRequest{Epoch: n.view.Epoch})
}

func (n *Node) sendViewNotice(to Peer) {
	if v := n.View(); v.Epoch > 0 {
		n.send(to, ViewNotice{View: v, Committed: n.knownCommitted})
	}
}

func (n *Node) onViewRequest(from Peer, m ViewRequest) {
	if n.view.Epoch > m.Epoch && n.view.HasMember(from.ID) {
		n.send(from, InstallView{View: n.view, State: n.fullState(), Committed: n.committed})
		return
	}
	n.sendViewNotice(from)
}

// onViewNotice handles the notice of a view. If the view doesn't contain this member, it was removed and may only return
// as a new member.
func (n *Node) onViewNotice(from Peer, m ViewNotice) {
	n.knownCommitted = max(n.knownCommitted, m.Committed)
	if m.View.HasMember(from.ID) && !n.isMember() {
		n.trackAnsweringMember(from.ID)
	}
	if m.View.Epoch <= n.View().Epoch {
		if !n.isMember() && m.View.HasMember(n.self.ID) {
			n.requestView(from)
		}
		return
	}
	n.newestView = m.View
	switch {
	case m.View.HasMember(n.self.ID):
		n.requestView(from)
	case n.isMember():
		n.becomeNewMember()
	}
	n.resendCallsInNewView()
}

// trackAnsweringMember records that a member answers this node, which wants to join, and soon sends the members an updated
// list of those it hears.
func (n *Node) trackAnsweringMember(id view.MemberID) {
	if p := n.peers[id]; p != nil {
		p.lastHeard = n.now
		return
	}
	if len(n.peers) >= 2*view.MaxMembers {
		return
	}
	n.peers[id] = &peerState{lastHeard: n.now, reportedHearing: map[view.MemberID]time.Duration{}, assumedHearing: n.now}
	n.lastHeartbeat = min(n.lastHeartbeat, n.now-heartbeatInterval+busyTickInterval)
}

// becomeNewMember gives this node a new id, and discards the state and votes of the member that it was.
func (n *Node) becomeNewMember() {
	if n.newestView.Epoch < n.view.Epoch {
		n.newestView = n.view
	}
	n.endView()
	n.rememberMemberAddresses()
	n.bootstrap = bootstrapState{}
	n.self.ID = n.newMemberID()
	n.persist(IdentityRecord{Member: n.self, Known: n.rememberedAddresses})
	n.view = view.View{}
	n.acceptor = view.Acceptor[Proposal]{}
	n.sequence, n.committed, n.recent, n.newestEntry = 0, 0, nil, nil
	clear(n.peers)
	clear(n.joining)
}

// rememberMemberAddresses keeps the addresses of the newest known view: all seeds may be gone when this node restarts.
func (n *Node) rememberMemberAddresses() {
	n.rememberedAddresses = nil
	for _, m := range n.newestView.Members {
		if m.Address != n.self.Address {
			n.rememberedAddresses = append(n.rememberedAddresses, m.Address)
		}
	}
}

// endView discards what belongs to the current view.
func (n *Node) endView() {
	n.attempt, n.planned, n.highestRound, n.retryAt = nil, plannedChange{}, 0, 0
	n.redirectWaiters()
	if n.inFlight != (inFlightCommand{}) {
		n.send(n.inFlight.client, ProposeResult{ID: n.inFlight.id, Verdict: ResultRetry, Epoch: n.view.Epoch})
		n.inFlight = inFlightCommand{}
	}
	n.redirectQueue()
}

func (n *Node) redirectQueue() {
	queue := n.commandQueue
	n.commandQueue = nil
	for _, c := range queue {
		n.send(c.client, ProposeResult{ID: c.ID, Verdict: ResultRetry, Epoch: n.view.Epoch})
	}
}

// sendJoinRequests asks all possible members to let this node join.
func (n *Node) sendJoinRequests() {
	join := JoinRequest{Member: n.self, Heard: n.recentlyHeard()}
	for _, address := range n.addresses() {
		n.send(Peer{Address: address}, join)
	}
}

// addresses returns those of the newest known view, of the seeds and contacts, and the remembered ones.
func (n *Node) addresses() []string {
	var all []string
	for _, m := range n.View().Members {
		all = append(all, m.Address)
	}
	all = append(all, n.settings.Seeds...)
	all = append(all, n.contacts...)
	all = append(all, n.rememberedAddresses...)
	all = sortedDistinct(all)
	return slices.DeleteFunc(all, func(a string) bool { return a == n.self.Address })
}

func (n *Node) onJoinRequest(from Peer, m JoinRequest) {
	if !n.isMember() || m.Member.ID != from.ID || from.ID == 0 {
		return
	}
	n.sendViewNotice(from)
	if n.view.HasMember(from.ID) {
		return
	}
	if _, known := n.joining[from.ID]; !known {
		if len(n.joining) >= maxJoining {
			return
		}
		n.joining[from.ID] = m.Member
		n.peers[from.ID] = &peerState{reportedHearing: map[view.MemberID]time.Duration{}, assumedHearing: neverHeard}
	}
	p := n.peers[from.ID]
	p.lastHeard = n.now
	for _, id := range m.Heard {
		if n.view.HasMember(id) {
			p.reportedHearing[id] = n.now
		}
	}
}

func (n *Node) expireJoining() {
	for id := range n.joining {
		if n.now-n.peers[id].lastHeard > view.ReplaceAfter {
			delete(n.joining, id)
			delete(n.peers, id)
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
