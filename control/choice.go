package control

import (
	"cmp"
	"math"
	"slices"
)

// The choice of a receiver, and the call to it.

// selectReceiver returns the receiver for the first queued text of a destination that may go; nil if none may.
func (s *Sender) selectReceiver(d *destination) *receiver {
	var available []*receiver
	for _, r := range d.receivers {
		if s.now >= r.backoffUntil && !s.isSilent(r) && r.bucket.inFlight < s.concurrencyLimit(r.bucket) && s.mayCall(r) {
			available = append(available, r)
		}
	}
	if len(available) > 1 && len(d.queue) > 0 {
		for _, r := range available {
			r.netRevenue = s.netRevenue(d.queue[0], r)
		}
	}
	slices.SortStableFunc(available, func(a, b *receiver) int {
		if c := cmp.Compare(b.netRevenue, a.netRevenue); c != 0 {
			return c
		}
		if a.bucket != b.bucket { // routes with limits of their own: the most remaining allowance first
			return int(math.Copysign(1, b.bucket.remaining-a.bucket.remaining))
		}
		// The most recently used first, as its connection is open. Initially the order is random: if all senders
		// chose the first listed, its queue would be full while the others are idle.
		return cmp.Or(len(a.calls)-len(b.calls), int(b.usedAt-a.usedAt), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	for _, t := range d.queue {
		for _, r := range available {
			if s.mayAttempt(t, r) && s.keyAllows(t) {
				return r
			}
		}
	}
	return nil
}

// netRevenue returns what a text earns by way of a receiver: its revenue at the estimated delivery time, less the
// fee of a route with its own limit, which is a share of the mean text's revenue.
func (s *Sender) netRevenue(t *text, r *receiver) float64 {
	return s.revenueAt(t, s.now+s.estimatedDuration(r)) - r.routeFee*s.meanValue
}

// estimatedDuration estimates how long a call to a receiver takes now: as long as its recent calls, or if its last
// response is old as the destination's, and at least as long as its oldest call has been in flight.
func (s *Sender) estimatedDuration(r *receiver) Time {
	estimate := Time(r.dest.callDuration)
	if s.now-r.respondedAt < 10*Second {
		estimate = Time(r.callDuration)
	}
	if len(r.calls) > 0 {
		estimate = max(estimate, s.now-r.calls[0].sentAt)
	}
	return estimate
}

// sendCall starts one call to a receiver with as many queued texts as its kind allows in a bundle.
func (s *Sender) sendCall(r *receiver) {
	c := &call{receiver: r, sentAt: s.now}
	if idle := s.now - r.idleSince; r.connected && len(r.calls) == 0 && idle < s.connIdleTimeout() {
		c.connIdle = idle
	}
	for _, t := range slices.Clone(r.dest.queue) {
		if len(c.unanswered) < max(1, r.maxBundle) && s.mayAttempt(t, r) && s.keyAllows(t) {
			s.sendAttempt(t, c)
		}
	}
	r.calls = append(r.calls, c)
	s.recentCalls(r) // drops the older ones
	r.callTimes = append(r.callTimes, s.now)
	r.usedAt, r.connected = s.now, true
	r.bucket.inFlight++
	r.bucket.remaining--
	s.pauseIfExhausted(r.bucket)
	r.bucket.usedSeq = s.lastSeq
	r.dest.inFlight++
	s.callsInFlight++
}

// sendAttempt sends one text and stores in it how its result is handled.
func (s *Sender) sendAttempt(t *text, c *call) {
	i := slices.Index(t.dest.queue, t)
	t.dest.queue = slices.Delete(t.dest.queue, i, i+1)
	att := &attempt{number: t.attempts, call: c}
	t.attempts++
	t.current = att
	c.unanswered = append(c.unanswered, t)
	t.onResult = func(r Result) { s.completeAttempt(t, att, r) }
	s.actions.Submit(t.id, c.receiver.id, s.attemptTimeout(t))
}
