package chain_test

import (
	"fmt"
	"time"

	"emberquay/coordination/chain"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// afterFirstStart is a trio that lost power when so many records of each first member's disk had been synced; it starts
// again, as of then no first start.
func afterFirstStart(synced [3]int, bootstrap bool) *trio {
	t := newTrio()
	t.seeds = []string{"a", "b", "c"}
	for _, name := range t.seeds {
		t.start(name, true)
	}
	t.waiting, t.nodes = nil, map[string]*chain.Node{}
	for at, name := range t.seeds {
		Expect(len(t.disks[name])).To(BeNumerically(">=", 2))
		t.disks[name] = t.disks[name][:synced[at]]
	}
	for _, name := range t.seeds {
		t.start(name, bootstrap)
	}
	return t
}

func isUntouched(e chain.Envelope) bool {
	_, is := e.Body.(chain.PristineReply)
	return is
}

// serves says whether a change is committed within some seconds.
func (t *trio) serves() bool {
	t.pass(2 * time.Second)
	t.propose("a", 0, 7)
	t.pass(3 * time.Second)
	return len(t.replies["a"]) == 1
}

var _ = Describe("a first start that a loss of power interrupted", func() {
	for state := range 27 {
		synced := [3]int{state % 3, state / 3 % 3, state / 9}
		It(fmt.Sprintf("goes on by itself with %v records synced, unless no disk holds any", synced), func() {
			Expect(afterFirstStart(synced, false).serves()).To(Equal(state > 0))
		})
	}
	It("is made again where no disk holds any", func() {
		Expect(afterFirstStart([3]int{}, true).serves()).To(BeTrue())
	})
	It("waits for each first member: a silent one may know what was acknowledged", func() {
		t := afterFirstStart([3]int{1, 1, 1}, false)
		t.stop("c")
		Expect(t.serves()).To(BeFalse())
		t.start("c", false)
		t.pass(2 * time.Second)
		Expect(t.replies["a"]).To(HaveLen(1))
	})
	It("is none where a first member has gone on", func() {
		t := newTrio("a", "b", "c")
		t.propose("a", 0, 7)
		for _, name := range []string{"b", "c"} {
			t.stop(name)
			t.disks[name] = t.disks[name][:1]
			t.start(name, false)
		}
		since := len(t.sent)
		t.pass(3 * time.Second)
		for _, e := range t.sent[since:] {
			Expect(e.From.Address == "a" && isUntouched(e)).To(BeFalse())
		}
	})
	It("takes only answers to its own questions", func() {
		t := afterFirstStart([3]int{1, 0, 0}, false)
		t.stop("b")
		t.stop("c")
		for _, name := range []string{"b", "c"} {
			stale := chain.Envelope{From: chain.Peer{Address: name}, To: chain.Peer{Address: "a"}, Body: chain.PristineReply{Nonce: 5}}
			t.take("a", t.nodes["a"].Step(t.now, stale))
		}
		Expect(t.nodes["a"].IsMember()).To(BeFalse())
	})
})
