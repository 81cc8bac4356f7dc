package sim

import (
	"fmt"
	"sync"
	"time"

	"emberquay/internal/tier/controlstate"
)

const (
	// catchUp is how long a machine counts as lost after it is back.
	catchUp = 4200 * time.Millisecond
	// settleTime is how long a cluster without trouble has to become whole again, before a disk may be lost.
	settleTime = catchUp + time.Second
)

// trouble is what befalls a run: one thing after the other, with calm spans between.
type trouble struct {
	world *world
	end   time.Duration // nothing begins any more
	lost  bool          // a disk was lost, and its machine has not had its time yet
}

// strike does one thing at random and says how long to wait before the next.
func (t *trouble) strike() {
	w := t.world
	switch w.random.IntN(36) {
	case 0, 1:
		t.kill(t.some(controlRole, 1), 3*time.Second)
	case 2:
		t.kill(t.some(proxyRole, 1), 2*time.Second)
	case 3:
		t.kill(t.some(storeRole, 1), 3*time.Second)
	case 4:
		t.kill(w.hosts, time.Second)
	case 5:
		t.freeze(pick(w, w.hosts))
	case 6:
		t.isolate()
	case 7:
		t.oneWay()
	case 8:
		t.bad()
	case 9:
		t.loseDisk(controlRole)
	case 10:
		t.loseDisk(storeRole)
	case 11:
		t.change()
	case 12:
		t.blink(pick(w, w.hosts), 0)
	case 13, 14:
		t.powerAtAck()
	case 15, 16:
		t.storm()
	case 17, 18:
		t.powerAtGrant()
	case 19, 20:
		t.races()
	case 21, 22, 23:
		t.disks()
	case 24, 25:
		t.stuck()
	case 26:
		t.stepClocks()
	case 27:
		t.slowHost()
	case 28:
		t.retire()
	case 29, 30:
		t.island()
	case 31, 32:
		t.secondLoss()
	case 33:
		t.flood()
	case 34, 35:
		t.roll()
	}
}

func (t *trouble) some(r role, most int) []*host {
	all := t.world.of(r)
	var list []*host
	for range most {
		if len(all) > 0 {
			list = append(list, pick(t.world, all))
		}
	}
	return list
}

// kill ends processes at the same moment; each starts again within a time.
func (t *trouble) kill(hosts []*host, within time.Duration) {
	w := t.world
	w.begins(Kills, "kill %d", len(hosts))
	down := w.between(50*time.Millisecond, within)
	for _, h := range hosts {
		if h.gone {
			continue
		}
		h.stop()
		w.after(w.between(10*time.Millisecond, down), h.start)
	}
	w.after(down, w.ends)
}

// blink kills a process in the middle of what it does, again and again.
func (t *trouble) blink(h *host, from time.Duration) {
	w := t.world
	w.begins(Blinks, "%s blinks", h.name)
	for range 3 + w.random.IntN(6) {
		w.after(from+w.between(0, time.Second), func() {
			if h.gone {
				return
			}
			h.stop()
			w.after(w.between(time.Millisecond, 100*time.Millisecond), h.start)
		})
	}
	w.after(from+1400*time.Millisecond, w.ends)
}

// slowDisksUntil has all disks be slow until what it gives is called for the first time: then the loss strikes, and the
// trouble ends.
func (t *trouble) slowDisksUntil(loss func()) (end func()) {
	w := t.world
	w.slowDisks++
	return sync.OnceFunc(func() {
		w.slowDisks--
		loss()
		w.ends()
	})
}

// powerAtAck has all disks be slow, and all machines lose power right after the next change is acknowledged.
func (t *trouble) powerAtAck() {
	w := t.world
	w.begins(PowerAtAck, "slow disks, then power")
	end := t.slowDisksUntil(func() { t.kill(w.hosts, time.Second) })
	w.judge.onAck = append(w.judge.onAck, func() { w.after(w.between(0, 5*time.Millisecond), end) })
	w.after(w.between(time.Second, 3*time.Second), end)
}

// powerAtGrant has all disks be slow, several programs begin, and all stores lose power soon after a turn was granted.
func (t *trouble) powerAtGrant() {
	w := t.world
	w.begins(PowerAtGrant, "slow disks, then power of the stores")
	end := t.slowDisksUntil(func() { t.kill(w.of(storeRole), 300*time.Millisecond) })
	for range 4 {
		w.runProgram()
	}
	w.after(w.between(200*time.Millisecond, 1500*time.Millisecond), func() {
		w.judge.onGrant = append(w.judge.onGrant, func() { w.after(w.between(0, 30*time.Millisecond), end) })
	})
	w.after(3*time.Second, end)
}

// storm cuts a control node off and kills others while the rest agree on a view without it.
func (t *trouble) storm() {
	w := t.world
	all := w.of(controlRole)
	alone := pick(w, all)
	var cut []link
	for _, h := range w.hosts {
		if h != alone && (h.role == controlRole || w.one(2)) {
			cut = append(cut, link{h.address, alone.address}, link{alone.address, h.address})
		}
	}
	t.cut(Storms, cut, "cut off in a storm")
	for _, h := range all {
		if h != alone && w.random.IntN(3) > 0 {
			t.blink(h, w.between(300*time.Millisecond, 1500*time.Millisecond))
		}
	}
}

func (t *trouble) freeze(h *host) {
	w := t.world
	if h.life == nil {
		return
	}
	d := w.between(200*time.Millisecond, 4*time.Second)
	w.begins(Freezes, "%s freezes for %s", h.name, d)
	h.life.freeze(d)
	w.after(d, w.ends)
}

