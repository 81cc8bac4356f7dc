package view_test

import (
	"math/rand/v2"

	"emberquay/coordination/view"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func ballot(round int64, proposer view.MemberID) view.Ballot {
	return view.Ballot{Round: round, Proposer: proposer}
}

var _ = Describe("an acceptor", func() {
	DescribeTable("promises", func(promised, asked view.Ballot, expected bool) {
		a := view.Acceptor[string]{Promised: promised}
		Expect(a.Prepare(asked)).To(Equal(expected))
		Expect(a.Sealed()).To(BeTrue())
		if expected {
			Expect(a.Promised).To(Equal(asked))
		} else {
			Expect(a.Promised).To(Equal(promised))
		}
	},
		Entry("the first ballot", view.Ballot{}, ballot(1, 1), true),
		Entry("the same ballot again", ballot(1, 1), ballot(1, 1), true),
		Entry("a later round", ballot(1, 2), ballot(2, 1), true),
		Entry("a higher proposer in the same round", ballot(1, 1), ballot(1, 2), true),
		Entry("no earlier round", ballot(2, 1), ballot(1, 2), false),
		Entry("no lower proposer in the same round", ballot(1, 2), ballot(1, 1), false),
	)

	DescribeTable("accepts", func(promised, asked view.Ballot, expected bool) {
		a := view.Acceptor[string]{Promised: promised, Accepted: ballot(1, 1), Value: "old"}
		Expect(a.Accept(asked, "new")).To(Equal(expected))
		if expected {
			Expect(a).To(Equal(view.Acceptor[string]{Promised: asked, Accepted: asked, Value: "new"}))
		} else {
			Expect(a).To(Equal(view.Acceptor[string]{Promised: promised, Accepted: ballot(1, 1), Value: "old"}))
		}
	},
		Entry("the promised ballot", ballot(2, 1), ballot(2, 1), true),
		Entry("a later ballot", ballot(2, 1), ballot(3, 1), true),
		Entry("no earlier ballot", ballot(3, 1), ballot(2, 2), false),
	)

	It("is not sealed before its first promise", func() {
		Expect((&view.Acceptor[string]{}).Sealed()).To(BeFalse())
	})
})

var _ = Describe("a proposer", func() {
	It("reports a majority once, and counts no member twice", func() {
		p := view.NewProposer[string](ballot(1, 1), 2)
		Expect(p.RecordPromise(1, view.Ballot{}, "")).To(BeFalse())
		Expect(p.RecordPromise(1, view.Ballot{}, "")).To(BeFalse())
		Expect(p.RecordAccepted(1)).To(BeFalse(), "no value is proposed yet")
		Expect(p.RecordPromise(2, view.Ballot{}, "")).To(BeTrue())
		Expect(p.RecordPromise(3, view.Ballot{}, "")).To(BeFalse())
		_, found := p.RequiredValue()
		Expect(found).To(BeFalse())
		p.Propose("value")
		Expect(p.RecordAccepted(3)).To(BeFalse())
		Expect(p.RecordAccepted(3)).To(BeFalse())
		Expect(p.RecordAccepted(1)).To(BeTrue())
		Expect(p.RecordAccepted(2)).To(BeFalse())
	})

	It("requires the value accepted in the highest ballot", func() {
		p := view.NewProposer[string](ballot(9, 1), 3)
		p.RecordPromise(1, ballot(2, 5), "second")
		p.RecordPromise(2, ballot(3, 1), "third")
		p.RecordPromise(3, ballot(1, 9), "first")
		value, found := p.RequiredValue()
		Expect(found).To(BeTrue())
		Expect(value).To(Equal("third"))
	})

	It("never decides two values, whichever messages are lost and however ballots interleave", func() {
		for seed := range uint64(3000) {
			Expect(len(runProposers(rand.New(rand.NewPCG(seed, 3))))).To(BeNumerically("<=", 1), "seed %d", seed)
		}
	})
})

// runProposers runs three proposers against five acceptors, one random step at a time, and returns the values decided.
func runProposers(random *rand.Rand) map[int64]bool {
	acceptors := make([]view.Acceptor[int64], 5)
	proposers := make([]*view.Proposer[int64], 3)
	decided := map[int64]bool{}
	round := int64(0)
	for range 200 {
		i := random.IntN(len(proposers))
		p := proposers[i]
		if p == nil || random.IntN(25) == 0 {
			round++
			proposers[i] = view.NewProposer[int64](ballot(round, view.MemberID(i+1)), 3)
			continue
		}
		acceptorIndex := random.IntN(len(acceptors))
		a := &acceptors[acceptorIndex]
		if p.HasProposed() {
			if a.Accept(p.Ballot, p.Value()) && p.RecordAccepted(view.MemberID(acceptorIndex+1)) {
				decided[p.Value()] = true
			}
			continue
		}
		if a.Prepare(p.Ballot) && p.RecordPromise(view.MemberID(acceptorIndex+1), a.Accepted, a.Value) {
			value, found := p.RequiredValue()
			if !found {
				value = p.Ballot.Round
			}
			p.Propose(value)
		}
	}
	return decided
}
