package sim

import (
	"time"

	"emberquay/coordination/chain"
)

const (
	// longCut is how long an island is cut off at most; runs are short, so most are shorter.
	longCut = 20 * time.Second
	// islandCalls is how often something is asked of a control node on an island.
	islandCalls = 6
	// floodOrders is how many changes follow each other while a control node is out: more than the outcomes that a state
	// remembers, so that a command sent before them has an open fate.
	floodOrders = 300
	// repairTime is within how long of a first loss the second one comes: longer than a repair takes.
	repairTime = 3500 * time.Millisecond
	// resignTimeout and resignPoll are as in the service.
	resignTimeout = time.Second
	resignPoll    = 10 * time.Millisecond
)

// island cuts a control node off from the others, with a proxy or alone, both ways or one way. Operators and receivers reach
// it; what it promises them must hold though those on the island may be lost when the cut ends.
func (t *trouble) island() {
	w := t.world
	alone := pick(w, w.of(controlRole))
	side := map[string]bool{alone.address: true}
	members := []*host{alone}
	if w.one(2) {
		h := pick(w, w.of(proxyRole))
		side[h.address], members = true, append(members, h)
	}
	countedOnly, way := w.one(3), w.random.IntN(4)
	var links []link
	for _, h := range w.hosts {
		if side[h.address] || countedOnly && h.role == proxyRole {
			continue
		}
		for _, m := range members {
			if way != 1 {
				links = append(links, link{m.address, h.address})
			}
			if way != 2 {
				links = append(links, link{h.address, m.address})
			}
		}
	}
	length := w.between(time.Second, 8*time.Second)
	if w.one(3) {
		length = longCut
	}
	length = max(time.Second, min(length, t.end-w.now))
	w.begins(Islands, "%s is cut off for %s, %v", alone.name, length, links)
	for range islandCalls {
		w.after(w.between(0, length), func() { t.askIsland(alone) })
	}
	if w.one(3) {
		t.blink(alone, w.between(0, length))
	}
	lost := w.one(2)
	w.network.cutFor(links, length, func() {
		if lost {
			t.kill(members, time.Second)
		}
		w.ends()
	})
}

// askIsland has operators and receivers ask something of a control node that is cut off.
func (t *trouble) askIsland(h *host) {
	w := t.world
	switch w.random.IntN(4) {
	case 0:
		w.operators.changeAt(h.address)
	case 1: // to this node first, and to others where it does not answer
		c := w.operators.newOrder(w.operators.version)
		w.operators.send(c, h.address)
	case 2:
		w.operators.readAt(h.address)
	case 3:
		r := pick(w, w.receivers)
		if !r.draining && r.crashed == 0 {
			r.target = h.address
			r.drain()
			w.addReceiver()
		}
	}
}

// secondLoss takes a disk, or a machine for good, and in the middle of the repair others of the same role lose power, one
// after the other: more than is tolerated at once, so all may stand still, but nothing may be lost.
func (t *trouble) secondLoss() {
	w := t.world
	if t.lost || !w.calmSince(w.now-settleTime) || !w.whole() {
		return
	}
	r := controlRole
	if w.one(3) {
		r = storeRole
	}
	all := w.of(r)
	first := pick(w, all)
	w.begins(SecondLosses, "%s loses its disk, and others power", first.name)
	t.lost = true
	first.stop()
	if r == controlRole && w.one(3) {
		first.gone = true
		w.add(controlRole, false)
	} else {
		first.wipes++
		first.control.wipe(w)
		first.store = storeDisk{}
		first.bootstrap = false
		w.after(w.between(10*time.Millisecond, time.Second), first.start)
	}
	for range 1 + w.random.IntN(3) {
		h := pick(w, all)
		w.after(w.between(0, repairTime), func() {
			if h == first || h.gone {
				return
			}
			h.stop()
			w.after(w.between(10*time.Millisecond, time.Second), h.start)
		})
	}
	w.after(repairTime+time.Second, w.ends)
	w.after(repairTime+time.Second+catchUp, func() { t.lost = false })
}

// flood has hundreds of changes follow each other while a control node is down, frozen or cut off; then it comes back.
func (t *trouble) flood() {
	w := t.world
	out := pick(w, w.of(controlRole))
	if out.life == nil {
		return
	}
	length := w.between(2*time.Second, 6*time.Second)
	w.begins(Floods, "%s is out for %s, with %d changes", out.name, length, floodOrders)
	switch w.random.IntN(3) {
	case 0:
		out.stop()
		w.after(length, out.start)
	case 1:
		out.life.freeze(length)
	case 2:
		var links []link
		for _, h := range w.hosts {
			if h != out {
				links = append(links, link{h.address, out.address}, link{out.address, h.address})
			}
		}
		w.network.cutFor(links, length, func() {})
	}
	w.after(length, w.ends)
	until := w.now + length
	left := floodOrders
	var next func()
	next = func() {
		if left--; left < 0 || w.now > until {
			return
		}
		others := w.up(controlRole)
		if len(others) == 0 {
			return
		}
		c := w.operators.newOrder(w.operators.version)
		c.done = next
		w.operators.send(c, pick(w, others).address)
	}
	next()
}

// roll has the control nodes stop as planned and start again, one after the other, as an upgrade does.
func (t *trouble) roll() {
	w := t.world
	w.begins(PlannedStops, "control nodes stop in turn")
	at := time.Duration(0)
	for _, h := range w.of(controlRole) {
		w.after(at, func() {
			h.resign(func() { w.after(w.between(50*time.Millisecond, 500*time.Millisecond), h.start) })
		})
		at += w.between(500*time.Millisecond, 2500*time.Millisecond)
	}
	w.after(at+resignTimeout+500*time.Millisecond, w.ends)
}

// resign ends the process once the others go on without it, or after a time, as the control plane does.
func (h *host) resign(stopped func()) {
	w, l := h.world, h.life
	if l == nil || l.replica == nil || l.replica.node == nil {
		stopped()
		return
	}
	l.replica.do(func() chain.Output { return l.replica.node.LeaveChain(w.now) })
	until := w.now + resignTimeout
	var poll func()
	poll = func() {
		if !l.replica.node.HasLeftChain() && w.now < until {
			l.later(resignPoll, poll)
			return
		}
		h.stop()
		stopped()
	}
	poll()
}
