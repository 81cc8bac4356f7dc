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

// simulation runs nodes under one seeded scheduler. It simulates links that lose, duplicate and reorder messages,
// network partitions, crashes and pauses.
type simulation struct {
	now            time.Time
	random         *rand.Rand
	events         eventQueue
	nextOrder      uint64
	processes      []*process // all, including stopped ones
	byAddress      map[string]*process
	isBlocked      func(from, to *process) bool
	lossRate       float64
	duplicateRate  float64
	maxDelay       time.Duration // upper bound of the random part of a link's delay
	measure        bool
	sentBytes      int // of envelopes, including frames
	crossZoneBytes int // part of sentBytes that crossed zones
	sentEnvelopes  int
	seeds          []string
}

// process is one run of a node, from its start to its end.
type process struct {
	simulation   *simulation
	node         membership.Node
	core         *core.Core
	isRunning    bool
	isPaused     bool
	deferred     []func() // steps to run after a pause
	tickVersion  int      // of the latest scheduled tick; earlier ones are void
	newestStamps map[string]gossip.Stamp
	readyAt      time.Time
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

var testStart = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64) *simulation {
	return &simulation{
		now:       testStart,
		random:    rand.New(rand.NewPCG(seed, 99)),
		byAddress: map[string]*process{},
		isBlocked: func(_, _ *process) bool { return false },
		maxDelay:  2 * time.Millisecond,
	}
}

// schedule runs a function after a delay in simulated time.
func (s *simulation) schedule(delay time.Duration, run func()) {
	s.nextOrder++
	heap.Push(&s.events, event{at: s.now.Add(delay), order: s.nextOrder, run: run})
}

