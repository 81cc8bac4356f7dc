package control

import (
	"cmp"
	"fmt"

	"emberquay/admission"
)

// Outages: receivers that fail, and what one that comes back may get.

// mayCall is the gate of rules 3, 4 and 6 that every call passes: nothing to a receiver that
// drains or is gone, nothing before a told wait is over, nothing past the budget of one that comes back.
func (s *Sender) mayCall(r *receiver) bool { return s.isAvailable(r) && s.withinRecoveryBudget(r) }

func (s *Sender) isAvailable(r *receiver) bool {
	return r.state == Up && s.now >= r.bucket.retryAfterUntil
}

// withinRecoveryBudget is rule 4. A receiver that came back bears a multiple of its present capacity over a window;
// this sender keeps to its part of that. With hundreds of senders that part is a fraction of a call: then a
// draw, new each window, says whether the one call goes, so that all together they send what is borne.
func (s *Sender) withinRecoveryBudget(r *receiver) bool {
	if !s.needsRecoveryBudget(r) {
		return true
	}
	if s.now >= r.redrawAt {
		r.redrawAt, r.budgetDraw = s.now+s.duration("Contract.FallUs", 2*Second), s.rng.Float64()
	}
	return float64(s.recentCalls(r)+1) <= s.recoveryBudget(r)+r.budgetDraw
}

// needsRecoveryBudget: the receiver is in an outage or back from one, as far as this sender saw. One failure says little,
// or a refusal with the allowance untouched; where the budget is part of a call one of each is too much.
func (s *Sender) needsRecoveryBudget(r *receiver) bool {
	rampStart := s.now - s.duration("Contract.RampTimeUs", 0)
	recovering, failedOnce := r.recoveredAt > 0 && r.recoveredAt >= rampStart, r.failures > 0 || r.bucket.refusedBelowLimit > max(0, rampStart)
	return r.failures > 1 || failedOnce && s.recoveryBudget(r) < 0.5-reservedShare || recovering || s.bucketInOutage(r.bucket)
}

// bucketInOutage: refusals are an outage, of all receivers that share the bucket, only if they go on, or bar it, with
// no delivery, for the time in which a cold destination falls; after the last of them, or the end of a told
// wait, it is as warm as one that came back then. All who were told one wait would else come back at once.
func (s *Sender) bucketInOutage(b *bucket) bool {
	last := max(b.refusedAt, b.retryAfterUntil)
	return b.refusedSince > 0 && last-b.refusedSince > s.duration("Contract.FallUs", 2*Second) &&
		s.now <= last+s.duration("Contract.RampTimeUs", 0)
}

// recoveryBudget is how many calls this sender may have sent to a receiver within the window: its even part of what
// is borne, less a quarter for those who saw no outage; where no capacity is known, of its own usual traffic.
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

// recordFailure notes a call that failed; two in a row, and the receiver is looked at before it gets more texts.
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

// silenceLimit is how long a receiver with calls out may show no sign of life.
func (s *Sender) silenceLimit(r *receiver) Time {
	return Time(3*cmp.Or(r.callDuration, max(r.dest.callDuration, float64(Second)/2))) + Second/2
}

// isSilent: calls are out, and for longer than patience nothing has come back.
func (s *Sender) isSilent(r *receiver) bool {
	return len(r.calls) > 0 && s.now-max(r.calls[0].sentAt, r.respondedAt) > s.silenceLimit(r)
}
