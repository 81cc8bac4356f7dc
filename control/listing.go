package control

import (
	"cmp"
	"math"
	"slices"

	"emberquay/admission"
)

// What the list of receivers brings: when to ask for its changes, and when what is gone is forgotten.

// startWatch asks for the list's changes where they do not come by themselves, at a moment of this sender's: the
// list cannot answer a whole fleet that starts at once. Without a watch drains count as told that were not.
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

// watchDelay draws when to ask, within the time in which all senders may, doubled with each try in vain.
func (s *Sender) watchDelay() Time {
	spread := min(s.duration("Contract.AskEveryUs", 10*Second)/2, Time(s.senderCount())*Second/10)
	return Time(s.rng.Float64() * float64(admission.Backoff(spread, s.watchFailures, 2)))
}

// HandleWatchEnd: the list could not be asked, or the watch has ended; what was listed still holds.
func (s *Sender) HandleWatchEnd() {
	s.watchFailures++
	s.watchAt = s.now + 1 + s.watchDelay()
}

// dropRemoved drops the receivers that are gone, so that nothing outlives them in a sender that runs for long: at
// once, or after a time where an outage is to be remembered, as they may be listed again, or where the
// destination has no other, as its next one may be a moment late. Texts and calls keep theirs.
func (s *Sender) dropRemoved() {
	s.removed = slices.DeleteFunc(s.removed, func(r *receiver) bool {
		d, b, onlyOne := r.dest, s.bucketOf(r), len(r.dest.receivers) == 1
		healthy := r.failures == 0 && s.now > r.recoveredAt+s.duration("Contract.RampTimeUs", 0) && !s.bucketInOutage(b)
		r.removedAt = cmp.Or(r.removedAt, s.now)
		switch {
		case r.state != Removed:
			r.removedAt = 0
			return true
		case len(r.calls) > 0 || s.now < b.retryAfterUntil || onlyOne && d.active || (onlyOne || !healthy) && s.now < r.removedAt+removedRetention:
			return false
		}
		delete(s.receivers, r.id)
		d.receivers = slices.DeleteFunc(d.receivers, func(o *receiver) bool { return o == r })
		if r.ownLimit || onlyOne {
			delete(s.buckets, b.key)
		}
		if onlyOne {
			delete(s.destinations, d.id)
		}
		return true
	})
}
