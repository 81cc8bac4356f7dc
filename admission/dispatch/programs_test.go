package dispatch

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	"emberquay/admission"
)

// A simulation of agent programs that several proxies serve from a pool of engines with scarce memory and prefill
// capacity: clients cancel turns without a response, send them again and start programs at a rate independent of the load;
// power losses erase the state of all proxies. It shows whether an overload ends with its cause.

const (
	programStep               = 6730 * time.Microsecond // of an engine without running requests
	programStepPerRunning     = 22 * time.Microsecond
	programPrefillTokensPerMs = 30.6
	programPrefillChunkTokens = 1024 // at most in one step
	programFirstToken         = 12 * time.Millisecond
	programMemoryTokens       = 153_000 // of an engine, running and cached
	programSlots              = 16
	programQueueLength        = 48
	programSharedTokens       = 2560 // prompt part shared by the programs of a kind
	programNetworkDelay       = time.Millisecond
	programObjective          = 250 * time.Millisecond
	programDeadline           = 5 * time.Second
	programFirstByteTimeout   = 2 * time.Second // after which a client cancels a turn
	programTargetFactor       = 2.1             // of the program's duration on idle engines
	programReportInterval     = 250 * time.Millisecond
	programReportLag          = 300 * time.Millisecond
	programMaxResends         = 2
	programLateWorth          = 0.3 // of the full worth, within twice the target
)

// workload describes the load of a test and the faults during it.
type workload struct {
	proxies, engines  int
	programsPerSecond float64       // start rate
	span              time.Duration // in which programs start
	burstFactor       float64       // of the rate from burstFrom to burstTo; 0: no burst
	burstFrom         time.Duration
	burstTo           time.Duration
	removedEngines    int           // engines that are drained
	removeFrom        time.Duration // when the first is drained; the others follow at intervals of a second
	zones             int           // of proxies and engines, reports stay within each; 0: one
	powerLosses       []time.Duration
	outage            time.Duration
}

// programModel is the state of a run.
type programModel struct {
	workload
	now             Instant
	seq             int
	events          simQueue
	random          admission.PCG
	engines         []*programEngine
	proxies         []*programProxy
	startCount      int
	ended           []endedProgram
	prefilledTokens int
}

type endedProgram struct {
	startedAt      Instant
	worth          float64
	fullWorth      float64 // if it had ended in time
	completedTurns int
	turns          int
}

func (m *programModel) after(span time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, simEvent{m.now.Add(span), m.seq, do})
}

// programCall is a call at an engine.
type programCall struct {
	simCall
	promptTokens int
	cancelled    bool // the proxy closed the connection
}

func (c *programCall) memoryTokens() int { return c.promptTokens + c.tokensLeft }

type programEngine struct {
	m        *programModel
	id       InstanceID
	zone     string
	running  []*programCall
	queued   []*programCall
	cache    prefixCache
	busy     bool
	draining bool
}

func (e *programEngine) enqueue(c *programCall) bool {
	if len(e.queued) >= programQueueLength {
		return false
	}
	e.queued = append(e.queued, c)
	if !e.busy {
		e.busy = true
		e.step()
	}
	return true
}

func (e *programEngine) usedTokens() int {
	used := 0
	for _, c := range e.running {
		used += c.memoryTokens()
	}
	return used
}

// admit starts queued calls in order while memory and slots suffice.
func (e *programEngine) admit() {
	isCancelled := func(c *programCall) bool { return c.cancelled }
	e.running = slices.DeleteFunc(e.running, isCancelled)
	e.queued = slices.DeleteFunc(e.queued, isCancelled)
	usedTokens := e.usedTokens()
	for len(e.running) < programSlots && len(e.queued) > 0 {
		c := e.queued[0]
		if usedTokens+c.memoryTokens() > programMemoryTokens {
			break
		}
		e.queued = e.queued[1:]
		c.uncachedTokens = c.promptTokens - e.cache.cachedTokens(e.m.now, c.prefix)
		e.m.prefilledTokens += c.uncachedTokens
		e.running = append(e.running, c)
		usedTokens += c.memoryTokens()
	}
	e.cache.capacity = max(0, programMemoryTokens-usedTokens)
	for e.cache.tokens > e.cache.capacity && e.cache.newest != nil {
		e.cache.evict(e.cache.newest.newer)
	}
}

