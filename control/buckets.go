package control

import (
	"cmp"

	"emberquay/admission"
)

// Buckets: the allowance that responses report, Retry-After delays, and how long a bucket pauses.

// bucketOf returns a receiver's bucket: its own if its route has its own limit, else the destination's. Beyond
// maxBuckets the least recently used is dropped, unless it is paused or has a Retry-After delay or calls in flight.
func (s *Sender) bucketOf(r *receiver) *bucket {
	key := bucketKey{dest: r.dest.id}
	if r.ownLimit {
		key.receiver = r.id
	}
	b := s.buckets[key]
	if b == nil {
		if len(s.buckets) >= maxBuckets {
			var oldest *bucket
			for _, o := range s.buckets {
				idle := o.inFlight == 0 && s.now >= max(o.retryAfterUntil, o.pausedUntil)
				if idle && (oldest == nil || o.usedSeq < oldest.usedSeq) { // assumes that usedSeq has no ties
					oldest = o
				}
			}
			if oldest != nil {
				delete(s.buckets, oldest.key)
			}
		}
		b = &bucket{key: key, window: admission.InitialWindow}
		s.buckets[key] = b
	}
	return b
}

// concurrencyLimit returns how many calls a bucket may have in flight: none while paused, one until its first
// response or after a pause, else the remaining allowance, or without a limit the learned window.
func (s *Sender) concurrencyLimit(b *bucket) int {
	switch {
	case s.now < b.pausedUntil:
		return 0
	case !b.responded:
		return 1
	case b.limit == 0:
		return int(b.window)
	}
	b.remaining = max(1, b.remaining) // the pause is over: one call probes
	return int(min(float64(b.inFlight)+b.remaining, max(1, float64(b.window))))
}

// capacity returns the calls per second that a receiver's bucket takes at least: the reported limit, else the
// listed rate less its possible error.
func (s *Sender) capacity(r *receiver) float64 {
	switch {
	case r.bucket.limit > 0:
		return r.bucket.limit
	case s.settings["WeightSource"] == "nominal":
		return r.rate
	case s.settings["WeightSource"] == "rough":
		return r.rate / 1.5 // the listed rate is up to half too high
	}
	return 0
}

// applyReport applies a reported allowance; if it is exhausted, the bucket pauses.
func (s *Sender) applyReport(b *bucket, report []float64) {
	share, limit, ok := s.parseReport(report)
	if !ok || b.responded && b.remainingShare == share && b.limit == limit { // an unchanged report does not count calls sent since
		return
	}
	b.responded, b.remainingShare, b.limit, b.remaining = true, share, limit, min(1, share)*limit
	if b.remaining < 1 {
		s.pauseIfExhausted(b)
	}
}

// refusalPause returns how long a bucket pauses after a refusal, beyond its Retry-After delay. With a delay it is 0 at the
// first refusal, and always if there is no limit. Else it is the time in which this sender's part of the limit frees a
// call, plus or minus half, doubled from the second refusal on; without a limit a typical call, doubled each time.
// Refused calls may use up the limit: with shorter pauses the probes of all senders together would take what is freed.
// If responses carry no reports, the listed rate replaces the limit.
func (s *Sender) refusalPause(r *receiver, hasRetryAfter bool) Time {
	b, limit := r.bucket, s.capacity(r)
	limited := limit > 0 && (b.limit > 0 || !s.hasReports())
	switch {
	case hasRetryAfter && (b.refusals < 2 || !limited):
		return 0
	case limited:
		return admission.Jitter(admission.Backoff(s.timeToFree(limit, 1), b.refusals-1, 1), 0.5, s.rng.Float64())
	}
	return callBackoff(r, b.refusals-1)
}

// pauseIfExhausted pauses a bucket with less than one call remaining until this sender's part of the limit has freed
// one: if all senders probed each second, many would use up a small limit by probing. It also spaces calls by the
// share of them that is refused. And if less than one call per other sender remains, it spaces calls by the
// remaining share, the more the closer that is to reservedShare: otherwise all would send until they are
// refused, as none sees the others' calls before its next response.
func (s *Sender) pauseIfExhausted(b *bucket) {
	calls := max(1-b.remaining, 2*b.refusalShare)
	if b.remaining < s.senderCount()-1 {
		calls = max(calls, reservedShare/max(reservedShare, b.remainingShare)-reservedShare)
	}
	if b.limit > 0 && calls > 0 {
		b.pausedUntil = max(b.pausedUntil, s.now+s.timeToFree(b.limit, calls))
	}
}

// timeToFree returns the time in which this sender's even part of a limit frees a number of calls, at most half of the
// shortest SLA time, and up to all of it as calls are refused everywhere: if most senders have no text for the
// destination, far more than the part is free, and a small limit must not pause a bucket indefinitely. Without
// reports the maximum is the longest SLA time: then only a probe shows what is free.
func (s *Sender) timeToFree(limit, calls float64) Time {
	maxTime := min(1, 0.5+2*s.refusalShare) * float64(s.shortestSLA)
	if !s.hasReports() {
		maxTime = float64(s.longestSLA)
	}
	return Time(min(maxTime, calls*s.senderCount()/limit*float64(Second)))
}

// callBackoff returns the duration of a typical call, doubled n times, at most defaultPause.
func callBackoff(r *receiver, n int) Time {
	return min(defaultPause, admission.Backoff(cmp.Or(Time(r.dest.callDuration), defaultPause), n, 9))
}