// isolate cuts some hosts from the others, both ways, the outside from some of them.
func (t *trouble) isolate() {
	w := t.world
	var cut []link
	side := map[string]bool{}
	for _, h := range w.hosts {
		side[h.address] = w.one(3)
	}
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if side[a.address] != side[b.address] {
				cut = append(cut, link{a.address, b.address})
			}
		}
	}
	t.cut(Cuts, cut, "cut in two")
}

// oneWay cuts a few single directions.
func (t *trouble) oneWay() {
	w := t.world
	var cut []link
	for range 1 + w.random.IntN(6) {
		cut = append(cut, link{pick(w, w.hosts).address, pick(w, w.hosts).address})
	}
	if w.one(3) {
		h := pick(w, w.hosts)
		cut = append(cut, link{h.address, outside})
	}
	t.cut(Cuts, cut, "cut one way")
}

func (t *trouble) cut(kind Kind, links []link, what string) {
	w := t.world
	w.begins(kind, what+" %v", links)
	w.network.cutFor(links, w.between(300*time.Millisecond, 5*time.Second), w.ends)
}

// bad has the network lose, repeat and delay much.
func (t *trouble) bad() {
	w := t.world
	loss, repeat, slow := 0.3*w.random.Float64(), 0.3*w.random.Float64(), 0.3*w.random.Float64()
	w.begins(BadNetwork, "network loses %.2f, repeats %.2f, delays %.2f", loss, repeat, slow)
	w.network.loss, w.network.repeat, w.network.slow = loss, repeat, slow
	w.after(w.between(500*time.Millisecond, 5*time.Second), func() {
		w.network.loss, w.network.repeat, w.network.slow = 0, 0, 0
		w.ends()
	})
}

// loseDisk takes one machine's disk, where nothing else is lost at the time; others may lose power with it. The machine
// then has its time before anything else happens.
func (t *trouble) loseDisk(r role) {
	w := t.world
	if t.lost || !w.calmSince(w.now-settleTime) || !w.whole() {
		return
	}
	h := pick(w, w.of(r))
	w.begins(LostDisks, "%s loses its disk", h.name)
	t.lost = true
	h.stop()
	h.wipes++
	h.control.wipe(w)
	h.store = storeDisk{}
	h.bootstrap = false
	if w.one(3) { // all the others lose power at the same time
		for _, other := range w.hosts {
			if other != h && !other.gone {
				other.stop()
				w.after(w.between(10*time.Millisecond, time.Second), other.start)
			}
		}
	}
	w.after(w.between(10*time.Millisecond, time.Second), h.start)
	w.after(time.Second, w.ends)
	w.after(time.Second+catchUp, func() { t.lost = false })
}

// change adds or replaces machines as an operator does.
func (t *trouble) change() {
	w := t.world
	if t.lost || !w.calmSince(w.now-settleTime) {
		return
	}
	switch w.random.IntN(4) {
	case 0:
		w.add(proxyRole, false)
	case 1:
		if len(w.of(controlRole)) < 5 {
			w.add(controlRole, false)
		}
	case 2:
		t.replace()
	case 3:
		t.retire()
	}
}

// replace takes a control node away with its disk and puts another one in its place.
func (t *trouble) replace() {
	w := t.world
	if !w.whole() {
		return
	}
	old := pick(w, w.of(controlRole))
	w.begins(Replacements, "%s is replaced", old.name)
	t.lost = true
	old.stop()
	old.gone = true
	w.add(controlRole, false)
	w.after(time.Second, w.ends)
	w.after(time.Second+catchUp, func() { t.lost = false })
}

// retire has a store emptied and taken away.
func (t *trouble) retire() {
	w := t.world
	if t.lost || !w.calmSince(w.now-settleTime) {
		return
	}
	stores := w.of(storeRole)
	if len(stores) < 4 {
		w.add(storeRole, false)
		return
	}
	h := pick(w, stores)
	w.trace("%s is to be emptied", h.name)
	if w.one(2) {
		t.powerAtRemoval(h)
	}
	callFromOutside(w, pick(w, w.of(controlRole)).address, func(l *life, reply func(int)) {
		if l.replica == nil {
			return
		}
		l.replica.read(func(state *controlstate.State, open bool) {
			if open {
				reply(controlstate.StatusUnknown)
				return
			}
			l.replica.propose(retirement(h.name, state), func(result controlstate.Result, open bool) { reply(result.Status) })
		})
	}, func(int) {})
}

// retirement is the order to empty a store's machine, as a control plane that read this state brings it in.
func retirement(node string, state *controlstate.State) controlstate.Command {
	return controlstate.Command{Kind: controlstate.RetireStore, Base: state.Stores().Epoch, HasBase: true, Node: node, DeadlineSeconds: 10}
}

// add starts a further machine.
func (w *world) add(r role, first bool) *host {
	no := len(w.hosts)
	h := &host{world: w, name: fmt.Sprintf("%s-%d", r, no), address: fmt.Sprintf("10.0.0.%d", no), zone: string(rune('a' + no%3)), role: r, bootstrap: first}
	w.hosts = append(w.hosts, h)
	delay := time.Duration(0)
	if first {
		delay = w.between(0, 300*time.Millisecond)
	}
	w.after(delay, h.start)
	return h
}

// whole says whether nothing that was lost before is still missing: all stores are complete and in the view, and all
// control nodes in the chain.
func (w *world) whole() bool {
	for _, h := range w.of(storeRole) {
		if h.life == nil || !h.life.table.complete {
			return false
		}
		if _, in := h.life.table.self(); !in {
			return false
		}
	}
	for _, h := range w.of(controlRole) {
		if h.life == nil || h.life.replica.node == nil {
			return false
		}
		node := h.life.replica.node
		if v := node.View(); !node.IsMember() || v.ChainPosition(node.Self().ID) < 0 || len(v.Members) != len(w.of(controlRole)) {
			return false
		}
	}
	return true
}
