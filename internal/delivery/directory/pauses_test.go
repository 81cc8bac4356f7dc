package directory

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// A fleet is killed and restarts at once. The platform handles one request at a time, keeps working on those whose
// senders gave up after two seconds, and rejects those that would wait longer than sixteen. If it can answer all before
// the first gives up, no request may fail; if not, all must have the list soon.
func TestAFleetThatRequestsAtOnceIsAnswered(t *testing.T) {
	for _, c := range []struct {
		totalTime, maxLastAnswer time.Duration
		maxFailed                int
	}{{2 * time.Second, 3 * time.Second, 0}, {8 * time.Second, 50 * time.Second, 200}} {
		failed, lastAnswer, missing := simulateFleet(80, c.totalTime)
		if missing > 0 || failed > c.maxFailed || lastAnswer > c.maxLastAnswer {
			t.Errorf("platform busy for %s: %d failed requests, last list after %s, %d senders without a list", c.totalTime, failed, lastAnswer, missing)
		}
	}
}

// simulateFleet simulates one minute; totalTime is what the platform takes to answer each sender once.
func simulateFleet(senders int, totalTime time.Duration) (failed int, lastAnswer time.Duration, missing int) {
	const giveUpAfter, maxWait = 2 * time.Second, 16 * time.Second
	type sender struct {
		backoff   *backoff
		requestAt time.Duration // time of its next request
	}
	var fleet []*sender
	for seed := range uint64(senders) {
		p := newBackoff(seed, 5*time.Second)
		fleet = append(fleet, &sender{p, p.initialDelay(750 * time.Millisecond)})
	}
	idleAt := time.Duration(0) // when the platform has finished all accepted requests
	for len(fleet) > 0 {
		slices.SortFunc(fleet, func(a, b *sender) int { return cmp.Compare(a.requestAt, b.requestAt) })
		next := fleet[0]
		if next.requestAt > time.Minute {
			break
		}
		idleAt = max(idleAt, next.requestAt)
		wait := idleAt - next.requestAt
		if wait <= maxWait {
			idleAt += totalTime / time.Duration(senders)
		}
		if wait <= giveUpAfter {
			fleet, lastAnswer = fleet[1:], idleAt
			continue
		}
		failed++
		next.requestAt += next.backoff.nextDelay(false)
		if wait <= maxWait {
			next.requestAt += giveUpAfter
		}
	}
	return failed, lastAnswer, len(fleet)
}

// The window grows with failed requests and is reset once a watch has received something.
func TestBackoffGrowsAndIsReset(t *testing.T) {
	p := newBackoff(1, time.Second)
	longestDelay := func(n int, succeeded bool) (longest time.Duration) {
		for range n {
			longest = max(longest, p.nextDelay(succeeded))
		}
		return longest
	}
	if first, later, afterReset := longestDelay(50, true), longestDelay(50, false), longestDelay(50, true); first > time.Second || afterReset > time.Second ||
		later <= 2*time.Second || later > 4*time.Second {
		t.Errorf("delays up to %s, %s after failures, %s after a success", first, later, afterReset)
	}
}

// A sender that starts with a cached list requests changes within the given time, not only after a retry delay:
// receivers may have begun to drain while it was down.
func TestTheFirstRequestComesSoon(t *testing.T) {
	for seed := range uint64(50) {
		p := newBackoff(seed, time.Hour)
		if first := p.initialDelay(time.Second); first >= time.Second {
			t.Errorf("first request after %s", first)
		}
	}
}
