package directory

import (
	"math/rand/v2"
	"time"
)

// backoff draws how long a sender waits before it requests the list again: a random part of a time that doubles with
// each consecutive try. A platform with more requests than it can answer still works on those whose senders have
// given up; if all senders retried a moment later, it would never answer any. The randomness separates
// senders that were killed or rejected at the same time.
type backoff struct {
	window  time.Duration // in which all senders together may request once
	retries int           // consecutive
	rng     *rand.Rand
}

// maxDoublings limits how often the window doubles.
const maxDoublings = 2

func newBackoff(seed uint64, window time.Duration) *backoff {
	return &backoff{window: window, rng: rand.New(rand.NewPCG(seed, seed))}
}

// initialDelay returns the wait before the first request of a sender; all that start together are spread over the window.
func (p *backoff) initialDelay(window time.Duration) time.Duration {
	return time.Duration(p.rng.Float64() * float64(window))
}

// nextDelay returns the wait before the next request; if the last one succeeded, the window is reset.
func (p *backoff) nextDelay(succeeded bool) time.Duration {
	if succeeded {
		p.retries = 0
	}
	maxDelay := p.window << min(p.retries, maxDoublings)
	p.retries++
	return time.Duration(p.rng.Float64() * float64(maxDelay))
}
