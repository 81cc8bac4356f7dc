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
	// firstRest is half of the pause after two failures in a row, which doubles with each further one.
	firstRest     = time.Second / 8
	mostDoublings = 4
	restSpread    = 0.25 // of a pause, either way, so that senders do not come back together
	// overdueTimes and leastOverdue say when a call is overdue: after so many usual times to the beginning of an
	// answer, and a time that neither a busy machine nor a lost packet comes to.
	overdueTimes = 6
	leastOverdue = 300 * time.Millisecond
	// illnessHalves is the time in which the share of failed calls counts for half: one that is avoided has no
	// answers by which to show that it is well again.
	illnessHalves = 3 * time.Second
	// endedKept bounds the ended calls that are remembered for the next report, which may be older than their
	// ends. Those past it count as still running, the safe side.
	endedKept = 64
	// leastTold is how many reports it takes to say what a receiver has as a rule: a few busy ones say little of the rest.
	leastTold = 5
)

// binds: something hangs on the bucket that must not be forgotten.
func (b *bucket) binds(now Instant) bool {
	return len(b.out) > 0 || now < max(b.waitUntil, b.restUntil) || b.told(now)
}

// limit is how many calls the receiver bears at once, from all senders.
func (b *bucket) limit() int {
	if b.MaxConnections > 0 {
		return max(1, min(b.Slots, b.MaxConnections))
	}
	return max(1, b.Slots)
}

// usable: calls may go there now or later. Nothing ever goes to a receiver that drains.
func (b *bucket) usable() bool { return !b.Draining && !b.elsewhere }

// good: nothing speaks against it but its allowance and told waits, which bind in any case.
func (b *bucket) good(now Instant) bool {
	return b.usable() && !b.Silent && now >= b.restUntil && !b.hangs(now)
}

// hangs: a call out there is overdue. A receiver may take calls, answer some of them and health checks, and leave the
// others hanging until their deadlines.
func (b *bucket) hangs(now Instant) bool {
	return slices.ContainsFunc(b.out, func(q *request) bool { return q.hangs(now) })
}

// hangs: the answer to the call that is out should have begun.
func (q *request) hangs(now Instant) bool { return !q.started && now >= q.overdue }

// bearable: it may do where most of a pool is not good. One that rests gets one call at a time. Silence of
// most says more of the way that heartbeats take than of the receivers.
func (b *bucket) bearable(now Instant) bool { return now >= b.restUntil || len(b.out) == 0 }

// told: a report speaks of the bucket as it is now. One that read nought says no more once the hold of a
// bucket at nought is over; then one call looks.
func (b *bucket) told(now Instant) bool {
	r := &b.reading
	if r.told && now >= r.at.Add(defaultPause) {
		r.told = false
		b.known = b.known && b.counted() < b.limit()
	}
	return r.told
}

// counted is what the last report counts, with what own calls have changed since.
func (b *bucket) counted() int {
	r := &b.reading
	return max(len(b.out), r.Running+r.Queued+r.since-r.returned)
}

// load is how many requests the receiver is thought to have, running and queued. One that nothing is told of is no
// emptier than the others are as a rule: reports may come from a part of the receivers only.
func (b *bucket) load(now Instant, usual float64) float64 {
	if b.told(now) {
		return float64(b.counted())
	}
	return max(float64(len(b.out)), usual)
}

// usualLoad is what a receiver that nothing is told of is taken to have: the mean load of those that reports tell of, if
// they are enough to say so, else 0.
func (s *service) usualLoad(now Instant) float64 {
	sum, told := 0, 0
	for _, b := range s.buckets {
		if b.usable() && b.told(now) {
			sum += b.counted()
			told++
		}
	}
	if told < leastTold {
		return 0
	}
	return float64(sum) / float64(told)
}

// allowance is how many calls more may go out now: slots less what the last report counts and own calls sent
// since; where no report is to be had, slots less own calls out. After a refusal no more are out than the
// learned window.
func (b *bucket) allowance(now Instant) int {
	if !b.usable() || now < b.waitUntil {
		return 0
	}
	told := b.told(now)
	most := min(b.limit(), int(b.window))
	if !b.known {
		most = 1
	}
	left := most - len(b.out)
	if told {
		left = min(left, b.limit()-b.counted())
	}
	return max(0, left)
}

// report takes a report; false if it is older than what is known.
func (b *bucket) report(now Instant, told Report) bool {
	r, at := &b.reading, now.Add(-told.Age)
	older := r.at != 0 && at <= r.at || told.Sequence > 0 && told.Sequence < r.Sequence
	if older || now >= at.Add(defaultPause) {
		return false
	}
	r.Report, r.told, r.at = told, true, at
	r.since, r.returned = 0, 0
	for _, q := range b.out {
		if q.sent >= at {
			r.since++
		}
	}
	r.ended = slices.DeleteFunc(r.ended, func(c endedCall) bool { return c.ended <= at })
	for _, c := range r.ended {
		if c.sent < at {
			r.returned++
		}
	}
	return true
}

// sent counts a call out.
func (b *bucket) sent(q *request) {
	b.out = append(b.out, q)
	b.unread += q.unread
	b.reading.since++
}

// returned takes a call that has ended off the count.
func (b *bucket) returned(now Instant, q *request) {
	i := slices.Index(b.out, q)
	b.out[i] = b.out[len(b.out)-1]
	b.out[len(b.out)-1] = nil
	b.out = b.out[:len(b.out)-1]
	b.unread -= q.unread
	q.unread = 0
	r := &b.reading
	switch {
	case q.sent >= r.at:
		r.since--
	case now > r.at:
		r.returned++
	}
	if len(r.ended) == endedKept {
		r.ended = slices.Delete(r.ended, 0, 1)
	}
	r.ended = append(r.ended, endedCall{q.sent, now})
}

// refused takes a refusal as full: nothing goes there until the told wait is over, and then one call first.
// Up to spread longer, as all who were told the same moment must not come back at once.
func (b *bucket) refused(now, sent Instant, wait, spread time.Duration) {
	if wait <= 0 {
		wait = defaultPause
	}
	b.waitUntil = max(b.waitUntil, now.Add(wait+spread))
	b.known = false
	b.answered = now
	if sent > b.fullAt || b.fullAt == 0 {
		b.fullAt = now
		b.window.Refused(len(b.out) + 1)
	}
}

// failed notes a call that failed. From the second in a row on, the receiver rests, and one call looks first.
func (b *bucket) failed(now Instant, chance float64) {
	b.fails++
	if b.fails < 2 {
		return
	}
	rest := admission.Jittered(admission.Doubled(firstRest, b.fails, mostDoublings), restSpread, chance)
	b.restUntil = max(b.restUntil, now.Add(rest))
	b.known = false
}

// sick notes a call that failed though the receiver took it.
func (b *bucket) sick(now Instant) {
	b.ill = admission.Share(b.illness(now))
	b.ill.Seen(true)
	b.illAt = now
}

// illness is the share of late calls that failed, fading with time.
func (b *bucket) illness(now Instant) float64 {
	return float64(b.ill) * math.Exp2(-float64(now.Sub(b.illAt))/float64(illnessHalves))
}

// lives notes a sign of life: an answer has begun.
func (b *bucket) lives(now Instant) {
	b.known = true
	b.answered = now
}
