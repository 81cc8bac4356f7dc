package chain_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"emberquay/coordination/chain"
)

// simulation runs nodes under one seeded scheduler: the network drops, duplicates and reorders messages, disks keep what was
// synced, and processes crash at any point, freeze and lose their disks.
type simulation struct {
	random          *rand.Rand
	now             time.Duration
	events          events
	hosts           []*host
	seeds           []string
	blocked         map[[2]string]bool // from, to
	lossRate        float64
	duplicateRate   float64
	delayRate       float64 // probability that a message is delayed by up to maxDelay
	maxDelay        time.Duration
	crashRate       float64       // probability that a process crashes within a step
	maxRestartDelay time.Duration // after such a crash
	checker         checker
	trace           func(string, ...any)
	lastOrder       uint64
}

// host is a machine with its disk and its process.
type host struct {
	address         string
	bootstrap       bool
	removed         bool // permanently
	records         []chain.Record
	node            *chain.Node
	starts          int // incremented whenever the process starts or stops
	frozen          bool
	backlog         []func() // deferred actions of a frozen host
	timerGeneration uint64   // of the newest timer; older ones are void
	calls           map[int64]*clientCall
}

// event is an action scheduled for a later time.
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
	s := &simulation{
		random:  rand.New(rand.NewPCG(seed, 77)),
		blocked: map[[2]string]bool{},
		trace:   trace,
	}
	for i := range hosts {
		s.hosts = append(s.hosts, &host{address: fmt.Sprintf("host%d", i), bootstrap: true})
		if i < seeds {
			s.seeds = append(s.seeds, fmt.Sprintf("host%d", i))
		}
	}
	for _, h := range s.hosts {
		s.after(s.between(0, 300*time.Millisecond), func() { s.start(h) })
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.lastOrder++
	heap.Push(&s.events, event{s.now + d, s.lastOrder, do})
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// runFor runs all events that are due within d.
func (s *simulation) runFor(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
	s.now = end
}

// runOnHost runs an action in the current process of a host: later if it is frozen, never if it has ended.
func (s *simulation) runOnHost(h *host, do func()) {
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

func (s *simulation) start(h *host) {
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
		Bootstrap: h.bootstrap, Seeds: s.seedsFor(h),
		Random: [2]uint64{s.random.Uint64(), s.random.Uint64()},
	}
	node, out, err := chain.New(settings, &durable, &register{}, s.now)
	if err != nil {
		panic(err)
	}
	h.node, h.calls, h.frozen, h.backlog = node, map[int64]*clientCall{}, false, nil
	h.starts++
	s.trace("%v start %s as %d, %d records", s.now, h.address, node.Self().ID, len(h.records))
	s.handleOutput(h, out)
	s.schedule(h)
}

// seedsFor returns the configured seeds at the first start of a host, and three of the remaining hosts at later ones.
func (s *simulation) seedsFor(h *host) []string {
	if h.bootstrap && h.starts == 0 {
		return s.seeds
	}
	var seeds []string
	for _, other := range s.hosts {
		if !other.removed && len(seeds) < 3 {
			seeds = append(seeds, other.address)
		}
	}
	return seeds
}

func (s *simulation) stop(h *host) {
	h.node, h.calls, h.frozen, h.backlog = nil, nil, false, nil
	h.starts++
}

// wipe stops a host and empties its disk; the caller starts it again later.
func (s *simulation) wipe(h *host) {
	s.stop(h)
	h.records, h.bootstrap = nil, false
}

// handleOutput carries out the output of a node. If the process crashes in between, either only some of the records are
// synced, or all of them are and only some of the messages are sent.
func (s *simulation) handleOutput(h *host, out chain.Output) {
	before := len(h.records)
	h.records = append(h.records, out.Persist...)
	sends := len(out.Send)
	crashes := s.random.Float64() < s.crashRate
	if crashes {
		if kept := s.random.IntN(len(out.Persist) + 1); kept < len(out.Persist) {
			h.records = h.records[:before+kept]
			sends = 0
		} else {
			sends = s.random.IntN(sends + 1)
		}
	} else {
		for _, c := range out.Committed {
			s.checker.checkCommitted(s, h, c)
		}
	}
	for _, e := range out.Send[:sends] {
		s.transmit(e)
	}
	if crashes {
		s.trace("%v %s crashes within a step", s.now, h.address)
		s.stop(h)
		s.after(s.between(10*time.Millisecond, s.maxRestartDelay), func() { s.start(h) })
		return
	}
	for _, r := range out.Replies {
		s.checker.checkReply(s, h, r)
	}
	if len(h.records) > 40 && s.random.IntN(4) == 0 {
		h.records = append(slices.Clone(h.records[s.random.IntN(len(h.records)):]), h.node.Checkpoint()...)
		if s.random.IntN(2) == 0 {
			h.records = h.node.Checkpoint()
		}
	}
}

func (s *simulation) transmit(e chain.Envelope) {
	if s.blocked[[2]string{e.From.Address, e.To.Address}] || s.random.Float64() < s.lossRate {
		return
	}
	copies := 1
	if s.random.Float64() < s.duplicateRate {
		copies = 2
	}
	for range copies {
		delay := s.between(time.Millisecond, 15*time.Millisecond)
		if s.random.Float64() < s.delayRate {
			delay += s.between(0, s.maxDelay)
		}
		s.after(delay, func() { s.deliver(e) })
	}
}

func (s *simulation) deliver(e chain.Envelope) {
	i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.address == e.To.Address })
	if i < 0 {
		return
	}
	h := s.hosts[i]
	s.runOnHost(h, func() {
		s.traceMessage(e)
		s.handleOutput(h, h.node.Step(s.now, e))
		s.schedule(h)
	})
}

func (s *simulation) traceMessage(e chain.Envelope) {
	if _, beat := e.Body.(chain.Heartbeat); !beat {
		s.trace("%v %s -> %s %T%+v", s.now, e.From.Address, e.To.Address, e.Body, e.Body)
	}
}

// schedule sets the host's timer to its node's deadline.
func (s *simulation) schedule(h *host) {
	if h.node == nil {
		return
	}
	h.timerGeneration++
	tick := h.timerGeneration
	s.after(max(0, h.node.Deadline()-s.now)+s.between(0, 3*time.Millisecond), func() {
		s.runOnHost(h, func() {
			if h.timerGeneration == tick {
				s.handleOutput(h, h.node.Tick(s.now))
				s.schedule(h)
			}
		})
	})
}

func (s *simulation) freeze(h *host, d time.Duration) {
	if h.node == nil || h.frozen {
		return
	}
	h.frozen = true
	process := h.starts
	s.after(d, func() {
		if h.starts == process {
			s.unfreeze(h)
		}
	})
}

func (s *simulation) unfreeze(h *host) {
	backlog := h.backlog
	h.frozen, h.backlog = false, nil
	for _, do := range backlog {
		do()
	}
}
