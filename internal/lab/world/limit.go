package world

import (
	"math"
	"time"
)

// Limit is what a destination lets through, for all senders together. A plain rate lets a second's worth through at
// once and fills up evenly; a count in a span starts anew with each span.
type Limit struct {
	count float64       // calls a second, or in each span
	span  time.Duration // 0: a plain rate
	phase time.Duration // spans begin then
	cuts  []*Strike     // while it is lower

	left float64
	at   time.Duration // of left
}

func newLimit(k *Kind, perSecond float64, phase time.Duration) *Limit {
	l := &Limit{count: perSecond, phase: phase}
	if k.Limit == "span" {
		l.span = seconds(k.SpanS)
		l.count = max(1, math.Round(perSecond*k.SpanS))
	}
	l.left = l.burst(0)
	return l
}

// PerSecond is the limit of an instant in calls a second.
func (l *Limit) PerSecond(now time.Duration) float64 {
	if l.span > 0 {
		return l.countAt(now) / l.span.Seconds()
	}
	return l.countAt(now)
}

// countAt is the count of an instant.
func (l *Limit) countAt(now time.Duration) float64 {
	count := l.count
	for _, s := range l.cuts {
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

// number counts the spans up to an instant.
func (l *Limit) number(at time.Duration) time.Duration {
	return (at - l.phase + 1000*l.span) / l.span
}

// leftAt is what is left at an instant, if nothing comes before it.
func (l *Limit) leftAt(at time.Duration) float64 {
	switch {
	case at <= l.at:
		return l.left
	case l.span > 0 && l.number(at) != l.number(l.at):
		return l.countAt(at)
	case l.span > 0:
		return min(l.left, l.countAt(at))
	}
	return min(l.burst(at), l.left+l.countAt(at)*(at-l.at).Seconds())
}

// take lets one call through, or not; refused ones may use it up as well.
func (l *Limit) take(now time.Duration, refusedCount bool) bool {
	l.left, l.at = l.leftAt(now), max(now, l.at)
	if l.left >= 1 {
		l.left--
		return true
	}
	if refusedCount && l.span == 0 {
		l.left = max(-l.burst(now), l.left-1) // what was refused pushes the next free call back, bounded
	}
	return false
}

// room is how long until a call is let through.
func (l *Limit) room(now time.Duration) time.Duration {
	left := l.leftAt(now)
	switch {
	case left >= 1:
		return 0
	case l.span > 0:
		next := l.phase + (l.number(now)+1-1000)*l.span
		return next - now
	}
	return seconds((1 - left) / l.countAt(now))
}
