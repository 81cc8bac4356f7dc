package dispatch

import (
	"slices"
	"time"

	"emberquay/admission"
)

const (
	// maxNotRunCalls bounds a request's calls that provably did not run, which do not count as attempts.
	maxNotRunCalls = 16
	// attemptTimeoutFactor is the timeout, in expected call durations, of an attempt that another receiver may
	// follow.
	attemptTimeoutFactor = 15
	// minAttemptTimeout keeps a short expected duration from ending a call that a receiver is still working on.
	minAttemptTimeout = time.Second
)

func (q *request) attemptLimit() int { return max(1, q.MaxAttempts) }

// idempotent reports whether the request may run again after it may have run. Once part of the response has gone to
// the client, only a resumable stream can be continued.
func (q *request) idempotent() bool {
	return q.Kind == Safe && !q.responseStarted || q.Kind == Streaming && q.Resumable
}

// mayHaveRunOn reports whether the receiver may already have run the request.
func (q *request) mayHaveRunOn(e *endpoint) bool { return slices.Contains(q.ranOn, e.ID) }

// mayRetry reports whether a request may be sent again after a call has ended. No other code decides this.
func (q *request) mayRetry() bool {
	if q.cancelled || len(q.ranOn) >= q.attemptLimit() || q.notRunCalls >= maxNotRunCalls {
		return false
	}
	return !q.mayHaveRun || q.idempotent()
}

// AttemptEnded records the end of an attempt. It ignores any attempt other than the one in flight.
func (d *Dispatcher) AttemptEnded(now Instant, id RequestID, attempt int, o Outcome) Effects {
	d.beginEvent(now)
	q := d.requests[id]
	if q == nil || q.endpoint == nil || q.attempt != attempt {
		return d.finishEvent()
	}
	s, e := d.service(q.Service), q.endpoint
	q.endpoint = nil
	s.inFlight--
	e.callEnded(d.now, q)
	d.updateEndpoint(s, q, e, o)
	if o.Kind.MayHaveRun() && o.Kind != ErrorResponse {
		d.observeEnd(s, q)
	}
	q.recordOutcome(e, o.Kind)
	switch {
	case q.cancelled || o.Kind == Success || o.Kind == ErrorResponse || o.Kind == Cancelled:
		d.removeRequest(q)
	case q.mayRetry():
		s.enqueue(q)
	default:
		d.refuse(s, q, max(0, e.blockedUntil.Sub(d.now)), Unrepeatable)
	}
	d.schedule(s)
	return d.finishEvent()
}

// recordOutcome updates the request with the outcome of a call.
func (q *request) recordOutcome(e *endpoint, kind OutcomeKind) {
	if !kind.MayHaveRun() {
		q.notRunCalls++
	} else {
		q.mayHaveRun = true
		q.ranOn = append(q.ranOn, e.ID)
	}
	switch kind {
	case TransportError:
		q.failureStatus = StatusBadGateway
	case TimedOut:
		q.failureStatus = StatusGatewayTimeout
	}
	if kind != Full {
		q.lastFailedOn = e.ID
	}
}

// updateEndpoint updates an endpoint with the outcome of a call.
func (d *Dispatcher) updateEndpoint(s *service, q *request, e *endpoint, o Outcome) {
	expected := d.estimate(s, q).total()
	switch o.Kind {
	case Success:
		e.recordResponse(d.now)
		e.consecutiveFailures = 0
		e.errors.Observe(false)
		e.window.OnSuccess()
		d.updateEstimate(s, q, o)
		if expected := d.estimate(s, q).total(); expected > 0 {
			admission.UpdateEWMA(&e.relativeDuration, float64(o.Duration)/float64(expected))
		}
	case ErrorResponse:
		e.recordResponse(d.now)
		e.consecutiveFailures = 0
		e.recordError(d.now)
	case Full:
		e.rejected(d.now, q.sentAt, o.RetryAfter, time.Duration(d.random.Float64()*float64(expected)))
	case Misdirected:
		e.misdirected = true
	case Cancelled:
		if q.isOverdue(d.now) { // the client gave up a call whose response never started
			e.recordError(d.now)
			e.recordFailure(d.now, d.random.Float64())
		}
	default:
		if o.Kind.MayHaveRun() {
			e.recordError(d.now)
		}
		d.recordFailure(q, e, o.Kind, expected)
	}
}

// recordFailure distinguishes a failing receiver from a crowded one: a receiver that has responded to another call
// since this one was sent is running. Its connections may all be in use, so it is tried again after a random delay.
func (d *Dispatcher) recordFailure(q *request, e *endpoint, kind OutcomeKind, expected time.Duration) {
	responding := e.lastResponse > q.sentAt
	switch {
	case responding && kind == NotConnected:
		e.window.OnRefusal(len(e.inFlight) + 1)
		e.backoffUntil = max(e.backoffUntil, d.now.Add(time.Duration(d.random.Float64()*float64(expected))))
	case responding && kind == TimedOut:
	default:
		e.recordFailure(d.now, d.random.Float64())
	}
}
