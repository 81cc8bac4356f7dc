package chain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// suspected is how long a chain goes on waiting for a silent member, and what the next view takes, without delays.
	suspected = 800 * time.Millisecond
	// found is how long a node that only forwards may take to find the new head: a call is given 100 ms, ticks are 25 ms
	// apart here and 50 ms in a busy node.
	found = 200 * time.Millisecond
)

// answeredAfter is how long a command of the visitor waits that it makes so long after the head was lost.
func answeredAfter(madeAfter time.Duration) time.Duration {
	t := newTrio("a", "b", "c")
	t.start("visitor", false)
	t.pass(1500 * time.Millisecond)
	t.propose("visitor", 0, 7)
	t.pass(100 * time.Millisecond)
	Expect(t.replies["visitor"]).To(HaveLen(1))
	t.stop(t.head())
	t.pass(madeAfter)
	made := t.now
	t.propose("visitor", 1, 8)
	for len(t.replies["visitor"]) == 1 && t.now < made+5*time.Second {
		t.pass(25 * time.Millisecond)
	}
	return t.now - made
}

var _ = Describe("a command that comes in at a node which only forwards, after the head was lost", func() {
	It("waits for the next view, and hardly longer than that", func() {
		for made := time.Duration(0); made < 1500*time.Millisecond; made += 50 * time.Millisecond {
			waited := answeredAfter(made)
			Expect(waited).To(BeNumerically("<=", max(0, suspected-made)+found), "made %v after the loss", made)
		}
	})
})
