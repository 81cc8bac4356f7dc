package control

import (
	"cmp"
	"fmt"

	"emberquay/admission"
)

// Outages: receivers that fail, and how many calls a recovering one may get.

// mayCall enforces rules 3, 4 and 6 for every call: none to a receiver that drains or is removed, none before
// its Retry-After delay is over, none beyond the budget of a recovering receiver.
func (s *Sender) mayCall(r *receiver) bool { return s.isAvailable(r) && s.withinRecoveryBudget(r) }

func (s *Sender) isAvailable(r *receiver) bool {
	return r.state == Up && s.now >= r.bucket.retryAfterUntil
}

// withinRecoveryBudget enforces rule 4. A recovering receiver takes a multiple of its current capacity per window; this
// sender keeps to its part of that. With hundreds of senders the part is a fraction of a call: then a random draw
// per window decides whether the one call goes, so that all senders together send what the receiver takes.
func (s *Sender) withinRecoveryBudget(r *receiver) bool {
	if !s.needsRecoveryBudget(r) {
		return true
	}
	if s.now >= r.redrawAt {
		r.redrawAt, r.budgetDraw = s.now+s.duration("Contract.FallUs", 2*Second), s.rng.Float64()
	}
	return float64(s.recentCalls(r)+1) <= s.recoveryBudget(r)+r.budgetDraw
}

// needsRecoveryBudget reports whether this sender has seen the receiver in an outage or recovering from one. One failure,
// or one refusal with unused allowance, proves little; but if the budget is a fraction of a call, one is enough.
func (s *Sender) needsRecoveryBudget(r *receiver) bool {
	since := s.now - s.duration("Contract.RampTimeUs", 0)
	recovering, failedOnce := r.recoveredAt > 0 && r.recoveredAt >= since, r.failures > 0 || r.bucket.refusedBelowLimit > max(0, since)
	return r.failures > 1 || failedOnce && s.recoveryBudget(r) < 0.5-reservedShare || recovering || s.bucketInOutage(r.bucket)
}

// bucketInOutage reports whether refusals are an outage of all receivers that share the bucket: they, or a Retry-After
// delay, last without a delivery for the time in which overload fails a cold destination. After the last one, or the end
// of the delay, it ramps up like one that recovered then: else all senders given the same delay would return at once.
func (s *Sender) bucketInOutage(b *bucket) bool {
	last := max(b.refusedAt, b.retryAfterUntil)
	return b.refusedSince > 0 && last-b.refusedSince > s.duration("Contract.FallUs", 2*Second) &&
		s.now <= last+s.duration("Contract.RampTimeUs", 0)
}

// recoveryBudget returns how many calls this sender may send to a receiver per window: its even part of what the
// receiver takes, less a quarter for senders that saw no outage; without a known capacity, of its own usual traffic.
func (s *Sender) recoveryBudget(r *receiver) float64 {
	rate := s.capacity(r) / s.senderCount()
	if rate == 0 {
		rate = r.dest.arrivals * float64(Second) / float64(max(1, s.now-s.startedAt+s.longestSLA))
	}
	if !r.ownLimit {
		rate /= float64(len(r.dest.receivers))
	}
	rampShare := s.number("Contract.ColdFrom", 0)
	if ramp := s.duration("Contract.RampTimeUs", 0); r.recoveredAt > 0 && ramp > 0 {
		rampShare += (1 - rampShare) * float64(s.now-r.recoveredAt) / float64(ramp)
	}
	seconds := float64(s.duration("Contract.FallUs", 0)) / float64(Second)
	return (1 - 2*reservedShare) * s.number("Contract.FallMultiple", 1) * rate * rampShare * seconds
}

// recordFailure counts a failed call; after two in a row the receiver is probed with backoff before it gets more texts.
func (s *Sender) recordFailure(r *receiver) {
	if r.failures++; r.failures == 1 {
		r.failedSince = s.now
	}
	r.failureShare += admission.EWMAWeight * (1 - r.failureShare)
	if r.failures == 2 {
		s.actions.Log(fmt.Sprintf("receiver %d down: 2 failures in a row", r.id))
	}
	if r.failures > 1 {
		r.backoffUntil = s.now + admission.Jitter(admission.Backoff(Second/8, r.failures, 4), 0.25, s.rng.Float64())
	}
}

// silenceLimit returns how long a receiver with calls in flight may go without a response.
func (s *Sender) silenceLimit(r *receiver) Time {
	return Time(3*cmp.Or(r.callDuration, max(r.dest.callDuration, float64(Second)/2))) + Second/2
}

// isSilent reports whether calls are in flight and there was no response for longer than silenceLimit.
func (s *Sender) isSilent(r *receiver) bool {
	return len(r.calls) > 0 && s.now-max(r.calls[0].sentAt, r.respondedAt) > s.silenceLimit(r)
}