func (e *programEngine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	chunk := programPrefillChunkTokens
	for _, c := range e.running {
		chunk = c.prefill(chunk)
	}
	prefillTime := time.Duration(float64(programPrefillChunkTokens-chunk) / programPrefillTokensPerMs * float64(time.Millisecond))
	e.m.after(programStep+time.Duration(len(e.running))*programStepPerRunning+prefillTime, e.finishStep)
}

func (e *programEngine) finishStep() {
	for _, c := range slices.Clone(e.running) {
		if c.uncachedTokens > 0 || c.cancelled {
			continue
		}
		if !c.started {
			c.started = true
			if e.cache.parts == nil {
				e.cache.parts = map[uint64]*cachedPart{}
			}
			e.cache.addFrom(e.m.now, c.prefix, 0)
			e.m.after(programNetworkDelay, c.onFirst)
		}
		if c.tokensLeft--; c.tokensLeft <= 0 {
			e.running = slices.DeleteFunc(e.running, func(other *programCall) bool { return other == c })
			e.m.after(programNetworkDelay, c.onDone)
		}
	}
	e.step()
}

// programProxy is a proxy; it gets a new dispatcher after a power loss.
type programProxy struct {
	m           *programModel
	zone        string
	d           *Dispatcher
	incarnation int
	attempts    map[RequestID]*clientAttempt
}

// agent is a program.
type agent struct {
	id         string
	priority   int
	startedAt  Instant
	target     time.Duration
	turn       int
	turns      []agentTurn
	resends    int
	usualProxy *programProxy // where most of its connections lead
	parts      []PrefixPart
}

type agentTurn struct{ inputTokens, outputTokens int }

// clientAttempt is one attempt of a client to have a turn served.
type clientAttempt struct {
	program     *agent
	id          RequestID
	retry       bool // after a refusal
	submittedAt Instant
	sentAt      Instant
	started     bool
	ended       bool
	call        *programCall
	send        Send
}

func (p *programProxy) carryOut(e Effects) {
	sends, refusals := slices.Clone(e.Sends), slices.Clone(e.Refusals)
	if e.WakeAt > 0 {
		d, incarnation := p.d, p.incarnation
		p.m.after(e.WakeAt.Sub(p.m.now), func() {
			if p.incarnation == incarnation {
				p.carryOut(d.Tick(p.m.now))
			}
		})
	}
	for _, r := range refusals {
		t := p.attempts[r.Request]
		delete(p.attempts, r.Request)
		p.m.turnRefused(t, r)
	}
	for _, send := range sends {
		p.send(p.attempts[send.Request], send)
	}
}

// attemptEnded reports the end of a call to the dispatcher, unless that was lost in a power loss meanwhile.
func (p *programProxy) attemptEnded(incarnation int, send Send, o Outcome) {
	if p.incarnation == incarnation {
		p.carryOut(p.d.AttemptEnded(p.m.now, send.Request, send.Attempt, o))
	}
}

