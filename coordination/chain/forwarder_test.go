package chain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// failoverTime is how long a chain goes on waiting for a silent member, and what the next view takes, without delays.
	failoverTime = 800 * time.Millisecond
	// rediscoveryTime is how long a node that only forwards may take to find the new head: a call is given 100 ms, ticks are 25 ms
	// apart here and 50 ms in a busy node.
	rediscoveryTime = 200 * time.Millisecond
)

// forwardedCommandDelay is how long a command of the visitor waits that it makes so long after the head was lost.
func forwardedCommandDelay(sinceLoss time.Duration) time.Duration {
	t := newTestCluster("a", "b", "c")
	t.start("visitor", false)
	t.runFor(1500 * time.Millisecond)
	t.propose("visitor", 0, 7)
	t.runFor(100 * time.Millisecond)
	Expect(t.replies["visitor"]).To(HaveLen(1))
	t.stop(t.head())
	t.runFor(sinceLoss)
	startedAt := t.now
	t.propose("visitor", 1, 8)
	for len(t.replies["visitor"]) == 1 && t.now < startedAt+5*time.Second {
		t.runFor(25 * time.Millisecond)
	}
	return t.now - startedAt
}

var _ = Describe("a command that comes in at a node which only forwards, after the head was lost", func() {
	It("waits for the next view, and hardly longer than that", func() {
		for made := time.Duration(0); made < 1500*time.Millisecond; made += 50 * time.Millisecond {
			waited := forwardedCommandDelay(made)
			Expect(waited).To(BeNumerically("<=", max(0, failoverTime-made)+rediscoveryTime), "made %v after the loss", made)
		}
	})
})
