package dispatch

import (
	"slices"
	"time"

	"emberquay/admission"
)

const (
	// maxNotRunCalls bounds the calls of a request that are proven not run, which its attempts do not count.
	maxNotRunCalls = 16
	// attemptTimeoutFactor is how many usual calls one may take where another receiver may run it after.
	attemptTimeoutFactor = 15
	// minAttemptTimeout keeps a short usual call from ending one that a receiver is at work on.
	minAttemptTimeout = time.Second
)

func (q *request) attemptLimit() int { return max(1, q.MaxAttempts) }

// idempotent: it may run again after it may have run. What has begun to reach the client goes on only as a
// stream that may be taken up.
func (q *request) idempotent() bool {
	return q.Kind == Safe && !q.responseStarted || q.Kind == Streaming && q.Resumable
}

// mayHaveRunOn: the receiver may have run the request already.
func (q *request) mayHaveRunOn(e *endpoint) bool { return slices.Contains(q.ranOn, e.ID) }

// mayRetry is the one place that allows another call of a request after one has ended.
func (q *request) mayRetry() bool {
	if q.cancelled || len(q.ranOn) >= q.attemptLimit() || q.notRunCalls >= maxNotRunCalls {
		return false
	}
	return !q.mayHaveRun || q.idempotent()
}

// AttemptEnded tells the end of an attempt; news of any but the one that is out is dropped.
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

// recordOutcome keeps what the end of a call means for the request.
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

// updateEndpoint takes from the end of a call what it tells of its receiver.
func (d *Dispatcher) updateEndpoint(s *service, q *request, e *endpoint, o Outcome) {
	expected := d.estimate(s, q).total()
	switch o.Kind {
	case Success:
		e.recordResponse(d.now)
		e.consecutiveFailures = 0
		e.errors.Seen(false)
		e.window.Answered()
		d.updateEstimate(s, q, o)
		if expected := d.estimate(s, q).total(); expected > 0 {
			admission.Smooth(&e.relativeDuration, float64(o.Duration)/float64(expected))
		}
	case ErrorResponse:
		e.recordResponse(d.now)
		e.consecutiveFailures = 0
		e.recordError(d.now)
	case Full:
		e.rejected(d.now, q.sentAt, o.RetryAfter, time.Duration(d.random.Unit()*float64(expected)))
	case Misdirected:
		e.misdirected = true
	case Cancelled:
		if q.isOverdue(d.now) { // its client has given up what the receiver never began to answer
			e.recordError(d.now)
			e.recordFailure(d.now, d.random.Unit())
		}
	default:
		if o.Kind.MayHaveRun() {
			e.recordError(d.now)
		}
		d.recordFailure(q, e, o.Kind, expected)
	}
}

// recordFailure tells a receiver that fails from one that is only crowded: who has answered others since the call
// was sent is there. Its connections may all be taken; the next try is at a moment of this sender's.
func (d *Dispatcher) recordFailure(q *request, e *endpoint, kind OutcomeKind, expected time.Duration) {
	responding := e.lastResponse > q.sentAt
	switch {
	case responding && kind == NotConnected:
		e.window.Refused(len(e.inFlight) + 1)
		e.backoffUntil = max(e.backoffUntil, d.now.Add(time.Duration(d.random.Unit()*float64(expected))))
	case responding && kind == TimedOut:
	default:
		e.recordFailure(d.now, d.random.Unit())
	}
}
