package sim

import (
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/controlstate"
)

const (
	// Sizes of a cluster.
	controls  = 3
	proxies   = 3
	receivers = 4
	// Of three stores two are a quorum, so that three quorums may have no store in common; of four, three are one.
	fewestStores = 3
	mostStores   = 4

	// troubleSpan is how long things happen, and calmSpan how long the cluster then has to become whole.
	startSpan   = 4 * time.Second
	troubleSpan = 26 * time.Second
	calmSpan    = 12 * time.Second
	// restartAfter is when in the calm a proxy is started again.
	restartAfter = 4 * time.Second
	// progressBound is how long a change may take at any node once all is calm.
	progressBound = 2 * time.Second
	// repairSpan is how long a turn may be on its way to where it belongs once all is calm.
	repairSpan = 12 * time.Second
	// silenceBound is after how long a receiver that ended without a word is known to be silent: its owner may be down too.
	silenceBound = 10 * time.Second
)

// Run plays one seed.
func Run(o Options) Result {
	w := newWorld(o)
	w.operators.world = w
	w.play()
	for _, c := range w.operators.orders {
		if c.status == 0 {
			w.counts.Open++
		}
	}
	return Result{Seed: o.Seed, Breach: w.judge.first, Steps: w.steps, Counts: w.counts, Digest: w.judge.digest, Virtual: w.now}
}

// play runs all phases. What stops a process of the service, a broken invariant of its own, is a breach.
func (w *world) play() {
	defer func() {
		if stopped := recover(); stopped != nil {
			w.judge.breach(internalRule, "%v\n%s", stopped, debug.Stack())
		}
	}()
	w.begin()
	w.phase(startSpan)
	w.troubles()
	w.after(restartAfter, w.restartProxy)
	w.phase(calmSpan)
	if w.judge.first == nil {
		w.goesOn()
	}
	if w.judge.first == nil {
		w.repaired()
	}
	if w.judge.first == nil {
		w.linear()
	}
}

// restartProxy starts a proxy again when nothing else happens any more: what it then knows, others have told it.
func (w *world) restartProxy() {
	h := pick(w, w.of(proxyRole))
	h.stop()
	w.after(200*time.Millisecond, h.start)
}

// broken stops the scheduler at the first broken invariant.
func (w *world) broken() bool { return w.judge.first != nil }

// phase lets time pass.
func (w *world) phase(d time.Duration) {
	if !w.broken() {
		w.scheduler.run(w.now+d, w.broken)
	}
}

// begin starts the cluster and those outside of it.
func (w *world) begin() {
	for range controls {
		w.seeds = append(w.seeds, w.add(controlRole, true).address)
	}
	for range proxies {
		w.add(proxyRole, true)
	}
	for range fewestStores + w.random.IntN(mostStores-fewestStores+1) {
		w.add(storeRole, true)
	}
	for range receivers {
		w.addReceiver()
	}
	end := startSpan + troubleSpan
	w.after(500*time.Millisecond, func() { w.operators.run(end) })
	w.after(2*time.Second, func() { w.lookUps(end + calmSpan) })
	w.after(2*time.Second, func() { w.runPrograms(end) })
	w.after(3*time.Second, func() { w.drains(end) })
}

func (w *world) runPrograms(until time.Duration) {
	if w.now < until {
		w.runProgram()
		w.after(w.between(300*time.Millisecond, 2500*time.Millisecond), func() { w.runPrograms(until) })
	}
}

// drains has receivers come and go.
func (w *world) drains(until time.Duration) {
	if w.now >= until {
		return
	}
	r := pick(w, w.receivers)
	if !r.draining && r.crashed == 0 && len(w.receivers) < 30 {
		if w.one(4) {
			r.crash()
		} else {
			r.drain()
		}
		w.addReceiver()
	}
	w.after(w.between(500*time.Millisecond, 4*time.Second), func() { w.drains(until) })
}

// troubles strikes again and again, one thing at a time or several at once.
func (w *world) troubles() {
	end := w.now + troubleSpan
	t := &trouble{world: w, end: end}
	for w.now < end && !w.broken() {
		if !t.lost {
			t.strike()
			if w.one(3) && !t.lost {
				t.strike()
			}
		}
		wait := w.between(100*time.Millisecond, 3*time.Second)
		if w.one(3) {
			wait = settleTime + w.between(0, 3*time.Second)
		}
		w.phase(min(wait, end-w.now))
	}
}