// advance runs the simulation for a duration.
func (s *simulation) advance(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// advanceUntil runs the simulation until a condition holds or a limit is reached, and returns the time that this took.
func (s *simulation) advanceUntil(limit, step time.Duration, condition func() bool) time.Duration {
	begin := s.now
	for s.now.Sub(begin) < limit && !condition() {
		s.advance(step)
	}
	return s.now.Sub(begin)
}

// start starts a node. Its incarnation comes from a clock that is off by clockSkew.
func (s *simulation) start(n membership.Node, clockSkew time.Duration) *process {
	n.Incarnation = uint64(s.now.Add(clockSkew).UnixNano())
	c, err := core.New(s.now, core.Options{Self: n, Seeds: s.seeds, Seed: s.random.Uint64()})
	Expect(err).NotTo(HaveOccurred())
	p := &process{simulation: s, node: n, core: c, isRunning: true, newestStamps: map[string]gossip.Stamp{}}
	s.processes = append(s.processes, p)
	s.byAddress[n.Address] = p
	p.applyPendingEffects()
	return p
}

func (s *simulation) stop(p *process) {
	p.isRunning = false
	p.tickVersion++
	if s.byAddress[p.node.Address] == p {
		delete(s.byAddress, p.node.Address)
	}
}

func (s *simulation) running() []*process {
	var up []*process
	for _, p := range s.processes {
		if p.isRunning {
			up = append(up, p)
		}
	}
	return up
}

// pause suspends a process for a duration. Steps that are due meanwhile run afterwards.
func (s *simulation) pause(p *process, duration time.Duration) {
	p.isPaused = true
	p.tickVersion++
	s.schedule(duration, func() {
		if !p.isRunning {
			return
		}
		p.isPaused = false
		for _, f := range p.deferred {
			f()
		}
		p.deferred = nil
		p.tick(p.tickVersion)
	})
}

// runStep runs a step of a process, after its pause if it is paused, unless the process has stopped.
func (p *process) runStep(f func()) {
	switch {
	case !p.isRunning:
	case p.isPaused:
		p.deferred = append(p.deferred, func() { p.runStep(f) })
	default:
		f()
	}
}

func (p *process) tick(version int) {
	if !p.isRunning || p.isPaused || version != p.tickVersion {
		return
	}
	p.core.Tick(p.simulation.now)
	p.applyPendingEffects()
}

// applyPendingEffects sends the pending messages of the node and schedules its next tick.
func (p *process) applyPendingEffects() { p.applyEffects(p.core.Take()) }

func (p *process) applyEffects(effects core.Effects) {
	p.checkInvariants(effects)
	for _, out := range effects.Messages {
		if out.Address != "" {
			p.send(out)
		}
	}
	p.tickVersion++
	version := p.tickVersion
	p.simulation.schedule(max(0, p.core.Due().Sub(p.simulation.now)), func() { p.tick(version) })
}

// checkInvariants checks after each step that no entry went back to an older stamp, and records when the node is ready.
func (p *process) checkInvariants(effects core.Effects) {
	for _, e := range effects.Changed {
		Expect(e.Stamp.After(p.newestStamps[e.Key])).To(BeTrue(), "%s went backwards at %s", e.Key, p.node.ID())
		p.newestStamps[e.Key] = e.Stamp
	}
	if p.readyAt.IsZero() && p.core.Ready() {
		p.readyAt = p.simulation.now
	}
}

// send delivers an envelope to the process at its address, and the answer back.
func (p *process) send(out core.Outgoing) {
	s := p.simulation
	s.countOutgoing(p, out)
	s.deliver(p, func() *process { return s.byAddress[out.Address] }, func(to *process) {
		answer := to.answer(out.Envelope)
		if !out.Envelope.ExpectsAnswer() {
			return
		}
		s.countEnvelope(to, p, answer)
		s.deliver(to, func() *process { return p }, func(caller *process) {
			caller.core.Receive(s.now, answer, out.Address)
			caller.applyPendingEffects()
		})
	})
}

// answer passes an envelope to the node and returns the answer for its sender.
func (p *process) answer(e core.Envelope) core.Envelope {
	p.core.Receive(p.simulation.now, e, "")
	effects := p.core.Take()
	self := p.core.Self()
	answer := core.Envelope{From: self.ID(), Incarnation: self.Incarnation, Syncing: !p.core.Ready()}
	if !e.ExpectsAnswer() {
		p.applyEffects(effects)
		return answer
	}
	others := effects.Messages[:0]
	for _, out := range effects.Messages {
		if out.To == e.From {
			answer = out.Envelope
		} else {
			others = append(others, out)
		}
	}
	effects.Messages = others
	p.applyEffects(effects)
	return answer
}

// deliver runs a step at a process after a delay. Depending on the rates of loss and duplication, the step may not run
// at all, or run twice.
func (s *simulation) deliver(from *process, destination func() *process, f func(*process)) {
	copies := 1
	if s.random.Float64() < s.lossRate {
		copies = 0
	}
	if s.random.Float64() < s.duplicateRate {
		copies++
	}
	for range copies {
		delay := 500*time.Microsecond + time.Duration(s.random.Int64N(int64(s.maxDelay)))
		s.schedule(delay, func() {
			target := destination()
			if target == nil || s.isBlocked(from, target) {
				return
			}
			target.runStep(func() { f(target) })
		})
	}
}

// frameBytes is the approximate overhead of the transport per message.
const frameBytes = 28

func (s *simulation) countOutgoing(from *process, out core.Outgoing) {
	if to := s.byAddress[out.Address]; to != nil {
		s.countEnvelope(from, to, out.Envelope)
	}
}

func (s *simulation) countEnvelope(from, to *process, e core.Envelope) {
	if !s.measure {
		return
	}
	data, err := core.EnvelopeCodec.Encode(core.EnvelopeToWire(e))
	Expect(err).NotTo(HaveOccurred())
	s.sentEnvelopes++
	s.sentBytes += len(data) + frameBytes
	if from.node.Zone != to.node.Zone {
		s.crossZoneBytes += len(data) + frameBytes
	}
}

// startFleet starts nodes as a deployment does: all within 300 ms, with three control nodes as seeds.
func (s *simulation) startFleet(size, zones int) {
	for i := range min(3, size) {
		s.seeds = append(s.seeds, addressOf(i))
	}
	for i := range size {
		s.schedule(time.Duration(s.random.Int64N(int64(300*time.Millisecond))), func() { s.start(s.nodeOf(i, zones), 0) })
	}
	s.advance(300 * time.Millisecond)
}

func (s *simulation) nodeOf(i, zones int) membership.Node {
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
