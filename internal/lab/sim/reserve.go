package sim

import (
	"fmt"
	"time"

	"emberquay/coordination/budget"
	"emberquay/internal/tier/storewire"
)

const (
	// reserveLimit, grace, retryPause and settleLimit are as in internal/tier/storeclient.
	reserveLimit = 600 * time.Millisecond
	grace        = 20 * time.Millisecond
	retryPause   = 40 * time.Millisecond
	settleLimit  = 10 * time.Second
	settleRetry  = 300 * time.Millisecond
	// refusedPause is when the client of a turn comes again that was refused undecided: the wait that a proxy tells.
	refusedPause = 300 * time.Millisecond
	// raceSpread is how far apart the turns of a race begin.
	raceSpread = 3 * time.Millisecond
)

// program is an agent's, with what its clients received.
type program struct {
	name     string
	budget   int64
	most     int64
	received int64
	turns    int
	greedy   bool // every turn uses its most
}

// reserving is a reservation at the stores of a view.
type reserving struct {
	edge    *edge
	program *program
	turn    string
	view    storewire.View
	members []storewire.Member
	attempt *budget.Attempt
	round   int
	asked   bool
	until   time.Duration
	over    bool
	first   map[int]budget.Report // of the first round, for oneRound
	done    func(budget.Decision)
}

// reserve asks for a turn's tokens, as storeclient.Client.Reserve does.
func (e *edge) reserve(p *program, turn string, done func(budget.Decision)) {
	w := e.life.host.world
	r := &reserving{edge: e, program: p, turn: turn, until: w.now + reserveLimit, done: done}
	e.life.later(reserveLimit, func() { r.end(budget.Undecided) })
	r.begin()
}

// begin asks all under the present view, or waits for one.
func (r *reserving) begin() {
	e := r.edge
	e.pending = append(e.pending, r)
	if !e.usable() {
		return
	}
	r.asked = true
	r.view, r.members, r.round, r.first = e.view, nil, 0, map[int]budget.Report{}
	for _, m := range r.view.Members {
		if !m.Retiring {
			r.members = append(r.members, m)
		}
	}
	r.attempt = budget.NewAttempt(r.program.budget, len(r.members), r.quorum())
	r.askAll(false)
}

func (r *reserving) quorum() int {
	if r.edge.life.host.world.has(smallQuorum) {
		return max(1, len(r.members)/2)
	}
	return r.view.Quorum()
}

func (r *reserving) viewChanged() {
	if !r.over {
		r.begin()
	}
}

func (r *reserving) end(a budget.Decision) {
	if r.over {
		return
	}
	r.over = true
	if r.asked && a != budget.Granted {
		r.edge.settle(r.program.name, r.turn, 0)
	}
	r.done(a)
}

func (r *reserving) askAll(whole bool) {
	for at := range r.members {
		r.ask(at, r.round, whole)
	}
}

// ask calls one store, again and again while its round lasts.
func (r *reserving) ask(at, round int, whole bool) {
	e, m := r.edge, r.members[at]
	if r.over || r.round != round || e.life.host.world.now >= r.until {
		return
	}
	q := storewire.ReserveRequest{Header: e.header(m), Program: r.program.name, Turn: r.turn, BudgetTokens: r.program.budget, MaxTokens: r.program.most,
		Recheck: round > 0, Whole: whole}
	epoch := r.view.Epoch
	exchange(e.life.host.world, e.life, m.Address, func(l *life, reply func(storewire.ReserveAnswer)) {
		if l.table != nil {
			l.table.reserve(q, reply)
		}
	}, func(a storewire.ReserveAnswer) {
		served := e.heed(a.Reply)
		if r.over || r.round != round || r.view.Epoch != epoch {
			return
		}
		r.take(at, a, served)
	})
	e.life.later(4*retryPause, func() {
		if !r.over && r.round == round && r.view.Epoch == epoch && !r.attempt.HasReported(at) {
			r.ask(at, round, whole)
		}
	})
}

// take counts an answer and looks what follows.
func (r *reserving) take(at int, a storewire.ReserveAnswer, served bool) {
	w := r.edge.life.host.world
	entries, err := budget.DecodeEntries(a.Entries)
	if !served || err != nil || !a.Reply.Complete {
		return
	}
	report := budget.Report{TurnClosed: a.TurnClosed, SettledTokens: a.SettledTokens, Digest: uint64(a.Digest), Whole: a.Whole, Entries: entries}
	if r.round == 0 && !a.Stored && !report.TurnClosed && report.SettledTokens < r.program.budget {
		return
	}
	wasQuorate := r.attempt.HasQuorum()
	r.attempt.AddReport(at, report)
	if r.round == 0 {
		r.first[at] = report
	}
	if w.has(oneRound) && r.attempt.HasQuorum() && r.round == 0 {
		r.end(r.atOnce())
		return
	}
	if next := r.attempt.Decide(); next != budget.Pending {
		r.end(next)
		return
	}
	switch {
	case r.attempt.NeedsWholeLists():
		r.recheck()
	case r.round == 0 && !wasQuorate && r.attempt.HasQuorum() && !w.has(reserveWaits):
		epoch := r.view.Epoch
		r.edge.life.later(grace, func() {
			if !r.over && r.round == 0 && r.view.Epoch == epoch {
				r.recheck()
			}
		})
	}
}

func (r *reserving) recheck() {
	if !r.attempt.HasQuorum() {
		return
	}
	whole := r.attempt.StartSecondRound()
	r.round++
	r.askAll(whole)
}

