package control

import (
	"cmp"
	"fmt"
	"slices"

	"emberquay/admission"
)

// What the result of an attempt means for its text, its receiver and its bucket.

// completeAttempt ends an attempt and decides what becomes of its text.
func (s *Sender) completeAttempt(t *text, att *attempt, r Result) {
	c := att.call
	t.current, t.onResult = nil, nil
	if r.Outcome == Refused && r.RetryAfter > 0 { // one tick longer, as the clock is rounded down; the delays of all texts of a bundle apply
		c.receiver.bucket.retryAfterUntil = max(c.receiver.bucket.retryAfterUntil, s.now+r.RetryAfter+1)
	}
	if !c.recorded {
		c.recorded = true
		s.recordOutcome(c, r)
	}
	c.unanswered = slices.DeleteFunc(c.unanswered, func(o *text) bool { return o == t })
	if len(c.unanswered) == 0 {
		c.receiver.calls = slices.DeleteFunc(c.receiver.calls, func(o *call) bool { return o == c })
		c.receiver.idleSince = s.now
		c.receiver.bucket.inFlight--
		c.receiver.dest.inFlight--
		s.callsInFlight--
	}
	if r.Outcome == Delivered {
		s.deliveryRate(t.dest, 1)
		admission.UpdateEWMA(&t.dest.callDuration, float64(r.Took))
		admission.UpdateEWMA(&t.product.callDuration, float64(r.Took))
	}
	if r.Outcome.MayHaveRun() && !t.mayHaveRun {
		t.mayHaveRun, t.firstRunAt, t.firstRunZone = true, c.sentAt, c.receiver.zone
	}
	mayStillRun := r.Outcome == NoAnswer || r.Outcome == ConnectionLost || r.Outcome == Cancelled
	if k := s.keys[t.key]; k != nil && t.product.inOrder && mayStillRun {
		k.pausedUntil = s.now + s.duration("Contract.KeyRestUs", 0) + 1
	}
	switch {
	case r.Final || t.finished:
		s.finish(t)
	case s.mayAttempt(t, nil):
		s.enqueue(t)
	default:
		s.giveUp(t, max(0, c.receiver.bucket.retryAfterUntil-s.now))
	}
}

// recordOutcome updates a receiver and its bucket by the first result of a call.
func (s *Sender) recordOutcome(c *call, res Result) {
	r, sentAt := c.receiver, c.sentAt
	b := r.bucket
	s.applyReport(b, res.Report)
	switch {
	case c.connIdle > 0 && (res.Outcome == ConnectionLost || res.Outcome == NoAnswer):
		s.closeIdle(r)
		if res.Outcome == NoAnswer || res.StaleConn { // receiver or connection at fault: a new one will show
			r.unansweredIdle = c.connIdle
		} else {
			s.recordBrokenIdle(c.connIdle)
		}
	case r.unansweredIdle > 0 && c.connIdle == 0 && res.Outcome != NoAnswer:
		if res.Outcome == Delivered && float64(res.Took) < 2*r.callDuration {
			s.recordBrokenIdle(r.unansweredIdle)
		}
		r.unansweredIdle = 0
	}
	if res.StaleConn && r.failures == 0 { // reused connections break though the receiver is healthy; a new one will show
		return
	}
	switch res.Outcome {
	case Unsent: // no call slot was free after all: not again at once
		r.backoffUntil = s.now + Second/8
	case Cancelled:
	case Refused:
		r.respondedAt = s.now
		longRetryAfter := res.RetryAfter > s.duration("Contract.FallUs", 2*Second)
		if b.limit == 0 || b.remaining >= 1 || longRetryAfter || res.ConnLimitReached {
			// Not for its rate limit: the receiver is down, or something else is full.
			b.refusedSince, b.refusedAt = cmp.Or(b.refusedSince, s.now), s.now
			if b.remainingShare >= 0.9 {
				b.refusedBelowLimit = s.now
			}
		}
		if res.ConnLimitReached {
			s.recordConnLimit(r)
			return
		}
		if sentAt > b.countedAt { // calls refused together count once
			b.refusals, b.countedAt = b.refusals+1, s.now
			b.pausedUntil = max(b.pausedUntil, b.retryAfterUntil, s.now) + s.refusalPause(r, res.RetryAfter > 0)
		}
		b.refusalShare += admission.EWMAWeight * (1 - b.refusalShare)
		s.refusalShare += admission.EWMAWeight / 4 * (1 - s.refusalShare)
		b.window.OnRefusal(b.inFlight)
	case Delivered:
		b.responded = true
		if c.connIdle == 0 {
			s.connsOpened[r.kind]++
		}
		admission.UpdateEWMA(&r.callDuration, float64(res.Took))
		r.respondedAt = s.now
		if r.failures > 1 {
			s.actions.Log(fmt.Sprintf("receiver %d back", r.id))
		}
		longOutage := r.failures > 0 && s.now-r.failedSince > s.duration("Contract.FallUs", 2*Second)
		for _, o := range r.dest.receivers { // recovering from an outage, or still in it
			if o.bucket == b && s.bucketInOutage(b) || o == r && (r.failures > 1 || longOutage || r.failureShare > 0.5) {
				o.recoveredAt = s.now
			}
		}
		r.failures, r.connRefusals, b.refusedSince, b.refusedBelowLimit, b.refusals = 0, 0, 0, 0, b.refusals/2
		r.failureShare -= admission.EWMAWeight * r.failureShare
		b.window.OnSuccess()
		b.refusalShare -= admission.EWMAWeight * b.refusalShare
		s.refusalShare -= admission.EWMAWeight / 4 * s.refusalShare
	case NoConnection:
		if !res.NotListening { // all its connections may be taken, and are if it answers others; none are if it is down
			s.connLimited[r.kind] = true
			if r.respondedAt >= sentAt {
				s.recordConnLimit(r)
				return
			}
		}
		s.recordFailure(r)
	default:
		if res.Outcome == NoAnswer && r.respondedAt > sentAt { // it responds to others, so it is not silent
			return
		}
		if res.Outcome == Errored {
			r.respondedAt = s.now
		}
		s.recordFailure(r)
	}
}

// recordConnLimit backs off from a receiver whose connections are all taken, which says nothing of its rate limit. The
// first sender to ask gets a freed one, so the next try is after a random part of a typical call, doubled each time.
func (s *Sender) recordConnLimit(r *receiver) {
	s.connLimited[r.kind] = true
	r.bucket.window.Halve()
	r.backoffUntil = s.now + Time(s.rng.Float64()*float64(callBackoff(r, r.connRefusals)))
	r.connRefusals++
}
