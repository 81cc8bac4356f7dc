package control

import (
	"cmp"

	"emberquay/admission"
)

// Buckets: the allowance that answers report, told waits, and how long a bucket holds.

// bucketOf gives a receiver's bucket: its destination's, or its own where routes are apart. Past the cap
// the least recently used goes, unless a wait, a hold or a call still hangs on it.
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
				if idle && (oldest == nil || o.usedSeq < oldest.usedSeq) { // no two were used last by one text
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

// concurrencyLimit says how many calls a bucket bears at once: none while it reads nought, one until its first answer
// or after a hold, else the allowance left, or where there is no limit what experience bears.
func (s *Sender) concurrencyLimit(b *bucket) int {
	switch {
	case s.now < b.pausedUntil:
		return 0
	case !b.responded:
		return 1
	case b.limit == 0:
		return int(b.window)
	}
	b.remaining = max(1, b.remaining) // the hold is over: one call looks
	return int(min(float64(b.inFlight)+b.remaining, max(1, float64(b.window))))
}

// capacity is the calls a second that a receiver's bucket surely takes: the reported limit, else the listed
// rate at its worst.
func (s *Sender) capacity(r *receiver) float64 {
	switch {
	case r.bucket.limit > 0:
		return r.bucket.limit
	case s.settings["WeightSource"] == "nominal":
		return r.rate
	case s.settings["WeightSource"] == "rough":
		return r.rate / 1.5 // told up to half too high
	}
	return 0
}

// applyReport takes a reported allowance: at nought the bucket holds.
func (s *Sender) applyReport(b *bucket, report []float64) {
	remainingShare, limit, ok := s.parseReport(report)
	if !ok || b.responded && b.remainingShare == remainingShare && b.limit == limit { // the same knows nothing of what was sent since
		return
	}
	b.responded, b.remainingShare, b.limit, b.remaining = true, remainingShare, limit, min(1, remainingShare)*limit
	if b.remaining < 1 {
		s.pauseIfExhausted(b)
	}
}

// refusalPause is how long a bucket holds after a refusal, past the wait that it told, which is trusted once: the
// time in which this sender's part of the limit frees a call, more or less by half, twice that from the
// second on; a usual call where there is no limit, doubled each time. Refused calls may use the limit up:
// were it shorter for some, all senders' looks together would take what frees. Where answers hold no
// reports the listed rate stands in for the limit.
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

// pauseIfExhausted holds a bucket that has no whole call left, until this sender's part of the limit has freed
// one: were all to look each second, many senders would use up a small limit by looking. As far as calls
// are being refused it spaces them too. And where less is left than a call for each other sender, it
// spaces them by what is left, up to the time of its part once that is the spare: else all would send
// until they are refused, as none sees the others' calls before its next answer.
func (s *Sender) pauseIfExhausted(b *bucket) {
	calls := max(1-b.remaining, 2*b.refusalShare)
	if b.remaining < s.senderCount()-1 {
		calls = max(calls, reservedShare/max(reservedShare, b.remainingShare)-reservedShare)
	}
	if b.limit > 0 && calls > 0 {
		b.pausedUntil = max(b.pausedUntil, s.now+s.timeToFree(b.limit, calls))
	}
}

// timeToFree is the time in which this sender's even part of a limit frees so many calls, half of the shortest
// SLA time at most, and up to all of it as calls are refused everywhere: where most senders have no text for
// it far more than the part is free, and a small limit must not hold a bucket for ever. Up to the longest
// where nothing is reported: there a look is all that tells.
func (s *Sender) timeToFree(limit, calls float64) Time {
	maxTime := min(1, 0.5+2*s.refusalShare) * float64(s.shortestSLA)
	if !s.hasReports() {
		maxTime = float64(s.longestSLA)
	}
	return Time(min(maxTime, calls*s.senderCount()/limit*float64(Second)))
}

// callBackoff is a usual call, doubled so many times, the default pause at most.
func callBackoff(r *receiver, doublings int) Time {
	return min(defaultPause, admission.Backoff(cmp.Or(Time(r.dest.callDuration), defaultPause), doublings, 9))
}
