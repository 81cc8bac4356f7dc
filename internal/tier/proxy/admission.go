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

// commandQueueSize bounds the events that wait for the dispatcher; whoever brings one more waits.
const commandQueueSize = 1024

// decision is what the dispatcher wants done with a request: a send, or else a refusal.
type decision struct {
	send    *dispatch.Send
	refusal dispatch.Refuse
}

// pendingRequest is a request that the dispatcher knows. Decisions come one at a time: each is answered before the next.
type pendingRequest struct {
	id        dispatch.RequestID
	decisions chan decision
}

// admission owns the dispatcher: one goroutine works through the commands and carries one timer.
type admission struct {
	dispatcher   dispatcher
	epoch        time.Time
	commands     chan command
	done         chan struct{}
	requestCount atomic.Uint64

	// Owned by the goroutine of run.
	pending map[dispatch.RequestID]*pendingRequest
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
		epoch:      time.Now(),
		commands:   make(chan command, commandQueueSize),
		done:       make(chan struct{}),
		pending:    make(map[dispatch.RequestID]*pendingRequest),
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
			a.deliver(c.apply(a, a.now()))
		case <-a.timer.C:
			a.deliver(a.dispatcher.Tick(a.now()))
		case <-a.done:
			return
		}
	}
}

func (a *admission) stop() { close(a.done) }

func (a *admission) now() dispatch.Instant { return a.instant(time.Now()) }

func (a *admission) instant(at time.Time) dispatch.Instant { return dispatch.Instant(at.Sub(a.epoch)) }

func (a *admission) enqueue(c command) {
	select {
	case a.commands <- c:
	case <-a.done:
	}
}

// deliver hands decisions to the handlers that wait for them.
func (a *admission) deliver(effects dispatch.Effects) {
	for i := range effects.Sends {
		send := effects.Sends[i]
		if t := a.pending[send.Request]; t != nil {
			a.counts.Attempts++
			t.decisions <- decision{send: &send}
		}
	}
	for _, refuse := range effects.Refusals {
		if t := a.pending[refuse.Request]; t != nil {
			delete(a.pending, refuse.Request)
			a.counts.Refused[refuse.Reason]++
			t.decisions <- decision{refusal: refuse}
		}
	}
	if effects.Wake > 0 {
		a.timer.Reset(max(0, effects.Wake.Sub(a.now())))
	}
}

// decisionBuffer: one decision is out at a time; the spare place keeps the owner from ever waiting for a handler.
const decisionBuffer = 2

// submit brings a request; its id is chosen here, as clients may send one id twice.
func (a *admission) submit(request dispatch.Request) *pendingRequest {
	request.ID = dispatch.RequestID(strconv.FormatUint(a.requestCount.Add(1), 36))
	t := &pendingRequest{id: request.ID, decisions: make(chan decision, decisionBuffer)}
	a.enqueue(arriveCommand{request: request, pending: t})
	return t
}

// await waits for the next decision; false: ctx ended or the deadline passed first, and the request is withdrawn.
func (a *admission) await(ctx context.Context, t *pendingRequest, deadline time.Time) (decision, bool) {
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
	a.enqueue(withdrawCommand{pending: t})
	return decision{}, false
}

// started tells that part of an answer has gone to the client.
func (a *admission) started(t *pendingRequest) { a.enqueue(startedCommand{request: t.id}) }

// attemptEnded tells the end of an attempt after which another decision is due.
func (a *admission) attemptEnded(send *dispatch.Send, outcome dispatch.Outcome) {
	a.enqueue(answeredCommand{send: send, outcome: outcome})
}

// requestEnded tells the end of an attempt that ends the request too.
func (a *admission) requestEnded(send *dispatch.Send, outcome dispatch.Outcome) {
	a.enqueue(answeredCommand{send: send, outcome: outcome, final: true})
}

type arriveCommand struct {
	request dispatch.Request
	pending *pendingRequest
}

func (c arriveCommand) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	a.pending[c.request.ID] = c.pending
	return a.dispatcher.Arrive(now, c.request)
}

type startedCommand struct{ request dispatch.RequestID }

func (c startedCommand) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	return a.dispatcher.Started(now, c.request)
}

type answeredCommand struct {
	send    *dispatch.Send
	outcome dispatch.Outcome
	final   bool // the handler waits for no further decision
}

func (c answeredCommand) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	if c.final {
		delete(a.pending, c.send.Request)
	}
	return a.dispatcher.Answered(now, c.send.Request, c.send.Attempt, c.outcome)
}

// withdrawCommand comes from a handler that waits no more.
type withdrawCommand struct{ pending *pendingRequest }

func (c withdrawCommand) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	delete(a.pending, c.pending.id)
	effects := a.dispatcher.Withdraw(now, c.pending.id)
	select {
	case d := <-c.pending.decisions:
		if d.send != nil { // it crossed the withdrawal: nothing was sent
			a.deliver(effects)
			notSent := dispatch.Outcome{Kind: dispatch.NotConnected}
			return a.dispatcher.Answered(now, c.pending.id, d.send.Attempt, notSent)
		}
	default:
	}
	return effects
}

type receiversCommand struct{ receivers []dispatch.Receiver }

func (c receiversCommand) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	return a.dispatcher.SetReceivers(now, c.receivers)
}

type reportCommand struct {
	instance   dispatch.InstanceID
	report     dispatch.Report
	receivedAt time.Time
}

func (c reportCommand) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	c.report.Age += now.Sub(a.instant(c.receivedAt))
	return a.dispatcher.Report(now, c.instance, c.report)
}
