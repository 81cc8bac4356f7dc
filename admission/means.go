package admission

import (
	"cmp"
	"math"
)

// UpdateEWMA moves an exponentially weighted mean towards v. A zero mean has seen no value and becomes v.
func UpdateEWMA(mean *float64, v float64) {
	*mean = cmp.Or(*mean, v)
	*mean += EWMAWeight * (v - *mean)
}

// Fraction is the exponentially weighted share of recent events with a property, from 0 to 1; the zero value has seen none.
type Fraction float64

// Observe counts one event.
func (s *Fraction) Observe(hasProperty bool) {
	target := Fraction(0)
	if hasProperty {
		target = 1
	}
	*s += EWMAWeight * (target - *s)
}

// DecayingCount counts recent events: the weight of each decays exponentially.
type DecayingCount struct {
	count     float64
	updatedAt int64
}

// Add counts n events and returns the decayed count; now and timeConstant are in one unit.
func (f *DecayingCount) Add(n float64, now int64, timeConstant float64) float64 {
	f.count = f.count*math.Exp(-float64(now-f.updatedAt)/timeConstant) + n
	f.updatedAt = now
	return f.count
}
