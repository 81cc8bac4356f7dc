package control

import (
	"cmp"
	"math"
	"slices"
)

// The queue: what is refused because it cannot be delivered in time, or would earn least.

// rejectLate refuses what cannot be delivered in time: wait plus a usual call passes the validity period,
// or the time for a repeat ends before the wait does. At a contended destination the SLA time is the end: a
// call spent on a late text is one that a fresh text of some other sender is refused.
func (s *Sender) rejectLate(d *destination) {
	wait, contended := Time(math.MaxInt64), true
	for _, r := range d.receivers {
		if r.state == Up {
			wait = min(wait, max(0, r.bucket.retryAfterUntil-s.now, r.bucket.pausedUntil-s.now))
			contended = contended && r.bucket.refusals > 0 && s.partBelowOneCall(r) // the last call was refused
		}
	}
	if wait == math.MaxInt64 { // the list names no receiver now; a later one may
		wait, contended = 0, false
	}
	for _, t := range slices.Clone(d.queue) {
		deadline := t.validUntil
		if contended && !t.recoveredUnsent() {
			deadline = min(deadline, t.slaDeadline)
		}
		if s.now+wait+s.typicalDuration(t) > deadline || !s.mayAttempt(t, nil) || s.now+wait >= s.repeatDeadline(t) {
			s.giveUp(t, wait)
		}
	}
	s.shedExcess(d, wait)
}

// recoveredUnsent: a restart found it taken on, and nothing was sent for it yet: it is tried for as long as its time
// allows, as its client has been told that it will be.
func (t *text) recoveredUnsent() bool { return t.recovered && t.attempts == 0 }

// partBelowOneCall: this sender's part of the limit is under a call an SLA time: what frees mostly goes to others.
func (s *Sender) partBelowOneCall(r *receiver) bool {
	return s.capacity(r)*float64(s.longestSLA) < s.senderCount()*float64(Second)
}

// shedExcess bounds a queue that outgrows its destination: what would wait past the longest SLA time only makes
// everything behind it late too. The texts that would earn least by then are refused at once, and the
// client told when to come back, while the rest keep their order.
func (s *Sender) shedExcess(d *destination, wait Time) {
	if s.refusalShare < 0.2 && len(d.receivers) > 0 && s.partBelowOneCall(d.receivers[0]) {
		return
	}
	rate, free := s.drainRate(d), 0 // what may go now does not wait
	for i, r := range d.receivers {
		if (i == 0 || r.ownLimit) && s.now >= r.backoffUntil && s.mayCall(r) {
			free += max(0, s.concurrencyLimit(r.bucket)-r.bucket.inFlight)
		}
	}
	for rate > 0 {
		var lowest *text
		queued, lowestRevenue := 0, math.Inf(1)
		for _, t := range d.queue {
			if !s.keyAllows(t) { // it waits for its key, not for the allowance
				continue
			}
			queued++
			deliveredAt := s.now + wait + Time(float64(queued)/rate*float64(Second)) + s.typicalDuration(t)
			if revenue := s.revenueAt(t, deliveredAt); revenue <= lowestRevenue && !t.recoveredUnsent() {
				lowest, lowestRevenue = t, revenue
			}
		}
		if lowest == nil || queued-free < 2 || float64(queued-free) <= rate*float64(s.longestSLA)/float64(Second) {
			return
		}
		s.giveUp(lowest, wait+Time(float64(queued)/rate*float64(Second))-s.longestSLA)
	}
}

// revenueAt is the revenue of a text delivered at a time: full by its SLA time, then less and less.
func (s *Sender) revenueAt(t *text, deliveredAt Time) float64 {
	p := t.product
	value, late := p.value*t.revenueShare, float64(deliveredAt-t.slaDeadline)
	switch {
	case deliveredAt > t.validUntil:
		return 0
	case late <= 0:
		return value
	case s.settings["Specifics.Fades"] == "halves":
		return value * max(p.lateShare, math.Pow(0.5, late/float64(p.sla)))
	}
	return value * (1 - (1-p.lateShare)*late/float64(max(1, t.validUntil-t.slaDeadline)))
}

// brandRevenueShare is how much of a text's revenue counts, as its brand sends over its share of late, as far as this
// sender's even part of either shows: beyond a share little does.
func (s *Sender) brandRevenueShare(b *brand) float64 {
	if b == nil || b.quotaPerS <= 0 {
		return 1
	}
	span, floor := float64(max(1, s.longestSLA)), s.number("OverShareWorth", 1)
	return floor + (1-floor)*min(1, (1+b.quotaPerS*span/float64(Second))/b.recent.Add(1, int64(s.now), span))
}

// drainRate is how many texts a second this sender may hope to get through to a destination: what got through
// of late, and at least its part of the capacity, or where none is told what the window lets through. It is
// nought before the first answer.
func (s *Sender) drainRate(d *destination) float64 {
	rate := s.deliveryRate(d, 0)
	for _, r := range d.receivers {
		if callsPerS := s.capacity(r); callsPerS > 0.01 {
			rate = max(rate, callsPerS/s.senderCount())
		} else if d.callDuration > 0 {
			rate = max(rate, float64(r.bucket.window)*float64(Second)/d.callDuration)
		}
	}
	return rate
}

// deliveryRate keeps the texts a second that got through over the longest SLA time or so.
func (s *Sender) deliveryRate(d *destination, delivered float64) float64 {
	span := float64(max(1, s.longestSLA))
	return d.deliveries.Add(delivered, int64(s.now), span) * float64(Second) / span
}

// typicalDuration is how long a call for the text takes as a rule.
func (s *Sender) typicalDuration(t *text) Time {
	return Time(cmp.Or(t.dest.callDuration, t.product.callDuration))
}
