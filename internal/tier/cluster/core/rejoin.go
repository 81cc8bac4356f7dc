package core

import (
	"slices"
	"time"

	"emberquay/coordination/membership"
)

const (
	// rejoinInterval is how often one node that is not known as live is contacted. After a network partition, two
	// sides that have declared each other down find each other this way.
	rejoinInterval = time.Second
	// isolatedRejoinInterval is how often a node that hears from no other machine contacts such nodes, and
	// isolatedRejoinTries is how many of them at a time.
	isolatedRejoinInterval = 400 * time.Millisecond
	isolatedRejoinTries    = 4
	// maxLostNodes bounds the number of lost nodes whose addresses are kept.
	maxLostNodes = 64
)

// lostNode is a node that went down, as last known.
type lostNode struct {
	id        membership.ID
	address   string
	isControl bool
}

// rejoinState holds the addresses at which other nodes may be found again.
type rejoinState struct {
	seeds     []string
	contacts  []string   // beside the seeds
	lost      []lostNode // oldest first
	nextIndex int
	nextRound time.Time
}

// recordNode keeps the address of a node that is down and drops that of a node that runs or has left.
func (r *rejoinState) recordNode(n membership.Node) {
	id := n.ID()
	r.lost = slices.DeleteFunc(r.lost, func(l lostNode) bool { return l.id == id || l.address == n.Address })
	if n.State != membership.Down {
		return
	}
	if len(r.lost) >= maxLostNodes {
		r.lost = slices.Delete(r.lost, r.evictionIndex(), r.evictionIndex()+1)
	}
	r.lost = append(r.lost, lostNode{id: id, address: n.Address, isControl: n.Role == membership.Control})
}

// evictionIndex returns the index of the oldest lost node that is not a control node, or of the oldest one.
func (r *rejoinState) evictionIndex() int {
	return max(0, slices.IndexFunc(r.lost, func(l lostNode) bool { return !l.isControl }))
}

// tryRejoin requests comparisons from nodes that are not known as live, in rotation.
func (c *Core) tryRejoin(now time.Time) {
	if now.Before(c.rejoin.nextRound) {
		return
	}
	interval, tries := rejoinInterval, 1
	if !c.membership.HasRecentContact(now) {
		interval, tries = isolatedRejoinInterval, isolatedRejoinTries
	}
	jitter := time.Duration(c.random.Int64N(int64(interval / 4)))
	c.rejoin.nextRound = now.Add(interval - interval/8 + jitter)
	addresses := c.rejoinAddresses()
	for range min(tries, len(addresses)) {
		c.sendCompareRequest(addresses[c.rejoin.nextIndex%len(addresses)])
		c.rejoin.nextIndex++
	}
}

// rejoinAddresses returns the addresses of the seeds and contacts at which no live node is known, and of the lost nodes.
func (c *Core) rejoinAddresses() []string {
	var addresses []string
	for _, address := range slices.Concat(c.rejoin.seeds, c.rejoin.contacts) {
		if !c.hasLiveNodeAt(address) && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, l := range c.rejoin.lost {
		if !slices.Contains(addresses, l.address) {
			addresses = append(addresses, l.address)
		}
	}
	return addresses
}

// hasLiveNodeAt reports whether a live node is known at an address.
func (c *Core) hasLiveNodeAt(address string) bool {
	found := false
	c.membership.EachOther(func(_ membership.ID, n *membership.Node) bool {
		found = n.Address == address && n.Live()
		return !found
	})
	return found
}