// atOnce decides by the first round of a quorum alone, which oneRound is about.
func (r *reserving) atOnce() budget.Decision {
	a := budget.NewAttempt(r.program.budget, len(r.first), len(r.first))
	n := 0
	for at := range r.members {
		if report, ok := r.first[at]; ok {
			a.AddReport(n, report)
			n++
		}
	}
	if next := a.Decide(); next != budget.Pending {
		return next
	}
	return budget.Undecided
}

// settle tells all stores what a turn used, until they know or it takes too long.
func (e *edge) settle(program, turn string, used int64) {
	w := e.life.host.world
	until := w.now + settleLimit
	for _, m := range e.view.Members {
		e.settleAt(m, storewire.Settlement{Program: program, TurnKey: int64(budget.TurnKeyOf(turn)), UsedTokens: used}, until)
	}
}

func (e *edge) settleAt(m storewire.Member, s storewire.Settlement, until time.Duration) {
	w := e.life.host.world
	if w.now >= until {
		return
	}
	known := false
	q := storewire.SettleRequest{Header: e.header(m), Settlements: []storewire.Settlement{s}}
	exchange(w, e.life, m.Address, func(l *life, reply func(storewire.Reply)) {
		if l.table != nil {
			l.table.settle(q, reply)
		}
	}, func(r storewire.Reply) { known = e.heed(r) || known })
	e.life.later(settleRetry, func() {
		if !known && e.view.IndexOf(m.ID) >= 0 {
			e.settleAt(e.view.Members[e.view.IndexOf(m.ID)], s, until)
		}
	})
}

// runProgram has several turns race for one budget, at different proxies.
func (w *world) runProgram() {
	w.programs++
	p := &program{name: fmt.Sprintf("p%d", w.programs), most: int64(20 + w.random.IntN(30))}
	p.budget = p.most * int64(105+w.random.IntN(600)) / 100
	turns := 2 + w.random.IntN(8)
	for range turns {
		w.after(w.between(0, 4*time.Second), func() { w.runTurn(p) })
	}
	burst := w.between(0, 4*time.Second)
	for range 3 + w.random.IntN(3) {
		w.after(burst+w.between(0, 5*time.Millisecond), func() { w.runTurn(p) })
	}
}

// runTurn takes one turn: a reservation, events to its client, a settlement, and its record at the stores.
func (w *world) runTurn(p *program) {
	proxies := w.up(proxyRole)
	if len(proxies) == 0 {
		return
	}
	w.runTurnAt(pick(w, proxies), p)
}

// runRace has one turn of a new program at each of some proxies race for a budget with room for more than one turn and less
// than two. Three that see only one another's next would pass it.
func (w *world) runRace(at []*host) {
	w.programs++
	p := &program{name: fmt.Sprintf("p%d", w.programs), most: int64(20 + w.random.IntN(30)), greedy: true}
	p.budget = p.most * int64(105+w.random.IntN(90)) / 100
	for _, h := range at {
		w.after(w.between(0, raceSpread), func() {
			if h.life != nil {
				w.runTurnAt(h, p)
			}
		})
	}
}

func (w *world) runTurnAt(at *host, p *program) {
	l := at.life
	p.turns++
	turn := fmt.Sprintf("%s/%d", p.name, p.turns)
	l.step(func() {
		l.edge.reserve(p, turn, func(a budget.Decision) {
			switch a {
			case budget.Granted:
				w.counts.Granted++
				w.judge.granted()
				l.edge.stream(p, turn)
			case budget.Exhausted:
				w.counts.Spent++
			}
		})
	})
}

// probe has a proxy take a whole turn of a program of its own, and says once it is kept. A turn that is refused comes again,
// as its client does, within progressBound.
func (e *edge) probe(kept func()) {
	w := e.life.host.world
	w.programs++
	p := &program{name: fmt.Sprintf("p%d", w.programs), most: 1, budget: 1}
	e.probeTurn(p, 1, w.now+progressBound, kept)
}

func (e *edge) probeTurn(p *program, try int, until time.Duration, kept func()) {
	w := e.life.host.world
	turn := fmt.Sprintf("%s/%d", p.name, try)
	e.reserve(p, turn, func(a budget.Decision) {
		switch {
		case a == budget.Granted:
			e.commit(turn, kept)
			e.settle(p.name, turn, p.most)
		case a == budget.Undecided && w.now+refusedPause < until:
			e.life.later(refusedPause, func() { e.probeTurn(p, try+1, until, kept) })
		}
	})
}

// pieces is how many events a turn has.
const pieces = 4

// stream gives a client a turn's tokens, some at a time.
func (e *edge) stream(p *program, turn string) {
	w := e.life.host.world
	uses := p.most
	if w.one(3) && !p.greedy {
		uses = int64(w.random.IntN(int(p.most + 1)))
	}
	broken := w.one(6) && !p.greedy
	var sent int64
	var piece func(n int)
	piece = func(n int) {
		part := uses / pieces
		if n == pieces-1 {
			part = uses - sent
		}
		sent += part
		p.received += part
		w.judge.received(p)
		switch {
		case broken && n == 1:
			if w.has(brokenNotCounted) {
				e.settle(p.name, turn, 0)
				return
			}
			e.settle(p.name, turn, sent)
		case n == pieces-1:
			e.settle(p.name, turn, sent)
			e.commit(turn, func() {})
		default:
			e.life.later(w.between(10*time.Millisecond, 120*time.Millisecond), func() { piece(n + 1) })
		}
	}
	piece(0)
}
