package control

import (
	"cmp"
	"math"
	"slices"

	"emberquay/admission"
)

// What the list of receivers brings: when to ask for its changes, and when what is gone is forgotten.

// watch asks for the list's changes where they do not come by themselves, at a moment of this sender's: the
// list cannot answer a whole fleet that starts at once. Without a watch drains count as told that were not.
func (s *Sender) watch() {
	switch {
	case s.set["RegistryMode"] != "ask":
	case s.askAt == 0:
		s.askAt = s.now + 1 + s.askApart()
	case s.now >= s.askAt:
		s.askAt = math.MaxInt64
		s.out.WatchReceivers()
	}
}

// askApart draws when to ask, within the time in which all senders may, doubled with each try in vain.
func (s *Sender) askApart() Time {
	apart := min(s.span("Contract.AskEveryUs", 10*Second)/2, Time(s.senders())*Second/10)
	return Time(s.chance.Float64() * float64(admission.Backoff(apart, s.asks, 2)))
}

// HandleWatchEnd: the list could not be asked, or the watch has ended; what was listed still holds.
func (s *Sender) HandleWatchEnd() {
	s.asks++
	s.askAt = s.now + 1 + s.askApart()
}

// forget drops the receivers that are gone, so that nothing outlives them in a sender that runs for long: at
// once, or after a time where an outage is to be remembered, as they may be listed again, or where the
// destination has no other, as its next one may be a moment late. Texts and calls keep theirs.
func (s *Sender) forget() {
	s.gone = slices.DeleteFunc(s.gone, func(r *receiver) bool {
		d, b, last := r.dest, s.bucketOf(r), len(r.dest.receivers) == 1
		warm := r.fails == 0 && s.now > r.cold+s.span("Contract.RampTimeUs", 0) && !s.shut(b)
		r.left = cmp.Or(r.left, s.now)
		switch {
		case r.listing != Removed:
			r.left = 0
			return true
		case len(r.calls) > 0 || s.now < b.waitUntil || last && d.busy || (last || !warm) && s.now < r.left+goneFor:
			return false
		}
		delete(s.receivers, r.id)
		d.receivers = slices.DeleteFunc(d.receivers, func(o *receiver) bool { return o == r })
		if r.apart || last {
			delete(s.buckets, b.key)
		}
		if last {
			delete(s.destinations, d.id)
		}
		return true
	})
}
