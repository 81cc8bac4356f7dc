package view

import (
	"slices"

	"github.com/rotisserie/eris"
)

// MemberID names one member for the life of its disk. A node that lost its disk comes back under another.
type MemberID int64

// MaxMembers bounds a view: every member sends heartbeats to every other.
const MaxMembers = 9

// Member is a replica that may vote.
type Member struct {
	ID      MemberID
	Name    string // of the node; empty for a first member until it is replaced
	Address string // where the others reach it
	Zone    string
}

// View says who votes on the next view and who replicates until then.
type View struct {
	Epoch   int64
	Initial int // members of the first view
	Members []Member
	Chain   []MemberID // head first
}

// First is the view of epoch 1: all members, in their order, are the chain.
func First(members []Member) View {
	v := View{Epoch: 1, Initial: len(members), Members: members}
	for _, m := range members {
		v.Chain = append(v.Chain, m.ID)
	}
	return v
}

// Majority is the least number of members that meets every other such number of them.
func (v View) Majority() int { return len(v.Members)/2 + 1 }

// Member finds a member by its id.
func (v View) Member(id MemberID) (Member, bool) {
	at := slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == id })
	if at < 0 {
		return Member{}, false
	}
	return v.Members[at], true
}

// HasMember says whether the id is a member's.
func (v View) HasMember(id MemberID) bool {
	_, ok := v.Member(id)
	return ok
}

// ChainPosition is the place of a member in the chain, -1 if it is not in it.
func (v View) ChainPosition(id MemberID) int { return slices.Index(v.Chain, id) }

// Head is the first of the chain; false in the zero View.
func (v View) Head() (Member, bool) {
	if len(v.Chain) == 0 {
		return Member{}, false
	}
	return v.Member(v.Chain[0])
}

// Tail is the last of the chain; false in the zero View.
func (v View) Tail() (Member, bool) {
	if len(v.Chain) == 0 {
		return Member{}, false
	}
	return v.Member(v.Chain[len(v.Chain)-1])
}

// Successor is the next member of the chain after a member; false for the tail and for those outside.
func (v View) Successor(id MemberID) (Member, bool) {
	at := v.ChainPosition(id)
	if at < 0 || at+1 >= len(v.Chain) {
		return Member{}, false
	}
	return v.Member(v.Chain[at+1])
}

// Predecessor is the member of the chain before a member; false for the head and for those outside.
func (v View) Predecessor(id MemberID) (Member, bool) {
	at := v.ChainPosition(id)
	if at <= 0 {
		return Member{}, false
	}
	return v.Member(v.Chain[at-1])
}

// Validate checks what every decided view holds to.
func (v View) Validate() error {
	if v.Epoch == 0 || len(v.Members) == 0 || len(v.Members) > MaxMembers {
		return eris.Errorf("view %d has %d members", v.Epoch, len(v.Members))
	}
	seen := make(map[MemberID]bool, len(v.Members))
	for _, m := range v.Members {
		if seen[m.ID] || m.ID == 0 {
			return eris.Errorf("view %d names member %d twice, or none", v.Epoch, m.ID)
		}
		seen[m.ID] = true
	}
	for _, id := range v.Chain {
		if !seen[id] {
			return eris.Errorf("view %d has %d in the chain, which is no member or there twice", v.Epoch, id)
		}
		seen[id] = false
	}
	if len(v.Chain) < v.Majority() {
		return eris.Errorf("view %d has a chain of %d among %d members", v.Epoch, len(v.Chain), len(v.Members))
	}
	return nil
}
