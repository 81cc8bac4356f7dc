package control

import (
	"cmp"
	"fmt"
	"slices"

	"emberquay/admission"
)

// What the end of a submit means for its text, its receiver and its bucket.

// answered closes a submit and says what becomes of its text.
func (s *Sender) answered(t *text, sub *submit, r Result) {
	c := sub.call
	t.out, t.next = nil, nil
	if r.Outcome == Refused && r.RetryAfter > 0 { // one tenth longer, as the clock is rounded down; all of a bundle bind
		c.to.bucket.waitUntil = max(c.to.bucket.waitUntil, s.now+r.RetryAfter+1)
	}
	if !c.heard {
		c.heard = true
		s.learn(c, r)
	}
	c.texts = slices.DeleteFunc(c.texts, func(o *text) bool { return o == t })
	if len(c.texts) == 0 {
		c.to.calls = slices.DeleteFunc(c.to.calls, func(o *call) bool { return o == c })
		c.to.idleSince = s.now
		c.to.bucket.flight--
		c.to.dest.flight--
		s.callsOut--
	}
	if r.Outcome == Delivered {
		s.flow(t.dest, 1)
		admission.UpdateEWMA(&t.dest.pace, float64(r.Took))
		admission.UpdateEWMA(&t.product.pace, float64(r.Took))
	}
	if r.Outcome.MayHaveRun() && !t.mayHaveRun {
		t.mayHaveRun, t.ranSince, t.ranZone = true, c.sent, c.to.zone
	}
	mayRunOn := r.Outcome == NoAnswer || r.Outcome == ConnectionLost || r.Outcome == Cancelled
	if k := s.keys[t.key]; k != nil && t.product.inOrder && mayRunOn {
		k.restUntil = s.now + s.span("Contract.KeyRestUs", 0) + 1
	}
	switch {
	case r.Final || t.over:
		s.finish(t)
	case s.mayRepeat(t, nil):
		s.hold(t)
	default:
		s.giveUp(t, max(0, c.to.bucket.waitUntil-s.now))
	}
}

// learn takes from one call what it tells of a receiver and its bucket.
func (s *Sender) learn(c *call, res Result) {
	r, sent := c.to, c.sent
	b := r.bucket
	s.reported(b, res.Report)
	switch {
	case c.idle > 0 && (res.Outcome == ConnectionLost || res.Outcome == NoAnswer):
		s.close(r)
		if res.Outcome == NoAnswer || res.StaleConn { // the receiver's fault or the connection's: a new one will tell
			r.swallowed = c.idle
		} else {
			s.broke(c.idle)
		}
	case r.swallowed > 0 && c.idle == 0 && res.Outcome != NoAnswer:
		if res.Outcome == Delivered && float64(res.Took) < 2*r.pace {
			s.broke(r.swallowed)
		}
		r.swallowed = 0
	}
	if res.StaleConn && r.fails == 0 { // kept connections break beside a healthy receiver; a new one will tell
		return
	}
	switch res.Outcome {
	case Unsent: // no slot was free after all: not at once again
		r.restUntil = s.now + Second/8
	case Cancelled:
	case Refused:
		r.answered = s.now
		barred := res.RetryAfter > s.span("Contract.FallUs", 2*Second)
		if b.limit == 0 || b.left >= 1 || barred || res.ConnLimitReached { // not for its limit: shut, or something is full
			b.refusedSince, b.refusedAt = cmp.Or(b.refusedSince, s.now), s.now
			if b.share >= 0.9 {
				b.refusedFree = s.now
			}
		}
		if res.ConnLimitReached {
			s.crowd(r)
			return
		}
		if sent > b.fullAt { // those refused together count once
			b.fulls, b.fullAt = b.fulls+1, s.now
			b.heldUntil = max(b.heldUntil, b.waitUntil, s.now) + s.pause(r, res.RetryAfter > 0)
		}
		b.strain += admission.EWMAWeight * (1 - b.strain)
		s.strain += admission.EWMAWeight / 4 * (1 - s.strain)
		b.window.OnRefusal(b.flight)
	case Delivered:
		b.known = true
		if c.idle == 0 {
			s.opened[r.kind]++
		}
		admission.UpdateEWMA(&r.pace, float64(res.Took))
		r.answered = s.now
		if r.fails > 1 {
			s.out.Log(fmt.Sprintf("receiver %d back", r.id))
		}
		long := r.fails > 0 && s.now-r.failedSince > s.span("Contract.FallUs", 2*Second)
		for _, o := range r.dest.receivers { // back from an outage, or not out of it yet
			if o.bucket == b && s.shut(b) || o == r && (r.fails > 1 || long || r.ill > 0.5) {
				o.cold = s.now
			}
		}
		r.fails, r.crowds, b.refusedSince, b.refusedFree, b.fulls = 0, 0, 0, 0, b.fulls/2
		r.ill -= admission.EWMAWeight * r.ill
		b.window.OnSuccess()
		b.strain -= admission.EWMAWeight * b.strain
		s.strain -= admission.EWMAWeight / 4 * s.strain
	case NoConnection:
		if !res.NotListening { // its connections may all be taken, and are if it answers others; who is down holds none
			s.crowded[r.kind] = true
			if r.answered >= sent {
				s.crowd(r)
				return
			}
		}
		s.failed(r)
	default:
		if res.Outcome == NoAnswer && r.answered > sent { // it answers others, so it is not silent
			return
		}
		if res.Outcome == Errored {
			r.answered = s.now
		}
		s.failed(r)
	}
}

// crowd: a receiver's connections are all taken, which says nothing of its limit. The next try is for whoever
// comes first once one is free: at a random part of a usual call, twice that each further time.
func (s *Sender) crowd(r *receiver) {
	s.crowded[r.kind] = true
	r.bucket.window.Halve()
	r.restUntil = s.now + Time(s.chance.Float64()*float64(backOff(r, r.crowds)))
	r.crowds++
}
