package admission

import (
	"cmp"
	"math"
)

// UpdateEWMA moves an exponentially weighted mean towards v. A mean of nought has seen nothing and becomes v.
func UpdateEWMA(mean *float64, v float64) {
	*mean = cmp.Or(*mean, v)
	*mean += EWMAWeight * (v - *mean)
}

// Fraction is the part of late events that had a property, from 0 to 1; the zero value has seen none.
type Fraction float64

// Observe takes one event.
func (s *Fraction) Observe(had bool) {
	target := Fraction(0)
	if had {
		target = 1
	}
	*s += EWMAWeight * (target - *s)
}

// DecayingCount counts what came of late: each event fades away exponentially over a span.
type DecayingCount struct {
	sum float64
	at  int64
}

// Add counts n events at a time and gives the count of late; span and now are in one unit.
func (f *DecayingCount) Add(n float64, now int64, span float64) float64 {
	f.sum = f.sum*math.Exp(-float64(now-f.at)/span) + n
	f.at = now
	return f.sum
}
