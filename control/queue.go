package control

import (
	"cmp"
	"math"
	"slices"
)

// The queue: texts rejected because they cannot be delivered in time, or would earn least.

// rejectLate gives up texts that cannot be delivered in time: the wait plus a typical call exceeds the validity
// period, or the time for a repeat ends before the wait does. At a contended destination the SLA time is the
// deadline: a call spent on a late text is one that another sender's fresh text is refused.
func (s *Sender) rejectLate(d *destination) {
	wait, contended := Time(math.MaxInt64), true
	for _, r := range d.receivers {
		if r.state == Up {
			wait = min(wait, max(0, r.bucket.retryAfterUntil-s.now, r.bucket.pausedUntil-s.now))
			contended = contended && r.bucket.refusals > 0 && s.partBelowOneCall(r) // its last call was refused
		}
	}
	if wait == math.MaxInt64 { // no receiver is listed now; one may follow
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

// recoveredUnsent reports whether a text was accepted before a restart and never sent. It is tried for as long as its
// validity period allows, because its client was told that it would be.
func (t *text) recoveredUnsent() bool { return t.recovered && t.attempts == 0 }

// partBelowOneCall reports whether this sender's part of the limit is below one call per SLA time: others get most of it.
func (s *Sender) partBelowOneCall(r *receiver) bool {
	return s.capacity(r)*float64(s.longestSLA) < s.senderCount()*float64(Second)
}

// shedExcess bounds a queue that outgrows its destination: a text that would wait beyond the longest SLA time makes
// everything behind it late too. The texts that would earn least by then are rejected at once, with advice
// when to retry, while the rest keep their order.
func (s *Sender) shedExcess(d *destination, wait Time) {
	if s.refusalShare < 0.2 && len(d.receivers) > 0 && s.partBelowOneCall(d.receivers[0]) {
		return
	}
	rate, free := s.drainRate(d), 0 // calls that may go now do not wait
	for i, r := range d.receivers {
		if (i == 0 || r.ownLimit) && s.now >= r.backoffUntil && s.mayCall(r) {
			free += max(0, s.concurrencyLimit(r.bucket)-r.bucket.inFlight)
		}
	}
	for rate > 0 {
		var lowest *text
		queued, lowestRevenue := 0, math.Inf(1)
		for _, t := range d.queue {
			if !s.keyAllows(t) { // it waits for its key, not for allowance
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

// revenueAt returns the revenue of a text delivered at a time: full until its SLA time, then decreasing.
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

// brandRevenueShare returns how much of a text's revenue counts: less the further its brand's recent texts exceed its
// quota, of which this sender sees its even part; beyond the quota little counts.
func (s *Sender) brandRevenueShare(b *brand) float64 {
	if b == nil || b.quotaPerS <= 0 {
		return 1
	}
	span, floor := float64(max(1, s.longestSLA)), s.number("OverShareWorth", 1)
	return floor + (1-floor)*min(1, (1+b.quotaPerS*span/float64(Second))/b.recent.Add(1, int64(s.now), span))
}

// drainRate estimates how many texts per second this sender can deliver to a destination: as many as recently, and
// at least its part of the capacity, or if that is unknown what the concurrency window allows. It is zero
// before the first response.
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

// deliveryRate counts deliveries and returns their number per second over about the longest SLA time.
func (s *Sender) deliveryRate(d *destination, delivered float64) float64 {
	span := float64(max(1, s.longestSLA))
	return d.deliveries.Add(delivered, int64(s.now), span) * float64(Second) / span
}

// typicalDuration returns how long a call for the text usually takes.
func (s *Sender) typicalDuration(t *text) Time {
	return Time(cmp.Or(t.dest.callDuration, t.product.callDuration))
}
