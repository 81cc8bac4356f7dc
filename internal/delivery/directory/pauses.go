package directory

import (
	"math/rand/v2"
	"time"
)

// pauses draws how long a sender waits before it asks for the list again: a random part of a time that doubles with
// each try in a row. A platform that is asked by more than it can answer goes on working for those that have given up
// already; if all came again a moment later it would never get round to anybody. The chance in it keeps those apart
// that were killed, or turned away, at the same time.
type pauses struct {
	apart  time.Duration // within which all senders together may ask once
	tries  int           // in a row
	chance *rand.Rand
}

// mostDoubled bounds how often the time doubles.
const mostDoubled = 2

func newPauses(seed uint64, apart time.Duration) *pauses {
	return &pauses{apart: apart, chance: rand.New(rand.NewPCG(seed, seed))}
}

// first is how long to wait before the first try, of the time in which all that start together ask.
func (p *pauses) first(within time.Duration) time.Duration {
	return time.Duration(p.chance.Float64() * float64(within))
}

// next is how long to wait for one more try; upheld: the last brought something, so that they begin anew.
func (p *pauses) next(upheld bool) time.Duration {
	if upheld {
		p.tries = 0
	}
	top := p.apart << min(p.tries, mostDoubled)
	p.tries++
	return time.Duration(p.chance.Float64() * float64(top))
}