func (p *programProxy) send(t *clientAttempt, send Send) {
	m, incarnation := p.m, p.incarnation
	t.sentAt, t.send = m.now, send
	turn := t.program.turns[t.program.turn]
	c := &programCall{simCall: simCall{prefix: t.program.parts, tokensLeft: turn.outputTokens}}
	for _, part := range c.prefix {
		c.promptTokens += part.Tokens
	}
	t.call = c
	var firstByte time.Duration
	c.onFirst = func() {
		if p.incarnation == incarnation && !t.ended {
			firstByte, t.started = m.now.Sub(t.sentAt), true
			p.carryOut(p.d.ResponseStarted(m.now, send.Request))
		}
	}
	c.onDone = func() {
		if p.incarnation != incarnation || t.ended {
			return
		}
		t.ended = true
		delete(p.attempts, t.id)
		p.attemptEnded(incarnation, send, Outcome{Kind: Success, TimeToFirstByte: firstByte, Duration: m.now.Sub(t.sentAt)})
		m.turnSucceeded(t.program)
	}
	m.after(programNetworkDelay, func() {
		e := m.engine(send.Instance)
		switch {
		case e == nil:
			m.after(programNetworkDelay, func() { p.attemptEnded(incarnation, send, Outcome{Kind: NotConnected}) })
		case !e.enqueue(c):
			m.after(programNetworkDelay, func() { p.attemptEnded(incarnation, send, Outcome{Kind: Full, RetryAfter: 200 * time.Millisecond}) })
		}
	})
}

