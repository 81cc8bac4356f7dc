package storeclient

import (
	"context"
	"time"

	"emberquay/coordination/budget"
	"emberquay/internal/tier/storewire"
)

const (
	// reserveLimit bounds a reservation: the turn's client can come back sooner than a cut ends.
	reserveLimit = 600 * time.Millisecond
	// leastGrace is the least time that the last stores have once a quorum has answered.
	leastGrace = 2 * time.Millisecond
)

// Reserve asks for a part of a program's budget; it takes 600 ms at most. After Granted the caller has to call Settle
// with what its client was sent, however the turn ends; without it the reservation counts at its most.
func (c *Client) Reserve(ctx context.Context, r Reservation) Verdict {
	ctx, cancel := context.WithTimeout(ctx, reserveLimit)
	defer cancel()
	asked := false
	verdict := Undecided
	for {
		view := c.current.Load()
		if view.usable() {
			asked = true
			var decided bool
			if verdict, decided = c.reserveIn(ctx, view, r); decided {
				break
			}
		}
		if !view.renewed(ctx) {
			break
		}
	}
	if asked && verdict != Granted {
		c.Settle(r.Program, r.Turn, 0)
	}
	return verdict
}

// reserving is a reservation under one view.
type reserving struct {
	client  *Client
	view    *snapshot
	request storewire.ReserveRequest
	members []int // places in the view
	attempt *budget.Attempt
	round   int
	failed  int // members whose last call of this round failed
	started time.Time
	answers chan reserveAnswer
}

// reserveAnswer is what became of a call.
type reserveAnswer struct {
	round  int
	member int // place in reserving.members
	answer storewire.ReserveAnswer
	err    error
}

// reserveIn decides under one view. It gives false if the view has changed.
func (c *Client) reserveIn(ctx context.Context, view *snapshot, r Reservation) (Verdict, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := view.active()
	w := &reserving{
		client:  c,
		view:    view,
		request: storewire.ReserveRequest{Program: r.Program, Turn: r.Turn, BudgetTokens: r.BudgetTokens, MaxTokens: r.MaxTokens},
		members: members,
		attempt: budget.NewAttempt(r.BudgetTokens, len(members), view.view.Quorum()),
		started: time.Now(),
		answers: make(chan reserveAnswer, len(members)),
	}
	w.askAll(ctx)
	return w.run(ctx)
}

func (w *reserving) run(ctx context.Context) (Verdict, bool) {
	var grace <-chan time.Time
	for {
		select {
		case a := <-w.answers:
			w.take(ctx, a)
		case <-grace:
			grace = nil
			w.recheck(ctx)
		case <-w.view.changed:
			return Undecided, false
		case <-ctx.Done():
			return Undecided, true
		}
		switch w.attempt.Decide() {
		case budget.Granted:
			return Granted, true
		case budget.Exhausted:
			return Exhausted, true
		case budget.Undecided:
			return Undecided, true
		}
		switch {
		case w.attempt.NeedsWholeLists() || w.round == 0 && w.attempt.HasQuorum() && w.allTold():
			w.recheck(ctx)
		case w.round == 0 && grace == nil && w.attempt.HasQuorum():
			timer := time.NewTimer(max(leastGrace, time.Since(w.started)))
			defer timer.Stop()
			grace = timer.C
		}
	}
}

// allTold says whether those that have not reported are not likely to.
func (w *reserving) allTold() bool {
	missing := 0
	for at, m := range w.members {
		if !w.attempt.HasReported(at) && !w.client.suspect(w.view.view.Members[m].Address) {
			missing++
		}
	}
	return missing <= w.failed
}

// recheck asks all once more what they know by now.
func (w *reserving) recheck(ctx context.Context) {
	if !w.attempt.HasQuorum() {
		return
	}
	w.request.Whole = w.attempt.StartSecondRound()
	w.request.Recheck = true
	w.round++
	w.failed = 0
	w.askAll(ctx)
}

func (w *reserving) askAll(ctx context.Context) {
	for at := range w.members {
		go w.ask(ctx, at, w.round, w.request)
	}
}

// ask calls one store. The context ends before the answer channel is given up.
func (w *reserving) ask(ctx context.Context, at, round int, request storewire.ReserveRequest) {
	request.Header = w.view.header(w.members[at])
	address := w.view.view.Members[w.members[at]].Address
	a, err := w.client.caller.Reserve(ctx, address, request)
	select {
	case w.answers <- reserveAnswer{round: round, member: at, answer: a, err: err}:
	case <-ctx.Done():
	}
}

// take counts an answer, or has the store asked again a little later.
func (w *reserving) take(ctx context.Context, a reserveAnswer) {
	address := w.view.view.Members[w.members[a.member]].Address
	w.client.heard(address, a.err == nil)
	served := a.err == nil && w.client.heed(a.answer.Reply)
	if a.round != w.round {
		return
	}
	report, ok := reportOf(a.answer)
	if served && ok && a.answer.Reply.Complete && w.counts(a.answer, report) {
		w.attempt.AddReport(a.member, report)
		return
	}
	w.failed++
	request, round := w.request, w.round
	time.AfterFunc(retryPause, func() {
		if ctx.Err() == nil {
			w.ask(ctx, a.member, round, request)
		}
	})
}

// counts says whether an answer may be reported: in the first round the store has to keep the reservation, unless it
// says why the turn can't run anyway.
func (w *reserving) counts(a storewire.ReserveAnswer, r budget.Report) bool {
	return w.round > 0 || a.Stored || r.TurnClosed || r.SettledTokens >= w.request.BudgetTokens
}

// reportOf reads what a store knows.
func reportOf(a storewire.ReserveAnswer) (budget.Report, bool) {
	entries, err := budget.DecodeEntries(a.Entries)
	return budget.Report{
		TurnClosed:    a.TurnClosed,
		SettledTokens: a.SettledTokens,
		Digest:        uint64(a.Digest),
		Whole:         a.Whole,
		Entries:       entries,
	}, err == nil
}