// goesOn checks that the cluster is whole once it has been calm.
func (w *world) goesOn() {
	w.operators.calm = true
	if !w.whole() {
		w.judge.breach(ProgressRule, "%s after the last trouble the cluster is not whole: %s", calmSpan, w.state())
		return
	}
	for _, h := range w.of(proxyRole) {
		w.settled(h)
	}
	for _, h := range w.of(controlRole) {
		if w.broken() {
			return
		}
		w.changes(h)
		if w.broken() {
			return
		}
	}
	w.phase(applyBound)
	if w.broken() {
		return
	}
	for _, h := range w.of(proxyRole) {
		w.settled(h)
	}
}

// changes checks that a control node brings a change through, and a read of it. Operators read first: an order that they
// gave up without an answer may be in force.
func (w *world) changes(h *host) {
	w.operators.read(nil)
	w.phase(progressBound)
	if w.broken() {
		return
	}
	c := w.operators.change(w.operators.version)
	for c.invalid {
		w.phase(progressBound)
		c = w.operators.change(w.operators.version)
	}
	w.phase(progressBound)
	if w.broken() {
		return
	}
	if c.status == 0 || c.status == controlstate.StatusPreconditionFailed && c.base >= w.judge.acked {
		w.judge.breach(ProgressRule, "order %d on version %d has answer %d %s after it was sent, all is calm", c.no, c.base, c.status, progressBound)
		return
	}
	read := &readCall{}
	w.operators.read(func(done *readCall) { read = done })
	w.phase(progressBound)
	if !w.broken() && !read.clear {
		w.judge.breach(ProgressRule, "no read is answered within %s, all is calm", progressBound)
	}
}

// settled checks that a proxy knows what there is to know.
func (w *world) settled(h *host) {
	l := h.life
	if l == nil || !l.isReady {
		w.judge.breach(ProgressRule, "%s is not ready when all is calm", h.name)
		return
	}
	if l.edge.version < w.judge.acked {
		w.judge.breach(ProgressRule, "%s works by version %d when all is calm, %d was acknowledged", h.name, l.edge.version, w.judge.acked)
	}
	for _, r := range w.receivers {
		state, known := l.edge.receivers[r.id]
		switch {
		case r.crashed > 0:
			if known && state == records.ReceiverReady && w.now > r.crashed+silenceBound {
				w.judge.breach(ProgressRule, "%s takes %s for ready when all is calm, it crashed at %.3fs", h.name, r.id, r.crashed.Seconds())
			}
		case r.left:
			if known && state == records.ReceiverReady {
				w.judge.breach(DrainRule, "%s takes %s for ready when all is calm, it has left", h.name, r.id)
			}
		case !known:
			w.judge.breach(ProgressRule, "%s does not know receiver %s when all is calm", h.name, r.id)
		case r.draining && r.acked > 0 && state == records.ReceiverReady:
			w.judge.breach(DrainRule, "%s takes %s for ready when all is calm, its draining was acknowledged at %.3fs", h.name, r.id, r.acked.Seconds())
		case !r.draining && state != records.ReceiverReady:
			w.judge.breach(ProgressRule, "%s takes receiver %s for %s when all is calm", h.name, r.id, state)
		}
	}
}

// repaired checks that each turn is where it belongs, once the stores have had time to compare: else a further disk may take
// the last copy.
func (w *world) repaired() {
	for _, h := range w.of(storeRole) {
		t := h.life.table
		self := t.view.IndexOf(t.id)
		for _, kept := range w.turns {
			if w.now >= kept.at+kept.retention()-repairSpan || !slices.Contains(t.places(kept.record), self) {
				continue
			}
			if _, here := t.turns[kept.record.ID]; !here {
				w.judge.breach(ProgressRule, "turn %s belongs at %s and is not there when all is calm", kept.record.ID, h.name)
				return
			}
		}
	}
}

// state tells which hosts are not whole.
func (w *world) state() string {
	said := ""
	for _, h := range w.of(storeRole) {
		if h.life == nil || !h.life.table.complete || h.life.table.view.IndexOf(h.life.table.id) < 0 {
			said += h.name + " "
		}
	}
	for _, h := range w.of(controlRole) {
		if h.life == nil || h.life.replica.node == nil {
			said += h.name + " "
			continue
		}
		node := h.life.replica.node
		v := node.View()
		if !node.IsMember() || v.ChainPosition(node.Self().ID) < 0 || len(v.Members) != len(w.of(controlRole)) {
			said += fmt.Sprintf("%s (member %t, epoch %d, chain %v of %d, own id %d, waits for the disk %t) ",
				h.name, node.IsMember(), v.Epoch, v.Chain, len(v.Members), node.Self().ID, h.life.replica.busy)
		}
	}
	return said
}
