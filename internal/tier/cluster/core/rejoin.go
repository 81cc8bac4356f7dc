package core

import (
	"slices"
	"time"

	"emberquay/coordination/membership"
)

const (
	// lostInterval is how often one node that is not among the live ones is tried: after a cut, two sides that
	// have declared each other down find each other so.
	lostInterval = time.Second
	// cutInterval is how often, and cutTries how many are tried by a node that hears from no other machine.
	cutInterval = 400 * time.Millisecond
	cutTries    = 4
	// maxRemembered bounds the addresses of lost nodes that are kept.
	maxRemembered = 64
)

// lost is a node that went down, as it was when it was seen last.
type lost struct {
	id      membership.ID
	address string
	hub     bool
}

// rejoin remembers where others may be found again.
type rejoin struct {
	seeds []string
	lost  []lost // the oldest first
	turn  int
	next  time.Time
}

// note keeps the address of a node that has gone down, and drops that of one that runs or has left.
func (r *rejoin) note(n membership.Node) {
	id := n.ID()
	r.lost = slices.DeleteFunc(r.lost, func(l lost) bool { return l.id == id || l.address == n.Address })
	if n.State != membership.Down {
		return
	}
	if len(r.lost) >= maxRemembered {
		r.lost = slices.Delete(r.lost, r.leastUseful(), r.leastUseful()+1)
	}
	r.lost = append(r.lost, lost{id: id, address: n.Address, hub: n.Role == membership.Control})
}

// leastUseful is the oldest that is no control node, or the oldest.
func (r *rejoin) leastUseful() int {
	return max(0, slices.IndexFunc(r.lost, func(l lost) bool { return !l.hub }))
}

// tryLost greets nodes that are not among the live ones, in turn.
func (c *Core) tryLost(now time.Time) {
	if now.Before(c.rejoin.next) {
		return
	}
	interval, tries := lostInterval, 1
	if !c.membership.HasRecentContact(now) {
		interval, tries = cutInterval, cutTries
	}
	jitter := time.Duration(c.random.Int64N(int64(interval / 4)))
	c.rejoin.next = now.Add(interval - interval/8 + jitter)
	addresses := c.lostAddresses()
	for range min(tries, len(addresses)) {
		c.greet(addresses[c.rejoin.turn%len(addresses)])
		c.rejoin.turn++
	}
}

// lostAddresses are the seeds where no live node is known, and the lost nodes.
func (c *Core) lostAddresses() []string {
	var addresses []string
	for _, seed := range c.rejoin.seeds {
		if !c.isLiveAt(seed) {
			addresses = append(addresses, seed)
		}
	}
	for _, l := range c.rejoin.lost {
		if !slices.Contains(addresses, l.address) {
			addresses = append(addresses, l.address)
		}
	}
	return addresses
}

// isLiveAt tells whether a live node is known at an address.
func (c *Core) isLiveAt(address string) bool {
	found := false
	c.membership.EachOther(func(_ membership.ID, n *membership.Node) bool {
		found = n.Address == address && n.Live()
		return !found
	})
	return found
}
