package view

import (
	"slices"
	"time"
)

// Change is the reason why a new view is planned.
type Change int

// Changes in increasing order of urgency.
const (
	NoChange     Change = iota // the view stays as it is
	ExtendChain                // a member returns to the chain
	RemoveMember               // a silent member is removed, as the view has more members than the first one
	AddMember                  // a new member joins, replacing a dead one or in addition
	ShrinkChain                // a member of the chain is silent
)

// Silence timeouts used for planning.
const (
	// SuspectTimeout removes a silent member from the chain. It spans a few heartbeats, so a single late one has no effect.
	SuspectTimeout = 700 * time.Millisecond
	// ReplaceAfter allows a joining node to replace a silent member.
	ReplaceAfter = 1500 * time.Millisecond
)

// Connectivity is one member's knowledge of which nodes hear each other.
type Connectivity interface {
	// SilentFor returns how long this member has received nothing from another one.
	SilentFor(MemberID) time.Duration
	// Hears reports whether one node has heard the other within SuspectTimeout, as far as this member knows.
	Hears(by, of MemberID) bool
	// HasInstalled reports whether a member is known to have installed the current view.
	HasInstalled(MemberID) bool
	// Joining lists the nodes that recently asked to become members.
	Joining() []Member
}

// Plan returns the next view that this member would propose, and the reason. With NoChange, the returned view is only of
// use if the epoch has to end anyway; its chain may be too short if too few members hear each other (see Validate).
func Plan(v View, self MemberID, c Connectivity) (View, Change) {
	next := View{Epoch: v.Epoch + 1, Initial: v.Initial, Members: slices.Clone(v.Members)}
	change := NoChange
	if chainHasInstalled(v, self, c) {
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

// chainHasInstalled reports whether all chain members that are heard have installed the view. Membership does not change
// before that, so a newly added member receives the state before the next change.
func chainHasInstalled(v View, self MemberID, c Connectivity) bool {
	for _, id := range v.Chain {
		if id != self && c.SilentFor(id) < SuspectTimeout && !c.HasInstalled(id) {
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
		if i := findReplacedMember(*next, joining, self, c); i >= 0 {
			next.Members[i] = joining
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
	if i := findDeadMember(*next, self, c); i >= 0 {
		next.Members = slices.Delete(next.Members, i, i+1)
		return RemoveMember
	}
	return NoChange
}

// findReplacedMember returns the index of the member that a joining node replaces: the one of the same node, whose disk
// must be lost, or else a dead one; -1 if there is none.
func findReplacedMember(v View, joining Member, self MemberID, c Connectivity) int {
	sameNode := slices.IndexFunc(v.Members, func(m Member) bool {
		return m.ID != self && (m.Address == joining.Address || m.Name != "" && m.Name == joining.Name)
	})
	if sameNode >= 0 {
		return sameNode
	}
	return findDeadMember(v, self, c)
}

// findDeadMember returns the index of the member that has been silent longest, at least for ReplaceAfter, and that no other
// member hears; -1 if there is none.
func findDeadMember(v View, self MemberID, c Connectivity) int {
	found, longest := -1, ReplaceAfter
	for i, m := range v.Members {
		if m.ID == self || c.SilentFor(m.ID) < longest || isHeardByOthers(v, m.ID, self, c) {
			continue
		}
		found, longest = i, c.SilentFor(m.ID)
	}
	return found
}

func isHeardByOthers(v View, id, self MemberID, c Connectivity) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool {
		return m.ID != self && m.ID != id && c.Hears(self, m.ID) && c.Hears(m.ID, id)
	})
}

// planChain selects members that all hear each other, including this one, preferring the members of the current chain in
// their order. A member that another chain member doesn't hear would stall the chain.
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
