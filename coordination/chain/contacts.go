package chain

import (
	"maps"
	"math"
	"time"

	"emberquay/coordination/view"
)

// peerState is what this node knows of another one.
type peerState struct {
	lastHeard       time.Duration                   // when its last message arrived
	reportedHearing map[view.MemberID]time.Duration // which members it reported as heard, and when
	assumedHearing  time.Duration                   // when it is assumed to have heard members it never reported
	epoch           int64                           // from its last Heartbeat or LeavingChain
	leavingChain    bool                            // it announced that it is about to stop, and has sent no heartbeat since
}

// neverHeard precedes every time a node uses.
const neverHeard = time.Duration(math.MinInt64 / 2)

// trackMembers starts to track the members of a new view. They count as alive until they have been silent for a while.
func (n *Node) trackMembers() {
	for _, m := range n.view.Members {
		if n.peers[m.ID] == nil {
			n.peers[m.ID] = &peerState{lastHeard: n.now, reportedHearing: map[view.MemberID]time.Duration{}, assumedHearing: n.now}
		}
		delete(n.joining, m.ID)
	}
	isUnknown := func(id view.MemberID) bool {
		_, isJoining := n.joining[id]
		return !isJoining && !n.view.HasMember(id)
	}
	for id, p := range n.peers {
		if isUnknown(id) {
			delete(n.peers, id)
			continue
		}
		maps.DeleteFunc(p.reportedHearing, func(id view.MemberID, _ time.Duration) bool { return isUnknown(id) })
	}
}

// resetSilence discards the silence measured while this process was suspended.
func (n *Node) resetSilence(now time.Duration) {
	for _, p := range n.peers {
		p.lastHeard, p.assumedHearing = now, now
		clear(p.reportedHearing)
	}
	n.planned = plannedChange{}
}

func (n *Node) recordContact(from Peer) {
	if p := n.peers[from.ID]; p != nil {
		p.lastHeard = n.now
	}
}

func (n *Node) recentlyHeard() []view.MemberID {
	var heard []view.MemberID
	for _, id := range sortedKeys(n.peers) {
		if id != n.self.ID && n.now-n.peers[id].lastHeard < recentlyHeardWithin {
			heard = append(heard, id)
		}
	}
	return heard
}

// connectivity implements view.Connectivity from what a node knows.
type connectivity struct{ *Node }

// SilentFor returns how long nothing was received from a member.
func (c connectivity) SilentFor(id view.MemberID) time.Duration {
	if id == c.self.ID {
		return 0
	}
	if other := c.peers[id]; other != nil {
		return c.now - other.lastHeard
	}
	return math.MaxInt64
}

// Hears reports whether one member hears the other. A member that is about to stop counts as silent, so that the chain is
// planned without it.
func (c connectivity) Hears(by, of view.MemberID) bool {
	if c.isLeaving(by) || c.isLeaving(of) {
		return false
	}
	if by == c.self.ID {
		return c.SilentFor(of) < view.SuspectTimeout
	}
	other := c.peers[by]
	if other == nil || c.SilentFor(by) >= view.SuspectTimeout {
		return false
	}
	heardAt, ok := other.reportedHearing[of]
	if !ok {
		heardAt = other.assumedHearing
	}
	return c.now-heardAt < view.SuspectTimeout
}

func (c connectivity) isLeaving(id view.MemberID) bool {
	other := c.peers[id]
	return other != nil && other.leavingChain
}

// HasInstalled reports whether a member has announced that it installed the current view.
func (c connectivity) HasInstalled(id view.MemberID) bool {
	other := c.peers[id]
	return other != nil && other.epoch == c.view.Epoch
}

// Joining returns the nodes that ask to join, sorted by id.
func (c connectivity) Joining() []view.Member {
	var all []view.Member
	for _, id := range sortedKeys(c.joining) {
		if c.SilentFor(id) < view.SuspectTimeout {
			all = append(all, c.joining[id])
		}
	}
	return all
}
