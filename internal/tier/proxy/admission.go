package proxy

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"emberquay/admission/dispatch"
)

// dispatcher is the part of dispatch.Dispatcher that this package uses. It does no I/O and is used by one goroutine only.
type dispatcher interface {
	SetReceivers(now dispatch.Instant, receivers []dispatch.Receiver) dispatch.Effects
	ApplyReport(now dispatch.Instant, instance dispatch.InstanceID, report dispatch.Report) dispatch.Effects
	Submit(now dispatch.Instant, request dispatch.Request) dispatch.Effects
	ResponseStarted(now dispatch.Instant, request dispatch.RequestID) dispatch.Effects
	AttemptEnded(now dispatch.Instant, request dispatch.RequestID, attempt int, outcome dispatch.Outcome) dispatch.Effects
	Cancel(now dispatch.Instant, request dispatch.RequestID) dispatch.Effects
	Tick(now dispatch.Instant) dispatch.Effects
	StopBy(now, end dispatch.Instant) dispatch.Effects
	Stats(now dispatch.Instant) dispatch.Stats
}

// commandQueueCapacity bounds the commands queued for the dispatcher; enqueue blocks when the queue is full.
const commandQueueCapacity = 1024

// decision is the dispatcher's decision on a request: a send or, if that is nil, a refusal.
type decision struct {
	send    *dispatch.Send
	refusal dispatch.Refusal
}

// pendingRequest is a request known to the dispatcher. It gets one decision at a time: the next one follows only after
// the outcome of the one before.
type pendingRequest struct {
	id        dispatch.RequestID
	decisions chan decision
}

// admission owns the dispatcher: one goroutine applies the commands and holds the wake-up timer.
type admission struct {
	dispatcher   dispatcher
	epoch        time.Time
	commands     chan command
	done         chan struct{}
	requestCount atomic.Uint64

	// Owned by run's goroutine.
	pending map[dispatch.RequestID]*pendingRequest
	counts  AdmissionCounters
	timer   *time.Timer
}

// command is one input to the dispatcher.
type command interface {
	apply(a *admission, now dispatch.Instant) dispatch.Effects
}

func newAdmission(d dispatcher) *admission {
	a := &admission{
		dispatcher: d,
		epoch:      time.Now(),
		commands:   make(chan command, commandQueueCapacity),
		done:       make(chan struct{}),
		pending:    make(map[dispatch.RequestID]*pendingRequest),
		timer:      time.NewTimer(time.Hour),
	}
	a.timer.Stop()
	return a
}

// run applies commands and timer ticks until stop.
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

// deliver passes decisions to the waiting request handlers and sets the timer.
func (a *admission) deliver(effects dispatch.Effects) {
	for i := range effects.Sends {
		send := effects.Sends[i]
		if pending := a.pending[send.Request]; pending != nil {
			a.counts.Attempts++
			pending.decisions <- decision{send: &send}
		}
	}
	for _, refuse := range effects.Refusals {
		if pending := a.pending[refuse.Request]; pending != nil {
			delete(a.pending, refuse.Request)
			a.counts.Refused[refuse.Reason]++
			pending.decisions <- decision{refusal: refuse}
		}
	}
	if effects.WakeAt > 0 {
		a.timer.Reset(max(0, effects.WakeAt.Sub(a.now())))
	}
}

// decisionBuffer leaves one spare place beside the single outstanding decision, so that run never blocks on a handler.
const decisionBuffer = 2

// submit enqueues a request. It assigns a new ID, as clients may use the same one twice.
func (a *admission) submit(request dispatch.Request) *pendingRequest {
	request.ID = dispatch.RequestID(strconv.FormatUint(a.requestCount.Add(1), 36))
	pending := &pendingRequest{id: request.ID, decisions: make(chan decision, decisionBuffer)}
	a.enqueue(submitCommand{request: request, pending: pending})
	return pending
}

// await waits for the next decision. It returns false if ctx ended or the deadline passed first, or run was stopped; the
// request is then canceled.
func (a *admission) await(ctx context.Context, pending *pendingRequest, deadline time.Time) (decision, bool) {
	select {
	case d := <-pending.decisions:
		return d, true
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case d := <-pending.decisions:
		return d, true
	case <-ctx.Done():
	case <-timer.C:
	case <-a.done:
	}
	a.enqueue(cancelCommand{pending: pending})
	return decision{}, false
}

// responseStarted reports that part of a response has been written to the client.
func (a *admission) responseStarted(pending *pendingRequest) {
	a.enqueue(responseStartedCommand{request: pending.id})
}

// attemptEnded reports the outcome of an attempt after which the handler awaits another decision.
func (a *admission) attemptEnded(send *dispatch.Send, outcome dispatch.Outcome) {
	a.enqueue(attemptEndedCommand{send: send, outcome: outcome})
}

// requestEnded reports the outcome of an attempt that also ends the request.
func (a *admission) requestEnded(send *dispatch.Send, outcome dispatch.Outcome) {
	a.enqueue(attemptEndedCommand{send: send, outcome: outcome, final: true})
}

type submitCommand struct {
	request dispatch.Request
	pending *pendingRequest
}

func (c submitCommand) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	a.pending[c.request.ID] = c.pending
	return a.dispatcher.Submit(now, c.request)
}

type responseStartedCommand struct{ request dispatch.RequestID }

func (c responseStartedCommand) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	return a.dispatcher.ResponseStarted(now, c.request)
}

type attemptEndedCommand struct {
	send    *dispatch.Send
	outcome dispatch.Outcome
	final   bool // the handler awaits no further decision
}

func (c attemptEndedCommand) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	if c.final {
		delete(a.pending, c.send.Request)
	}
	return a.dispatcher.AttemptEnded(now, c.send.Request, c.send.Attempt, c.outcome)
}

// cancelCommand removes a request whose handler has stopped waiting.
type cancelCommand struct{ pending *pendingRequest }

func (c cancelCommand) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	delete(a.pending, c.pending.id)
	effects := a.dispatcher.Cancel(now, c.pending.id)
	select {
	case d := <-c.pending.decisions:
		if d.send != nil { // decided before the cancellation was applied: nothing was sent
			a.deliver(effects)
			notSent := dispatch.Outcome{Kind: dispatch.NotConnected}
			return a.dispatcher.AttemptEnded(now, c.pending.id, d.send.Attempt, notSent)
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
	return a.dispatcher.ApplyReport(now, c.instance, c.report)
}
