package control

import (
	"cmp"
	"fmt"

	"emberquay/admission"
)

// Outages: receivers that fail, and what one that comes back may get.

// mayReach is the gate of rules 3, 4 and 6 that every call passes: nothing to a receiver that
// drains or is gone, nothing before a told wait is over, nothing past the budget of one that comes back.
func (s *Sender) mayReach(r *receiver) bool { return s.open(r) && s.withinBudget(r) }

func (s *Sender) open(r *receiver) bool { return r.listing == Up && s.now >= r.bucket.waitUntil }

// withinBudget is rule 4. A receiver that came back bears a multiple of its present capacity over a window;
// this sender keeps to its part of that. With hundreds of senders that part is a fraction of a call: then a
// draw, new each window, says whether the one call goes, so that all together they send what is borne.
func (s *Sender) withinBudget(r *receiver) bool {
	if !s.struck(r) {
		return true
	}
	if s.now >= r.drawAt {
		r.drawAt, r.draw = s.now+s.span("Contract.FallUs", 2*Second), s.chance.Float64()
	}
	return float64(s.recent(r)+1) <= s.budget(r)+r.draw
}

// struck: the receiver is in an outage or back from one, as far as this sender saw. One failure says little,
// or a refusal with the allowance untouched; where the budget is part of a call one of each is too much.
func (s *Sender) struck(r *receiver) bool {
	from := s.now - s.span("Contract.RampTimeUs", 0)
	cold, once := r.cold > 0 && r.cold >= from, r.fails > 0 || r.bucket.refusedFree > max(0, from)
	return r.fails > 1 || once && s.budget(r) < 0.5-spare || cold || s.shut(r.bucket)
}

// shut: refusals are an outage, of all receivers that share the bucket, only if they go on, or bar it, with
// no delivery, for the time in which a cold destination falls; after the last of them, or the end of a told
// wait, it is as warm as one that came back then. All who were told one wait would else come back at once.
func (s *Sender) shut(b *bucket) bool {
	last := max(b.refusedAt, b.waitUntil)
	return b.refusedSince > 0 && last-b.refusedSince > s.span("Contract.FallUs", 2*Second) &&
		s.now <= last+s.span("Contract.RampTimeUs", 0)
}

// budget is how many calls this sender may have sent to a receiver within the window: its even part of what
// is borne, less a quarter for those who saw no outage; where no capacity is known, of its own usual traffic.
func (s *Sender) budget(r *receiver) float64 {
	part := s.capacity(r) / s.senders()
	if part == 0 {
		part = r.dest.arrived * float64(Second) / float64(max(1, s.now-s.began+s.longestSLA))
	}
	if !r.apart {
		part /= float64(len(r.dest.receivers))
	}
	share := s.number("Contract.ColdFrom", 0)
	if ramp := s.span("Contract.RampTimeUs", 0); r.cold > 0 && ramp > 0 {
		share += (1 - share) * float64(s.now-r.cold) / float64(ramp)
	}
	seconds := float64(s.span("Contract.FallUs", 0)) / float64(Second)
	return (1 - 2*spare) * s.number("Contract.FallMultiple", 1) * part * share * seconds
}

// failed notes a call that failed; two in a row, and the receiver is looked at before it gets more texts.
func (s *Sender) failed(r *receiver) {
	if r.fails++; r.fails == 1 {
		r.failedSince = s.now
	}
	r.ill += admission.EWMAWeight * (1 - r.ill)
	if r.fails == 2 {
		s.out.Log(fmt.Sprintf("receiver %d down: 2 failures in a row", r.id))
	}
	if r.fails > 1 {
		r.restUntil = s.now + admission.Jitter(admission.Backoff(Second/8, r.fails, 4), 0.25, s.chance.Float64())
	}
}

// patience is how long a receiver with calls out may show no sign of life.
func (s *Sender) patience(r *receiver) Time {
	return Time(3*cmp.Or(r.pace, max(r.dest.pace, float64(Second)/2))) + Second/2
}

// suspect: calls are out, and for longer than patience nothing has come back.
func (s *Sender) suspect(r *receiver) bool {
	return len(r.calls) > 0 && s.now-max(r.calls[0].sent, r.answered) > s.patience(r)
}
