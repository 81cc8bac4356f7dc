package view

import (
	"slices"
	"time"
)

// Change is why another view is wanted.
type Change int

// The changes, the most urgent last.
const (
	NoChange     Change = iota // nothing to change
	ExtendChain                // a member comes back into the chain
	RemoveMember               // a silent member leaves, there are more than at first
	AddMember                  // a new member comes, in the place of a dead one or besides
	ShrinkChain                // a member of the chain is silent
)

// Silences that a plan goes by.
const (
	// SuspectAfter leaves out a member of the chain: a few heartbeats, so that one late beat changes nothing.
	SuspectAfter = 700 * time.Millisecond
	// ReplaceAfter lets another member take the place of a silent one.
	ReplaceAfter = 1500 * time.Millisecond
)

// Connectivity is what a member knows of who hears whom.
type Connectivity interface {
	// SilentFor is how long a member has said nothing to this one.
	SilentFor(MemberID) time.Duration
	// Hears says whether one has heard the other within SuspectAfter, as far as this member knows.
	Hears(by, of MemberID) bool
	// HasInstalled says whether a member is known to have adopted the present view.
	HasInstalled(MemberID) bool
	// Joining are nodes that lately asked to become members.
	Joining() []Member
}

// Plan gives the view that a member would have follow, and why. With Keep the view is only good for an epoch that has to
// end anyway; its chain may be too short where too few hear each other (see Validate).
func Plan(v View, self MemberID, c Connectivity) (View, Change) {
	next := View{Epoch: v.Epoch + 1, Initial: v.Initial, Members: slices.Clone(v.Members)}
	change := NoChange
	if settled(v, self, c) {
		change = planMembers(&next, self, c)
	}
	next.Chain = planChain(v, next, self, c)
	switch {
	case slices.ContainsFunc(v.Chain, func(id MemberID) bool { return next.HasMember(id) && next.ChainPosition(id) < 0 }):
		change = ShrinkChain
	case change == NoChange && len(next.Chain) > len(v.Chain):
		change = ExtendChain
	}
	return next, change
}

// settled says whether those of the chain that are heard have adopted the view. Until then the members stay, so that a
// member that has just come has the state before the next one changes.
func settled(v View, self MemberID, c Connectivity) bool {
	for _, id := range v.Chain {
		if id != self && c.SilentFor(id) < SuspectAfter && !c.HasInstalled(id) {
			return false
		}
	}
	return true
}

// planMembers makes at most one change to the members.
func planMembers(next *View, self MemberID, c Connectivity) Change {
	for _, joining := range c.Joining() {
		if next.HasMember(joining.ID) || !c.Hears(joining.ID, self) {
			continue
		}
		if at := placeFor(*next, joining, self, c); at >= 0 {
			next.Members[at] = joining
			return AddMember
		}
		if len(next.Members) < MaxMembers {
			next.Members = append(next.Members, joining)
			return AddMember
		}
	}
	if len(next.Members) <= next.Initial {
		return NoChange
	}
	if at := longestSilent(*next, self, c); at >= 0 {
		next.Members = slices.Delete(next.Members, at, at+1)
		return RemoveMember
	}
	return NoChange
}

// placeFor finds the member whose place a new one takes: the one of the same node, whose disk must be lost, or one that
// is silent; -1: none.
func placeFor(v View, joining Member, self MemberID, c Connectivity) int {
	same := slices.IndexFunc(v.Members, func(m Member) bool {
		return m.ID != self && (m.Address == joining.Address || m.Name != "" && m.Name == joining.Name)
	})
	if same >= 0 {
		return same
	}
	return longestSilent(v, self, c)
}

// longestSilent finds a member that has been silent for ReplaceAfter and that nobody else hears either; -1: none.
func longestSilent(v View, self MemberID, c Connectivity) int {
	found, longest := -1, ReplaceAfter
	for at, m := range v.Members {
		if m.ID == self || c.SilentFor(m.ID) < longest || heardByOthers(v, m.ID, self, c) {
			continue
		}
		found, longest = at, c.SilentFor(m.ID)
	}
	return found
}

func heardByOthers(v View, id, self MemberID, c Connectivity) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool {
		return m.ID != self && m.ID != id && c.Hears(self, m.ID) && c.Hears(m.ID, id)
	})
}

// planChain picks members that all hear each other, this one among them: those of the present chain first, in its order.
// A member that one of the chain doesn't hear would stall it.
func planChain(v, next View, self MemberID, c Connectivity) []MemberID {
	candidates := slices.Clone(v.Chain)
	for _, m := range next.Members {
		if !slices.Contains(candidates, m.ID) {
			candidates = append(candidates, m.ID)
		}
	}
	chosen := []MemberID{self}
	for _, id := range candidates {
		if id != self && next.HasMember(id) && allHear(chosen, id, c) {
			chosen = append(chosen, id)
		}
	}
	return slices.DeleteFunc(candidates, func(id MemberID) bool { return !slices.Contains(chosen, id) })
}

func allHear(chosen []MemberID, id MemberID, c Connectivity) bool {
	return !slices.ContainsFunc(chosen, func(other MemberID) bool { return !c.Hears(other, id) || !c.Hears(id, other) })
}
