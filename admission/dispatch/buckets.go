package dispatch

import (
	"math"
	"slices"
	"time"

	"emberquay/admission"
)

const (
	// defaultPause is how long a bucket holds where no wait is told, and how long a report is good for: the
	// design's one second, after which one call looks.
	defaultPause = time.Second
	// baseBackoff is half of the pause after two failures in a row, which doubles with each further one.
	baseBackoff         = time.Second / 8
	maxBackoffDoublings = 4
	backoffJitter       = 0.25 // of a pause, either way, so that senders do not come back together
	// overdueFactor and leastOverdue say when a call is overdue: after so many usual times to the beginning of an
	// answer, and a time that neither a busy machine nor a lost packet comes to.
	overdueFactor   = 6
	minOverdueDelay = 300 * time.Millisecond
	// errorHalfLife is the time in which the share of failed calls counts for half: one that is avoided has no
	// answers by which to show that it is well again.
	errorHalfLife = 3 * time.Second
	// maxEndedCalls bounds the ended calls that are remembered for the next report, which may be older than their
	// ends. Those past it count as still running, the safe side.
	maxEndedCalls = 64
	// minReports is how many reports it takes to say what a receiver has as a rule: a few busy ones say little of the rest.
	minReports = 5
)

// mustRetain: something hangs on the bucket that must not be forgotten.
func (e *endpoint) mustRetain(now Instant) bool {
	return len(e.inFlight) > 0 || now < max(e.blockedUntil, e.backoffUntil) || e.hasFreshReport(now)
}

// concurrencyLimit is how many calls the receiver bears at once, from all senders.
func (e *endpoint) concurrencyLimit() int {
	if e.MaxConnections > 0 {
		return max(1, min(e.Slots, e.MaxConnections))
	}
	return max(1, e.Slots)
}

// usable: calls may go there now or later. Nothing ever goes to a receiver that drains.
func (e *endpoint) usable() bool { return !e.Draining && !e.misdirected }

// healthy: nothing speaks against it but its allowance and told waits, which bind in any case.
func (e *endpoint) healthy(now Instant) bool {
	return e.usable() && !e.Silent && now >= e.backoffUntil && !e.hasOverdueCall(now)
}

// hasOverdueCall: a call out there is overdue. A receiver may take calls, answer some of them and health checks, and leave the
// others hanging until their deadlines.
func (e *endpoint) hasOverdueCall(now Instant) bool {
	return slices.ContainsFunc(e.inFlight, func(q *request) bool { return q.isOverdue(now) })
}

// isOverdue: the answer to the call that is out should have begun.
func (q *request) isOverdue(now Instant) bool { return !q.responseStarted && now >= q.overdueAt }

// usableAsFallback: it may do where most of a pool is not good. One that rests gets one call at a time. Silence of
// most says more of the way that heartbeats take than of the receivers.
func (e *endpoint) usableAsFallback(now Instant) bool {
	return now >= e.backoffUntil || len(e.inFlight) == 0
}

// hasFreshReport: a report speaks of the bucket as it is now. One that read nought says no more once the hold of a
// bucket at nought is over; then one call looks.
func (e *endpoint) hasFreshReport(now Instant) bool {
	r := &e.reported
	if r.valid && now >= r.measuredAt.Add(defaultPause) {
		r.valid = false
		e.probed = e.probed && e.reportedLoad() < e.concurrencyLimit()
	}
	return r.valid
}

// reportedLoad is what the last report counts, with what own calls have changed since.
func (e *endpoint) reportedLoad() int {
	r := &e.reported
	return max(len(e.inFlight), r.Running+r.Queued+r.sentSince-r.endedSince)
}

// load is how many requests the receiver is thought to have, running and queued. One that nothing is told of is no
// emptier than the others are as a rule: reports may come from a part of the receivers only.
func (e *endpoint) load(now Instant, assumed float64) float64 {
	if e.hasFreshReport(now) {
		return float64(e.reportedLoad())
	}
	return max(float64(len(e.inFlight)), assumed)
}

// assumedLoad is what a receiver that nothing is told of is taken to have: the mean load of those that reports tell of, if
// they are enough to say so, else 0.
func (s *service) assumedLoad(now Instant) float64 {
	sum, reporting := 0, 0
	for _, e := range s.endpoints {
		if e.usable() && e.hasFreshReport(now) {
			sum += e.reportedLoad()
			reporting++
		}
	}
	if reporting < minReports {
		return 0
	}
	return float64(sum) / float64(reporting)
}

