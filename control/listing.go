package control

import (
	"cmp"
	"math"
	"slices"

	"emberquay/admission"
)

// The list of receivers: when to request its changes, and when removed receivers are forgotten.

// startWatch requests the list's changes where they are not pushed, at a random time: the list cannot answer
// a whole fleet that starts at once. A sender without a watch does not learn of drains, which bind it nevertheless.
func (s *Sender) startWatch() {
	switch {
	case s.settings["RegistryMode"] != "ask":
	case s.watchAt == 0:
		s.watchAt = s.now + 1 + s.watchDelay()
	case s.now >= s.watchAt:
		s.watchAt = math.MaxInt64
		s.actions.WatchReceivers()
	}
}

// watchDelay returns a random delay within the time over which all senders spread requests, doubled per failure.
func (s *Sender) watchDelay() Time {
	spread := min(s.duration("Contract.AskEveryUs", 10*Second)/2, Time(s.senderCount())*Second/10)
	return Time(s.rng.Float64() * float64(admission.Backoff(spread, s.watchFailures, 2)))
}

// HandleWatchEnd schedules a new request after one failed or the watch ended; what was listed stays valid.
func (s *Sender) HandleWatchEnd() {
	s.watchFailures++
	s.watchAt = s.now + 1 + s.watchDelay()
}

// dropRemoved forgets removed receivers, so that a long-running sender does not accumulate them: at once, or
// after a time if an outage must be remembered, as they may be listed again, or if the destination has no other
// receiver, as its next one may be listed late. Receivers with calls, and the last one of pending texts, stay.
func (s *Sender) dropRemoved() {
	s.removed = slices.DeleteFunc(s.removed, func(r *receiver) bool {
		d, b, sole := r.dest, s.bucketOf(r), len(r.dest.receivers) == 1
		healthy := r.failures == 0 && s.now > r.recoveredAt+s.duration("Contract.RampTimeUs", 0) && !s.bucketInOutage(b)
		r.removedAt = cmp.Or(r.removedAt, s.now)
		switch {
		case r.state != Removed:
			r.removedAt = 0
			return true
		case len(r.calls) > 0 || s.now < b.retryAfterUntil || sole && d.active || (sole || !healthy) && s.now < r.removedAt+retention:
			return false
		}
		delete(s.receivers, r.id)
		d.receivers = slices.DeleteFunc(d.receivers, func(o *receiver) bool { return o == r })
		if r.ownLimit || sole {
			delete(s.buckets, b.key)
		}
		if sole {
			delete(s.destinations, d.id)
		}
		return true
	})
}
