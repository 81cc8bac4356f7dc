package view_test

import (
	"slices"
	"time"

	"emberquay/coordination/view"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// links is what member 1 knows: all hear each other but for what is named.
type links struct {
	silent    map[view.MemberID]time.Duration
	deaf      [][2]view.MemberID // by, of
	unsettled []view.MemberID
	joining   []view.Member
	away      []view.MemberID // joining, but not heard by the others
}

func (l links) SilentFor(id view.MemberID) time.Duration { return l.silent[id] }

func (l links) Hears(by, of view.MemberID) bool {
	if l.silent[by] >= view.SuspectAfter || l.silent[of] >= view.SuspectAfter {
		return false
	}
	if slices.Contains(l.away, by) || slices.Contains(l.away, of) {
		return by == 1 || of == 1
	}
	return !slices.Contains(l.deaf, [2]view.MemberID{by, of})
}

func (l links) HasInstalled(id view.MemberID) bool { return !slices.Contains(l.unsettled, id) }
func (l links) Joining() []view.Member             { return l.joining }

func members(ids ...view.MemberID) []view.Member {
	var all []view.Member
	for _, id := range ids {
		all = append(all, view.Member{ID: id, Address: string(rune('a' + id))})
	}
	return all
}

func silent(d time.Duration, ids ...view.MemberID) map[view.MemberID]time.Duration {
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
	three   = view.First(members(1, 2, 3))
	four    = view.View{Epoch: 7, Initial: 3, Members: members(1, 2, 3, 4), Chain: ids{1, 2, 3, 4}}
	short   = view.View{Epoch: 7, Initial: 3, Members: members(1, 2, 3), Chain: ids{1, 2}}
	suspect = view.SuspectAfter
	dead    = view.ReplaceAfter
)

var _ = Describe("the plan of member 1", func() {
	newOf := func(id, address view.MemberID) []view.Member {
		return []view.Member{{ID: id, Address: string(rune('a' + address))}}
	}
	DescribeTable("is", func(v view.View, l links, change view.Change, chain, all ids) {
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
		Entry("nothing while all hear each other", three, links{}, view.NoChange, ids{1, 2, 3}, ids{1, 2, 3}),
		Entry("nothing for a short silence", three, links{silent: silent(suspect-1, 2)}, view.NoChange, ids{1, 2, 3}, ids{1, 2, 3}),
		Entry("to leave out who is silent", three, links{silent: silent(suspect, 2)}, view.ShrinkChain, ids{1, 3}, ids{1, 2, 3}),
		Entry("to leave out who does not hear this one", three, links{deaf: [][2]view.MemberID{{3, 1}}}, view.ShrinkChain, ids{1, 2}, ids{1, 2, 3}),
		Entry("to leave out the later of two that don't hear each other", three, links{deaf: [][2]view.MemberID{{2, 3}}}, view.ShrinkChain, ids{1, 2}, ids{1, 2, 3}),
		Entry("to keep the first members however long one is silent", three, links{silent: silent(dead, 3)}, view.ShrinkChain, ids{1, 2}, ids{1, 2, 3}),
		Entry("to take back who is heard again", short, links{}, view.ExtendChain, ids{1, 2, 3}, ids{1, 2, 3}),
		Entry("not to take back who one of the chain does not hear", short, links{deaf: [][2]view.MemberID{{2, 3}}}, view.NoChange, ids{1, 2}, ids{1, 2, 3}),
		Entry("to remove a dead one of more than at first", four, links{silent: silent(dead, 4)}, view.RemoveMember, ids{1, 2, 3}, ids{1, 2, 3}),
		Entry("not to remove one that another hears", view.View{Epoch: 7, Initial: 3, Members: members(1, 2, 3, 4), Chain: ids{1, 2, 3}},
			links{silent: silent(suspect-1, 2)}, view.ExtendChain, ids{1, 2, 3, 4}, ids{1, 2, 3, 4}),
		Entry("to swap in the empty disk of the same node", three, links{joining: newOf(9, 2)}, view.AddMember, ids{1, 3, 9}, ids{1, 9, 3}),
		Entry("to swap a new node for a dead one", short, links{silent: silent(dead, 3), joining: newOf(9, 9)}, view.AddMember, ids{1, 2, 9}, ids{1, 2, 9}),
		Entry("to add a new node", three, links{joining: newOf(9, 9)}, view.AddMember, ids{1, 2, 3, 9}, ids{1, 2, 3, 9}),
		Entry("to add one that the others don't hear, outside the chain", three, links{joining: newOf(9, 9), away: ids{9}}, view.AddMember, ids{1, 2, 3}, ids{1, 2, 3, 9}),
		Entry("not to add one that does not hear this one", three, links{joining: newOf(9, 9), deaf: [][2]view.MemberID{{9, 1}}}, view.NoChange, ids{1, 2, 3}, ids{1, 2, 3}),
		Entry("to wait with members until the view is adopted", three, links{joining: newOf(9, 9), unsettled: ids{2}}, view.NoChange, ids{1, 2, 3}, ids{1, 2, 3}),
		Entry("not to wait for a dead one", three, links{joining: newOf(9, 2), unsettled: ids{2}, silent: silent(suspect, 2)}, view.AddMember, ids{1, 3, 9}, ids{1, 9, 3}),
	)

	It("never has more than the bound of members", func() {
		full := view.First(members(1, 2, 3, 4, 5, 6, 7, 8, 9))
		_, change := view.Plan(full, 1, links{joining: members(10)})
		Expect(change).To(Equal(view.NoChange))
	})

	It("is no view where too few hear this one", func() {
		next, _ := view.Plan(three, 1, links{silent: silent(suspect, 2, 3)})
		Expect(next.Validate()).NotTo(Succeed())
	})
})

var _ = Describe("a view", func() {
	It("knows its chain", func() {
		head, _ := three.Head()
		tail, _ := three.Tail()
		Expect(head.ID).To(Equal(view.MemberID(1)))
		Expect(tail.ID).To(Equal(view.MemberID(3)))
		next, ok := three.Successor(1)
		Expect(ok).To(BeTrue())
		Expect(next.ID).To(Equal(view.MemberID(2)))
		before, ok := three.Predecessor(3)
		Expect(ok).To(BeTrue())
		Expect(before.ID).To(Equal(view.MemberID(2)))
		_, ok = three.Successor(3)
		Expect(ok).To(BeFalse())
		_, ok = three.Predecessor(1)
		Expect(ok).To(BeFalse())
		_, ok = view.View{}.Head()
		Expect(ok).To(BeFalse())
	})

	DescribeTable("is not valid", func(v view.View) { Expect(v.Validate()).NotTo(Succeed()) },
		Entry("without an epoch", view.View{Members: members(1), Chain: ids{1}}),
		Entry("without members", view.View{Epoch: 1}),
		Entry("with a member twice", view.View{Epoch: 1, Members: members(1, 1), Chain: ids{1, 1}}),
		Entry("with a stranger in the chain", view.View{Epoch: 1, Members: members(1, 2), Chain: ids{1, 3}}),
		Entry("with one twice in the chain", view.View{Epoch: 1, Members: members(1, 2, 3), Chain: ids{1, 1}}),
		Entry("with less than a majority in the chain", view.View{Epoch: 1, Members: members(1, 2, 3, 4), Chain: ids{1, 2}}),
	)
})
