package dispatch

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"emberquay/admission"
)

// A small simulation of several proxies that share a pool of model engines. The engines batch: a step gives each running
// request a token, takes longer the more requests run, and reads a chunk of the waiting prompts first. It checks that the
// cost estimates of choice.go lead to better choices; it does not predict the figures of a deployment.

const (
	simStep               = 6 * time.Millisecond
	simStepPerRunning     = 25 * time.Microsecond
	simPrefillTokensPerMs = 40.0
	simPrefillChunkTokens = 1024
	simNetworkDelay       = time.Millisecond
	simReportInterval     = 200 * time.Millisecond
	simReportLag          = 100 * time.Millisecond
	simMemoryTokens       = 200_000 // prompt tokens that an engine caches
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
	now          Instant
	seq          int
	events       simQueue
	random       admission.PCG
	engines      map[InstanceID]*simEngine
	ids          []InstanceID
	proxies      []*simProxy
	promptsKnown bool // the dispatchers know the engines and prompts
	result       simResult
}

type simResult struct {
	served, offered      map[int]int // by priority
	refused, refusedLate int         // late: after more than a quarter of the target latency in the queue
	rejected             int
	durations            []time.Duration
	firstBytes           []time.Duration
	prefilledTokens      int
	onTime               int
	busiest, idlest      int
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
	prefix         []PrefixPart
	uncachedTokens int
	tokensLeft     int
	started        bool
	onFirst        func()
	onDone         func()
}

// prefill reads prompt tokens from what is left of a step's chunk and returns the rest of the chunk.
func (c *simCall) prefill(chunk int) int {
	tokens := min(chunk, c.uncachedTokens)
	c.uncachedTokens -= tokens
	return chunk - tokens
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

func (e *simEngine) enqueue(c *simCall) bool {
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
		total := 0
		for _, p := range c.prefix {
			total += p.Tokens
		}
		c.uncachedTokens = total - e.cache.cachedTokens(e.s.now, c.prefix)
		e.s.result.prefilledTokens += c.uncachedTokens
		e.running = append(e.running, c)
	}
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	chunk := simPrefillChunkTokens
	for _, c := range e.running {
		chunk = c.prefill(chunk)
	}
	prefillTime := time.Duration(float64(simPrefillChunkTokens-chunk) / simPrefillTokensPerMs * float64(time.Millisecond))
	e.s.after(simStep+time.Duration(len(e.running))*simStepPerRunning+prefillTime, e.finishStep)
}

func (e *simEngine) finishStep() {
	for _, c := range slices.Clone(e.running) {
		if c.uncachedTokens > 0 {
			continue
		}
		if !c.started {
			c.started = true
			e.cache.add(e.s.now, c.prefix, simMemoryTokens)
			e.s.after(simNetworkDelay, c.onFirst)
		}
		if c.tokensLeft--; c.tokensLeft <= 0 {
			e.running = slices.DeleteFunc(e.running, func(other *simCall) bool { return other == c })
			e.served++
			e.s.after(simNetworkDelay, c.onDone)
		}
	}
	e.step()
}

type simProxy struct {
	s     *simulation
	d     *Dispatcher
	turns map[RequestID]*simTurn
}

type simTurn struct {
	session             int
	turn                int
	turns               int
	priority            int
	parts               []PrefixPart
	tokens              int
	submittedAt, sentAt Instant
	wasSent             bool
}

const simObjective = 200 * time.Millisecond

func (p *simProxy) tick(at Instant) {
	p.s.after(at.Sub(p.s.now), func() { p.carryOut(p.d.Tick(p.s.now)) })
}

func (p *simProxy) carryOut(e Effects) {
	if e.WakeAt > 0 {
		p.tick(e.WakeAt)
	}
	for _, r := range slices.Clone(e.Refusals) {
		t := p.turns[r.Request]
		p.s.result.refused++
		if !t.wasSent && p.s.now.Sub(t.submittedAt) > simObjective/4 {
			p.s.result.refusedLate++
		}
	}
	for _, send := range slices.Clone(e.Sends) {
		p.send(send)
	}
}