// allowance is how many calls more may go out now: slots less what the last report counts and own calls sent
// since; where no report is to be had, slots less own calls out. After a refusal no more are out than the
// learned window.
func (e *endpoint) allowance(now Instant) int {
	if !e.usable() || now < e.blockedUntil {
		return 0
	}
	fresh := e.hasFreshReport(now)
	limit := min(e.concurrencyLimit(), int(e.window))
	if !e.probed {
		limit = 1
	}
	remaining := limit - len(e.inFlight)
	if fresh {
		remaining = min(remaining, e.concurrencyLimit()-e.reportedLoad())
	}
	return max(0, remaining)
}

// applyReport takes a report; false if it is older than what is known.
func (e *endpoint) applyReport(now Instant, report Report) bool {
	r, at := &e.reported, now.Add(-report.Age)
	outdated := r.measuredAt != 0 && at <= r.measuredAt || report.Sequence > 0 && report.Sequence < r.Sequence
	if outdated || now >= at.Add(defaultPause) {
		return false
	}
	r.Report, r.valid, r.measuredAt = report, true, at
	r.sentSince, r.endedSince = 0, 0
	for _, q := range e.inFlight {
		if q.sentAt >= at {
			r.sentSince++
		}
	}
	r.recentlyEnded = slices.DeleteFunc(r.recentlyEnded, func(c endedCall) bool { return c.ended <= at })
	for _, c := range r.recentlyEnded {
		if c.sent < at {
			r.endedSince++
		}
	}
	return true
}

// callSent counts a call out.
func (e *endpoint) callSent(q *request) {
	e.inFlight = append(e.inFlight, q)
	e.pendingPrefillTokens += q.pendingPrefillTokens
	e.reported.sentSince++
}

// callEnded takes a call that has ended off the count.
func (e *endpoint) callEnded(now Instant, q *request) {
	i := slices.Index(e.inFlight, q)
	e.inFlight[i] = e.inFlight[len(e.inFlight)-1]
	e.inFlight[len(e.inFlight)-1] = nil
	e.inFlight = e.inFlight[:len(e.inFlight)-1]
	e.pendingPrefillTokens -= q.pendingPrefillTokens
	q.pendingPrefillTokens = 0
	r := &e.reported
	switch {
	case q.sentAt >= r.measuredAt:
		r.sentSince--
	case now > r.measuredAt:
		r.endedSince++
	}
	if len(r.recentlyEnded) == maxEndedCalls {
		r.recentlyEnded = slices.Delete(r.recentlyEnded, 0, 1)
	}
	r.recentlyEnded = append(r.recentlyEnded, endedCall{q.sentAt, now})
}

// rejected takes a refusal as full: nothing goes there until the told wait is over, and then one call first.
// Up to spread longer, as all who were told the same moment must not come back at once.
func (e *endpoint) rejected(now, sentAt Instant, retryAfter, jitter time.Duration) {
	if retryAfter <= 0 {
		retryAfter = defaultPause
	}
	e.blockedUntil = max(e.blockedUntil, now.Add(retryAfter+jitter))
	e.probed = false
	e.lastResponse = now
	if sentAt > e.rejectionCountedAt || e.rejectionCountedAt == 0 {
		e.rejectionCountedAt = now
		e.window.Refused(len(e.inFlight) + 1)
	}
}

// recordFailure notes a call that failed. From the second in a row on, the receiver rests, and one call looks first.
func (e *endpoint) recordFailure(now Instant, chance float64) {
	e.consecutiveFailures++
	if e.consecutiveFailures < 2 {
		return
	}
	backoff := admission.Jittered(admission.Doubled(baseBackoff, e.consecutiveFailures, maxBackoffDoublings), backoffJitter, chance)
	e.backoffUntil = max(e.backoffUntil, now.Add(backoff))
	e.probed = false
}

// recordError notes a call that failed though the receiver took it.
func (e *endpoint) recordError(now Instant) {
	e.errors = admission.Share(e.errorRate(now))
	e.errors.Seen(true)
	e.errorsAt = now
}

// errorRate is the share of late calls that failed, fading with time.
func (e *endpoint) errorRate(now Instant) float64 {
	return float64(e.errors) * math.Exp2(-float64(now.Sub(e.errorsAt))/float64(errorHalfLife))
}

// recordResponse notes a sign of life: an answer has begun.
func (e *endpoint) recordResponse(now Instant) {
	e.probed = true
	e.lastResponse = now
}
