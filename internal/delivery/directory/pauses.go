package directory

import (
	"math/rand/v2"
	"time"
)

// backoff draws how long a sender waits before it asks for the list again: a random part of a time that doubles with
// each try in a row. A platform that is asked by more than it can answer goes on working for those that have given up
// already; if all came again a moment later it would never get round to anybody. The chance in it keeps those apart
// that were killed, or turned away, at the same time.
type backoff struct {
	window  time.Duration // within which all senders together may ask once
	retries int           // in a row
	rng     *rand.Rand
}

// maxDoublings bounds how often the time doubles.
const maxDoublings = 2

func newBackoff(seed uint64, window time.Duration) *backoff {
	return &backoff{window: window, rng: rand.New(rand.NewPCG(seed, seed))}
}

// initialDelay is how long to wait before the first try, of the time in which all that start together ask.
func (p *backoff) initialDelay(window time.Duration) time.Duration {
	return time.Duration(p.rng.Float64() * float64(window))
}

// nextDelay is how long to wait for one more try; upheld: the last brought something, so that they begin anew.
func (p *backoff) nextDelay(succeeded bool) time.Duration {
	if succeeded {
		p.retries = 0
	}
	maxDelay := p.window << min(p.retries, maxDoublings)
	p.retries++
	return time.Duration(p.rng.Float64() * float64(maxDelay))
}
