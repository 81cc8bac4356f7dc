package view_test

import (
	"slices"
	"time"

	"emberquay/coordination/view"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fakeConnectivity is the view.Connectivity of member 1: all members hear each other, with the listed exceptions.
type fakeConnectivity struct {
	silent          map[view.MemberID]time.Duration
	notHearing      [][2]view.MemberID // by, of
	notInstalled    []view.MemberID
	joining         []view.Member
	heardOnlyBySelf []view.MemberID // joining, heard only by member 1
}

func (l fakeConnectivity) SilentFor(id view.MemberID) time.Duration { return l.silent[id] }

func (l fakeConnectivity) Hears(by, of view.MemberID) bool {
	if l.silent[by] >= view.SuspectTimeout || l.silent[of] >= view.SuspectTimeout {
		return false
	}
	if slices.Contains(l.heardOnlyBySelf, by) || slices.Contains(l.heardOnlyBySelf, of) {
		return by == 1 || of == 1
	}
	return !slices.Contains(l.notHearing, [2]view.MemberID{by, of})
}

func (l fakeConnectivity) HasInstalled(id view.MemberID) bool {
	return !slices.Contains(l.notInstalled, id)
}
func (l fakeConnectivity) Joining() []view.Member { return l.joining }

func members(ids ...view.MemberID) []view.Member {
	var all []view.Member
	for _, id := range ids {
		all = append(all, view.Member{ID: id, Address: string(rune('a' + id))})
	}
	return all
}

func silentFor(d time.Duration, ids ...view.MemberID) map[view.MemberID]time.Duration {
	m := map[view.MemberID]time.Duration{}
	for _, id := range ids {
		m[id] = d
	}
	return m
}

func idsOf(all []view.Member) []view.MemberID {
	var ids []view.MemberID
	for _, m := range all {
		ids = append(ids, m.ID)
	}
	return ids
}

type ids = []view.MemberID

var (
	threeMembers = view.First(members(1, 2, 3))
	fourMembers  = view.View{Epoch: 7, Initial: 3, Members: members(1, 2, 3, 4), Chain: ids{1, 2, 3, 4}}
	shortChain   = view.View{Epoch: 7, Initial: 3, Members: members(1, 2, 3), Chain: ids{1, 2}}
	suspectAfter = view.SuspectTimeout
	replaceAfter = view.ReplaceAfter
)

var _ = Describe("the plan of member 1", func() {
	joiningNode := func(id, address view.MemberID) []view.Member {
		return []view.Member{{ID: id, Address: string(rune('a' + address))}}
	}
	DescribeTable("is", func(v view.View, l fakeConnectivity, change view.Change, chain, all ids) {
		next, got := view.Plan(v, 1, l)
		Expect(got).To(Equal(change))
		Expect(next.Chain).To(Equal(chain))
		Expect(idsOf(next.Members)).To(Equal(all))
		Expect(next.Epoch).To(Equal(v.Epoch + 1))
		Expect(next.Initial).To(Equal(v.Initial))
		if got != view.NoChange {
			Expect(next.Validate()).To(Succeed())
		}
	},
		Entry("no change while all hear each other", threeMembers, fakeConnectivity{}, view.NoChange, ids{1, 2, 3}, ids{1, 2, 3}),
		Entry("no change for a short silence", threeMembers, fakeConnectivity{silent: silentFor(suspectAfter-1, 2)}, view.NoChange, ids{1, 2, 3}, ids{1, 2, 3}),
		Entry("to remove a silent member from the chain", threeMembers, fakeConnectivity{silent: silentFor(suspectAfter, 2)}, view.ShrinkChain, ids{1, 3}, ids{1, 2, 3}),
		Entry("to remove a member from the chain that does not hear this one", threeMembers, fakeConnectivity{notHearing: [][2]view.MemberID{{3, 1}}}, view.ShrinkChain, ids{1, 2}, ids{1, 2, 3}),
		Entry("to remove the later of two chain members that don't hear each other", threeMembers, fakeConnectivity{notHearing: [][2]view.MemberID{{2, 3}}}, view.ShrinkChain, ids{1, 2}, ids{1, 2, 3}),
		Entry("to keep the first members, however long one is silent", threeMembers, fakeConnectivity{silent: silentFor(replaceAfter, 3)}, view.ShrinkChain, ids{1, 2}, ids{1, 2, 3}),
		Entry("to take back a member that is heard again", shortChain, fakeConnectivity{}, view.ExtendChain, ids{1, 2, 3}, ids{1, 2, 3}),
		Entry("not to take back a member that one of the chain does not hear", shortChain, fakeConnectivity{notHearing: [][2]view.MemberID{{2, 3}}}, view.NoChange, ids{1, 2}, ids{1, 2, 3}),
		Entry("to remove a dead member if there are more than at first", fourMembers, fakeConnectivity{silent: silentFor(replaceAfter, 4)}, view.RemoveMember, ids{1, 2, 3}, ids{1, 2, 3}),
		Entry("not to remove a member that another one hears", view.View{Epoch: 7, Initial: 3, Members: members(1, 2, 3, 4), Chain: ids{1, 2, 3}},
			fakeConnectivity{silent: silentFor(suspectAfter-1, 2)}, view.ExtendChain, ids{1, 2, 3, 4}, ids{1, 2, 3, 4}),
		Entry("to replace a member by the same node with an empty disk", threeMembers, fakeConnectivity{joining: joiningNode(9, 2)}, view.AddMember, ids{1, 3, 9}, ids{1, 9, 3}),
		Entry("to replace a dead member by a new node", shortChain, fakeConnectivity{silent: silentFor(replaceAfter, 3), joining: joiningNode(9, 9)}, view.AddMember, ids{1, 2, 9}, ids{1, 2, 9}),
		Entry("to add a new node", threeMembers, fakeConnectivity{joining: joiningNode(9, 9)}, view.AddMember, ids{1, 2, 3, 9}, ids{1, 2, 3, 9}),
		Entry("to add a node that the others don't hear, outside the chain", threeMembers, fakeConnectivity{joining: joiningNode(9, 9), heardOnlyBySelf: ids{9}}, view.AddMember, ids{1, 2, 3}, ids{1, 2, 3, 9}),
		Entry("not to add a node that does not hear this one", threeMembers, fakeConnectivity{joining: joiningNode(9, 9), notHearing: [][2]view.MemberID{{9, 1}}}, view.NoChange, ids{1, 2, 3}, ids{1, 2, 3}),
		Entry("to keep the members until the view is installed", threeMembers, fakeConnectivity{joining: joiningNode(9, 9), notInstalled: ids{2}}, view.NoChange, ids{1, 2, 3}, ids{1, 2, 3}),
		Entry("not to wait for a dead member", threeMembers, fakeConnectivity{joining: joiningNode(9, 2), notInstalled: ids{2}, silent: silentFor(suspectAfter, 2)}, view.AddMember, ids{1, 3, 9}, ids{1, 9, 3}),
	)

	It("never exceeds the maximum number of members", func() {
		full := view.First(members(1, 2, 3, 4, 5, 6, 7, 8, 9))
		_, change := view.Plan(full, 1, fakeConnectivity{joining: members(10)})
		Expect(change).To(Equal(view.NoChange))
	})

	It("is not valid if too few hear this one", func() {
		next, _ := view.Plan(threeMembers, 1, fakeConnectivity{silent: silentFor(suspectAfter, 2, 3)})
		Expect(next.Validate()).NotTo(Succeed())
	})
})

var _ = Describe("a view", func() {
	It("looks up chain positions", func() {
		head, _ := threeMembers.Head()
		tail, _ := threeMembers.Tail()
		Expect(head.ID).To(Equal(view.MemberID(1)))
		Expect(tail.ID).To(Equal(view.MemberID(3)))
		next, ok := threeMembers.Successor(1)
		Expect(ok).To(BeTrue())
		Expect(next.ID).To(Equal(view.MemberID(2)))
		before, ok := threeMembers.Predecessor(3)
		Expect(ok).To(BeTrue())
		Expect(before.ID).To(Equal(view.MemberID(2)))
		_, ok = threeMembers.Successor(3)
		Expect(ok).To(BeFalse())
		_, ok = threeMembers.Predecessor(1)
		Expect(ok).To(BeFalse())
		_, ok = view.View{}.Head()
		Expect(ok).To(BeFalse())
	})

	DescribeTable("is not valid", func(v view.View) { Expect(v.Validate()).NotTo(Succeed()) },
		Entry("without an epoch", view.View{Members: members(1), Chain: ids{1}}),
		Entry("without members", view.View{Epoch: 1}),
		Entry("with a member twice", view.View{Epoch: 1, Members: members(1, 1), Chain: ids{1, 1}}),
		Entry("with a non-member in the chain", view.View{Epoch: 1, Members: members(1, 2), Chain: ids{1, 3}}),
		Entry("with a member twice in the chain", view.View{Epoch: 1, Members: members(1, 2, 3), Chain: ids{1, 1}}),
		Entry("with less than a majority in the chain", view.View{Epoch: 1, Members: members(1, 2, 3, 4), Chain: ids{1, 2}}),
	)
})
