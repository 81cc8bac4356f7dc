package controlstate

import (
	"fmt"
	"slices"
)

// StoreView says which stores there are. It belongs to whoever asked for it.
type StoreView struct {
	Epoch     uint64 // rises with every change; 0 while no store has registered
	Tolerance int    // machines that may be lost at once
	Members   []StoreMember
}

// StoreMember is a store.
type StoreMember struct {
	ID       string // drawn when its disk is first used
	Node     string // its machine; no two members have the same one
	Zone     string
	Address  string // for internal calls
	Retiring bool   // it is being emptied and takes nothing new

	Replaced  bool   // it took the place of a store of the same node, whose disk is lost: it may lack what that one held
	JoinEpoch uint64 // epoch of the view that it came in with: what was written in earlier ones it may lack
}

// RetirementState says how far the retirement of a machine is.
type RetirementState int

// The states of a retirement.
const (
	RetirementUnknown   RetirementState = iota // nobody asked for it
	RetirementRunning                          // the store is being emptied
	RetirementCompleted                        // nothing is on the machine that is not elsewhere
)

// String gives the state as the operator's API has it.
func (r RetirementState) String() string {
	switch r {
	case RetirementRunning:
		return "running"
	case RetirementCompleted:
		return "completed"
	}
	return "unknown"
}

// Retirement is a machine that the operator asked to empty.
type Retirement struct {
	Node            string
	StoreID         string // the last store on it
	DeadlineSeconds float64
	Completed       bool
}

// Stores gives a copy of the view.
func (s *State) Stores() StoreView {
	view := s.stores
	view.Members = slices.Clone(view.Members)
	return view
}

// Retirement says how far the retirement of a machine is.
func (s *State) Retirement(node string) RetirementState {
	at := s.retirementOf(node)
	switch {
	case at < 0:
		return RetirementUnknown
	case s.retirements[at].Completed:
		return RetirementCompleted
	}
	return RetirementRunning
}

// Retirements gives a copy of all that are known, the oldest first.
func (s *State) Retirements() []Retirement { return slices.Clone(s.retirements) }

// register takes a store into the view, or what is new of one that is in it.
func (s *State) register(c Command) (Result, bool) {
	store := StoreMember{ID: c.Store.ID, Node: c.Store.Node, Zone: c.Store.Zone, Address: c.Store.Address}
	if store.ID == "" || store.Node == "" || store.Address == "" || c.Tolerance < 0 {
		return s.storeResult(StatusBadRequest, "a store needs an ID, a node, an address and a tolerance"), false
	}
	if s.retired(store.ID) {
		return s.storeResult(StatusConflict, fmt.Sprintf("store %s was retired", store.ID)), false
	}
	at := s.memberAt(store.Node)
	if other := s.memberOf(store.ID); other >= 0 && other != at {
		reason := fmt.Sprintf("store %s is on node %s", store.ID, s.stores.Members[other].Node)
		return s.storeResult(StatusConflict, reason), false
	}
	if at < 0 && len(s.stores.Members) == maxMembers {
		return s.storeResult(StatusConflict, fmt.Sprintf("there are %d stores, the most there may be", maxMembers)), false
	}
	if at >= 0 && s.stores.Members[at].ID == store.ID {
		return s.update(at, store)
	}
	if s.stores.Epoch == 0 {
		s.stores.Tolerance = c.Tolerance
	}
	s.stores.Epoch++
	store.Replaced = at >= 0 && !c.Bootstrap
	store.JoinEpoch = s.stores.Epoch
	store.Retiring = s.Retirement(store.Node) == RetirementRunning
	if at >= 0 {
		s.stores.Members[at] = store // the disk of the member before is lost
	} else {
		s.stores.Members = append(s.stores.Members, store)
	}
	s.carryRetirement(store)
	return s.storeResult(StatusOK, ""), true
}

// update takes another address or zone of a member.
func (s *State) update(at int, store StoreMember) (Result, bool) {
	member := &s.stores.Members[at]
	if member.Address == store.Address && member.Zone == store.Zone {
		return s.storeResult(StatusOK, ""), false
	}
	member.Address, member.Zone = store.Address, store.Zone
	s.stores.Epoch++
	return s.storeResult(StatusOK, ""), true
}

// carryRetirement: a machine that is being emptied and lost its disk still is, with its new store.
func (s *State) carryRetirement(store StoreMember) {
	if at := s.retirementOf(store.Node); at >= 0 && !s.retirements[at].Completed {
		s.retirements[at].StoreID = store.ID
	}
}

