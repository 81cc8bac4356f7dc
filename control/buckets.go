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
	if r.apart {
		key.route = r.id
	}
	b := s.buckets[key]
	if b == nil {
		if len(s.buckets) >= bucketCap {
			var oldest *bucket
			for _, o := range s.buckets {
				idle := o.flight == 0 && s.now >= max(o.waitUntil, o.heldUntil)
				if idle && (oldest == nil || o.used < oldest.used) { // no two were used last by one text
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

// room says how many calls a bucket bears at once: none while it reads nought, one until its first answer
// or after a hold, else the allowance left, or where there is no limit what experience bears.
func (s *Sender) room(b *bucket) int {
	switch {
	case s.now < b.heldUntil:
		return 0
	case !b.known:
		return 1
	case b.limit == 0:
		return int(b.window)
	}
	b.left = max(1, b.left) // the hold is over: one call looks
	return int(min(float64(b.flight)+b.left, max(1, float64(b.window))))
}

// capacity is the calls a second that a receiver's bucket surely takes: the reported limit, else the listed
// rate at its worst.
func (s *Sender) capacity(r *receiver) float64 {
	switch {
	case r.bucket.limit > 0:
		return r.bucket.limit
	case s.set["WeightSource"] == "nominal":
		return r.rate
	case s.set["WeightSource"] == "rough":
		return r.rate / 1.5 // told up to half too high
	}
	return 0
}

// reported takes a reported allowance: at nought the bucket holds.
func (s *Sender) reported(b *bucket, report []float64) {
	share, limit, ok := s.reading(report)
	if !ok || b.known && b.share == share && b.limit == limit { // the same knows nothing of what was sent since
		return
	}
	b.known, b.share, b.limit, b.left = true, share, limit, min(1, share)*limit
	if b.left < 1 {
		s.holdAtNought(b)
	}
}

// pause is how long a bucket holds after a refusal, past the wait that it told, which is trusted once: the
// time in which this sender's part of the limit frees a call, more or less by half, twice that from the
// second on; a usual call where there is no limit, doubled each time. Refused calls may use the limit up:
// were it shorter for some, all senders' looks together would take what frees. Where answers hold no
// reports the listed rate stands in for the limit.
func (s *Sender) pause(r *receiver, told bool) Time {
	b, limit := r.bucket, s.capacity(r)
	limited := limit > 0 && (b.limit > 0 || !s.reports())
	switch {
	case told && (b.fulls < 2 || !limited):
		return 0
	case limited:
		return admission.Jitter(admission.Backoff(s.freeing(limit, 1), b.fulls-1, 1), 0.5, s.chance.Float64())
	}
	return backOff(r, b.fulls-1)
}

// holdAtNought holds a bucket that has no whole call left, until this sender's part of the limit has freed
// one: were all to look each second, many senders would use up a small limit by looking. As far as calls
// are being refused it spaces them too. And where less is left than a call for each other sender, it
// spaces them by what is left, up to the time of its part once that is the spare: else all would send
// until they are refused, as none sees the others' calls before its next answer.
func (s *Sender) holdAtNought(b *bucket) {
	need := max(1-b.left, 2*b.strain)
	if b.left < s.senders()-1 {
		need = max(need, spare/max(spare, b.share)-spare)
	}
	if b.limit > 0 && need > 0 {
		b.heldUntil = max(b.heldUntil, s.now+s.freeing(b.limit, need))
	}
}

// freeing is the time in which this sender's even part of a limit frees so many calls, half of the shortest
// SLA time at most, and up to all of it as calls are refused everywhere: where most senders have no text for
// it far more than the part is free, and a small limit must not hold a bucket for ever. Up to the longest
// where nothing is reported: there a look is all that tells.
func (s *Sender) freeing(limit, calls float64) Time {
	most := min(1, 0.5+2*s.strain) * float64(s.shortestSLA)
	if !s.reports() {
		most = float64(s.longestSLA)
	}
	return Time(min(most, calls*s.senders()/limit*float64(Second)))
}

// backOff is a usual call, doubled so many times, the default pause at most.
func backOff(r *receiver, times int) Time {
	return min(defaultPause, admission.Backoff(cmp.Or(Time(r.dest.pace), defaultPause), times, 9))
}
