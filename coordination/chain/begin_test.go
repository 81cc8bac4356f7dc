package chain_test

import (
	"fmt"
	"time"

	"emberquay/coordination/chain"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// interruptedBootstrap returns a cluster of three whose first start a power failure interrupted, after the given number of
// records was synced at each member. The nodes are started again from what their disks hold.
func interruptedBootstrap(synced [3]int, bootstrap bool) *testCluster {
	t := newTestCluster()
	t.seeds = []string{"a", "b", "c"}
	for _, name := range t.seeds {
		t.start(name, true)
	}
	t.undelivered, t.nodes = nil, map[string]*chain.Node{}
	for i, name := range t.seeds {
		Expect(len(t.disks[name])).To(BeNumerically(">=", 2))
		t.disks[name] = t.disks[name][:synced[i]]
	}
	for _, name := range t.seeds {
		t.start(name, bootstrap)
	}
	return t
}

func isPristineReply(e chain.Envelope) bool {
	_, is := e.Body.(chain.PristineReply)
	return is
}

// commitsChange reports whether a change is committed within a few seconds.
func (t *testCluster) commitsChange() bool {
	t.runFor(2 * time.Second)
	t.propose("a", 0, 7)
	t.runFor(3 * time.Second)
	return len(t.replies["a"]) == 1
}

var _ = Describe("a first start interrupted by a power failure", func() {
	for state := range 27 {
		synced := [3]int{state % 3, state / 3 % 3, state / 9}
		It(fmt.Sprintf("completes by itself with %v records synced, unless no disk holds any", synced), func() {
			Expect(interruptedBootstrap(synced, false).commitsChange()).To(Equal(state > 0))
		})
	}
	It("is repeated with Bootstrap if no disk holds any records", func() {
		Expect(interruptedBootstrap([3]int{}, true).commitsChange()).To(BeTrue())
	})
	It("waits for every first member, as a silent one may hold acknowledged entries", func() {
		t := interruptedBootstrap([3]int{1, 1, 1}, false)
		t.stop("c")
		Expect(t.commitsChange()).To(BeFalse())
		t.start("c", false)
		t.runFor(2 * time.Second)
		Expect(t.replies["a"]).To(HaveLen(1))
	})
	It("is not assumed if a first member already holds an entry", func() {
		t := newTestCluster("a", "b", "c")
		t.propose("a", 0, 7)
		for _, name := range []string{"b", "c"} {
			t.stop(name)
			t.disks[name] = t.disks[name][:1]
			t.start(name, false)
		}
		since := len(t.sent)
		t.runFor(3 * time.Second)
		for _, e := range t.sent[since:] {
			Expect(e.From.Address == "a" && isPristineReply(e)).To(BeFalse())
		}
	})
	It("ignores replies to probes of another process", func() {
		t := interruptedBootstrap([3]int{1, 0, 0}, false)
		t.stop("b")
		t.stop("c")
		for _, name := range []string{"b", "c"} {
			stale := chain.Envelope{From: chain.Peer{Address: name}, To: chain.Peer{Address: "a"}, Body: chain.PristineReply{Nonce: 5}}
			t.handleOutput("a", t.nodes["a"].Step(t.now, stale))
		}
		Expect(t.nodes["a"].IsMember()).To(BeFalse())
	})
})
