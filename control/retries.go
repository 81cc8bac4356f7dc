package control

import "math"

// Retries: what may be sent again, when a submit is given up, and how a text ends.

// mayAttempt is rule 2, for every send: never two submits out, no more than the settings allow, and after
// one that may have run only what the product's kind allows, to where a repeat is known, while it is known.
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

// repeatDeadline is when a text can no longer be sent again; one tenth early, as the clock is rounded down.
func (s *Sender) repeatDeadline(t *text) Time {
	if t.mayHaveRun && t.product.repeatPolicy == "keyed" {
		return t.firstRunAt + t.product.repeatWindow - 1
	}
	return math.MaxInt64
}

// keyAllows is rule 5, for every send: texts of a key one at a time, in order, with the rest between them, and
// none before the platform has heard how the one before it ended.
func (s *Sender) keyAllows(t *text) bool {
	k := s.keys[t.key]
	rested := k == nil || k.pendingNotices == 0 && (s.now >= k.pausedUntil || t.attempts > 0)
	return !t.product.inOrder || k == nil || k.texts[0] == t && rested
}

// MayStillSend is asked before a submit that had to wait for its connection leaves. A second's wait for one is
// enough for a repeat to come when it is known no more, and for news of a drain or a wait, which bind it too.
func (s *Sender) MayStillSend(id string, number int) bool {
	t := s.texts[id]
	inFlight := t != nil && !t.finished && t.current != nil && t.current.number == number
	return inFlight && s.isAvailable(t.current.call.receiver) && s.now < s.repeatDeadline(t)
}

// giveUp ends a text at once: nacked where handing it in again does no harm, else undeliverable.
func (s *Sender) giveUp(t *text, wait Time) {
	p := t.product
	if !t.mayHaveRun || p.repeatPolicy == "safe" || (p.repeatPolicy == "keyed" && !p.zoneScoped) {
		s.actions.Nack(t.id, s.retryAdvice(wait))
	} else {
		s.actions.MarkUndeliverable(t.id)
	}
	s.finish(t)
}

// attemptTimeout bounds a submit where giving up on it leaves time for another; else it may take its time. On the
// last free slot, which all others wait for, no answer is waited for long, unless giving up is final. What was
// learnt in an idle moment ends no call of a busy one: it is no shorter than what the process itself may lose.
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

// MayHaveRun: the outcome does not prove that the submit had no effect.
func (o Outcome) MayHaveRun() bool { return o != Refused && o != NoConnection && o != Unsent }
