package view

import (
	"slices"

	"github.com/rotisserie/eris"
)

// MemberID identifies one member for the lifetime of its disk. A node that lost its disk returns with a new id.
type MemberID int64

// MaxMembers limits the size of a view, since every member sends heartbeats to every other.
const MaxMembers = 9

// Member is a voting replica.
type Member struct {
	ID      MemberID
	Name    string // node name; empty for a first member until it is replaced
	Address string // where the other members reach it
	Zone    string
}

// View defines the members that vote on the next view and the chain that replicates entries until then.
type View struct {
	Epoch   int64
	Initial int // number of members of the first view
	Members []Member
	Chain   []MemberID // head first
}

// First returns the view of epoch 1, whose chain is all members in the given order.
func First(members []Member) View {
	v := View{Epoch: 1, Initial: len(members), Members: members}
	for _, m := range members {
		v.Chain = append(v.Chain, m.ID)
	}
	return v
}

// Majority returns the size of the smallest quorum: any two sets of this many members intersect.
func (v View) Majority() int { return len(v.Members)/2 + 1 }

// Member looks up a member by its id.
func (v View) Member(id MemberID) (Member, bool) {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// HasMember reports whether id belongs to a member.
func (v View) HasMember(id MemberID) bool {
	_, ok := v.Member(id)
	return ok
}

// ChainPosition returns the index of a member in the chain, or -1 if it is not part of it.
func (v View) ChainPosition(id MemberID) int { return slices.Index(v.Chain, id) }

// Head returns the first member of the chain; false for the zero View.
func (v View) Head() (Member, bool) {
	if len(v.Chain) == 0 {
		return Member{}, false
	}
	return v.Member(v.Chain[0])
}

// Tail returns the last member of the chain; false for the zero View.
func (v View) Tail() (Member, bool) {
	if len(v.Chain) == 0 {
		return Member{}, false
	}
	return v.Member(v.Chain[len(v.Chain)-1])
}

// Successor returns the member that follows id in the chain; false for the tail and for ids outside the chain.
func (v View) Successor(id MemberID) (Member, bool) {
	position := v.ChainPosition(id)
	if position < 0 || position+1 >= len(v.Chain) {
		return Member{}, false
	}
	return v.Member(v.Chain[position+1])
}

// Predecessor returns the member that precedes id in the chain; false for the head and for ids outside the chain.
func (v View) Predecessor(id MemberID) (Member, bool) {
	position := v.ChainPosition(id)
	if position <= 0 {
		return Member{}, false
	}
	return v.Member(v.Chain[position-1])
}

// Validate checks the properties that every decided view has.
func (v View) Validate() error {
	if v.Epoch == 0 || len(v.Members) == 0 || len(v.Members) > MaxMembers {
		return eris.Errorf("view %d has %d members", v.Epoch, len(v.Members))
	}
	seen := make(map[MemberID]bool, len(v.Members))
	for _, m := range v.Members {
		if seen[m.ID] || m.ID == 0 {
			return eris.Errorf("view %d has a duplicate or zero member id %d", v.Epoch, m.ID)
		}
		seen[m.ID] = true
	}
	for _, id := range v.Chain {
		if !seen[id] {
			return eris.Errorf("view %d has a duplicate or unknown member %d in its chain", v.Epoch, id)
		}
		seen[id] = false
	}
	if len(v.Chain) < v.Majority() {
		return eris.Errorf("view %d has a chain of only %d of %d members", v.Epoch, len(v.Chain), len(v.Members))
	}
	return nil
}
