package core_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/gomega"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/core"
)

// world runs nodes under one seeded scheduler: links that lose, repeat and reorder, cuts, crashes, pauses.
type world struct {
	now     time.Time
	random  *rand.Rand
	events  eventQueue
	order   uint64
	nodes   []*process // all that ever ran
	at      map[string]*process
	cut     func(from, to *process) bool
	loss    float64
	repeat  float64
	delay   time.Duration // the most that a link adds
	measure bool
	bytes   int // of envelopes, frames included
	crossed int // of those, between zones
	sent    int // envelopes
	seeds   []string
}

// process is one start of a node.
type process struct {
	world   *world
	node    membership.Node
	core    *core.Core
	up      bool
	frozen  bool
	inbox   []func() // what came while it was frozen
	version int      // of the tick that is scheduled
	newest  map[string]gossip.Stamp
	readyAt time.Time
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var epoch = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func newWorld(seed uint64) *world {
	return &world{
		now:    epoch,
		random: rand.New(rand.NewPCG(seed, 99)),
		at:     map[string]*process{},
		cut:    func(_, _ *process) bool { return false },
		delay:  2 * time.Millisecond,
	}
}

func (w *world) after(wait time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(wait), order: w.order, run: run})
}

// run plays until some time has passed.
func (w *world) run(length time.Duration) {
	end := w.now.Add(length)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// runUntil plays until a condition holds, at most for a time, and tells how long it took.
func (w *world) runUntil(most, step time.Duration, holds func() bool) time.Duration {
	begin := w.now
	for w.now.Sub(begin) < most && !holds() {
		w.run(step)
	}
	return w.now.Sub(begin)
}

// start starts a node; skew is what its clock is off when it draws its incarnation.
func (w *world) start(n membership.Node, skew time.Duration) *process {
	n.Incarnation = uint64(w.now.Add(skew).UnixNano())
	c, err := core.New(w.now, core.Options{Self: n, Seeds: w.seeds, Seed: w.random.Uint64()})
	Expect(err).NotTo(HaveOccurred())
	p := &process{world: w, node: n, core: c, up: true, newest: map[string]gossip.Stamp{}}
	w.nodes = append(w.nodes, p)
	w.at[n.Address] = p
	p.carryOut()
	return p
}

func (w *world) stop(p *process) {
	p.up = false
	p.version++
	if w.at[p.node.Address] == p {
		delete(w.at, p.node.Address)
	}
}

func (w *world) running() []*process {
	var up []*process
	for _, p := range w.nodes {
		if p.up {
			up = append(up, p)
		}
	}
	return up
}

// freeze stops a process for a time; what comes meanwhile waits for it.
func (w *world) freeze(p *process, length time.Duration) {
	p.frozen = true
	p.version++
	w.after(length, func() {
		if !p.up {
			return
		}
		p.frozen = false
		for _, f := range p.inbox {
			f()
		}
		p.inbox = nil
		p.tick(p.version)
	})
}

// step runs a step of the process, once it is not frozen, if it still runs.
func (p *process) step(f func()) {
	switch {
	case !p.up:
	case p.frozen:
		p.inbox = append(p.inbox, func() { p.step(f) })
	default:
		f()
	}
}

func (p *process) tick(version int) {
	if !p.up || p.frozen || version != p.version {
		return
	}
	p.core.Tick(p.world.now)
	p.carryOut()
}

// carryOut sends what the steps ask for and schedules the next tick.
func (p *process) carryOut() { p.carryOutThese(p.core.Take()) }

func (p *process) carryOutThese(effects core.Effects) {
	p.check(effects)
	for _, out := range effects.Messages {
		if out.Address != "" {
			p.send(out)
		}
	}
	p.version++
	version := p.version
	p.world.after(max(0, p.core.Due().Sub(p.world.now)), func() { p.tick(version) })
}

// check holds what must hold at every step.
func (p *process) check(effects core.Effects) {
	for _, e := range effects.Changed {
		Expect(e.Stamp.After(p.newest[e.Key])).To(BeTrue(), "%s went backwards at %s", e.Key, p.node.ID())
		p.newest[e.Key] = e.Stamp
	}
	if p.readyAt.IsZero() && p.core.Ready() {
		p.readyAt = p.world.now
	}
}

// send carries an envelope to the process at an address, and its answer back.
func (p *process) send(out core.Outgoing) {
	w := p.world
	w.count(p, out)
	w.deliver(p, func() *process { return w.at[out.Address] }, func(to *process) {
		answer := to.answer(out.Envelope)
		if !out.Envelope.ExpectsAnswer() {
			return
		}
		w.countBytes(to, p, answer)
		w.deliver(to, func() *process { return p }, func(back *process) {
			back.core.Receive(w.now, answer, out.Address)
			back.carryOut()
		})
	})
}

// answer steps a process with an envelope and gives what goes back at once.
func (p *process) answer(e core.Envelope) core.Envelope {
	p.core.Receive(p.world.now, e, "")
	effects := p.core.Take()
	self := p.core.Self()
	answer := core.Envelope{From: self.ID(), Incarnation: self.Incarnation, Syncing: !p.core.Ready()}
	if !e.ExpectsAnswer() {
		p.carryOutThese(effects)
		return answer
	}
	kept := effects.Messages[:0]
	for _, out := range effects.Messages {
		if out.To == e.From {
			answer = out.Envelope
		} else {
			kept = append(kept, out)
		}
	}
	effects.Messages = kept
	p.carryOutThese(effects)
	return answer
}

// deliver runs a step at a process some time later, or not at all, or more than once.
func (w *world) deliver(from *process, to func() *process, f func(*process)) {
	copies := 1
	if w.random.Float64() < w.loss {
		copies = 0
	}
	if w.random.Float64() < w.repeat {
		copies++
	}
	for range copies {
		wait := 500*time.Microsecond + time.Duration(w.random.Int64N(int64(w.delay)))
		w.after(wait, func() {
			target := to()
			if target == nil || w.cut(from, target) {
				return
			}
			target.step(func() { f(target) })
		})
	}
}

// frameBytes is what the transport adds to a payload, about.
const frameBytes = 28

func (w *world) count(from *process, out core.Outgoing) {
	if to := w.at[out.Address]; to != nil {
		w.countBytes(from, to, out.Envelope)
	}
}

func (w *world) countBytes(from, to *process, e core.Envelope) {
	if !w.measure {
		return
	}
	data, err := core.EnvelopeCodec.Encode(core.EnvelopeToWire(e))
	Expect(err).NotTo(HaveOccurred())
	w.sent++
	w.bytes += len(data) + frameBytes
	if from.node.Zone != to.node.Zone {
		w.crossed += len(data) + frameBytes
	}
}

// fleet starts nodes as a deployment does: all at nearly the same moment, three control nodes as seeds.
func (w *world) fleet(size, zones int) {
	for i := range min(3, size) {
		w.seeds = append(w.seeds, addressOf(i))
	}
	for i := range size {
		w.after(time.Duration(w.random.Int64N(int64(300*time.Millisecond))), func() { w.start(w.nodeAt(i, zones), 0) })
	}
	w.run(300 * time.Millisecond)
}

func (w *world) nodeAt(i, zones int) membership.Node {
	role := membership.Proxy
	switch {
	case i < 3:
		role = membership.Control
	case i%5 == 0:
		role = membership.Store
	}
	return membership.Node{
		Name:    fmt.Sprintf("front-%d", i),
		Role:    role,
		Zone:    fmt.Sprintf("zone-%d", i%zones),
		Region:  "region",
		Address: addressOf(i),
	}
}

func addressOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7380", i/250, i%250) }
