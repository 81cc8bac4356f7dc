package directory

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// A fleet is killed and comes back in one moment, to a platform that takes one call of each in so long, works on for
// those that have given up after two seconds, and turns away what would wait for sixteen. None is turned away where it
// can answer them all before the first gives up, and all of them have the list before long where it cannot.
func TestAFleetThatAsksAtOnceIsAnswered(t *testing.T) {
	for _, c := range []struct {
		allIn, last time.Duration
		inVain      int
	}{{2 * time.Second, 3 * time.Second, 0}, {8 * time.Second, 50 * time.Second, 200}} {
		inVain, last, missing := simulateFleet(80, c.allIn)
		if missing > 0 || inVain > c.inVain || last > c.last {
			t.Errorf("all in %s: %d tries in vain, the last list after %s, %d have none", c.allIn, inVain, last, missing)
		}
	}
}

// simulateFleet plays it for a minute.
func simulateFleet(senders int, allIn time.Duration) (inVain int, last time.Duration, missing int) {
	const patience, booked = 2 * time.Second, 16 * time.Second
	type asker struct {
		pauses *backoff
		at     time.Duration // of its next try
	}
	var fleet []*asker
	for seed := range uint64(senders) {
		p := newBackoff(seed, 5*time.Second)
		fleet = append(fleet, &asker{p, p.initialDelay(750 * time.Millisecond)})
	}
	done := time.Duration(0) // when the platform is through with all it has taken on
	for len(fleet) > 0 {
		slices.SortFunc(fleet, func(a, b *asker) int { return cmp.Compare(a.at, b.at) })
		next := fleet[0]
		if next.at > time.Minute {
			break
		}
		done = max(done, next.at)
		wait := done - next.at
		if wait <= booked {
			done += allIn / time.Duration(senders)
		}
		if wait <= patience {
			fleet, last = fleet[1:], done
			continue
		}
		inVain++
		next.at += next.pauses.nextDelay(false)
		if wait <= booked {
			next.at += patience
		}
	}
	return inVain, last, len(fleet)
}

// What a pause grows by ends with the first thing that a watch brings.
func TestPausesGrowAndBeginAnew(t *testing.T) {
	p := newBackoff(1, time.Second)
	most := func(n int, upheld bool) (longest time.Duration) {
		for range n {
			longest = max(longest, p.nextDelay(upheld))
		}
		return longest
	}
	if first, later, anew := most(50, true), most(50, false), most(50, true); first > time.Second || anew > time.Second ||
		later <= 2*time.Second || later > 4*time.Second {
		t.Errorf("pauses up to %s, %s in a row, %s once one has brought something", first, later, anew)
	}
}

// A sender that is started with a list asks for news of it within the time that it is given, not when a try in vain
// would be made again: receivers may have begun to drain while it was down.
func TestTheFirstAskComesSoon(t *testing.T) {
	for seed := range uint64(50) {
		p := newBackoff(seed, time.Hour)
		if first := p.initialDelay(time.Second); first >= time.Second {
			t.Errorf("asks first after %s", first)
		}
	}
}
