package world

import (
	"math"
	"time"
)

// Limit is a destination's rate limit, shared by all senders. A plain rate is a token bucket that holds one second's worth
// and refills evenly; a count per span is a fixed window that resets at the start of each span.
type Limit struct {
	count      float64       // calls per second, or per span
	span       time.Duration // window length; 0: a plain rate
	phase      time.Duration // offset at which spans begin
	reductions []*Incident   // incidents that lower the limit

	remaining float64
	updatedAt time.Duration // time for which remaining holds
}

func newLimit(k *Kind, perSecond float64, phase time.Duration) *Limit {
	l := &Limit{count: perSecond, phase: phase}
	if k.Limit == "span" {
		l.span = seconds(k.SpanS)
		l.count = max(1, math.Round(perSecond*k.SpanS))
	}
	l.remaining = l.burst(0)
	return l
}

// PerSecond returns the limit at a time, in calls per second.
func (l *Limit) PerSecond(now time.Duration) float64 {
	if l.span > 0 {
		return l.countAt(now) / l.span.Seconds()
	}
	return l.countAt(now)
}

// countAt returns the count at a time, after reductions.
func (l *Limit) countAt(now time.Duration) float64 {
	count := l.count
	for _, s := range l.reductions {
		if now >= s.From && now < s.To {
			count *= s.Factor
		}
	}
	return count
}

func (l *Limit) burst(now time.Duration) float64 {
	if l.span > 0 {
		return l.countAt(now)
	}
	return max(1, l.countAt(now))
}

// spanNumber returns the index of the span that a time lies in.
func (l *Limit) spanNumber(at time.Duration) time.Duration {
	return (at - l.phase + 1000*l.span) / l.span
}

// remainingAt returns the calls left at a time if none arrive before it.
func (l *Limit) remainingAt(at time.Duration) float64 {
	switch {
	case at <= l.updatedAt:
		return l.remaining
	case l.span > 0 && l.spanNumber(at) != l.spanNumber(l.updatedAt):
		return l.countAt(at)
	case l.span > 0:
		return min(l.remaining, l.countAt(at))
	}
	return min(l.burst(at), l.remaining+l.countAt(at)*(at-l.updatedAt).Seconds())
}

// tryTake reports whether a call passes the limit, and counts it. With refusedCount, refused calls count too.
func (l *Limit) tryTake(now time.Duration, refusedCount bool) bool {
	l.remaining, l.updatedAt = l.remainingAt(now), max(now, l.updatedAt)
	if l.remaining >= 1 {
		l.remaining--
		return true
	}
	if refusedCount && l.span == 0 {
		l.remaining = max(-l.burst(now), l.remaining-1) // a refused call delays the next permitted one, by a bounded amount
	}
	return false
}

// timeToNext returns the time until a call would pass the limit.
func (l *Limit) timeToNext(now time.Duration) time.Duration {
	left := l.remainingAt(now)
	switch {
	case left >= 1:
		return 0
	case l.span > 0:
		next := l.phase + (l.spanNumber(now)+1-1000)*l.span
		return next - now
	}
	return seconds((1 - left) / l.countAt(now))
}
