package control

import (
	"maps"
	"slices"
)

// ReceiverHistory is what a sender has learned of a receiver that means the same to another process, with another
// build or other settings: times and durations. Reported allowances, windows, shares of calls refused or
// lost and all counts depend on the fleet and its settings; they are not carried over.
type ReceiverHistory struct {
	Receiver          ReceiverID `json:"-"`                    // identifies the receiver in one process only
	RetryAfterUntil   Time       `json:"wait_until,omitempty"` // of the Retry-After delay, which binds a new process too (rule 6)
	RecoveredAt       Time       `json:"cold,omitempty"`       // this and all below limit calls to a recovering receiver (rule 4)
	Failures          int        `json:"fails,omitempty"`      // consecutive
	FailedSince       Time       `json:"failed_since,omitempty"`
	RefusedSince      Time       `json:"refused_since,omitempty"` // for another reason than its rate limit
	RefusedAt         Time       `json:"refused_at,omitempty"`
	RefusedBelowLimit Time       `json:"refused_free,omitempty"` // with unused allowance
	CallTimes         []Time     `json:"calls,omitempty"`        // within the window of the recovery budget
	CallDuration      float64    `json:"pace,omitempty"`         // mean of answered calls, in ticks
}

// History returns the history of all known receivers, ordered by ID.
func (s *Sender) History() []ReceiverHistory {
	var all []ReceiverHistory
	for _, id := range slices.Sorted(maps.Keys(s.receivers)) {
		r := s.receivers[id]
		b := s.bucketOf(r)
		s.recentCalls(r) // drops the older ones
		all = append(all, ReceiverHistory{Receiver: id, RetryAfterUntil: b.retryAfterUntil, RecoveredAt: r.recoveredAt, Failures: r.failures,
			FailedSince: r.failedSince, RefusedSince: b.refusedSince, RefusedAt: b.refusedAt,
			RefusedBelowLimit: b.refusedBelowLimit,
			CallTimes:         slices.Clone(r.callTimes), CallDuration: r.callDuration})
	}
	return all
}

// Restore merges the history that another process learned; that of receivers which are not listed is ignored. It does not
// weaken any restriction that this sender has learned itself.
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