func (p *simProxy) send(send Send) {
	t, e := p.turns[send.Request], p.s.engines[send.Instance]
	t.sentAt, t.wasSent = p.s.now, true
	var firstByte time.Duration
	c := &simCall{prefix: t.parts, tokensLeft: t.tokens}
	c.onFirst = func() {
		firstByte = p.s.now.Sub(t.sentAt)
		p.s.result.firstBytes = append(p.s.result.firstBytes, p.s.now.Sub(t.submittedAt))
		if p.s.now.Sub(t.submittedAt) <= simObjective {
			p.s.result.onTime++
		}
		p.carryOut(p.d.ResponseStarted(p.s.now, send.Request))
	}
	c.onDone = func() {
		p.s.result.served[t.priority]++
		p.s.result.durations = append(p.s.result.durations, p.s.now.Sub(t.submittedAt))
		o := Outcome{Kind: Success, TimeToFirstByte: firstByte, Duration: p.s.now.Sub(t.sentAt)}
		p.carryOut(p.d.AttemptEnded(p.s.now, send.Request, send.Attempt, o))
		p.s.nextTurn(p, t)
	}
	p.s.after(simNetworkDelay, func() {
		if !e.enqueue(c) {
			p.s.result.rejected++
			p.s.after(simNetworkDelay, func() {
				p.carryOut(p.d.AttemptEnded(p.s.now, send.Request, send.Attempt, Outcome{Kind: Full, RetryAfter: 200 * time.Millisecond}))
			})
		}
	})
}

// nextTurn submits a session's next turn after a pause.
func (s *simulation) nextTurn(p *simProxy, t *simTurn) {
	if t.turn+1 >= t.turns {
		return
	}
	n := *t
	n.turn++
	n.parts = append(slices.Clone(t.parts), PrefixPart{ID: uint64(1000*n.session + n.turn + 10), Tokens: 200 + s.random.IntN(800)})
	n.wasSent = false
	s.after(time.Duration(50+s.random.IntN(200))*time.Millisecond, func() { s.turn(p, &n) })
}

func (s *simulation) turn(p *simProxy, t *simTurn) {
	t.submittedAt, t.tokens = s.now, 10+s.random.IntN(70)
	s.result.offered[t.priority]++
	id := RequestID(fmt.Sprint(t.session, ".", t.turn))
	p.turns[id] = t
	r := Request{ID: id, Service: pool, Kind: Streaming, MaxAttempts: 1, Priority: t.priority,
		Deadline: s.now.Add(5 * time.Second), TargetLatency: simObjective, ProgramStarted: t.turn > 0}
	if s.promptsKnown {
		r.Prefix, r.MaxOutputTokens = t.parts, t.tokens
		for _, part := range t.parts {
			r.InputTokens += part.Tokens
		}
	}
	p.carryOut(p.d.Submit(s.now, r))
}

// startSessions starts sessions for a span, at a rate per second over all proxies.
func (s *simulation) startSessions(rate float64, span time.Duration) {
	end, session := s.now.Add(span), 0
	var begin func()
	begin = func() {
		if s.now >= end {
			return
		}
		session++
		kind := s.random.IntN(4)
		t := &simTurn{session: session, turns: 2 + s.random.IntN(5), priority: s.random.IntN(2),
			parts: []PrefixPart{{ID: uint64(kind + 1), Tokens: 2500}, {ID: uint64(1000 * session), Tokens: 200 + s.random.IntN(800)}}}
		s.turn(s.proxies[s.random.IntN(len(s.proxies))], t)
		s.after(time.Duration(2*s.random.Float64()/rate*float64(time.Second)), begin)
	}
	begin()
}

func (s *simulation) sendReports() {
	for _, id := range s.ids {
		e := s.engines[id]
		report := Report{Running: len(e.running), Queued: len(e.queued), KVUsedTokens: 4000 * len(e.running), KVTotalTokens: simMemoryTokens,
			Age: simReportLag}
		s.after(simReportLag, func() {
			for _, p := range s.proxies {
				p.carryOut(p.d.ApplyReport(s.now, id, report))
			}
		})
	}
	s.after(simReportInterval, s.sendReports)
}

