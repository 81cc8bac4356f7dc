package sim

import (
	"time"

	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/core"
)

// role of a host's process.
type role = membership.Role

// Roles.
const (
	proxyRole   = membership.Proxy
	controlRole = membership.Control
	storeRole   = membership.Store
)

// host is a machine with one process.
type host struct {
	world     *world
	name      string
	address   string
	zone      string
	role      role
	bootstrap bool // its first start is the first of the whole system
	gone      bool // for good
	wipes     int
	clockStep time.Duration // by which the time of day is off

	disk    disk
	control controlDisk
	store   storeDisk
	life    *life // nil: it does not run
	starts  int
}

// life is one start of a host's process.
type life struct {
	host    *host
	started time.Duration
	core    *core.Core
	frozen  bool
	backlog []func()      // of a frozen process
	timer   time.Duration // when the core's timer goes off; 0: none is set
	isReady bool

	replica *replica      // of a control node
	edge    *edge         // of a proxy
	table   *storeTable   // of a store
	watch   *registration // of a control node
}

// epoch is the time of day at which a run begins.
var epoch = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func (w *world) clock() time.Time { return epoch.Add(w.now) }

// start starts the host's process.
func (h *host) start() {
	w := h.world
	if h.gone || h.life != nil {
		return
	}
	h.starts++
	l := &life{host: h, started: w.now}
	h.life = l
	self := membership.Node{Name: h.name, Role: h.role, Zone: h.zone, Region: "r", Address: h.address,
		Incarnation: uint64(h.timeOfDay().Add(w.between(-time.Second, time.Second)).UnixNano())}
	made, err := core.New(w.clock(), core.Options{Self: self, Seeds: w.seedsFor(h), Seed: w.random.Uint64()})
	if err != nil {
		panic(err) // the simulation's own fault
	}
	l.core = made
	w.trace("start %s (%d)", h.name, h.starts)
	switch h.role {
	case controlRole:
		l.startControl()
	case proxyRole:
		l.startEdge()
	case storeRole:
		l.startStore()
	}
	l.settleCore()
}

// seedsFor are the first nodes at the first start, and three of those that are there later on.
func (w *world) seedsFor(h *host) []string {
	if h.starts <= 1 && h.bootstrap {
		return w.seeds
	}
	var list []string
	for _, other := range w.of(controlRole) {
		if len(list) < 3 {
			list = append(list, other.address)
		}
	}
	return list
}

// stop ends the process: what it had not synced is kept in part.
func (h *host) stop() {
	if h.life == nil {
		return
	}
	h.world.trace("stop %s", h.name)
	h.life = nil
	h.control.crash(h.world)
	h.store.crash(h.world)
}

// step runs something in the process as it is now, later if it is frozen, never if it has ended by then.
func (h *host) step(do func(*life)) {
	if h.life == nil {
		return
	}
	l := h.life
	l.step(func() { do(l) })
}

func (l *life) step(do func()) {
	switch {
	case l.host.life != l:
	case l.frozen:
		l.backlog = append(l.backlog, do)
	default:
		do()
	}
}

// freeze stops the process for a time.
func (l *life) freeze(d time.Duration) {
	if l.frozen {
		return
	}
	l.frozen = true
	l.host.world.after(d, func() {
		if l.host.life != l {
			return
		}
		l.frozen = false
		backlog := l.backlog
		l.backlog = nil
		for _, do := range backlog {
			l.step(do)
		}
	})
}

// later is a timer of the process.
func (l *life) later(d time.Duration, do func()) {
	l.host.world.after(d, func() { l.step(do) })
}

// settleCore carries out what the core asks for, and sets its timer.
func (l *life) settleCore() { l.carryOutCore(l.core.Take()) }

func (l *life) carryOutCore(effects core.Effects) {
	for _, e := range effects.Changed {
		l.learn(e)
	}
	for _, out := range effects.Messages {
		if out.Address != "" {
			l.sendCore(out)
		}
	}
	l.isReady = l.isReady || l.core.Ready()
	l.schedule()
}

// schedule sets the core's timer unless one goes off before it is due.
func (l *life) schedule() {
	w := l.host.world
	due := w.now + max(0, l.core.Due().Sub(w.clock()))
	if l.timer > 0 && l.timer <= due {
		return
	}
	l.timer = due
	l.later(due-w.now, func() {
		if l.timer != due {
			return // an earlier one was set since
		}
		l.timer = 0
		if w.clock().Before(l.core.Due()) {
			l.schedule()
			return
		}
		l.core.Tick(w.clock())
		l.settleCore()
	})
}

// sendCore carries an envelope and its answer, as internal/tier/cluster does.
func (l *life) sendCore(out core.Outgoing) {
	w := l.host.world
	envelope := out.Envelope
	if w.has(digestMissesEntry) {
		envelope = withoutEntry(envelope)
	}
	serve := func(to *life, reply func(core.Envelope)) {
		answer := to.answerCore(envelope)
		if w.has(digestMissesEntry) {
			answer = withoutEntry(answer)
		}
		if envelope.ExpectsAnswer() {
			reply(answer)
		}
	}
	exchange(w, l, out.Address, serve, func(answer core.Envelope) {
		l.core.Receive(w.clock(), answer, out.Address)
		l.settleCore()
	})
}

// answerCore steps the core with an envelope and gives what goes back at once.
func (l *life) answerCore(e core.Envelope) core.Envelope {
	l.settleCore()
	l.core.Receive(l.host.world.clock(), e, "")
	effects := l.core.Take()
	self := l.core.Self()
	answer := core.Envelope{From: self.ID(), Incarnation: self.Incarnation, Syncing: !l.core.Ready()}
	if e.ExpectsAnswer() {
		kept := effects.Messages[:0]
		for _, out := range effects.Messages {
			if out.To == e.From {
				answer = out.Envelope
			} else {
				kept = append(kept, out)
			}
		}
		effects.Messages = kept
	}
	l.carryOutCore(effects)
	return answer
}

// learn takes an entry that is news here.
func (l *life) learn(e gossipEntry) {
	if l.edge != nil {
		l.edge.learn(e)
	}
	if l.table != nil {
		l.table.learn(e)
	}
}
