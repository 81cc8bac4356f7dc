package chain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// failoverTime is the time until a silent member is suspected, plus the time to decide the next view without delays.
	failoverTime = 800 * time.Millisecond
	// rediscoveryTime is how long a forwarding node may take to find the new head: it asks for a newer view when a call is
	// unanswered for 100 ms; ticks are 25 ms apart here and 50 ms in a busy node.
	rediscoveryTime = 200 * time.Millisecond
)

// forwardedCommandDelay returns how long a forwarding node waits for a command made at the given time after the head failed.
func forwardedCommandDelay(sinceFailure time.Duration) time.Duration {
	t := newTestCluster("a", "b", "c")
	t.start("forwarder", false)
	t.runFor(1500 * time.Millisecond)
	t.propose("forwarder", 0, 7)
	t.runFor(100 * time.Millisecond)
	Expect(t.replies["forwarder"]).To(HaveLen(1))
	t.stop(t.head())
	t.runFor(sinceFailure)
	startedAt := t.now
	t.propose("forwarder", 1, 8)
	for len(t.replies["forwarder"]) == 1 && t.now < startedAt+5*time.Second {
		t.runFor(25 * time.Millisecond)
	}
	return t.now - startedAt
}

var _ = Describe("a command made at a node that only forwards, after the head failed", func() {
	It("waits little longer than the next view takes", func() {
		for made := time.Duration(0); made < 1500*time.Millisecond; made += 50 * time.Millisecond {
			waited := forwardedCommandDelay(made)
			Expect(waited).To(BeNumerically("<=", max(0, failoverTime-made)+rediscoveryTime), "made %v after the failure", made)
		}
	})
})
