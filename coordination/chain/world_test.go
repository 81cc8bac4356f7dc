package chain_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"emberquay/coordination/chain"
)

// world runs nodes under one seeded scheduler: a network that loses, repeats and reorders, disks that keep what was
// synced, processes that end at any point, freeze and lose their disks.
type world struct {
	random  *rand.Rand
	now     time.Duration
	events  events
	hosts   []*host
	seeds   []string
	cut     map[[2]string]bool // from, to
	loss    float64
	repeat  float64
	slow    float64 // chance that a message takes long
	slowest time.Duration
	crash   float64       // chance that a process ends within a step
	pause   time.Duration // until it starts again, at most
	judge   judge
	trace   func(string, ...any)
	order   uint64
}

// host is a machine and its disk.
type host struct {
	address   string
	bootstrap bool
	gone      bool // for good
	records   []chain.Record
	node      *chain.Node
	process   int // counts the starts
	frozen    bool
	backlog   []func() // of a frozen host
	tick      uint64   // the newest timer
	calls     map[int64]*call
}

// event is something that happens later.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(seed uint64, hosts, seeds int, trace func(string, ...any)) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 77)),
		cut:    map[[2]string]bool{},
		trace:  trace,
	}
	for at := range hosts {
		w.hosts = append(w.hosts, &host{address: fmt.Sprintf("host%d", at), bootstrap: true})
		if at < seeds {
			w.seeds = append(w.seeds, fmt.Sprintf("host%d", at))
		}
	}
	for _, h := range w.hosts {
		w.after(w.between(0, 300*time.Millisecond), func() { w.start(h) })
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// on does something in a host's process as it is now, later if it is frozen, never if it has ended.
func (w *world) on(h *host, do func()) {
	process := h.process
	guarded := func() {
		if h.node != nil && h.process == process {
			do()
		}
	}
	if h.frozen {
		h.backlog = append(h.backlog, guarded)
		return
	}
	guarded()
}

func (w *world) start(h *host) {
	if h.gone || h.node != nil {
		return
	}
	var durable chain.DurableState
	for _, r := range h.records {
		if err := durable.Apply(r); err != nil {
			panic(err)
		}
	}
	settings := chain.Settings{
		Name: h.address, Address: h.address, Zone: "z", Voter: true,
		Bootstrap: h.bootstrap, Seeds: w.seedsFor(h),
		Random: [2]uint64{w.random.Uint64(), w.random.Uint64()},
	}
	node, out, err := chain.New(settings, &durable, &register{}, w.now)
	if err != nil {
		panic(err)
	}
	h.node, h.calls, h.frozen, h.backlog = node, map[int64]*call{}, false, nil
	h.process++
	w.trace("%v start %s as %d, %d records", w.now, h.address, node.Self().ID, len(h.records))
	w.carryOut(h, out)
	w.schedule(h)
}

// seedsFor is the operator's list when a host first starts; three of those that are there, later on.
func (w *world) seedsFor(h *host) []string {
	if h.bootstrap && h.process == 0 {
		return w.seeds
	}
	var seeds []string
	for _, other := range w.hosts {
		if !other.gone && len(seeds) < 3 {
			seeds = append(seeds, other.address)
		}
	}
	return seeds
}

func (w *world) stop(h *host) {
	h.node, h.calls, h.frozen, h.backlog = nil, nil, false, nil
	h.process++
}

// wipe takes a host's disk; it starts again later.
func (w *world) wipe(h *host) {
	w.stop(h)
	h.records, h.bootstrap = nil, false
}

// carryOut does what a node asks for, unless the process ends within it: then a part of the records was synced, or all and
// a part of the messages left.
func (w *world) carryOut(h *host, out chain.Output) {
	before := len(h.records)
	h.records = append(h.records, out.Persist...)
	sends := len(out.Send)
	crashes := w.random.Float64() < w.crash
	if crashes {
		if kept := w.random.IntN(len(out.Persist) + 1); kept < len(out.Persist) {
			h.records = h.records[:before+kept]
			sends = 0
		} else {
			sends = w.random.IntN(sends + 1)
		}
	} else {
		for _, c := range out.Committed {
			w.judge.committed(w, h, c)
		}
	}
	for _, e := range out.Send[:sends] {
		w.transmit(e)
	}
	if crashes {
		w.trace("%v %s ends within a step", w.now, h.address)
		w.stop(h)
		w.after(w.between(10*time.Millisecond, w.pause), func() { w.start(h) })
		return
	}
	for _, r := range out.Replies {
		w.judge.answered(w, h, r)
	}
	if len(h.records) > 40 && w.random.IntN(4) == 0 {
		h.records = append(slices.Clone(h.records[w.random.IntN(len(h.records)):]), h.node.Checkpoint()...)
		if w.random.IntN(2) == 0 {
			h.records = h.node.Checkpoint()
		}
	}
}

func (w *world) transmit(e chain.Envelope) {
	if w.cut[[2]string{e.From.Address, e.To.Address}] || w.random.Float64() < w.loss {
		return
	}
	copies := 1
	if w.random.Float64() < w.repeat {
		copies = 2
	}
	for range copies {
		delay := w.between(time.Millisecond, 15*time.Millisecond)
		if w.random.Float64() < w.slow {
			delay += w.between(0, w.slowest)
		}
		w.after(delay, func() { w.deliver(e) })
	}
}

func (w *world) deliver(e chain.Envelope) {
	at := slices.IndexFunc(w.hosts, func(h *host) bool { return h.address == e.To.Address })
	if at < 0 {
		return
	}
	h := w.hosts[at]
	w.on(h, func() {
		w.traceMessage(e)
		w.carryOut(h, h.node.Step(w.now, e))
		w.schedule(h)
	})
}

func (w *world) traceMessage(e chain.Envelope) {
	if _, beat := e.Body.(chain.Heartbeat); !beat {
		w.trace("%v %s -> %s %T%+v", w.now, e.From.Address, e.To.Address, e.Body, e.Body)
	}
}

// schedule sets the host's timer to what its node wants.
func (w *world) schedule(h *host) {
	if h.node == nil {
		return
	}
	h.tick++
	tick := h.tick
	w.after(max(0, h.node.Deadline()-w.now)+w.between(0, 3*time.Millisecond), func() {
		w.on(h, func() {
			if h.tick == tick {
				w.carryOut(h, h.node.Tick(w.now))
				w.schedule(h)
			}
		})
	})
}

func (w *world) freeze(h *host, d time.Duration) {
	if h.node == nil || h.frozen {
		return
	}
	h.frozen = true
	process := h.process
	w.after(d, func() {
		if h.process == process {
			w.thaw(h)
		}
	})
}

func (w *world) thaw(h *host) {
	backlog := h.backlog
	h.frozen, h.backlog = false, nil
	for _, do := range backlog {
		do()
	}
}
