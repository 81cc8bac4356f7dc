package dispatch

import (
	"math"
	"slices"
	"time"

	"emberquay/admission"
)

const (
	// defaultPause is how long an endpoint is blocked where no Retry-After is given, and how long a report is valid;
	// after it, one call probes the receiver. The design sets it to one second.
	defaultPause = time.Second
	// baseBackoff is a quarter of the backoff after two consecutive failures; each further failure doubles it.
	baseBackoff         = time.Second / 8
	maxBackoffDoublings = 4
	backoffJitter       = 0.25 // fraction of the backoff, either way, so that proxies do not return at the same time
	// overdueFactor and minOverdueDelay define when a call is overdue: after this many expected times to first byte,
	// plus a delay longer than a busy machine or a lost packet causes.
	overdueFactor   = 6
	minOverdueDelay = 300 * time.Millisecond
	// errorHalfLife is the half-life of an endpoint's error rate: an endpoint that is avoided gets no calls whose
	// success could lower it.
	errorHalfLife = 3 * time.Second
	// maxEndedCalls bounds the ended calls remembered for the next report, which may predate their ends. Calls beyond
	// the bound count as still running, which is the safe side.
	maxEndedCalls = 64
	// minReports is the number of reports needed to infer the load of the other receivers: a few busy ones say little
	// about the rest.
	minReports = 5
)

// mustRetain reports whether the endpoint has state that must outlive its removal from the list.
func (e *endpoint) mustRetain(now Instant) bool {
	return len(e.inFlight) > 0 || now < max(e.blockedUntil, e.backoffUntil) || e.hasFreshReport(now)
}

// concurrencyLimit is the number of concurrent calls that the receiver can take from all proxies.
func (e *endpoint) concurrencyLimit() int {
	if e.MaxConnections > 0 {
		return max(1, min(e.Slots, e.MaxConnections))
	}
	return max(1, e.Slots)
}

// usable reports whether calls may be sent now or later. A draining receiver never gets any.
func (e *endpoint) usable() bool { return !e.Draining && !e.misdirected }

// healthy reports whether nothing but its allowance and Retry-After, which always apply, restricts the endpoint.
func (e *endpoint) healthy(now Instant) bool {
	return e.usable() && !e.Silent && now >= e.backoffUntil && !e.hasOverdueCall(now)
}

// hasOverdueCall reports whether a call in flight is overdue. A receiver may accept calls, answer some of them and
// its health checks, and leave the others without a response until their deadlines.
func (e *endpoint) hasOverdueCall(now Instant) bool {
	return slices.ContainsFunc(e.inFlight, func(q *request) bool { return q.isOverdue(now) })
}

// isOverdue reports whether the response to the call in flight should have started by now.
func (q *request) isOverdue(now Instant) bool { return !q.responseStarted && now >= q.overdueAt }

// usableAsFallback reports whether the endpoint may be used while most of the pool is unhealthy. During backoff it
// gets one call at a time. Silent receivers are included: if most are silent, the delivery of heartbeats is the more
// likely fault.
func (e *endpoint) usableAsFallback(now Instant) bool {
	return now >= e.backoffUntil || len(e.inFlight) == 0
}

// hasFreshReport reports whether the last report still describes the endpoint. When a report that showed no free slot
// expires, the endpoint has been blocked for defaultPause and is probed by a single call.
func (e *endpoint) hasFreshReport(now Instant) bool {
	r := &e.reported
	if r.valid && now >= r.measuredAt.Add(defaultPause) {
		r.valid = false
		e.probed = e.probed && e.reportedLoad() < e.concurrencyLimit()
	}
	return r.valid
}

// reportedLoad is the load of the last report, corrected by this proxy's calls that started or ended since.
func (e *endpoint) reportedLoad() int {
	r := &e.reported
	return max(len(e.inFlight), r.Running+r.Queued+r.sentSince-r.endedSince)
}

// load estimates the requests running and queued at the receiver. Without a fresh report it is at least the assumed
// load: reports may come from only some of the receivers, and the others must not look idle.
func (e *endpoint) load(now Instant, assumed float64) float64 {
	if e.hasFreshReport(now) {
		return float64(e.reportedLoad())
	}
	return max(float64(len(e.inFlight)), assumed)
}

// assumedLoad is the load assumed for receivers without a fresh report: the mean of those with one, or 0 if they are
// too few.
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

// allowance is the number of further calls that may be sent now: the slots minus the reported load and the calls sent
// since, or, without a fresh report, minus this proxy's calls in flight. After a rejection the adaptive window limits
// the calls in flight too.
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

// applyReport records a report. It returns false for a report that has expired or is older than the last one.
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

// callSent records the start of a call.
func (e *endpoint) callSent(q *request) {
	e.inFlight = append(e.inFlight, q)
	e.pendingPrefillTokens += q.pendingPrefillTokens
	e.reported.sentSince++
}

// callEnded records the end of a call.
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

// rejected records that the receiver was full: it gets no calls until the Retry-After and a jitter have passed, and
// then a single call first. The jitter keeps proxies that were given the same time from returning at once.
func (e *endpoint) rejected(now, sentAt Instant, retryAfter, jitter time.Duration) {
	if retryAfter <= 0 {
		retryAfter = defaultPause
	}
	e.blockedUntil = max(e.blockedUntil, now.Add(retryAfter+jitter))
	e.probed = false
	e.lastResponse = now
	if sentAt > e.rejectionCountedAt || e.rejectionCountedAt == 0 {
		e.rejectionCountedAt = now
		e.window.OnRefusal(len(e.inFlight) + 1)
	}
}

// recordFailure records a failed call. From the second consecutive failure on, the endpoint backs off and is then
// probed by a single call.
func (e *endpoint) recordFailure(now Instant, chance float64) {
	e.consecutiveFailures++
	if e.consecutiveFailures < 2 {
		return
	}
	backoff := admission.Jitter(admission.Backoff(baseBackoff, e.consecutiveFailures, maxBackoffDoublings), backoffJitter, chance)
	e.backoffUntil = max(e.backoffUntil, now.Add(backoff))
	e.probed = false
}

// recordError records a call that failed after the receiver had accepted it.
func (e *endpoint) recordError(now Instant) {
	e.errors = admission.Fraction(e.errorRate(now))
	e.errors.Observe(true)
	e.errorsAt = now
}

// errorRate is the share of recent calls that failed, decaying with time.
func (e *endpoint) errorRate(now Instant) float64 {
	return float64(e.errors) * math.Exp2(-float64(now.Sub(e.errorsAt))/float64(errorHalfLife))
}

// recordResponse records that a response has started.
func (e *endpoint) recordResponse(now Instant) {
	e.probed = true
	e.lastResponse = now
}