func (m *programModel) engine(id InstanceID) *programEngine {
	for _, e := range m.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// sendTurn sends a program's current turn to a proxy.
func (m *programModel) sendTurn(a *agent, retry bool) {
	p := a.usualProxy
	if retry || m.random.IntN(8) == 0 {
		p = m.proxyInSameZone(p)
	}
	if p.d == nil { // no power: the connection fails after a second
		m.after(time.Second, func() { m.turnFailed(a) })
		return
	}
	m.seq++
	t := &clientAttempt{program: a, id: RequestID(fmt.Sprint(m.seq)), retry: retry, submittedAt: m.now}
	p.attempts[t.id] = t
	r := Request{ID: t.id, Service: pool, Route: fmt.Sprint(a.priority), Kind: Streaming, MaxAttempts: 1, Priority: a.priority,
		Deadline: m.now.Add(programDeadline), Timeout: programDeadline, TargetLatency: programObjective, Prefix: a.parts,
		MaxOutputTokens: 3 * a.turns[a.turn].outputTokens, Program: a.id, ProgramStarted: a.turn > 0 && a.priority > 0, IsTurn: true,
		ProgramTimeLeft: max(time.Millisecond, a.startedAt.Add(a.target).Sub(m.now))}
	for _, part := range a.parts {
		r.InputTokens += part.Tokens
	}
	incarnation := p.incarnation
	m.after(programFirstByteTimeout, func() {
		if !t.ended && !t.started && p.incarnation == incarnation {
			p.abandon(t)
		}
	})
	m.after(programDeadline, func() {
		if !t.ended && p.incarnation == incarnation {
			p.abandon(t)
		}
	})
	p.carryOut(p.d.Submit(m.now, r))
}

// proxyInSameZone returns a random proxy of the same zone.
func (m *programModel) proxyInSameZone(as *programProxy) *programProxy {
	for {
		if p := m.proxies[m.random.IntN(len(m.proxies))]; p.zone == as.zone {
			return p
		}
	}
}

// abandon closes the client's connection.
func (p *programProxy) abandon(t *clientAttempt) {
	t.ended = true
	delete(p.attempts, t.id)
	p.carryOut(p.d.Cancel(p.m.now, t.id))
	if t.call != nil {
		t.call.cancelled = true
		p.attemptEnded(p.incarnation, t.send, Outcome{Kind: Cancelled, Duration: p.m.now.Sub(t.sentAt)})
	}
	p.m.turnFailed(t.program)
}

// turnRefused handles a refusal: the client retries once.
func (m *programModel) turnRefused(t *clientAttempt, r Refusal) {
	t.ended = true
	if t.retry || r.Status != StatusServiceUnavailable {
		m.turnFailed(t.program)
		return
	}
	wait := min(r.RetryAfter, (programDeadline-m.now.Sub(t.submittedAt))/3)
	m.after(max(wait, 10*time.Millisecond), func() { m.sendTurn(t.program, true) })
}

// turnFailed handles a failed turn: the program sends it again, at most twice.
func (m *programModel) turnFailed(a *agent) {
	if a.resends == programMaxResends {
		m.end(a, 0)
		return
	}
	a.resends++
	m.after(time.Duration(100+m.random.IntN(300))*time.Millisecond, func() { m.sendTurn(a, false) })
}

// turnSucceeded sends the next turn after a pause, or ends the program.
func (m *programModel) turnSucceeded(a *agent) {
	a.resends = 0
	a.turn++
	if a.turn == len(a.turns) {
		worth, duration := 0.0, m.now.Sub(a.startedAt)
		switch {
		case duration <= a.target:
			worth = 1
		case duration <= 2*a.target:
			worth = programLateWorth
		}
		m.end(a, worth)
		return
	}
	a.parts = append(slices.Clone(a.parts), PrefixPart{ID: uint64(m.random.Uint32()) | 1<<40,
		Tokens: 3*a.turns[a.turn-1].outputTokens + a.turns[a.turn].inputTokens})
	m.after(time.Duration(50+m.random.IntN(250))*time.Millisecond, func() { m.sendTurn(a, false) })
}

func (m *programModel) end(a *agent, worth float64) {
	fullWorth := float64(len(a.turns))
	m.ended = append(m.ended, endedProgram{a.startedAt, worth * fullWorth, fullWorth, a.turn, len(a.turns)})
}

// startProgram starts a program of one of two kinds: a few turns with much input, or many with little.
func (m *programModel) startProgram() {
	m.startCount++
	a := &agent{id: fmt.Sprint("p", m.startCount), startedAt: m.now, priority: 1, usualProxy: m.proxies[m.random.IntN(len(m.proxies))]}
	turns, input := 2+m.random.IntN(5), 1030
	if m.random.IntN(100) < 28 {
		turns, input, a.priority = 6+m.random.IntN(11), 514, 0
	}
	idleDuration := time.Duration(0)
	for range turns {
		t := agentTurn{inputTokens: input/2 + m.random.IntN(input), outputTokens: 4 + m.random.IntN(15)}
		t.outputTokens *= 3
		a.turns = append(a.turns, t)
		idleDuration += 31*time.Millisecond + programFirstToken + time.Duration(float64(t.inputTokens)/programPrefillTokensPerMs*float64(time.Millisecond)) +
			time.Duration(t.outputTokens)*programStep + 175*time.Millisecond
	}
	a.target = time.Duration(programTargetFactor*float64(idleDuration)) + programObjective
	kind := uint64(1 + 3*a.priority + m.random.IntN(3))
	a.parts = []PrefixPart{{ID: kind, Tokens: programSharedTokens}, {ID: uint64(m.random.Uint32()) | 1<<40, Tokens: a.turns[0].inputTokens}}
	m.sendTurn(a, false)
}

func (m *programModel) startPrograms() {
	if m.now >= start.Add(m.span) {
		return
	}
	rate := m.programsPerSecond
	if elapsed := m.now.Sub(start); m.burstFactor > 0 && elapsed >= m.burstFrom && elapsed < m.burstTo {
		rate *= m.burstFactor
	}
	m.startProgram()
	m.after(time.Duration(2*m.random.Float64()/rate*float64(time.Second)), m.startPrograms)
}

func (m *programModel) receivers() []Receiver {
	var list []Receiver
	for _, e := range m.engines {
		r := engine(e.id, func(r *Receiver) { r.Slots, r.Draining, r.Zone = programSlots, e.draining, e.zone })
		r.Engine.KVCapacityTokens = programMemoryTokens
		list = append(list, r)
	}
	return list
}

func (m *programModel) setAllReceivers() {
	list := m.receivers()
	for _, p := range m.proxies {
		if p.d != nil {
			p.carryOut(p.d.SetReceivers(m.now, list))
		}
	}
}

func (m *programModel) sendReports() {
	for _, e := range m.engines {
		report := Report{Running: len(e.running), Queued: len(e.queued), KVUsedTokens: e.usedTokens(), KVTotalTokens: programMemoryTokens, Age: programReportLag}
		m.after(programReportLag, func() {
			for _, p := range m.proxies {
				if p.d != nil && p.zone == e.zone {
					p.carryOut(p.d.ApplyReport(m.now, e.id, report))
				}
			}
		})
	}
	if m.now < start.Add(m.span+30*time.Second) {
		m.after(programReportInterval, m.sendReports)
	}
}

// losePower stops all proxies: their calls go on at the engines, and their clients get no response.
func (m *programModel) losePower() {
	for _, p := range m.proxies {
		p.d = nil
		p.incarnation++
		var lost []*clientAttempt
		for _, t := range p.attempts {
			lost = append(lost, t)
		}
		slices.SortFunc(lost, func(a, b *clientAttempt) int { return strings.Compare(string(a.id), string(b.id)) })
		p.attempts = map[RequestID]*clientAttempt{}
		for _, t := range lost {
			t.ended = true
			m.after(m.outage, func() { m.turnFailed(t.program) })
		}
	}
	m.after(m.outage, func() {
		for i, p := range m.proxies {
			p.d = New(uint64(m.seq+i), p.zone)
		}
		m.setAllReceivers()
	})
}

// drainEngine drains an engine; it is removed once its work has ended.
func (m *programModel) drainEngine() {
	for _, e := range m.engines {
		if !e.draining {
			e.draining = true
			break
		}
	}
	m.setAllReceivers()
	m.after(5*time.Second, func() {
		m.engines = slices.DeleteFunc(m.engines, func(e *programEngine) bool { return e.draining && !e.busy })
		m.setAllReceivers()
	})
}

func runModel(seed uint64, l workload) *programModel {
	m := newProgramModel(seed, l)
	m.run()
	return m
}

func newProgramModel(seed uint64, l workload) *programModel {
	m := &programModel{workload: l, now: start, random: admission.NewPCG(seed)}
	zoneOf := func(i, of int) string { return fmt.Sprint("zone-", i*max(1, l.zones)/of) }
	for i := range l.engines {
		m.engines = append(m.engines, &programEngine{m: m, zone: zoneOf(i, l.engines), id: InstanceID(fmt.Sprint("e", i))})
	}
	for i := range l.proxies {
		zone := zoneOf(i, l.proxies)
		m.proxies = append(m.proxies, &programProxy{m: m, zone: zone, d: New(seed+uint64(i), zone), attempts: map[RequestID]*clientAttempt{}})
	}
	m.setAllReceivers()
	m.sendReports()
	m.startPrograms()
	for _, at := range l.powerLosses {
		m.after(at, m.losePower)
	}
	for i := range l.removedEngines {
		m.after(l.removeFrom+time.Duration(i)*time.Second, m.drainEngine)
	}
	return m
}

func (m *programModel) run() {
	end := start.Add(m.span + 20*time.Second)
	for len(m.events) > 0 && m.events[0].at <= end {
		e := heap.Pop(&m.events).(simEvent)
		m.now = e.at
		e.do()
	}
}

// earnedShare is the share of the possible worth that the programs started in a span earned. Programs that have not
// ended are not counted.
func (m *programModel) earnedShare(from, to time.Duration) float64 {
	earned, fullWorth := 0.0, 0.0
	for _, e := range m.ended {
		if e.startedAt >= start.Add(from) && e.startedAt < start.Add(to) {
			earned += e.worth
			fullWorth += e.fullWorth
		}
	}
	return earned / max(1, fullWorth)
}

// goodput is the worth earned per second by the programs that started in a span.
func (m *programModel) goodput(from, to time.Duration) float64 {
	earned := 0.0
	for _, e := range m.ended {
		if e.startedAt >= start.Add(from) && e.startedAt < start.Add(to) {
			earned += e.worth
		}
	}
	return earned / (to - from).Seconds()
}