// retire begins to empty a machine. An order is carried out or refused only on the view that was there when it came in: a
// refusal depends on the view alone, so a copy that was on its way when another was refused can't be carried out on a later
// one. It gets no clear answer, and the operator sends it again.
func (s *State) retire(c Command) (Result, bool) {
	at := s.memberAt(c.Node)
	state := s.Retirement(c.Node)
	if state == RetirementRunning || at < 0 && state == RetirementCompleted {
		return s.storeResult(StatusOK, ""), false
	}
	if c.HasBase && c.Base != s.stores.Epoch {
		reason := fmt.Sprintf("the stores have changed since the order came in: epoch %d then, %d now", c.Base, s.stores.Epoch)
		return s.storeResult(StatusUnknown, reason), false
	}
	if at < 0 {
		return s.storeResult(StatusNotFound, fmt.Sprintf("there is no store on node %q", c.Node)), false
	}
	if s.staying() <= s.least() {
		reason := fmt.Sprintf("%d stores would be left, %d are needed", s.staying()-1, s.least())
		return s.storeResult(StatusConflict, reason), false
	}
	if !s.makeRoom() {
		return s.storeResult(StatusConflict, "too many machines are being emptied"), false
	}
	member := &s.stores.Members[at]
	member.Retiring = true
	s.stores.Epoch++
	s.forget(c.Node)
	s.retirements = append(s.retirements, Retirement{Node: c.Node, StoreID: member.ID, DeadlineSeconds: c.DeadlineSeconds})
	return s.storeResult(StatusOK, ""), true
}

// complete ends the retirement of a machine whose store has nothing left that is not elsewhere.
func (s *State) complete(c Command) (Result, bool) {
	at := s.retirementOf(c.Node)
	if at < 0 {
		return s.storeResult(StatusNotFound, fmt.Sprintf("node %q is not being emptied", c.Node)), false
	}
	retirement := &s.retirements[at]
	if retirement.StoreID != c.StoreID {
		reason := fmt.Sprintf("store %s is on node %s, not %s", retirement.StoreID, c.Node, c.StoreID)
		return s.storeResult(StatusConflict, reason), false
	}
	if retirement.Completed {
		return s.storeResult(StatusOK, ""), false
	}
	retirement.Completed = true
	s.drop(c.StoreID)
	return s.storeResult(StatusOK, ""), true
}

// remove takes a store that is lost for good out of the view. A retirement of its machine goes on: what it held is
// elsewhere only once the others have repaired it, and they say so by RetireCompleted.
func (s *State) remove(c Command) (Result, bool) {
	at := s.memberOf(c.StoreID)
	if at < 0 {
		return s.storeResult(StatusOK, ""), false
	}
	if !s.stores.Members[at].Retiring && s.staying() <= s.least() {
		reason := fmt.Sprintf("%d stores would be left, %d are needed", s.staying()-1, s.least())
		return s.storeResult(StatusConflict, reason), false
	}
	s.drop(c.StoreID)
	return s.storeResult(StatusOK, ""), true
}

// drop takes a member out, if it is in.
func (s *State) drop(id string) {
	if at := s.memberOf(id); at >= 0 {
		s.stores.Members = slices.Delete(s.stores.Members, at, at+1)
	}
	s.stores.Epoch++
}

// least is how many stores have to be there that are not retiring, so that what is kept survives the losses.
func (s *State) least() int { return s.stores.Tolerance + 1 }

// staying counts the members that are not retiring.
func (s *State) staying() int {
	count := 0
	for _, member := range s.stores.Members {
		if !member.Retiring {
			count++
		}
	}
	return count
}

// makeRoom forgets the oldest retirement that is completed, where there are too many.
func (s *State) makeRoom() bool {
	if len(s.retirements) < maxRetirements {
		return true
	}
	at := slices.IndexFunc(s.retirements, func(r Retirement) bool { return r.Completed })
	if at < 0 {
		return false
	}
	s.retirements = slices.Delete(s.retirements, at, at+1)
	return true
}

// forget drops the retirement of a machine that was taken away and came back under the same name.
func (s *State) forget(node string) {
	s.retirements = slices.DeleteFunc(s.retirements, func(r Retirement) bool { return r.Node == node })
}

// retired says whether a store was emptied, or is being emptied and was removed.
func (s *State) retired(id string) bool {
	return slices.ContainsFunc(s.retirements, func(r Retirement) bool {
		return r.StoreID == id && (r.Completed || s.memberOf(id) < 0)
	})
}

func (s *State) memberOf(id string) int {
	return slices.IndexFunc(s.stores.Members, func(m StoreMember) bool { return m.ID == id })
}

func (s *State) memberAt(node string) int {
	return slices.IndexFunc(s.stores.Members, func(m StoreMember) bool { return m.Node == node })
}

func (s *State) retirementOf(node string) int {
	return slices.IndexFunc(s.retirements, func(r Retirement) bool { return r.Node == node })
}

func (s *State) storeResult(status int, message string) Result {
	return Result{Status: status, Message: message, Version: s.stores.Epoch}
}
