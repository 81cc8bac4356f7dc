package chain_test

import (
	"emberquay/coordination/chain"
	"emberquay/coordination/view"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the records of a disk", func() {
	first := view.First([]view.Member{{ID: 1, Address: "a"}})
	second := view.View{Epoch: 2, Initial: 1, Members: first.Members, Chain: first.Chain}
	identity := chain.IdentityRecord{Member: view.Member{ID: 1, Address: "a"}}
	begin := chain.ViewRecord{View: first, State: chain.State{Epoch: 1, Full: true, Snapshot: (&register{}).Snapshot()}}
	entry := func(epoch, sequence int64) chain.EntryRecord {
		return chain.EntryRecord{Epoch: epoch, Entry: chain.Entry{Sequence: sequence, Command: encodeCommand(uint64(sequence-1), 5)}}
	}
	vote := func(epoch, round int64) chain.VoteRecord {
		return chain.VoteRecord{Epoch: epoch, Acceptor: view.Acceptor[chain.Proposal]{Promised: view.Ballot{Round: round, Proposer: 1}}}
	}
	same := chain.ViewRecord{View: second, State: chain.State{Epoch: 1, Sequence: 1}, Committed: 1}
	other := chain.ViewRecord{View: second, State: chain.State{Epoch: 1, Sequence: 4, Full: true, Snapshot: []byte{'v'}}, Committed: 4}
	checkpoint := chain.ViewRecord{View: first, State: chain.State{Epoch: 1, Sequence: 2, Full: true, Snapshot: []byte{'v'}}}

	DescribeTable("are combined", func(epoch int64, sequence int64, round int64, records ...chain.Record) {
		var d chain.DurableState
		for _, r := range records {
			Expect(d.Apply(r)).To(Succeed())
		}
		Expect(d.View.Epoch).To(Equal(epoch))
		Expect(d.State.Sequence + int64(len(d.Entries))).To(Equal(sequence))
		Expect(d.Acceptor.Promised.Round).To(Equal(round))
	},
		Entry("to the first view", int64(1), int64(0), int64(0), identity, begin),
		Entry("to the entries and the vote", int64(1), int64(2), int64(3), identity, begin, entry(1, 1), vote(1, 3), entry(1, 2)),
		Entry("to one entry, if it is read twice", int64(1), int64(1), int64(0), identity, begin, entry(1, 1), entry(1, 1)),
		Entry("to the next view with the same state, without the previous vote", int64(2), int64(1), int64(0), identity, begin, entry(1, 1), vote(1, 1), same),
		Entry("to the next view with another state", int64(2), int64(4), int64(0), identity, begin, entry(1, 1), other),
		Entry("to a checkpoint, with the vote", int64(1), int64(2), int64(1), identity, begin, vote(1, 1), entry(1, 1), entry(1, 2), checkpoint),
		Entry("to the checkpoint, if the records before it are incomplete", int64(1), int64(2), int64(2), entry(1, 1), same, vote(1, 1), identity, checkpoint, vote(1, 2)),
		Entry("to an empty state for another member", int64(0), int64(0), int64(0), identity, begin, entry(1, 1), vote(1, 1), chain.IdentityRecord{Member: view.Member{ID: 2}}),
		Entry("without votes of another epoch", int64(2), int64(1), int64(0), identity, begin, entry(1, 1), same, vote(1, 5)),
	)

	DescribeTable("are invalid if they", func(records ...chain.Record) {
		var d chain.DurableState
		for _, r := range records[:len(records)-1] {
			Expect(d.Apply(r)).To(Succeed())
		}
		Expect(d.Apply(records[len(records)-1])).NotTo(Succeed())
	},
		Entry("skip an entry", identity, begin, entry(1, 2)),
		Entry("contain an entry of another epoch", identity, begin, entry(2, 1)),
		Entry("begin a view with a missing state", identity, begin, same),
	)
})
