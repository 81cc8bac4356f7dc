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
		s.recentCalls(r) // forgets the older ones
		all = append(all, ReceiverHistory{Receiver: id, RetryAfterUntil: b.retryAfterUntil, RecoveredAt: r.recoveredAt, Failures: r.failures,
			FailedSince: r.failedSince, RefusedSince: b.refusedSince, RefusedAt: b.refusedAt,
			RefusedBelowLimit: b.refusedBelowLimit,
			CallTimes:         slices.Clone(r.callTimes), CallDuration: r.callDuration})
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
	b.retryAfterUntil, b.refusedAt = max(b.retryAfterUntil, l.RetryAfterUntil), max(b.refusedAt, l.RefusedAt)
	b.refusedBelowLimit = max(b.refusedBelowLimit, l.RefusedBelowLimit)
	if b.refusedSince == 0 {
		b.refusedSince = l.RefusedSince
	}
	r.recoveredAt, r.failures = max(r.recoveredAt, l.RecoveredAt), max(r.failures, l.Failures)
	if r.failedSince == 0 {
		r.failedSince = l.FailedSince
	}
	r.callTimes = append(slices.Clone(l.CallTimes), r.callTimes...)
	if r.callDuration == 0 {
		r.callDuration = l.CallDuration
	}
}
