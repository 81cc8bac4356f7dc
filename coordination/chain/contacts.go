package chain

import (
	"maps"
	"math"
	"time"

	"emberquay/coordination/view"
)

// contact is what is known of another node.
type contact struct {
	heard    time.Duration                   // when it last said anything
	reported map[view.MemberID]time.Duration // whom it said it hears, and when
	assumed  time.Duration                   // when it is taken to have heard those whom it never named
	epoch    int64                           // as it last told
	leaving  bool                            // it said that it is about to stop, and has sent no heartbeat since
}

// never is before any time of a node.
const never = time.Duration(math.MinInt64 / 2)

// meetMembers takes up the members of a new view; until they are silent for a time they are taken to be there.
func (n *Node) meetMembers() {
	for _, m := range n.view.Members {
		if n.contacts[m.ID] == nil {
			n.contacts[m.ID] = &contact{heard: n.now, reported: map[view.MemberID]time.Duration{}, assumed: n.now}
		}
		delete(n.joining, m.ID)
	}
	gone := func(id view.MemberID) bool {
		_, joins := n.joining[id]
		return !joins && !n.view.HasMember(id)
	}
	for id, c := range n.contacts {
		if gone(id) {
			delete(n.contacts, id)
			continue
		}
		maps.DeleteFunc(c.reported, func(id view.MemberID, _ time.Duration) bool { return gone(id) })
	}
}

// excuseSilence forgets what was not heard while this process did not run.
func (n *Node) excuseSilence(now time.Duration) {
	for _, c := range n.contacts {
		c.heard, c.assumed = now, now
		clear(c.reported)
	}
	n.wanted = wanted{}
}

func (n *Node) hear(from Peer) {
	if c := n.contacts[from.ID]; c != nil {
		c.heard = n.now
	}
}

func (n *Node) heardLately() []view.MemberID {
	var heard []view.MemberID
	for _, id := range sortedKeys(n.contacts) {
		if id != n.self.ID && n.now-n.contacts[id].heard < heardWithin {
			heard = append(heard, id)
		}
	}
	return heard
}

// contacts makes a node the view.Connectivity of its own plans.
type contacts struct{ *Node }

// SilentFor is how long a member has said nothing.
func (c contacts) SilentFor(id view.MemberID) time.Duration {
	if id == c.self.ID {
		return 0
	}
	if other := c.contacts[id]; other != nil {
		return c.now - other.heard
	}
	return math.MaxInt64
}

// Hears says whether one hears the other. One that is about to stop counts as silent: the chain is to do without it.
func (c contacts) Hears(by, of view.MemberID) bool {
	if c.isLeaving(by) || c.isLeaving(of) {
		return false
	}
	if by == c.self.ID {
		return c.SilentFor(of) < view.SuspectAfter
	}
	other := c.contacts[by]
	if other == nil || c.SilentFor(by) >= view.SuspectAfter {
		return false
	}
	at, ok := other.reported[of]
	if !ok {
		at = other.assumed
	}
	return c.now-at < view.SuspectAfter
}

func (c contacts) isLeaving(id view.MemberID) bool {
	other := c.contacts[id]
	return other != nil && other.leaving
}

// HasInstalled says whether a member has told that it adopted the present view.
func (c contacts) HasInstalled(id view.MemberID) bool {
	other := c.contacts[id]
	return other != nil && other.epoch == c.view.Epoch
}

// Joining are the nodes that ask to join, by their ids.
func (c contacts) Joining() []view.Member {
	var all []view.Member
	for _, id := range sortedKeys(c.joining) {
		if c.SilentFor(id) < view.SuspectAfter {
			all = append(all, c.joining[id])
		}
	}
	return all
}
