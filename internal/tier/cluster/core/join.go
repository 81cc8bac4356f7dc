package core

import (
	"strings"
	"time"

	"emberquay/coordination/membership"
)

const (
	// firstSeedHeadStart is how long only the first seed is asked, so that the whole table is transferred only once.
	firstSeedHeadStart = 100 * time.Millisecond
	// minJoinInterval is the initial interval between requests to a control node that the table was not yet compared
	// with. Later the interval is an eighth of the time since the start, up to maxJoinInterval.
	minJoinInterval = 250 * time.Millisecond
	maxJoinInterval = time.Second
	// countSyncingAfter is the time after the start from which comparisons with nodes that are not ready count too. If
	// all nodes were just restarted, none is ready, and what a majority of the control nodes kept is all there is.
	countSyncingAfter = 400 * time.Millisecond
	// anyControlAfter is the time after the start from which a comparison with any control node suffices.
	anyControlAfter = 1500 * time.Millisecond
	// anyMachineAfter is the time after the start from which a comparison with any other machine suffices.
	anyMachineAfter = 2 * anyControlAfter
)

// joinState tracks how far a starting node has joined the cluster. The node is ready once it has compared its table
// with a majority of the control nodes, so that it has every entry that they had acknowledged before it started.
// Seeds that have not been identified count as control nodes, and nodes that are not ready themselves don't count
// until countSyncingAfter. From anyControlAfter on one control node suffices, from anyMachineAfter on any other machine.
type joinState struct {
	ready     bool
	startedAt time.Time
	nextRound time.Time
	compared  map[membership.ID]bool // true if the other node was ready itself
	retryAt   map[string]time.Time   // earliest time of the next request, by address
}

func (j *joinState) start(now time.Time) {
	j.startedAt = now
	j.nextRound = now
	j.compared = map[membership.ID]bool{}
	j.retryAt = map[string]time.Time{}
}

// recordComparison records that the comparison with the sender of an envelope is complete.
func (c *Core) recordComparison(now time.Time, e Envelope) {
	c.join.compared[e.From] = c.join.compared[e.From] || !e.Syncing
	c.join.nextRound = now // ask nodes that have just become known without delay
	c.updateReady(now)
}

// tickJoin requests comparisons from the control nodes that the table was not yet compared with.
func (c *Core) tickJoin(now time.Time) {
	c.updateReady(now)
	if c.join.ready || now.Before(c.join.nextRound) {
		return
	}
	pending := c.pendingControlAddresses()
	age := now.Sub(c.join.startedAt)
	if len(c.join.compared) == 0 && age < firstSeedHeadStart && len(pending) > 1 {
		c.requestComparison(now, pending[0])
		c.join.nextRound = c.join.startedAt.Add(firstSeedHeadStart)
		return
	}
	c.join.nextRound = now.Add(c.join.retryInterval(now))
	for _, address := range pending {
		c.requestComparison(now, address)
		if retryAt := c.join.retryAt[address]; retryAt.Before(c.join.nextRound) {
			c.join.nextRound = retryAt
		}
	}
	if len(pending) == 0 || age >= anyControlAfter {
		c.tryRejoin(now)
	}
}

// requestComparison starts a comparison with a control node unless it was asked recently: otherwise each completed
// comparison would immediately start others.
func (c *Core) requestComparison(now time.Time, address string) {
	if now.Before(c.join.retryAt[address]) {
		return
	}
	retryInterval := c.join.retryInterval(now)
	c.join.retryAt[address] = now.Add(retryInterval - retryInterval/8 + time.Duration(c.random.Int64N(int64(retryInterval/4))))
	c.sendCompareRequest(address)
}

// retryInterval returns the interval between two requests to the same control node.
func (j *joinState) retryInterval(now time.Time) time.Duration {
	return min(max(minJoinInterval, now.Sub(j.startedAt)/8), maxJoinInterval)
}

// pendingControlAddresses returns the addresses of the known control nodes and seeds that the table was not yet
// compared with while they were ready.
func (c *Core) pendingControlAddresses() []string {
	var pending []string
	covered := map[string]bool{c.address: true}
	c.membership.EachOther(func(id membership.ID, n *membership.Node) bool {
		if n.Role != membership.Control || !n.Live() {
			return true
		}
		if !covered[n.Address] && !c.join.compared[id] {
			pending = append(pending, n.Address)
		}
		covered[n.Address] = true
		return true
	})
	for _, address := range c.rejoin.seeds {
		if !covered[address] {
			pending = append(pending, address)
		}
	}
	return pending
}

// updateReady marks the node ready if its table was compared with enough nodes.
func (c *Core) updateReady(now time.Time) {
	if c.join.ready {
		return
	}
	age := now.Sub(c.join.startedAt)
	if c.comparedWithMajority(age >= countSyncingAfter) || age >= anyControlAfter && c.comparedWithAnyControl() || age >= anyMachineAfter && c.comparedWithOtherMachine() {
		c.join.ready = true
		c.gossip.SetSyncing(false)
	}
}

// comparedWithMajority reports whether the table was compared with more than half of the control nodes. If
// countSyncing is set, nodes that were not ready themselves count too.
func (c *Core) comparedWithMajority(countSyncing bool) bool {
	compared, syncing := 0, 0
	if c.membership.Self().Role == membership.Control {
		compared++ // this node, with what it has on disk
	}
	for id, ready := range c.join.compared {
		n, known := c.membership.Node(id)
		switch {
		case !known || n.Role != membership.Control || !n.Live():
		case ready:
			compared++
		default:
			syncing++
		}
	}
	pending := len(c.pendingControlAddresses())
	if countSyncing {
		compared, pending = compared+syncing, pending-syncing
	}
	return compared > pending && len(c.join.compared) > 0
}

// comparedWithAnyControl reports whether the table was compared with any control node, or whether this is a control
// node without other seeds.
func (c *Core) comparedWithAnyControl() bool {
	for id := range c.join.compared {
		if n, known := c.membership.Node(id); known && n.Role == membership.Control {
			return true
		}
	}
	return c.membership.Self().Role == membership.Control && len(c.rejoin.seeds) == 0
}

// comparedWithOtherMachine reports whether the table was compared with a node on another machine.
func (c *Core) comparedWithOtherMachine() bool {
	for id := range c.join.compared {
		if n, known := c.membership.Node(id); known && n.Name != c.membership.Self().Name {
			return true
		}
	}
	return false
}

// nodeIDFromKey returns the id of the node whose record has this key; false if it is not the key of a node.
func nodeIDFromKey(key string) (membership.ID, bool) {
	id, isNode := strings.CutPrefix(key, NodePrefix)
	return membership.ID(id), isNode
}
