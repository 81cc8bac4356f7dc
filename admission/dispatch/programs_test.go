package dispatch

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	"emberquay/admission"
)

// A model of agent programs that several proxies serve from a pool of engines whose memory and reading are scarce:
// clients that give up what is silent, send turns again and begin programs at a rate that nothing slows, and losses of
// power by which all proxies forget what they knew. It shows whether an overload ends with its cause.

const (
	programStep      = 6730 * time.Microsecond // of an engine, without requests
	programPerSlot   = 22 * time.Microsecond
	programPerMs     = 30.6 // prompt tokens read in a millisecond
	programPiece     = 1024 // tokens read in one step at most
	programFirst     = 12 * time.Millisecond
	programMemory    = 153_000 // tokens that an engine keeps, running and cached
	programSlots     = 16
	programQueue     = 48
	programShared    = 2560 // tokens of the part that programs of a kind share
	programWay       = time.Millisecond
	programObjective = 250 * time.Millisecond
	programDeadline  = 5 * time.Second
	programSilence   = 2 * time.Second // after which a client gives a stream up
	programAim       = 2.1             // times the time on idle engines
	programReports   = 250 * time.Millisecond
	programLag       = 300 * time.Millisecond
	programResends   = 2
	programLate      = 0.3 // of the worth, within twice the aim
)

// load is an overload as a test describes it.
type load struct {
	proxies, engines int
	perSecond        float64       // programs that begin
	span             time.Duration // in which they begin
	burst            float64       // times the rate between burstFrom and burstTo; 0: none
	burstFrom        time.Duration
	burstTo          time.Duration
	removed          int           // engines that are taken away
	removedAt        time.Duration // the first of them, the others a second apart each
	zones            int           // in which proxies and engines stand, reports stay in each; 0: one
	dark             []time.Duration
	darkFor          time.Duration
}

// programs is a run of the model.
type programs struct {
	load
	now     Instant
	seq     int
	events  simQueue
	chance  admission.PCG
	engines []*programEngine
	proxies []*programProxy
	begun   int
	ended   []programEnd
	read    int
}

type programEnd struct {
	begun Instant
	worth float64
	full  float64 // worth in time
	turn  int     // that it got to
	turns int
}

func (m *programs) after(span time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, simEvent{m.now.Add(span), m.seq, do})
}

// programCall is one call at an engine.
type programCall struct {
	simCall
	prompt int
	gone   bool // its connection is closed
}

func (c *programCall) memory() int { return c.prompt + c.tokens }

type programEngine struct {
	m        *programs
	id       InstanceID
	zone     string
	running  []*programCall
	queued   []*programCall
	cache    prefixCache
	busy     bool
	draining bool
}

func (e *programEngine) take(c *programCall) bool {
	if len(e.queued) >= programQueue {
		return false
	}
	e.queued = append(e.queued, c)
	if !e.busy {
		e.busy = true
		e.step()
	}
	return true
}

func (e *programEngine) used() int {
	used := 0
	for _, c := range e.running {
		used += c.memory()
	}
	return used
}

// admit begins what fits, in order.
func (e *programEngine) admit() {
	isGone := func(c *programCall) bool { return c.gone }
	e.running = slices.DeleteFunc(e.running, isGone)
	e.queued = slices.DeleteFunc(e.queued, isGone)
	used := e.used()
	for len(e.running) < programSlots && len(e.queued) > 0 {
		c := e.queued[0]
		if used+c.memory() > programMemory {
			break
		}
		e.queued = e.queued[1:]
		c.unread = c.prompt - e.cache.kept(e.m.now, c.prefix)
		e.m.read += c.unread
		e.running = append(e.running, c)
		used += c.memory()
	}
	e.cache.capacity = max(0, programMemory-used)
	for e.cache.tokens > e.cache.capacity && e.cache.newest != nil {
		e.cache.drop(e.cache.newest.newer)
	}
}

func (e *programEngine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	piece := programPiece
	for _, c := range e.running {
		piece = c.readFrom(piece)
	}
	reading := time.Duration(float64(programPiece-piece) / programPerMs * float64(time.Millisecond))
	e.m.after(programStep+time.Duration(len(e.running))*programPerSlot+reading, e.stepped)
}

