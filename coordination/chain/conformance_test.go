package chain_test

import (
	"time"

	"emberquay/coordination/chain"
	"emberquay/coordination/view"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func isMessage[M chain.Message](e chain.Envelope) bool {
	_, ok := e.Body.(M)
	return ok
}

var _ = Describe("the first start", func() {
	It("creates epoch 1 with the seeds as members and persists it on each disk first", func() {
		t := newTestCluster("a", "b", "c")
		for _, name := range t.seeds {
			Expect(t.nodes[name].View().Epoch).To(Equal(int64(1)))
			Expect(t.nodes[name].View()).To(Equal(t.nodes["a"].View()))
			Expect(chainAddresses(t.nodes[name].View())).To(Equal([]string{"a", "b", "c"}))
			Expect(t.nodes[name].Self().ID).To(Equal(chain.FirstMemberID(name)))
			Expect(t.disks[name][0]).To(BeAssignableToTypeOf(chain.IdentityRecord{}))
			Expect(t.disks[name][1]).To(BeAssignableToTypeOf(chain.ViewRecord{}))
		}
		Expect(t.commits["b"]).To(HaveLen(1))
	})

	It("adds a node that is not a seed", func() {
		t := newTestCluster("a", "b", "c")
		t.start("d", true)
		t.runFor(time.Second)
		Expect(chainAddresses(t.newestView())).To(Equal([]string{"a", "b", "c", "d"}))
		Expect(t.newestView().Initial).To(Equal(3))
		t.propose("d", 0, 5)
		Expect(t.answers("d")).To(Equal([]int{1}))
	})

	It("works for a single node", func() {
		t := newTestCluster("a")
		t.propose("a", 0, 5)
		t.propose("a", 0, 6)
		t.read("a")
		Expect(t.answers("a")).To(Equal([]int{1, -1, 101}))
		t.stop("a")
		t.start("a", false)
		t.read("a")
		t.propose("a", 1, 7)
		t.runFor(time.Second)
		Expect(t.answers("a")[3:]).To(ConsistOf(101, 2))
	})
})

var _ = Describe("a write", func() {
	It("passes down the chain and its commit back up, each entry persisted before it is forwarded", func() {
		t := newTestCluster("a", "b", "c")
		since := len(t.sent)
		t.propose("c", 0, 5)
		Expect(t.messageKinds(since)).To(Equal([]string{
			"c->a chain.Propose", "a->b chain.Append", "b->c chain.Append",
			"c->b chain.Ack", "b->a chain.Ack", "a->c chain.ProposeResult",
		}))
		Expect(t.answers("c")).To(Equal([]int{1}))
		for _, name := range t.seeds {
			last := t.disks[name][len(t.disks[name])-1]
			Expect(last).To(BeAssignableToTypeOf(chain.EntryRecord{}))
			Expect(t.commits[name][len(t.commits[name])-1].Sequence).To(Equal(int64(1)))
		}
	})

	It("is in flight alone: the next one waits for its commit", func() {
		t := newTestCluster("a", "b", "c")
		t.dropMessage = isMessage[chain.Append]
		t.propose("a", 0, 5)
		t.propose("b", 1, 6)
		sequence, committed := t.nodes["a"].Progress()
		Expect([]int64{sequence, committed}).To(Equal([]int64{1, 0}))
		t.heal()
		t.runFor(300 * time.Millisecond)
		Expect(t.answers("a")).To(Equal([]int{1}))
		Expect(t.answers("b")).To(Equal([]int{2}))
	})

	DescribeTable("is answered once despite message loss", func(lose func(chain.Envelope) bool) {
		t := newTestCluster("a", "b", "c")
		t.dropMessage = lose
		t.propose("b", 0, 5)
		Expect(t.answers("b")).To(BeEmpty())
		t.heal()
		t.runFor(time.Second)
		Expect(t.answers("b")).To(Equal([]int{1}))
		Expect(t.newestView().Epoch).To(Equal(int64(1)))
	},
		Entry("of commands to the head", isMessage[chain.Propose]),
		Entry("of entries down the chain", isMessage[chain.Append]),
		Entry("of acks up the chain", isMessage[chain.Ack]),
		Entry("of results to the caller", isMessage[chain.ProposeResult]),
	)

	It("is not applied again when the command is received twice", func() {
		t := newTestCluster("a", "b", "c")
		since := len(t.sent)
		t.propose("b", 0, 5)
		again := t.sent[since]
		Expect(isMessage[chain.Propose](again)).To(BeTrue())
		out := t.nodes["a"].Step(t.now, again)
		Expect(out.Persist).To(BeEmpty())
		Expect(out.Send[0].Body.(chain.ProposeResult).Verdict).To(Equal(chain.ResultOK))
	})

	It("is resent to the next head if its head fails", func() {
		t := newTestCluster("a", "b", "c")
		t.dropMessage = func(e chain.Envelope) bool { return isMessage[chain.ProposeResult](e) }
		t.propose("b", 0, 5)
		t.stop("a")
		t.heal()
		t.runFor(2 * time.Second)
		Expect(t.answers("b")).To(Equal([]int{1}))
		Expect(t.head()).To(Equal("b"))
		_, values := t.nodes["b"].Progress()
		Expect(values).To(Equal(int64(1)), "it was applied once")
	})
})

var _ = Describe("an entry that only a partitioned head has", func() {
	var t *testCluster
	BeforeEach(func() {
		t = newTestCluster("a", "b", "c")
		t.isolate("a")
		t.propose("a", 0, 5)
		t.runFor(2 * time.Second)
		Expect(t.answers("a")).To(BeEmpty())
		Expect(chainAddresses(t.nodes["b"].View())).To(Equal([]string{"b", "c"}))
	})

	It("is replaced by the entry of the new chain, and its command is resent to the new head", func() {
		t.propose("c", 0, 6)
		Expect(t.answers("c")).To(Equal([]int{1}))
		t.heal()
		t.runFor(2 * time.Second)
		Expect(t.answers("a")).To(Equal([]int{-1}), "refused by the new head")
		Expect(chainAddresses(t.newestView())).To(Equal([]string{"b", "c", "a"}))
	})

	It("is never reported as committed, not even after a restart", func() {
		t.stop("a")
		commits := len(t.commits["a"])
		t.start("a", false)
		Expect(t.commits["a"]).To(HaveLen(commits))
		sequence, committed := t.nodes["a"].Progress()
		Expect([]int64{sequence, committed}).To(Equal([]int64{1, 0}))
		t.heal()
		t.runFor(2 * time.Second)
		sequence, committed = t.nodes["a"].Progress()
		Expect([]int64{sequence, committed}).To(Equal([]int64{0, 0}))
	})
})

var _ = Describe("an entry on some of the disks when all members lose power", func() {
	It("is committed after the chain has restarted", func() {
		t := newTestCluster("a", "b", "c")
		t.dropMessage = func(e chain.Envelope) bool { return isMessage[chain.Append](e) && e.To.Address == "c" }
		t.propose("b", 0, 5)
		for _, name := range t.seeds {
			t.stop(name)
		}
		t.heal()
		for _, name := range t.seeds {
			t.start(name, false)
		}
		t.runFor(time.Second)
		for _, name := range t.seeds {
			sequence, committed := t.nodes[name].Progress()
			Expect([]int64{sequence, committed}).To(Equal([]int64{1, 1}))
		}
		Expect(t.newestView().Epoch).To(Equal(int64(1)))
	})

	It("is part of the state of the next view if the head is gone", func() {
		t := newTestCluster("a", "b", "c")
		t.dropMessage = func(e chain.Envelope) bool { return isMessage[chain.Append](e) && e.To.Address == "c" }
		t.propose("c", 0, 5)
		t.stop("a")
		t.heal()
		t.runFor(2 * time.Second)
		_, committed := t.nodes["c"].Progress()
		Expect(committed).To(Equal(int64(1)))
		Expect(t.answers("c")).To(Equal([]int{1}))
	})
})

var _ = Describe("refusals and reads", func() {
	DescribeTable("wait for a majority to confirm that the epoch is not sealed", func(call func(*testCluster)) {
		t := newTestCluster("a", "b", "c")
		t.propose("a", 0, 5)
		t.dropMessage = isMessage[chain.EpochConfirmed]
		call(t)
		Expect(t.answers("a")).To(HaveLen(1))
		t.heal()
		t.runFor(300 * time.Millisecond)
		Expect(t.answers("a")).To(HaveLen(2))
		Expect(t.answers("a")[1]).To(BeElementOf(-1, 101))
	},
		Entry("a refusal", func(t *testCluster) { t.propose("a", 0, 6) }),
		Entry("a read", func(t *testCluster) { t.read("a") }),
	)

	It("count only confirmations of a round that started after them", func() {
		t := newTestCluster("a", "b", "c")
		t.dropMessage = isMessage[chain.EpochConfirmed]
		t.read("a") // the members have confirmed, but their messages are lost
		since := len(t.sent)
		t.read("a")
		Expect(t.messageKinds(since)).To(BeEmpty(), "the second read waits for the next round")
		t.heal()
		t.runFor(300 * time.Millisecond)
		Expect(t.answers("a")).To(Equal([]int{100, 100}))
	})

	It("are not answered by a head that was removed from the chain", func() {
		t := newTestCluster("a", "b", "c")
		t.propose("a", 0, 5)
		t.isolate("a")
		t.runFor(2 * time.Second)
		t.propose("b", 1, 6)
		t.propose("a", 0, 7)
		t.read("a")
		t.runFor(2 * time.Second)
		Expect(t.answers("a")).To(Equal([]int{1}))
		t.heal()
		t.runFor(2 * time.Second)
		Expect(t.answers("a")).To(ConsistOf(1, -2, 102))
	})

	It("reach a node that is not a member", func() {
		t := newTestCluster("a", "b", "c")
		t.propose("a", 0, 5)
		t.start("forwarder", false)
		Expect(t.disks["forwarder"]).To(BeEmpty())
		t.propose("forwarder", 0, 6)
		t.read("forwarder")
		t.runFor(time.Second)
		Expect(t.answers("forwarder")).To(ConsistOf(-1, 101))
		Expect(t.nodes["forwarder"].IsMember()).To(BeFalse())
		Expect(t.newestView().HasMember(t.nodes["forwarder"].Self().ID)).To(BeFalse())
	})

	It("are not needed for a node that is not a member to learn of a new view", func() {
		t := newTestCluster("a", "b", "c")
		t.start("forwarder", false)
		t.runFor(100 * time.Millisecond)
		Expect(t.nodes["forwarder"].View()).To(Equal(t.newestView()))
		t.start("d", true)
		t.runFor(3 * time.Second)
		Expect(t.newestView().Members).To(HaveLen(4))
		Expect(t.nodes["forwarder"].View()).To(Equal(t.newestView()))
		Expect(t.nodes["forwarder"].IsMember()).To(BeFalse())
	})

	It("report the fate of a command as unknown if its outcome was dropped", func() {
		t := newTestCluster("a", "b", "c")
		t.dropMessage = isMessage[chain.ProposeResult]
		t.propose("b", 0, 5)
		t.dropMessage = func(e chain.Envelope) bool {
			return isMessage[chain.ProposeResult](e) && e.To.Address == "b" || isMessage[chain.Propose](e) && e.From.Address == "b"
		}
		for n := uint64(1); n < 300; n++ { // more than the number of outcomes kept
			t.propose("a", n, n)
		}
		t.heal()
		t.runFor(time.Second)
		Expect(t.answers("b")).To(Equal([]int{0}))
	})
})

var _ = Describe("a member that has promised a ballot", func() {
	var t *testCluster
	var b *chain.Node
	var from, to chain.Peer
	send := func(body chain.Message) chain.Output {
		return b.Step(t.now, chain.Envelope{From: from, To: to, Body: body})
	}
	BeforeEach(func() {
		t = newTestCluster("a", "b", "c")
		t.propose("a", 0, 5)
		b = t.nodes["b"]
		from = chain.Peer{ID: chain.FirstMemberID("a"), Address: "a"}
		to = chain.Peer{ID: chain.FirstMemberID("b"), Address: "b"}
	})
	prepare := func(round, sequence int64) chain.Output {
		return send(chain.Prepare{Epoch: 1, Ballot: view.Ballot{Round: round, Proposer: from.ID}, Sequence: sequence})
	}

	It("persists the promise, and sends its state to a proposer with an older one", func() {
		out := prepare(1, 0)
		Expect(out.Persist).To(HaveLen(1))
		promise := out.Send[0].Body.(chain.Promise)
		Expect(promise.State.Full).To(BeTrue())
		Expect(promise.Sequence).To(Equal(int64(1)))
		again := prepare(1, 1)
		Expect(again.Persist).To(BeEmpty())
		Expect(again.Send[0].Body.(chain.Promise).State.Full).To(BeFalse())
	})

	It("takes no entry and does not confirm the epoch", func() {
		prepare(1, 1)
		entry := chain.Entry{Sequence: 2, Command: encodeCommand(1, 6)}
		Expect(send(chain.Append{Epoch: 1, Entry: entry, Committed: 1})).To(Equal(chain.Output{}))
		Expect(send(chain.ConfirmEpoch{Epoch: 1, Nonce: 7})).To(Equal(chain.Output{}))
	})

	It("rejects earlier ballots", func() {
		prepare(3, 1)
		out := prepare(2, 1)
		Expect(out.Persist).To(BeEmpty())
		Expect(out.Send[0].Body.(chain.BallotRejected).Promised.Round).To(Equal(int64(3)))
		out = send(chain.Accept{Epoch: 1, Ballot: view.Ballot{Round: 2, Proposer: from.ID}, Value: chain.Proposal{
			View: view.View{Epoch: 2, Members: b.View().Members, Chain: b.View().Chain}, State: chain.State{Epoch: 1, Sequence: 1}}})
		Expect(out.Send[0].Body).To(BeAssignableToTypeOf(chain.BallotRejected{}))
	})

	It("reports what it accepted, also after a restart", func() {
		prepare(1, 1)
		next := view.View{Epoch: 2, Initial: 3, Members: b.View().Members, Chain: b.View().Chain[:2]}
		t.handleOutput("b", send(chain.Accept{Epoch: 1, Ballot: view.Ballot{Round: 1, Proposer: from.ID},
			Value: chain.Proposal{View: next, State: chain.State{Epoch: 1, Sequence: 1}}}))
		t.start("b", false)
		b = t.nodes["b"]
		promise := prepare(2, 0).Send[0].Body.(chain.Promise)
		Expect(promise.Accepted.Round).To(Equal(int64(1)))
		Expect(promise.Value.View).To(Equal(next))
		Expect(promise.Value.State.Full).To(BeTrue())
	})

	It("proposes the next view itself if the proposer is gone", func() {
		t.handleOutput("b", prepare(1, 1))
		t.undelivered = nil
		t.runFor(3 * time.Second)
		Expect(t.newestView().Epoch).To(BeNumerically(">", 1))
		t.propose("b", 1, 6)
		Expect(t.answers("b")).To(Equal([]int{2}))
	})

	It("ignores nodes that are not members, and messages to another member id", func() {
		from = chain.Peer{ID: 99, Address: "x"}
		Expect(prepare(5, 1).Persist).To(BeEmpty())
		from = chain.Peer{ID: chain.FirstMemberID("a"), Address: "a"}
		to.ID = 98
		Expect(prepare(5, 1)).To(Equal(chain.Output{}))
	})
})

var _ = Describe("members", func() {
	It("remove a silent member from the chain, and take it back", func() {
		t := newTestCluster("a", "b", "c")
		t.isolate("b")
		t.runFor(1500 * time.Millisecond)
		Expect(chainAddresses(t.newestView())).To(Equal([]string{"a", "c"}))
		t.propose("c", 0, 5)
		Expect(t.answers("c")).To(Equal([]int{1}))
		t.heal()
		t.runFor(time.Second)
		Expect(chainAddresses(t.newestView())).To(Equal([]string{"a", "c", "b"}))
		_, committed := t.nodes["b"].Progress()
		Expect(committed).To(Equal(int64(1)))
	})

	It("never proceed without a majority", func() {
		t := newTestCluster("a", "b", "c")
		t.stop("b")
		t.stop("c")
		t.runFor(3 * time.Second)
		Expect(t.newestView().Epoch).To(Equal(int64(1)))
		t.propose("a", 0, 5)
		t.read("a")
		t.runFor(3 * time.Second)
		Expect(t.answers("a")).To(BeEmpty())
	})

	It("replace a member by the same node with an empty disk", func() {
		t := newTestCluster("a", "b", "c")
		t.propose("a", 0, 5)
		t.stop("b")
		t.disks["b"] = nil
		t.start("b", false)
		Expect(t.nodes["b"].Self().ID).NotTo(Equal(chain.FirstMemberID("b")))
		t.runFor(1500 * time.Millisecond)
		Expect(chainAddresses(t.newestView())).To(ConsistOf("a", "b", "c"))
		Expect(t.newestView().Members).To(HaveLen(3))
		Expect(t.newestView().HasMember(chain.FirstMemberID("b"))).To(BeFalse())
		_, committed := t.nodes["b"].Progress()
		Expect(committed).To(Equal(int64(1)))
	})

	It("replace a dead member by another node", func() {
		t := newTestCluster("a", "b", "c")
		t.stop("a")
		t.runFor(2 * time.Second)
		t.start("d", false)
		t.runFor(time.Second)
		Expect(chainAddresses(t.newestView())).To(Equal([]string{"b", "c", "d"}))
		Expect(t.newestView().Members).To(HaveLen(3))
	})

	DescribeTable("continue at once without one that leaves the chain, which answers until then", func(name string, names ...string) {
		t := newTestCluster(names...)
		t.propose(names[1], 0, 5)
		t.runFor(300 * time.Millisecond)
		by := names[1]
		if by == name {
			by = names[2]
		}
		t.handleOutput(name, t.nodes[name].LeaveChain(t.now))
		began := t.now
		t.propose(name, 1, 6) // a call that it makes itself is answered
		for !t.nodes[name].HasLeftChain() && t.now-began < 5*time.Second {
			t.runFor(25 * time.Millisecond)
		}
		Expect(t.now - began).To(BeNumerically("<", 250*time.Millisecond))
		Expect(t.answers(name)).To(ContainElement(2))
		t.stop(name)
		t.propose(by, 2, 7)
		Expect(t.answers(by)).To(ContainElement(3))
		Expect(chainAddresses(t.newestView())).NotTo(ContainElement(name))
		Expect(t.newestView().Members).To(HaveLen(len(names)), "it remains a voting member, as it will return")

		t.start(name, false)
		t.runFor(time.Second)
		Expect(chainAddresses(t.newestView())).To(ContainElement(name))
	},
		Entry("the head", "a", "a", "b", "c"),
		Entry("the middle", "b", "a", "b", "c"),
		Entry("the tail", "c", "a", "b", "c"),
		Entry("the head of four", "a", "a", "b", "c", "d"),
	)

	It("keep a leaving one in the chain if too few would be left", func() {
		t := newTestCluster("a", "b", "c")
		t.stop("c")
		t.runFor(2 * time.Second)
		t.handleOutput("a", t.nodes["a"].LeaveChain(t.now))
		t.runFor(time.Second)
		Expect(t.nodes["a"].HasLeftChain()).To(BeFalse())
		Expect(chainAddresses(t.newestView())).To(Equal([]string{"a", "b"}))
		t.propose("b", 0, 5)
		Expect(t.answers("b")).To(Equal([]int{1}), "it serves calls meanwhile")
	})

	It("do not wait for silent members that precede them in the chain", func() {
		t := newTestCluster("a", "b", "c")
		t.stop("a")
		began := t.now
		t.propose("c", 0, 5)
		for len(t.answers("c")) == 0 {
			t.runFor(25 * time.Millisecond)
		}
		Expect(t.now - began).To(BeNumerically("<=", view.SuspectTimeout+100*time.Millisecond))
	})

	It("remove a dead one of four, which returns with a new id", func() {
		t := newTestCluster("a", "b", "c")
		t.start("d", true)
		t.runFor(time.Second)
		old := t.nodes["b"].Self().ID
		t.isolate("b")
		t.runFor(3 * time.Second)
		Expect(t.newestView().Members).To(HaveLen(3))
		t.propose("d", 0, 5)
		t.heal()
		t.runFor(2 * time.Second)
		Expect(t.newestView().Members).To(HaveLen(4))
		Expect(chainAddresses(t.newestView())).To(HaveLen(4))
		Expect(t.nodes["b"].Self().ID).NotTo(Equal(old))
		var durable chain.DurableState
		for _, r := range t.disks["b"] {
			Expect(durable.Apply(r)).To(Succeed())
		}
		Expect(durable.Member.ID).To(Equal(t.nodes["b"].Self().ID))
		Expect(durable.Acceptor.Sealed()).To(BeFalse())
	})

	It("that were suspended do not take the others for silent", func() {
		t := newTestCluster("a", "b", "c")
		t.now += 10 * time.Second
		since := len(t.sent)
		for _, name := range t.seeds {
			t.handleOutput(name, t.nodes[name].Tick(t.now))
		}
		t.deliver()
		t.runFor(time.Second)
		Expect(t.messageKinds(since)).To(BeEmpty())
		Expect(t.newestView().Epoch).To(Equal(int64(1)))
	})

	It("send only heartbeats while idle", func() {
		t := newTestCluster("a", "b", "c")
		since := len(t.sent)
		t.runFor(10 * time.Second)
		Expect(t.messageKinds(since)).To(BeEmpty())
		Expect(len(t.sent) - since).To(BeNumerically("~", 3*2*50, 12))
	})
})
