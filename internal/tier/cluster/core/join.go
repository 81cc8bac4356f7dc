package core

import (
	"strings"
	"time"

	"emberquay/coordination/membership"
)

const (
	// firstAlone is how long the first seed is asked alone: a whole table is then taken over once.
	firstAlone = 100 * time.Millisecond
	// joinInterval is how often those that the table was not compared with are asked again, at first; later
	// the pauses are an eighth of the time since the start, up to joinIntervalMost.
	joinInterval     = 250 * time.Millisecond
	joinIntervalMost = time.Second
	// restartBound is after what time nodes that are not ready themselves count too: where all have just been
	// started again nobody is, and what a majority of the control nodes have kept is all that there is.
	restartBound = 400 * time.Millisecond
	// readyBound is after what time a comparison with any control node is enough.
	readyBound = 1500 * time.Millisecond
	// readyBoundOthers is after what time one with any other machine is.
	readyBoundOthers = 2 * readyBound
)

// join is how far a node that has just started has come. It is ready once it has compared its table with a
// majority of the control nodes, so that it knows whatever they had acknowledged before it began. Seeds that
// have not shown who they are count as control nodes, and nodes that are not ready themselves don't count
// until restartBound. From readyBound on one control node is enough, and from readyBoundOthers any other machine.
type join struct {
	ready    bool
	started  time.Time
	due      time.Time
	compared map[membership.ID]bool // true: the other was ready itself
	next     map[string]time.Time   // when an address may be asked again
}

func (j *join) start(now time.Time) {
	j.started = now
	j.due = now
	j.compared = map[membership.ID]bool{}
	j.next = map[string]time.Time{}
}

// compared notes a comparison.
func (c *Core) compared(now time.Time, e Envelope) {
	c.join.compared[e.From] = c.join.compared[e.From] || !e.Syncing
	c.join.due = now // those that are known now and were not asked yet are asked at once
	c.judgeReady(now)
}

// tickJoin asks those that the table was not compared with.
func (c *Core) tickJoin(now time.Time) {
	c.judgeReady(now)
	if c.join.ready || now.Before(c.join.due) {
		return
	}
	open := c.openHubs()
	age := now.Sub(c.join.started)
	if len(c.join.compared) == 0 && age < firstAlone && len(open) > 1 {
		c.askHub(now, open[0])
		c.join.due = c.join.started.Add(firstAlone)
		return
	}
	c.join.due = now.Add(c.join.interval(now))
	for _, address := range open {
		c.askHub(now, address)
		if next := c.join.next[address]; next.Before(c.join.due) {
			c.join.due = next
		}
	}
	if len(open) == 0 || age >= readyBound {
		c.tryLost(now)
	}
}

// askHub opens a comparison with a control node, unless it was asked just now: each comparison that ends would
// otherwise begin others at once.
func (c *Core) askHub(now time.Time, address string) {
	if now.Before(c.join.next[address]) {
		return
	}
	interval := c.join.interval(now)
	c.join.next[address] = now.Add(interval - interval/8 + time.Duration(c.random.Int64N(int64(interval/4))))
	c.greet(address)
}

// interval is the pause between two questions to a control node.
func (j *join) interval(now time.Time) time.Duration {
	return min(max(joinInterval, now.Sub(j.started)/8), joinIntervalMost)
}

// openHubs are the addresses of control nodes that the table was not compared with while they were ready:
// known ones, and seeds.
func (c *Core) openHubs() []string {
	var open []string
	covered := map[string]bool{c.address: true}
	c.membership.EachOther(func(id membership.ID, n *membership.Node) bool {
		if n.Role != membership.Control || !n.Live() {
			return true
		}
		if !covered[n.Address] && !c.join.compared[id] {
			open = append(open, n.Address)
		}
		covered[n.Address] = true
		return true
	})
	for _, address := range c.rejoin.seeds {
		if !covered[address] {
			open = append(open, address)
		}
	}
	return open
}

// judgeReady decides whether enough was compared.
func (c *Core) judgeReady(now time.Time) {
	if c.join.ready {
		return
	}
	age := now.Sub(c.join.started)
	if c.majorityCompared(age >= restartBound) || age >= readyBound && c.hubCompared() || age >= readyBoundOthers && c.machineCompared() {
		c.join.ready = true
		c.gossip.SetSyncing(false)
	}
}

// majorityCompared tells whether the table was compared with more control nodes than it was not; unready: those
// that were not ready themselves count too.
func (c *Core) majorityCompared(unready bool) bool {
	done, half := 0, 0
	if c.membership.Self().Role == membership.Control {
		done++ // its own disk
	}
	for id, ready := range c.join.compared {
		n, known := c.membership.Node(id)
		switch {
		case !known || n.Role != membership.Control || !n.Live():
		case ready:
			done++
		default:
			half++
		}
	}
	open := len(c.openHubs())
	if unready {
		done, open = done+half, open-half
	}
	return done > open && len(c.join.compared) > 0
}

// hubCompared tells whether any control node was compared with, or there is none but this.
func (c *Core) hubCompared() bool {
	for id := range c.join.compared {
		if n, known := c.membership.Node(id); known && n.Role == membership.Control {
			return true
		}
	}
	return c.membership.Self().Role == membership.Control && len(c.rejoin.seeds) == 0
}

func (c *Core) machineCompared() bool {
	for id := range c.join.compared {
		if n, known := c.membership.Node(id); known && n.Name != c.membership.Self().Name {
			return true
		}
	}
	return false
}

// nodeIDOf gives the id of the node whose record is under a key.
func nodeIDOf(key string) (membership.ID, bool) {
	id, isNode := strings.CutPrefix(key, NodePrefix)
	return membership.ID(id), isNode
}
