package proxy

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"emberquay/admission/dispatch"
)

// dispatcher is the decision library as this package uses it. It is pure and has one owner.
type dispatcher interface {
	SetReceivers(now dispatch.Instant, receivers []dispatch.Receiver) dispatch.Effects
	Report(now dispatch.Instant, instance dispatch.InstanceID, report dispatch.Report) dispatch.Effects
	Arrive(now dispatch.Instant, request dispatch.Request) dispatch.Effects
	Started(now dispatch.Instant, request dispatch.RequestID) dispatch.Effects
	Answered(now dispatch.Instant, request dispatch.RequestID, attempt int, outcome dispatch.Outcome) dispatch.Effects
	Withdraw(now dispatch.Instant, request dispatch.RequestID) dispatch.Effects
	Tick(now dispatch.Instant) dispatch.Effects
	EndBy(now, end dispatch.Instant) dispatch.Effects
	Stats(now dispatch.Instant) dispatch.Stats
}

// commandQueue bounds the events that wait for the dispatcher; whoever brings one more waits.
const commandQueue = 1024

// decision is what the dispatcher wants done with a request: a send, or else a refusal.
type decision struct {
	send   *dispatch.Send
	refuse dispatch.Refuse
}

// ticket is a request that the dispatcher knows. Decisions come one at a time: each is answered before the next.
type ticket struct {
	id        dispatch.RequestID
	decisions chan decision
}

// admission owns the dispatcher: one goroutine works through the commands and carries one timer.
type admission struct {
	dispatcher dispatcher
	began      time.Time
	commands   chan command
	done       chan struct{}
	issued     atomic.Uint64

	// Owned by the goroutine of run.
	tickets map[dispatch.RequestID]*ticket
	counts  AdmissionCounters
	timer   *time.Timer
}

// command is one event for the dispatcher.
type command interface {
	apply(a *admission, now dispatch.Instant) dispatch.Effects
}

func newAdmission(d dispatcher) *admission {
	a := &admission{
		dispatcher: d,
		began:      time.Now(),
		commands:   make(chan command, commandQueue),
		done:       make(chan struct{}),
		tickets:    make(map[dispatch.RequestID]*ticket),
		timer:      time.NewTimer(time.Hour),
	}
	a.timer.Stop()
	return a
}

// run works until stop.
func (a *admission) run() {
	defer a.timer.Stop()
	for {
		select {
		case c := <-a.commands:
			a.carryOut(c.apply(a, a.now()))
		case <-a.timer.C:
			a.carryOut(a.dispatcher.Tick(a.now()))
		case <-a.done:
			return
		}
	}
}

func (a *admission) stop() { close(a.done) }

func (a *admission) now() dispatch.Instant { return a.instant(time.Now()) }

func (a *admission) instant(at time.Time) dispatch.Instant { return dispatch.Instant(at.Sub(a.began)) }

func (a *admission) tell(c command) {
	select {
	case a.commands <- c:
	case <-a.done:
	}
}

// carryOut hands decisions to the handlers that wait for them.
func (a *admission) carryOut(effects dispatch.Effects) {
	for i := range effects.Sends {
		send := effects.Sends[i]
		if t := a.tickets[send.Request]; t != nil {
			a.counts.Attempts++
			t.decisions <- decision{send: &send}
		}
	}
	for _, refuse := range effects.Refusals {
		if t := a.tickets[refuse.Request]; t != nil {
			delete(a.tickets, refuse.Request)
			a.counts.Refused[refuse.Reason]++
			t.decisions <- decision{refuse: refuse}
		}
	}
	if effects.Wake > 0 {
		a.timer.Reset(max(0, effects.Wake.Sub(a.now())))
	}
}

// ticketRoom: one decision is out at a time; the spare place keeps the owner from ever waiting for a handler.
const ticketRoom = 2

// arrive brings a request; its id is chosen here, as clients may send one id twice.
func (a *admission) arrive(request dispatch.Request) *ticket {
	request.ID = dispatch.RequestID(strconv.FormatUint(a.issued.Add(1), 36))
	t := &ticket{id: request.ID, decisions: make(chan decision, ticketRoom)}
	a.tell(arrival{request: request, ticket: t})
	return t
}

// await waits for the next decision; false: ctx ended or the deadline passed first, and the request is withdrawn.
func (a *admission) await(ctx context.Context, t *ticket, deadline time.Time) (decision, bool) {
	select {
	case d := <-t.decisions:
		return d, true
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case d := <-t.decisions:
		return d, true
	case <-ctx.Done():
	case <-timer.C:
	case <-a.done:
	}
	a.tell(withdrawal{ticket: t})
	return decision{}, false
}

// started tells that part of an answer has gone to the client.
func (a *admission) started(t *ticket) { a.tell(firstPart{request: t.id}) }

// answered tells the end of an attempt after which another decision is due.
func (a *admission) answered(send *dispatch.Send, outcome dispatch.Outcome) {
	a.tell(attemptEnd{send: send, outcome: outcome})
}

// finished tells the end of an attempt that ends the request too.
func (a *admission) finished(send *dispatch.Send, outcome dispatch.Outcome) {
	a.tell(attemptEnd{send: send, outcome: outcome, last: true})
}

type arrival struct {
	request dispatch.Request
	ticket  *ticket
}

func (c arrival) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	a.tickets[c.request.ID] = c.ticket
	return a.dispatcher.Arrive(now, c.request)
}

type firstPart struct{ request dispatch.RequestID }

func (c firstPart) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	return a.dispatcher.Started(now, c.request)
}

type attemptEnd struct {
	send    *dispatch.Send
	outcome dispatch.Outcome
	last    bool // the handler waits for no further decision
}

func (c attemptEnd) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	if c.last {
		delete(a.tickets, c.send.Request)
	}
	return a.dispatcher.Answered(now, c.send.Request, c.send.Attempt, c.outcome)
}

// withdrawal comes from a handler that waits no more.
type withdrawal struct{ ticket *ticket }

func (c withdrawal) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	delete(a.tickets, c.ticket.id)
	effects := a.dispatcher.Withdraw(now, c.ticket.id)
	select {
	case d := <-c.ticket.decisions:
		if d.send != nil { // it crossed the withdrawal: nothing was sent
			a.carryOut(effects)
			notSent := dispatch.Outcome{Kind: dispatch.NotConnected}
			return a.dispatcher.Answered(now, c.ticket.id, d.send.Attempt, notSent)
		}
	default:
	}
	return effects
}

type receiverList struct{ receivers []dispatch.Receiver }

func (c receiverList) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	return a.dispatcher.SetReceivers(now, c.receivers)
}

type reportTaken struct {
	instance dispatch.InstanceID
	report   dispatch.Report
	at       time.Time
}

func (c reportTaken) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	c.report.Age += now.Sub(a.instant(c.at))
	return a.dispatcher.Report(now, c.instance, c.report)
}
