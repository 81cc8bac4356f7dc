package control

import "math"

// Retries: what may be sent again, when a submit is given up, and how a text ends.

// mayRepeat is rule 2, for every send: never two submits out, no more than the settings allow, and after
// one that may have run only what the product's kind allows, to where a repeat is known, while it is known.
func (s *Sender) mayRepeat(t *text, r *receiver) bool {
	switch {
	case t.over || t.out != nil || t.submits >= int(s.number("Permissions.TryLimit", 1)):
		return false
	case !t.mayHaveRun || t.product.repeat == "safe":
		return true
	case t.product.repeat == "keyed":
		return s.now < s.repeatEnd(t) && (r == nil || !t.product.zoned || r.zone == t.ranZone)
	}
	return false
}

// repeatEnd is when a text can no longer be sent again; one tenth early, as the clock is rounded down.
func (s *Sender) repeatEnd(t *text) Time {
	if t.mayHaveRun && t.product.repeat == "keyed" {
		return t.ranSince + t.product.window - 1
	}
	return math.MaxInt64
}

// hisTurn is rule 5, for every send: texts of a key one at a time, in order, with the rest between them, and
// none before the platform has heard how the one before it ended.
func (s *Sender) hisTurn(t *text) bool {
	k := s.keys[t.key]
	rested := k == nil || k.untold == 0 && (s.now >= k.restUntil || t.submits > 0)
	return !t.product.inOrder || k == nil || k.texts[0] == t && rested
}

// MayStillSend is asked before a submit that had to wait for its connection leaves. A second's wait for one is
// enough for a repeat to come when it is known no more, and for news of a drain or a wait, which bind it too.
func (s *Sender) MayStillSend(id string, no int) bool {
	t := s.texts[id]
	out := t != nil && !t.over && t.out != nil && t.out.no == no
	return out && s.open(t.out.call.to) && s.now < s.repeatEnd(t)
}

// giveUp ends a text at once: nacked where handing it in again does no harm, else undeliverable.
func (s *Sender) giveUp(t *text, wait Time) {
	p := t.product
	if !t.mayHaveRun || p.repeat == "safe" || (p.repeat == "keyed" && !p.zoned) {
		s.out.Nack(t.id, s.advice(wait))
	} else {
		s.out.MarkUndeliverable(t.id)
	}
	s.finish(t)
}

// timeout bounds a submit where giving up on it leaves time for another; else it may take its time. On the
// last free slot, which all others wait for, no answer is waited for long, unless giving up is final. What was
// learnt in an idle moment ends no call of a busy one: it is no shorter than what the process itself may lose.
func (s *Sender) timeout(t *text) Time {
	usual, end := s.usual(t), t.validUntil
	most := 15.0
	if s.callsOut+1 >= s.slots && t.product.repeat != "unsafe" {
		most = 6
	}
	long := max(Time(most*float64(usual)), s.processLateness)
	if t.product.repeat != "safe" {
		end = min(end, s.repeatEnd(t), s.now+t.product.window) // no window: no repeat
	}
	if long = min(long, end-s.now-2*usual); long < 3*usual {
		return 0
	}
	return long
}

// MayHaveRun: the outcome does not prove that the submit had no effect.
func (o Outcome) MayHaveRun() bool { return o != Refused && o != NoConnection && o != Unsent }