func (e *programEngine) stepped() {
	for _, c := range slices.Clone(e.running) {
		if c.unread > 0 || c.gone {
			continue
		}
		if !c.started {
			c.started = true
			if e.cache.parts == nil {
				e.cache.parts = map[uint64]*cachedPart{}
			}
			e.cache.addFrom(e.m.now, c.prefix, 0)
			e.m.after(programWay, c.first)
		}
		if c.tokens--; c.tokens <= 0 {
			e.running = slices.DeleteFunc(e.running, func(o *programCall) bool { return o == c })
			e.m.after(programWay, c.done)
		}
	}
	e.step()
}

// programProxy is one proxy; its dispatcher is a new one after a loss of power.
type programProxy struct {
	m     *programs
	zone  string
	d     *Dispatcher
	life  int
	tries map[RequestID]*programTry
}

// agent is one program.
type agent struct {
	id       string
	priority int
	begun    Instant
	aim      time.Duration
	turn     int
	turns    []agentTurn
	resends  int
	home     *programProxy // where its client's connections lead as a rule
	parts    []PrefixPart
}

type agentTurn struct{ input, output int }

// programTry is one try of a client for a turn.
type programTry struct {
	program *agent
	id      RequestID
	again   bool // it came back after a refusal
	began   Instant
	sent    Instant
	started bool
	over    bool
	call    *programCall
	send    Send
}

func (p *programProxy) carry(e Effects) {
	sends, refusals := slices.Clone(e.Sends), slices.Clone(e.Refusals)
	if e.WakeAt > 0 {
		d, life := p.d, p.life
		p.m.after(e.WakeAt.Sub(p.m.now), func() {
			if p.life == life {
				p.carry(d.Tick(p.m.now))
			}
		})
	}
	for _, r := range refusals {
		t := p.tries[r.Request]
		delete(p.tries, r.Request)
		p.m.refused(t, r)
	}
	for _, send := range sends {
		p.send(p.tries[send.Request], send)
	}
}

// answered tells the dispatcher of an end unless the proxy has lost it meanwhile.
func (p *programProxy) answered(life int, send Send, o Outcome) {
	if p.life == life {
		p.carry(p.d.AttemptEnded(p.m.now, send.Request, send.Attempt, o))
	}
}

func (p *programProxy) send(t *programTry, send Send) {
	m, life := p.m, p.life
	t.sent, t.send = m.now, send
	turn := t.program.turns[t.program.turn]
	c := &programCall{simCall: simCall{prefix: t.program.parts, tokens: turn.output}}
	for _, part := range c.prefix {
		c.prompt += part.Tokens
	}
	t.call = c
	var first time.Duration
	c.first = func() {
		if p.life == life && !t.over {
			first, t.started = m.now.Sub(t.sent), true
			p.carry(p.d.ResponseStarted(m.now, send.Request))
		}
	}
	c.done = func() {
		if p.life != life || t.over {
			return
		}
		t.over = true
		delete(p.tries, t.id)
		p.answered(life, send, Outcome{Kind: Success, TimeToFirstByte: first, Duration: m.now.Sub(t.sent)})
		m.served(t.program)
	}
	m.after(programWay, func() {
		e := m.engine(send.Instance)
		switch {
		case e == nil:
			m.after(programWay, func() { p.answered(life, send, Outcome{Kind: NotConnected}) })
		case !e.take(c):
			m.after(programWay, func() { p.answered(life, send, Outcome{Kind: Full, RetryAfter: 200 * time.Millisecond}) })
		}
	})
}

