package storeclient

import (
	"context"
	"time"

	"emberquay/coordination/budget"
	"emberquay/internal/tier/storewire"
)

const (
	// reserveTimeout bounds a reservation: the turn's client can retry before a network partition heals.
	reserveTimeout = 600 * time.Millisecond
	// minGrace is the least time that the remaining stores have to answer after a quorum has.
	minGrace = 2 * time.Millisecond
)

// Reserve reserves tokens of a program's budget; it takes at most 600 ms. After Granted the caller must call Settle
// with the tokens sent to its client, however the turn ends; until then MaxTokens count as used.
func (c *Client) Reserve(ctx context.Context, r Reservation) Verdict {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	asked := false
	verdict := Undecided
	for {
		snapshot := c.current.Load()
		if snapshot.usable() {
			asked = true
			var decided bool
			if verdict, decided = c.reserveInView(ctx, snapshot, r); decided {
				break
			}
		}
		if !snapshot.waitForNewer(ctx) {
			break
		}
	}
	if asked && verdict != Granted {
		c.Settle(r.Program, r.Turn, 0)
	}
	return verdict
}

// reserveAttempt is a reservation within one view.
type reserveAttempt struct {
	client      *Client
	snapshot    *snapshot
	request     storewire.ReserveRequest
	members     []int // indexes in the view of the active members
	attempt     *budget.Attempt
	round       int
	failedCalls int // failed calls of this round
	started     time.Time
	answers     chan reserveAnswer
}

// reserveAnswer is the result of one call.
type reserveAnswer struct {
	round  int
	member int // index in reserveAttempt.members
	answer storewire.ReserveAnswer
	err    error
}

// reserveInView decides within one view. It returns false if the view changed.
func (c *Client) reserveInView(ctx context.Context, snapshot *snapshot, r Reservation) (Verdict, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := snapshot.activeMembers()
	attempt := &reserveAttempt{
		client:   c,
		snapshot: snapshot,
		request:  storewire.ReserveRequest{Program: r.Program, Turn: r.Turn, BudgetTokens: r.BudgetTokens, MaxTokens: r.MaxTokens},
		members:  members,
		attempt:  budget.NewAttempt(r.BudgetTokens, len(members), snapshot.view.Quorum()),
		started:  time.Now(),
		answers:  make(chan reserveAnswer, len(members)),
	}
	attempt.askAll(ctx)
	return attempt.run(ctx)
}

func (r *reserveAttempt) run(ctx context.Context) (Verdict, bool) {
	var grace <-chan time.Time
	for {
		select {
		case a := <-r.answers:
			r.handleAnswer(ctx, a)
		case <-grace:
			grace = nil
			r.startNextRound(ctx)
		case <-r.snapshot.changed:
			return Undecided, false
		case <-ctx.Done():
			return Undecided, true
		}
		switch r.attempt.Decide() {
		case budget.Granted:
			return Granted, true
		case budget.Exhausted:
			return Exhausted, true
		case budget.Undecided:
			return Undecided, true
		}
		switch {
		case r.attempt.NeedsWholeLists() || r.round == 0 && r.attempt.HasQuorum() && r.restUnresponsive():
			r.startNextRound(ctx)
		case r.round == 0 && grace == nil && r.attempt.HasQuorum():
			timer := time.NewTimer(max(minGrace, time.Since(r.started)))
			defer timer.Stop()
			grace = timer.C
		}
	}
}

// restUnresponsive reports whether the members that have not reported are suspected or failed a call.
func (r *reserveAttempt) restUnresponsive() bool {
	missing := 0
	for index, member := range r.members {
		if !r.attempt.HasReported(index) && !r.client.isSuspect(r.snapshot.view.Members[member].Address) {
			missing++
		}
	}
	return missing <= r.failedCalls
}

// startNextRound asks all members for their current entries, without reserving again.
func (r *reserveAttempt) startNextRound(ctx context.Context) {
	if !r.attempt.HasQuorum() {
		return
	}
	r.request.Whole = r.attempt.StartSecondRound()
	r.request.Recheck = true
	r.round++
	r.failedCalls = 0
	r.askAll(ctx)
}

func (r *reserveAttempt) askAll(ctx context.Context) {
	for index := range r.members {
		go r.ask(ctx, index, r.round, r.request)
	}
}

// ask calls one store. The context is canceled once the attempt is decided, so the send to answers cannot block forever.
func (r *reserveAttempt) ask(ctx context.Context, index, round int, request storewire.ReserveRequest) {
	request.Header = r.snapshot.header(r.members[index])
	address := r.snapshot.view.Members[r.members[index]].Address
	a, err := r.client.caller.Reserve(ctx, address, request)
	select {
	case r.answers <- reserveAnswer{round: round, member: index, answer: a, err: err}:
	case <-ctx.Done():
	}
}

// handleAnswer adds the report of an answer, or calls the store again after retryDelay.
func (r *reserveAttempt) handleAnswer(ctx context.Context, a reserveAnswer) {
	address := r.snapshot.view.Members[r.members[a.member]].Address
	r.client.recordAnswered(address, a.err == nil)
	served := a.err == nil && r.client.acceptReply(a.answer.Reply)
	if a.round != r.round {
		return
	}
	report, ok := decodeReport(a.answer)
	if served && ok && a.answer.Reply.Complete && r.acceptable(a.answer, report) {
		r.attempt.AddReport(a.member, report)
		return
	}
	r.failedCalls++
	request, round := r.request, r.round
	time.AfterFunc(retryDelay, func() {
		if ctx.Err() == nil {
			r.ask(ctx, a.member, round, request)
		}
	})
}

// acceptable reports whether an answer counts: in the first round the store must have stored the reservation, unless
// its report already rules out that the turn may run.
func (r *reserveAttempt) acceptable(a storewire.ReserveAnswer, report budget.Report) bool {
	return r.round > 0 || a.Stored || report.TurnClosed || report.SettledTokens >= r.request.BudgetTokens
}

// decodeReport decodes a store's report; false means malformed entries.
func decodeReport(a storewire.ReserveAnswer) (budget.Report, bool) {
	entries, err := budget.DecodeEntries(a.Entries)
	return budget.Report{
		TurnClosed:    a.TurnClosed,
		SettledTokens: a.SettledTokens,
		Digest:        uint64(a.Digest),
		Whole:         a.Whole,
		Entries:       entries,
	}, err == nil
}
