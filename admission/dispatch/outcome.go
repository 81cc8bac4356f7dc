package dispatch

import (
	"slices"
	"time"

	"emberquay/admission"
)

const (
	// mostUnrun bounds the calls of a request that are proven not run, which its attempts do not count.
	mostUnrun = 16
	// patience is how many usual calls one may take where another receiver may run it after.
	patience = 15
	// leastPatience keeps a short usual call from ending one that a receiver is at work on.
	leastPatience = time.Second
)

func (q *request) attempts() int { return max(1, q.MaxAttempts) }

// idempotent: it may run again after it may have run. What has begun to reach the client goes on only as a
// stream that may be taken up.
func (q *request) idempotent() bool {
	return q.Kind == Safe && !q.started || q.Kind == Streaming && q.Resumable
}

// ranAt: the receiver may have run the request already.
func (q *request) ranAt(b *bucket) bool { return slices.Contains(q.ran, b.ID) }

// mayGoAgain is the one place that allows another call of a request after one has ended.
func (q *request) mayGoAgain() bool {
	if q.over || len(q.ran) >= q.attempts() || q.unrun >= mostUnrun {
		return false
	}
	return !q.mayHaveRun || q.idempotent()
}

// AttemptEnded tells the end of an attempt; news of any but the one that is out is dropped.
func (d *Dispatcher) AttemptEnded(now Instant, id RequestID, attempt int, o Outcome) Effects {
	d.begin(now)
	q := d.requests[id]
	if q == nil || q.to == nil || q.attempt != attempt {
		return d.done()
	}
	s, b := d.service(q.Service), q.to
	q.to = nil
	s.out--
	b.returned(d.now, q)
	d.learn(s, q, b, o)
	if o.Kind.MayHaveRun() && o.Kind != ErrorResponse {
		d.observeEnd(s, q)
	}
	q.note(b, o.Kind)
	switch {
	case q.over || o.Kind == Success || o.Kind == ErrorResponse || o.Kind == Cancelled:
		d.forget(q)
	case q.mayGoAgain():
		s.hold(q)
	default:
		d.giveUp(s, q, max(0, b.waitUntil.Sub(d.now)), Unrepeatable)
	}
	d.settle(s)
	return d.done()
}

// note keeps what the end of a call means for the request.
func (q *request) note(b *bucket, kind OutcomeKind) {
	if !kind.MayHaveRun() {
		q.unrun++
	} else {
		q.mayHaveRun = true
		q.ran = append(q.ran, b.ID)
	}
	switch kind {
	case TransportError:
		q.failure = StatusBadGateway
	case TimedOut:
		q.failure = StatusGatewayTimeout
	}
	if kind != Full {
		q.failedAt = b.ID
	}
}

// learn takes from the end of a call what it tells of its receiver.
func (d *Dispatcher) learn(s *service, q *request, b *bucket, o Outcome) {
	usual := d.usual(s, q).whole()
	switch o.Kind {
	case Success:
		b.lives(d.now)
		b.fails = 0
		b.ill.Seen(false)
		b.window.Answered()
		d.learnUsual(s, q, o)
		if usual := d.usual(s, q).whole(); usual > 0 {
			admission.Smooth(&b.slowness, float64(o.Duration)/float64(usual))
		}
	case ErrorResponse:
		b.lives(d.now)
		b.fails = 0
		b.sick(d.now)
	case Full:
		b.refused(d.now, q.sent, o.RetryAfter, time.Duration(d.chance.Unit()*float64(usual)))
	case Misdirected:
		b.elsewhere = true
	case Cancelled:
		if q.hangs(d.now) { // its client has given up what the receiver never began to answer
			b.sick(d.now)
			b.failed(d.now, d.chance.Unit())
		}
	default:
		if o.Kind.MayHaveRun() {
			b.sick(d.now)
		}
		d.failed(q, b, o.Kind, usual)
	}
}

// failed tells a receiver that fails from one that is only crowded: who has answered others since the call
// was sent is there. Its connections may all be taken; the next try is at a moment of this sender's.
func (d *Dispatcher) failed(q *request, b *bucket, kind OutcomeKind, usual time.Duration) {
	answers := b.answered > q.sent
	switch {
	case answers && kind == NotConnected:
		b.window.Refused(len(b.out) + 1)
		b.restUntil = max(b.restUntil, d.now.Add(time.Duration(d.chance.Unit()*float64(usual))))
	case answers && kind == TimedOut:
	default:
		b.failed(d.now, d.chance.Unit())
	}
}