func simulate(promptsKnown bool, proxies, engines int, rate float64) simResult {
	s := &simulation{now: start, random: admission.NewPCG(5), engines: map[InstanceID]*simEngine{}, promptsKnown: promptsKnown,
		result: simResult{served: map[int]int{}, offered: map[int]int{}}}
	var list []Receiver
	for i := range engines {
		r := engine(InstanceID(fmt.Sprint("e", i)))
		s.engines[r.ID] = &simEngine{s: s, id: r.ID, slots: r.Slots}
		s.ids = append(s.ids, r.ID)
		if !promptsKnown {
			r.Engine = nil
		}
		list = append(list, r)
	}
	for i := range proxies {
		p := &simProxy{s: s, d: New(uint64(i), "here"), turns: map[RequestID]*simTurn{}}
		s.proxies = append(s.proxies, p)
		p.carryOut(p.d.SetReceivers(s.now, list))
	}
	s.sendReports()
	s.startSessions(rate, 20*time.Second)
	s.run(40 * time.Second)
	s.result.busiest, s.result.idlest = 0, 1<<30
	for _, e := range s.engines {
		s.result.busiest, s.result.idlest = max(s.result.busiest, e.served), min(s.result.idlest, e.served)
	}
	return s.result
}

func mean(durations []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range durations {
		sum += d
	}
	return sum / time.Duration(max(1, len(durations)))
}

func (r simResult) String() string {
	offered := r.offered[0] + r.offered[1]
	slices.Sort(r.firstBytes)
	return fmt.Sprintf("offered %d served %v refused %d (late %d) rejected %d on time %.3f first byte %v p95 %v total %v prefilled %d served per engine %d to %d",
		offered, r.served, r.refused, r.refusedLate, r.rejected, float64(r.onTime)/float64(offered), mean(r.firstBytes).Round(time.Millisecond),
		r.firstBytes[len(r.firstBytes)*95/100].Round(time.Millisecond), mean(r.durations).Round(time.Millisecond), r.prefilledTokens, r.idlest, r.busiest)
}

// share is the fraction of a priority's turns that were served.
func (r simResult) share(priority int) float64 {
	return float64(r.served[priority]) / float64(max(1, r.offered[priority]))
}

// TestSessionsStayWithTheirCachedPrompts compares with a choice by load alone, at loads within the capacity: prompts
// are read again less often, and turns take no longer for it.
func TestSessionsStayWithTheirCachedPrompts(t *testing.T) {
	for _, rate := range []float64{10, 25, 50, 80} {
		byLoad, byCost := simulate(false, 10, 12, rate), simulate(true, 10, 12, rate)
		t.Log(rate, "by load:", byLoad)
		t.Log(rate, "by cost:", byCost)
		prefillPerTurn := func(r simResult) float64 { return float64(r.prefilledTokens) / float64(r.offered[0]+r.offered[1]) }
		switch {
		case prefillPerTurn(byCost) > 0.8*prefillPerTurn(byLoad):
			t.Errorf("at %v sessions/s a turn has %.0f tokens read, %.0f if chosen by load alone", rate, prefillPerTurn(byCost), prefillPerTurn(byLoad))
		case mean(byCost.durations) > mean(byLoad.durations) || mean(byCost.firstBytes) > mean(byLoad.firstBytes):
			t.Errorf("at %v sessions/s a turn takes %v, %v if chosen by load alone", rate, mean(byCost.durations), mean(byLoad.durations))
		case byCost.refused > 0:
			t.Errorf("at %v sessions/s %d turns are refused", rate, byCost.refused)
		}
	}
}

// TestOverloadIsRefusedAtOnce verifies that refusals under overload come at once and that urgent turns are not served
// less often.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	for _, rate := range []float64{120, 200, 400} {
		r := simulate(true, 10, 12, rate)
		t.Log(rate, r, r.share(0), r.share(1))
		offered := r.offered[0] + r.offered[1]
		switch {
		case r.refused == 0:
			t.Errorf("at %v sessions/s nothing is refused", rate)
		case r.refusedLate*100 > offered:
			t.Errorf("at %v sessions/s %d of %d turns are refused after queueing", rate, r.refusedLate, offered)
		case r.share(0) < r.share(1)-0.05:
			t.Errorf("at %v sessions/s %.2f of the urgent and %.2f of the other turns are served", rate, r.share(0), r.share(1))
		}
	}
}
