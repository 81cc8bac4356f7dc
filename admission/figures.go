package admission

import (
	"cmp"
	"math"
)

// Smoothing is the weight of the newest of a series in its mean: about the last ten count.
const Smoothing = 0.2

// Smooth moves an exponentially weighted mean towards v. A mean of nought has seen nothing and becomes v.
func Smooth(mean *float64, v float64) {
	*mean = cmp.Or(*mean, v)
	*mean += Smoothing * (v - *mean)
}

// Share is the part of late events that had a property, from 0 to 1; the zero value has seen none.
type Share float64

// Seen takes one event, which counts so much of a usual one's weight (1: fully).
func (s *Share) Seen(had bool, weight float64) {
	target := Share(0)
	if had {
		target = 1
	}
	*s += Share(Smoothing*weight) * (target - *s)
}

// FirstWindow is how many calls go out at once where nothing else bounds them, until experience does.
const FirstWindow = 8.0

// Window is how many calls out at once have been found bearable: halved at a refusal as full, one more for each
// windowful that is answered (additive increase, multiplicative decrease).
type Window float64

// Refused takes a refusal that came while so many calls were out.
func (w *Window) Refused(out int) { *w = max(1, min(*w, Window(out))/2) }

// Answered takes a success.
func (w *Window) Answered() { *w += 1 / *w }

// Doubled is a pause that doubles with each time, up to so many doublings.
func Doubled[T ~int64](pause T, times, most int) T { return pause << max(0, min(times, most)) }

// Jittered is a pause times a random factor between 1-spread and 1+spread, so that not all who were told the same
// come back at once; chance is drawn from [0, 1).
func Jittered[T ~int64](pause T, spread, chance float64) T {
	return T((1 - spread + 2*spread*chance) * float64(pause))
}

// Fading counts what came of late: each event fades away exponentially over a span.
type Fading struct {
	sum float64
	at  int64
}

// Add counts n events at a time and gives the count of late; span and now are in one unit.
func (f *Fading) Add(n float64, now int64, span float64) float64 {
	f.sum = f.sum*math.Exp(-float64(now-f.at)/span) + n
	f.at = now
	return f.sum
}
