package control

import "math"

// Retries: what may be sent again, when an attempt times out, and how a text ends.

// mayAttempt enforces rule 2 for every send: one attempt in flight, no more attempts than the settings allow, and
// after one that may have run only what the product's repeat policy allows, where and while a repeat is recognized.
func (s *Sender) mayAttempt(t *text, r *receiver) bool {
	switch {
	case t.finished || t.current != nil || t.attempts >= int(s.number("Permissions.TryLimit", 1)):
		return false
	case !t.mayHaveRun || t.product.repeatPolicy == "safe":
		return true
	case t.product.repeatPolicy == "keyed":
		return s.now < s.repeatDeadline(t) && (r == nil || !t.product.zoneScoped || r.zone == t.firstRunZone)
	}
	return false
}

// repeatDeadline returns when a text can no longer be sent again; one tick early, as the clock is rounded down.
func (s *Sender) repeatDeadline(t *text) Time {
	if t.mayHaveRun && t.product.repeatPolicy == "keyed" {
		return t.firstRunAt + t.product.repeatWindow - 1
	}
	return math.MaxInt64
}

// keyAllows enforces rule 5 for every send: texts of a key go one at a time, in order, with a pause between them,
// and none before the platform has been notified how the previous one ended.
func (s *Sender) keyAllows(t *text) bool {
	k := s.keys[t.key]
	rested := k == nil || k.pendingNotices == 0 && (s.now >= k.pausedUntil || t.attempts > 0)
	return !t.product.inOrder || k == nil || k.texts[0] == t && rested
}

// MayStillSend is asked before an attempt that had to wait for its connection is sent. A wait of a second is enough
// for the repeat window to end, or for a drain or a Retry-After delay to be announced, which bind the attempt too.
func (s *Sender) MayStillSend(id string, number int) bool {
	t := s.texts[id]
	inFlight := t != nil && !t.finished && t.current != nil && t.current.number == number
	return inFlight && s.isAvailable(t.current.call.receiver) && s.now < s.repeatDeadline(t)
}

// giveUp ends a text at once: with a nack if handing it in again does no harm, else as undeliverable.
func (s *Sender) giveUp(t *text, wait Time) {
	p := t.product
	if !t.mayHaveRun || p.repeatPolicy == "safe" || (p.repeatPolicy == "keyed" && !p.zoneScoped) {
		s.actions.Nack(t.id, s.retryAdvice(wait))
	} else {
		s.actions.MarkUndeliverable(t.id)
	}
	s.finish(t)
}

// attemptTimeout returns the timeout of an attempt, or 0 if giving up would leave no time for another. On the last
// free call slot, which all other texts wait for, it is shorter, unless giving up is final. It is not shorter than
// the process lateness, so that durations learned while idle do not cut off calls of a busy process.
func (s *Sender) attemptTimeout(t *text) Time {
	typical, deadline := s.typicalDuration(t), t.validUntil
	factor := 15.0
	if s.callsInFlight+1 >= s.maxCalls && t.product.repeatPolicy != "unsafe" {
		factor = 6
	}
	limit := max(Time(factor*float64(typical)), s.processLateness)
	if t.product.repeatPolicy != "safe" {
		deadline = min(deadline, s.repeatDeadline(t), s.now+t.product.repeatWindow) // no window: no repeat
	}
	if limit = min(limit, deadline-s.now-2*typical); limit < 3*typical {
		return 0
	}
	return limit
}

// MayHaveRun reports whether the attempt may have had an effect: the outcome does not rule it out.
func (o Outcome) MayHaveRun() bool { return o != Refused && o != NoConnection && o != Unsent }
