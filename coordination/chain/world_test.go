package chain_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"emberquay/coordination/chain"
)

// simulation runs nodes under one seeded scheduler: a network that loses, repeats and reorders, disks that keep what was
// synced, processes that end at any point, freeze and lose their disks.
type simulation struct {
	random          *rand.Rand
	now             time.Duration
	events          events
	hosts           []*host
	seeds           []string
	blocked         map[[2]string]bool // from, to
	lossRate        float64
	duplicateRate   float64
	delayRate       float64 // chance that a message takes long
	maxDelay        time.Duration
	crashRate       float64       // chance that a process ends within a step
	maxRestartDelay time.Duration // until it starts again, at most
	checker         checker
	trace           func(string, ...any)
	lastOrder       uint64
}

// host is a machine and its disk.
type host struct {
	address         string
	bootstrap       bool
	removed         bool // for good
	records         []chain.Record
	node            *chain.Node
	starts          int // counts the starts
	frozen          bool
	backlog         []func() // of a frozen host
	timerGeneration uint64   // the newest timer
	calls           map[int64]*clientCall
}

// event is something that happens later.
type event struct {
	at     time.Duration
	order  uint64
	action func()
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

func newSimulation(seed uint64, hosts, seeds int, trace func(string, ...any)) *simulation {
	w := &simulation{
		random:  rand.New(rand.NewPCG(seed, 77)),
		blocked: map[[2]string]bool{},
		trace:   trace,
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

func (w *simulation) after(d time.Duration, do func()) {
	w.lastOrder++
	heap.Push(&w.events, event{w.now + d, w.lastOrder, do})
}

func (w *simulation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

// runFor lets time pass.
func (w *simulation) runFor(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.action()
	}
	w.now = end
}

// runOnHost does something in a host's process as it is now, later if it is frozen, never if it has ended.
func (w *simulation) runOnHost(h *host, do func()) {
	process := h.starts
	guarded := func() {
		if h.node != nil && h.starts == process {
			do()
		}
	}
	if h.frozen {
		h.backlog = append(h.backlog, guarded)
		return
	}
	guarded()
}

func (w *simulation) start(h *host) {
	if h.removed || h.node != nil {
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
	h.node, h.calls, h.frozen, h.backlog = node, map[int64]*clientCall{}, false, nil
	h.starts++
	w.trace("%v start %s as %d, %d records", w.now, h.address, node.Self().ID, len(h.records))
	w.handleOutput(h, out)
	w.schedule(h)
}

// seedsFor is the operator's list when a host first starts; three of those that are there, later on.
func (w *simulation) seedsFor(h *host) []string {
	if h.bootstrap && h.starts == 0 {
		return w.seeds
	}
	var seeds []string
	for _, other := range w.hosts {
		if !other.removed && len(seeds) < 3 {
			seeds = append(seeds, other.address)
		}
	}
	return seeds
}

func (w *simulation) stop(h *host) {
	h.node, h.calls, h.frozen, h.backlog = nil, nil, false, nil
	h.starts++
}

// wipe takes a host's disk; it starts again later.
func (w *simulation) wipe(h *host) {
	w.stop(h)
	h.records, h.bootstrap = nil, false
}

// handleOutput does what a node asks for, unless the process ends within it: then a part of the records was synced, or all and
// a part of the messages left.
func (w *simulation) handleOutput(h *host, out chain.Output) {
	before := len(h.records)
	h.records = append(h.records, out.Persist...)
	sends := len(out.Send)
	crashes := w.random.Float64() < w.crashRate
	if crashes {
		if kept := w.random.IntN(len(out.Persist) + 1); kept < len(out.Persist) {
			h.records = h.records[:before+kept]
			sends = 0
		} else {
			sends = w.random.IntN(sends + 1)
		}
	} else {
		for _, c := range out.Committed {
			w.checker.checkCommitted(w, h, c)
		}
	}
	for _, e := range out.Send[:sends] {
		w.transmit(e)
	}
	if crashes {
		w.trace("%v %s ends within a step", w.now, h.address)
		w.stop(h)
		w.after(w.between(10*time.Millisecond, w.maxRestartDelay), func() { w.start(h) })
		return
	}
	for _, r := range out.Replies {
		w.checker.checkReply(w, h, r)
	}
	if len(h.records) > 40 && w.random.IntN(4) == 0 {
		h.records = append(slices.Clone(h.records[w.random.IntN(len(h.records)):]), h.node.Checkpoint()...)
		if w.random.IntN(2) == 0 {
			h.records = h.node.Checkpoint()
		}
	}
}

func (w *simulation) transmit(e chain.Envelope) {
	if w.blocked[[2]string{e.From.Address, e.To.Address}] || w.random.Float64() < w.lossRate {
		return
	}
	copies := 1
	if w.random.Float64() < w.duplicateRate {
		copies = 2
	}
	for range copies {
		delay := w.between(time.Millisecond, 15*time.Millisecond)
		if w.random.Float64() < w.delayRate {
			delay += w.between(0, w.maxDelay)
		}
		w.after(delay, func() { w.deliver(e) })
	}
}

func (w *simulation) deliver(e chain.Envelope) {
	at := slices.IndexFunc(w.hosts, func(h *host) bool { return h.address == e.To.Address })
	if at < 0 {
		return
	}
	h := w.hosts[at]
	w.runOnHost(h, func() {
		w.traceMessage(e)
		w.handleOutput(h, h.node.Step(w.now, e))
		w.schedule(h)
	})
}

func (w *simulation) traceMessage(e chain.Envelope) {
	if _, beat := e.Body.(chain.Heartbeat); !beat {
		w.trace("%v %s -> %s %T%+v", w.now, e.From.Address, e.To.Address, e.Body, e.Body)
	}
}

// schedule sets the host's timer to what its node wants.
func (w *simulation) schedule(h *host) {
	if h.node == nil {
		return
	}
	h.timerGeneration++
	tick := h.timerGeneration
	w.after(max(0, h.node.Deadline()-w.now)+w.between(0, 3*time.Millisecond), func() {
		w.runOnHost(h, func() {
			if h.timerGeneration == tick {
				w.handleOutput(h, h.node.Tick(w.now))
				w.schedule(h)
			}
		})
	})
}

func (w *simulation) freeze(h *host, d time.Duration) {
	if h.node == nil || h.frozen {
		return
	}
	h.frozen = true
	process := h.starts
	w.after(d, func() {
		if h.starts == process {
			w.unfreeze(h)
		}
	})
}

func (w *simulation) unfreeze(h *host) {
	backlog := h.backlog
	h.frozen, h.backlog = false, nil
	for _, do := range backlog {
		do()
	}
}