func (m *programs) engine(id InstanceID) *programEngine {
	for _, e := range m.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// try sends the present turn of a program to some proxy.
func (m *programs) try(a *agent, again bool) {
	p := a.home
	if again || m.chance.Below(8) == 0 {
		p = m.sameZone(p)
	}
	if p.d == nil { // dark: the client gives the connection a second
		m.after(time.Second, func() { m.failed(a) })
		return
	}
	m.seq++
	t := &programTry{program: a, id: RequestID(fmt.Sprint(m.seq)), again: again, began: m.now}
	p.tries[t.id] = t
	r := Request{ID: t.id, Service: pool, Route: fmt.Sprint(a.priority), Kind: Streaming, MaxAttempts: 1, Priority: a.priority,
		Deadline: m.now.Add(programDeadline), Timeout: programDeadline, TargetLatency: programObjective, Prefix: a.parts,
		MaxOutputTokens: 3 * a.turns[a.turn].output, Program: a.id, ProgramStarted: a.turn > 0 && a.priority > 0, IsTurn: true,
		ProgramTimeLeft: max(time.Millisecond, a.begun.Add(a.aim).Sub(m.now))}
	for _, part := range a.parts {
		r.InputTokens += part.Tokens
	}
	life := p.life
	m.after(programSilence, func() {
		if !t.over && !t.started && p.life == life {
			p.abandon(t)
		}
	})
	m.after(programDeadline, func() {
		if !t.over && p.life == life {
			p.abandon(t)
		}
	})
	p.carry(p.d.Submit(m.now, r))
}

// sameZone gives some proxy of the zone of one.
func (m *programs) sameZone(as *programProxy) *programProxy {
	for {
		if p := m.proxies[m.chance.Below(len(m.proxies))]; p.zone == as.zone {
			return p
		}
	}
}

// abandon is a client that closes its connection.
func (p *programProxy) abandon(t *programTry) {
	t.over = true
	delete(p.tries, t.id)
	p.carry(p.d.Cancel(p.m.now, t.id))
	if t.call != nil {
		t.call.gone = true
		p.answered(p.life, t.send, Outcome{Kind: Cancelled, Duration: p.m.now.Sub(t.sent)})
	}
	p.m.failed(t.program)
}

// refused is a client that was told to come back; it does so once.
func (m *programs) refused(t *programTry, r Refusal) {
	t.over = true
	if t.again || r.Status != StatusServiceUnavailable {
		m.failed(t.program)
		return
	}
	wait := min(r.RetryAfter, (programDeadline-m.now.Sub(t.began))/3)
	m.after(max(wait, 10*time.Millisecond), func() { m.try(t.program, true) })
}

// failed is a turn that failed: the program sends it again, twice at most.
func (m *programs) failed(a *agent) {
	if a.resends == programResends {
		m.end(a, 0)
		return
	}
	a.resends++
	m.after(time.Duration(100+m.chance.Below(300))*time.Millisecond, func() { m.try(a, false) })
}

// served goes on with the next turn after a pause.
func (m *programs) served(a *agent) {
	a.resends = 0
	a.turn++
	if a.turn == len(a.turns) {
		worth, took := 0.0, m.now.Sub(a.begun)
		switch {
		case took <= a.aim:
			worth = 1
		case took <= 2*a.aim:
			worth = programLate
		}
		m.end(a, worth)
		return
	}
	a.parts = append(slices.Clone(a.parts), PrefixPart{ID: uint64(m.chance.Next()) | 1<<40,
		Tokens: 3*a.turns[a.turn-1].output + a.turns[a.turn].input})
	m.after(time.Duration(50+m.chance.Below(250))*time.Millisecond, func() { m.try(a, false) })
}

func (m *programs) end(a *agent, worth float64) {
	full := float64(len(a.turns))
	m.ended = append(m.ended, programEnd{a.begun, worth * full, full, a.turn, len(a.turns)})
}

// begin starts a program of one of two kinds: some turns with much input, or many with little.
func (m *programs) begin() {
	m.begun++
	a := &agent{id: fmt.Sprint("p", m.begun), begun: m.now, priority: 1, home: m.proxies[m.chance.Below(len(m.proxies))]}
	turns, input := 2+m.chance.Below(5), 1030
	if m.chance.Below(100) < 28 {
		turns, input, a.priority = 6+m.chance.Below(11), 514, 0
	}
	idle := time.Duration(0)
	for range turns {
		t := agentTurn{input: input/2 + m.chance.Below(input), output: 4 + m.chance.Below(15)}
		t.output *= 3
		a.turns = append(a.turns, t)
		idle += 31*time.Millisecond + programFirst + time.Duration(float64(t.input)/programPerMs*float64(time.Millisecond)) +
			time.Duration(t.output)*programStep + 175*time.Millisecond
	}
	a.aim = time.Duration(programAim*float64(idle)) + programObjective
	kind := uint64(1 + 3*a.priority + m.chance.Below(3))
	a.parts = []PrefixPart{{ID: kind, Tokens: programShared}, {ID: uint64(m.chance.Next()) | 1<<40, Tokens: a.turns[0].input}}
	m.try(a, false)
}

func (m *programs) arrivals() {
	if m.now >= start.Add(m.span) {
		return
	}
	rate := m.perSecond
	if since := m.now.Sub(start); m.burst > 0 && since >= m.burstFrom && since < m.burstTo {
		rate *= m.burst
	}
	m.begin()
	m.after(time.Duration(2*m.chance.Unit()/rate*float64(time.Second)), m.arrivals)
}

func (m *programs) list() []Receiver {
	var list []Receiver
	for _, e := range m.engines {
		r := engine(e.id, func(r *Receiver) { r.Slots, r.Draining, r.Zone = programSlots, e.draining, e.zone })
		r.Engine.KVCapacityTokens = programMemory
		list = append(list, r)
	}
	return list
}

func (m *programs) listAll() {
	list := m.list()
	for _, p := range m.proxies {
		if p.d != nil {
			p.carry(p.d.SetReceivers(m.now, list))
		}
	}
}

func (m *programs) reports() {
	for _, e := range m.engines {
		told := Report{Running: len(e.running), Queued: len(e.queued), KVUsedTokens: e.used(), KVTotalTokens: programMemory, Age: programLag}
		m.after(programLag, func() {
			for _, p := range m.proxies {
				if p.d != nil && p.zone == e.zone {
					p.carry(p.d.ApplyReport(m.now, e.id, told))
				}
			}
		})
	}
	if m.now < start.Add(m.span+30*time.Second) {
		m.after(programReports, m.reports)
	}
}

// goDark loses all proxies; what they had out goes on at the engines, and their clients hear nothing.
func (m *programs) goDark() {
	for _, p := range m.proxies {
		p.d = nil
		p.life++
		var lost []*programTry
		for _, t := range p.tries {
			lost = append(lost, t)
		}
		slices.SortFunc(lost, func(a, b *programTry) int { return strings.Compare(string(a.id), string(b.id)) })
		p.tries = map[RequestID]*programTry{}
		for _, t := range lost {
			t.over = true
			m.after(m.darkFor, func() { m.failed(t.program) })
		}
	}
	m.after(m.darkFor, func() {
		for i, p := range m.proxies {
			p.d = New(uint64(m.seq+i), p.zone)
		}
		m.listAll()
	})
}

// remove drains an engine, which leaves when it has ended its work.
func (m *programs) remove() {
	for _, e := range m.engines {
		if !e.draining {
			e.draining = true
			break
		}
	}
	m.listAll()
	m.after(5*time.Second, func() {
		m.engines = slices.DeleteFunc(m.engines, func(e *programEngine) bool { return e.draining && !e.busy })
		m.listAll()
	})
}

func play(seed uint64, l load) *programs {
	m := newPrograms(seed, l)
	m.play()
	return m
}

func newPrograms(seed uint64, l load) *programs {
	m := &programs{load: l, now: start, chance: admission.NewPCG(seed)}
	zoneOf := func(i, of int) string { return fmt.Sprint("zone-", i*max(1, l.zones)/of) }
	for i := range l.engines {
		m.engines = append(m.engines, &programEngine{m: m, zone: zoneOf(i, l.engines), id: InstanceID(fmt.Sprint("e", i))})
	}
	for i := range l.proxies {
		zone := zoneOf(i, l.proxies)
		m.proxies = append(m.proxies, &programProxy{m: m, zone: zone, d: New(seed+uint64(i), zone), tries: map[RequestID]*programTry{}})
	}
	m.listAll()
	m.reports()
	m.arrivals()
	for _, at := range l.dark {
		m.after(at, m.goDark)
	}
	for i := range l.removed {
		m.after(l.removedAt+time.Duration(i)*time.Second, m.remove)
	}
	return m
}

func (m *programs) play() {
	end := start.Add(m.span + 20*time.Second)
	for len(m.events) > 0 && m.events[0].at <= end {
		e := heap.Pop(&m.events).(simEvent)
		m.now = e.at
		e.do()
	}
}

// worth is the part earned of what the programs owed that began in a span; those that never ended earned nothing.
func (m *programs) worth(from, to time.Duration) float64 {
	earned, owed := 0.0, 0.0
	for _, e := range m.ended {
		if e.begun >= start.Add(from) && e.begun < start.Add(to) {
			earned += e.worth
			owed += e.full
		}
	}
	return earned / max(1, owed)
}

// perSecondWorth is what was earned a second by those that began in a span.
func (m *programs) perSecondWorth(from, to time.Duration) float64 {
	earned := 0.0
	for _, e := range m.ended {
		if e.begun >= start.Add(from) && e.begun < start.Add(to) {
			earned += e.worth
		}
	}
	return earned / (to - from).Seconds()
}
