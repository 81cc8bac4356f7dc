package dispatch

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"emberquay/admission"
)

// A small model of several proxies that share a pool of model engines. The engines batch: a step gives each
// running request a token, takes longer the more run, and reads a piece of the prompts that wait first. It is
// there to see that the estimates of choice.go lead the right way, not to foretell a deployment.

const (
	simStep       = 6 * time.Millisecond
	simPerRunning = 25 * time.Microsecond
	simPerMs      = 40.0 // prompt tokens
	simPiece      = 1024
	simWay        = time.Millisecond
	simReports    = 200 * time.Millisecond
	simReportLag  = 100 * time.Millisecond
	simMemory     = 200_000 // tokens of prompts that an engine keeps
)

type simEvent struct {
	at  Instant
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(e any)   { *q = append(*q, e.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type simulation struct {
	now     Instant
	seq     int
	events  simQueue
	chance  admission.PCG
	engines map[InstanceID]*simEngine
	ids     []InstanceID
	proxies []*simProxy
	known   bool // the dispatchers are told of engines and prompts
	result  simResult
}

type simResult struct {
	served, owed    map[int]int // by priority
	refused, late   int         // late: refused after it was held for over a quarter of its objective
	full            int
	took            []time.Duration
	first           []time.Duration
	prefilled       int
	inTime          int
	busiest, idlest int
}

func (s *simulation) after(span time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(span), s.seq, do})
}

func (s *simulation) run(span time.Duration) {
	end := s.now.Add(span)
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

type simCall struct {
	prefix  []PrefixPart
	unread  int
	tokens  int
	started bool
	first   func()
	done    func()
}

// readFrom reads prompt tokens of what is left of a step's piece, and gives what is left after it.
func (c *simCall) readFrom(piece int) int {
	read := min(piece, c.unread)
	c.unread -= read
	return piece - read
}

type simEngine struct {
	s       *simulation
	id      InstanceID
	slots   int
	running []*simCall
	queued  []*simCall
	cache   prefixCache
	busy    bool
	served  int
}

func (e *simEngine) take(c *simCall) bool {
	if len(e.queued) >= 2*e.slots {
		return false
	}
	e.queued = append(e.queued, c)
	if !e.busy {
		e.busy = true
		e.step()
	}
	return true
}

func (e *simEngine) step() {
	for len(e.running) < e.slots && len(e.queued) > 0 {
		c := e.queued[0]
		e.queued = e.queued[1:]
		whole := 0
		for _, p := range c.prefix {
			whole += p.Tokens
		}
		c.unread = whole - e.cache.kept(e.s.now, c.prefix)
		e.s.result.prefilled += c.unread
		e.running = append(e.running, c)
	}
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	piece := simPiece
	for _, c := range e.running {
		piece = c.readFrom(piece)
	}
	reading := time.Duration(float64(simPiece-piece) / simPerMs * float64(time.Millisecond))
	e.s.after(simStep+time.Duration(len(e.running))*simPerRunning+reading, e.stepped)
}

func (e *simEngine) stepped() {
	for _, c := range slices.Clone(e.running) {
		if c.unread > 0 {
			continue
		}
		if !c.started {
			c.started = true
			e.cache.add(e.s.now, c.prefix, simMemory)
			e.s.after(simWay, c.first)
		}
		if c.tokens--; c.tokens <= 0 {
			e.running = slices.DeleteFunc(e.running, func(o *simCall) bool { return o == c })
			e.served++
			e.s.after(simWay, c.done)
		}
	}
	e.step()
}

type simProxy struct {
	s       *simulation
	d       *Dispatcher
	arrived map[RequestID]*simTurn
}

type simTurn struct {
	session  int
	turn     int
	turns    int
	priority int
	parts    []PrefixPart
	tokens   int
	at, sent Instant
	offered  bool
}

const simObjective = 200 * time.Millisecond

func (p *simProxy) tick(at Instant) {
	p.s.after(at.Sub(p.s.now), func() { p.carry(p.d.Tick(p.s.now)) })
}

func (p *simProxy) carry(e Effects) {
	if e.WakeAt > 0 {
		p.tick(e.WakeAt)
	}
	for _, r := range slices.Clone(e.Refusals) {
		t := p.arrived[r.Request]
		p.s.result.refused++
		if !t.offered && p.s.now.Sub(t.at) > simObjective/4 {
			p.s.result.late++
		}
	}
	for _, send := range slices.Clone(e.Sends) {
		p.send(send)
	}
}

func (p *simProxy) send(send Send) {
	t, e := p.arrived[send.Request], p.s.engines[send.Instance]
	t.sent, t.offered = p.s.now, true
	var first time.Duration
	c := &simCall{prefix: t.parts, tokens: t.tokens}
	c.first = func() {
		first = p.s.now.Sub(t.sent)
		p.s.result.first = append(p.s.result.first, p.s.now.Sub(t.at))
		if p.s.now.Sub(t.at) <= simObjective {
			p.s.result.inTime++
		}
		p.carry(p.d.ResponseStarted(p.s.now, send.Request))
	}
	c.done = func() {
		p.s.result.served[t.priority]++
		p.s.result.took = append(p.s.result.took, p.s.now.Sub(t.at))
		o := Outcome{Kind: Success, TimeToFirstByte: first, Duration: p.s.now.Sub(t.sent)}
		p.carry(p.d.AttemptEnded(p.s.now, send.Request, send.Attempt, o))
		p.s.next(p, t)
	}
	p.s.after(simWay, func() {
		if !e.take(c) {
			p.s.result.full++
			p.s.after(simWay, func() {
				p.carry(p.d.AttemptEnded(p.s.now, send.Request, send.Attempt, Outcome{Kind: Full, RetryAfter: 200 * time.Millisecond}))
			})
		}
	})
}

// next begins a session's next turn after a pause.
func (s *simulation) next(p *simProxy, t *simTurn) {
	if t.turn+1 >= t.turns {
		return
	}
	n := *t
	n.turn++
	n.parts = append(slices.Clone(t.parts), PrefixPart{ID: uint64(1000*n.session + n.turn + 10), Tokens: 200 + s.chance.Below(800)})
	n.offered = false
	s.after(time.Duration(50+s.chance.Below(200))*time.Millisecond, func() { s.turn(p, &n) })
}

func (s *simulation) turn(p *simProxy, t *simTurn) {
	t.at, t.tokens = s.now, 10+s.chance.Below(70)
	s.result.owed[t.priority]++
	id := RequestID(fmt.Sprint(t.session, ".", t.turn))
	p.arrived[id] = t
	r := Request{ID: id, Service: pool, Kind: Streaming, MaxAttempts: 1, Priority: t.priority,
		Deadline: s.now.Add(5 * time.Second), TargetLatency: simObjective, ProgramStarted: t.turn > 0}
	if s.known {
		r.Prefix, r.MaxOutputTokens = t.parts, t.tokens
		for _, part := range t.parts {
			r.InputTokens += part.Tokens
		}
	}
	p.carry(p.d.Submit(s.now, r))
}

// sessions begin at a rate a second for all proxies together, for a span.
func (s *simulation) sessions(rate float64, span time.Duration) {
	end, session := s.now.Add(span), 0
	var begin func()
	begin = func() {
		if s.now >= end {
			return
		}
		session++
		kind := s.chance.Below(4)
		t := &simTurn{session: session, turns: 2 + s.chance.Below(5), priority: s.chance.Below(2),
			parts: []PrefixPart{{ID: uint64(kind + 1), Tokens: 2500}, {ID: uint64(1000 * session), Tokens: 200 + s.chance.Below(800)}}}
		s.turn(s.proxies[s.chance.Below(len(s.proxies))], t)
		s.after(time.Duration(2*s.chance.Unit()/rate*float64(time.Second)), begin)
	}
	begin()
}

func (s *simulation) reports() {
	for _, id := range s.ids {
		e := s.engines[id]
		told := Report{Running: len(e.running), Queued: len(e.queued), KVUsedTokens: 4000 * len(e.running), KVTotalTokens: simMemory,
			Age: simReportLag}
		s.after(simReportLag, func() {
			for _, p := range s.proxies {
				p.carry(p.d.ApplyReport(s.now, id, told))
			}
		})
	}
	s.after(simReports, s.reports)
}

func simulate(known bool, proxies, engines int, rate float64) simResult {
	s := &simulation{now: start, chance: admission.NewPCG(5), engines: map[InstanceID]*simEngine{}, known: known,
		result: simResult{served: map[int]int{}, owed: map[int]int{}}}
	var list []Receiver
	for i := range engines {
		r := engine(InstanceID(fmt.Sprint("e", i)))
		s.engines[r.ID] = &simEngine{s: s, id: r.ID, slots: r.Slots}
		s.ids = append(s.ids, r.ID)
		if !known {
			r.Engine = nil
		}
		list = append(list, r)
	}
	for i := range proxies {
		p := &simProxy{s: s, d: New(uint64(i), "here"), arrived: map[RequestID]*simTurn{}}
		s.proxies = append(s.proxies, p)
		p.carry(p.d.SetReceivers(s.now, list))
	}
	s.reports()
	s.sessions(rate, 20*time.Second)
	s.run(40 * time.Second)
	s.result.busiest, s.result.idlest = 0, 1<<30
	for _, e := range s.engines {
		s.result.busiest, s.result.idlest = max(s.result.busiest, e.served), min(s.result.idlest, e.served)
	}
	return s.result
}

func mean(all []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range all {
		sum += d
	}
	return sum / time.Duration(max(1, len(all)))
}

func (r simResult) String() string {
	owed := r.owed[0] + r.owed[1]
	slices.Sort(r.first)
	return fmt.Sprintf("owed %d served %v refused %d (late %d) full %d in time %.3f first %v p95 %v whole %v read %d served by one %d to %d",
		owed, r.served, r.refused, r.late, r.full, float64(r.inTime)/float64(owed), mean(r.first).Round(time.Millisecond),
		r.first[len(r.first)*95/100].Round(time.Millisecond), mean(r.took).Round(time.Millisecond), r.prefilled, r.idlest, r.busiest)
}

// share is the part of a priority's turns that were served.
func (r simResult) share(priority int) float64 {
	return float64(r.served[priority]) / float64(max(1, r.owed[priority]))
}

// TestSessionsStayWhereTheirPromptsAreKept: against choice by load alone, at loads that the pool bears,
// prompts are read anew less often, and no turn takes longer for it.
func TestSessionsStayWhereTheirPromptsAreKept(t *testing.T) {
	for _, rate := range []float64{10, 25, 50, 80} {
		loads, all := simulate(false, 10, 12, rate), simulate(true, 10, 12, rate)
		t.Log(rate, "by load:", loads)
		t.Log(rate, "by cost:", all)
		each := func(r simResult) float64 { return float64(r.prefilled) / float64(r.owed[0]+r.owed[1]) }
		switch {
		case each(all) > 0.8*each(loads):
			t.Errorf("at %v sessions a second a turn had %.0f tokens read, %.0f by load alone", rate, each(all), each(loads))
		case mean(all.took) > mean(loads.took) || mean(all.first) > mean(loads.first):
			t.Errorf("at %v sessions a second a turn took %v, %v by load alone", rate, mean(all.took), mean(loads.took))
		case all.refused > 0:
			t.Errorf("at %v sessions a second %d turns were refused", rate, all.refused)
		}
	}
}

// TestMoreThanThePoolBears: what is refused is refused at once, and the urgent are not served less often.
func TestMoreThanThePoolBears(t *testing.T) {
	for _, rate := range []float64{120, 200, 400} {
		r := simulate(true, 10, 12, rate)
		t.Log(rate, r, r.share(0), r.share(1))
		owed := r.owed[0] + r.owed[1]
		switch {
		case r.refused == 0:
			t.Errorf("at %v sessions a second nothing was refused", rate)
		case r.late*100 > owed:
			t.Errorf("at %v sessions a second %d of %d turns were refused after they had been held", rate, r.late, owed)
		case r.share(0) < r.share(1)-0.05:
			t.Errorf("at %v sessions a second %.2f of the urgent and %.2f of the others were served", rate, r.share(0), r.share(1))
		}
	}
}
