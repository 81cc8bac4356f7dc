package control

import (
	"maps"
	"slices"
)

// ReceiverHistory is what a sender has learnt of a receiver that still means the same to another process, on another
// build or with other settings: moments and spans. Readings of allowance, windows, shares of calls refused or
// lost and all that is counted depend on the fleet and its settings; they start afresh.
type ReceiverHistory struct {
	Receiver          ReceiverID `json:"-"`                    // the number is of one process only
	RetryAfterUntil   Time       `json:"wait_until,omitempty"` // told: rule 6
	RecoveredAt       Time       `json:"cold,omitempty"`       // when it came back: rule 4, as what follows
	Failures          int        `json:"fails,omitempty"`      // in a row
	FailedSince       Time       `json:"failed_since,omitempty"`
	RefusedSince      Time       `json:"refused_since,omitempty"` // for another reason than its limit
	RefusedAt         Time       `json:"refused_at,omitempty"`
	RefusedBelowLimit Time       `json:"refused_free,omitempty"` // with the allowance untouched
	CallTimes         []Time     `json:"calls,omitempty"`        // within the window of the return budget
	CallDuration      float64    `json:"pace,omitempty"`         // of an answered call, tenths
}

// History gives the lessons of all receivers that are known, by number.
func (s *Sender) History() []ReceiverHistory {
	var all []ReceiverHistory
	for _, id := range slices.Sorted(maps.Keys(s.receivers)) {
		r := s.receivers[id]
		b := s.bucketOf(r)
		s.recent(r) // forgets the older ones
		all = append(all, ReceiverHistory{Receiver: id, RetryAfterUntil: b.waitUntil, RecoveredAt: r.cold, Failures: r.fails,
			FailedSince: r.failedSince, RefusedSince: b.refusedSince, RefusedAt: b.refusedAt,
			RefusedBelowLimit: b.refusedFree,
			CallTimes:         slices.Clone(r.weighed), CallDuration: r.pace})
	}
	return all
}

// Restore takes a lesson of another process over; of what is not listed nothing is kept. Nothing that this
// sender knows already is made weaker by it.
func (s *Sender) Restore(l ReceiverHistory) {
	r := s.receivers[l.Receiver]
	if r == nil {
		return
	}
	b := s.bucketOf(r)
	b.waitUntil, b.refusedAt = max(b.waitUntil, l.RetryAfterUntil), max(b.refusedAt, l.RefusedAt)
	b.refusedFree = max(b.refusedFree, l.RefusedBelowLimit)
	if b.refusedSince == 0 {
		b.refusedSince = l.RefusedSince
	}
	r.cold, r.fails = max(r.cold, l.RecoveredAt), max(r.fails, l.Failures)
	if r.failedSince == 0 {
		r.failedSince = l.FailedSince
	}
	r.weighed = append(slices.Clone(l.CallTimes), r.weighed...)
	if r.pace == 0 {
		r.pace = l.CallDuration
	}
}
