package controlstate

import (
	"fmt"
	"slices"
)

// StoreView lists the members of the store cluster.
type StoreView struct {
	Epoch     uint64 // incremented with every change; 0 while no store has registered
	Tolerance int    // machines that may be lost at once
	Members   []StoreMember
}

// StoreMember is a store of a StoreView.
type StoreMember struct {
	ID       string // random, assigned when its disk is first used
	Node     string // its machine, unique in the view
	Zone     string
	Address  string // for internal calls
	Retiring bool   // its data is being copied to other stores, and it accepts no new data

	Replaced  bool   // it replaced a store of the same node whose disk is lost, and may lack the data of that one
	JoinEpoch uint64 // the epoch at which it joined; it may lack data written in earlier ones
}

// ActiveCount returns the number of members that are not retiring.
func (v *StoreView) ActiveCount() int {
	count := 0
	for _, member := range v.Members {
		if !member.Retiring {
			count++
		}
	}
	return count
}

// minActive returns how many active members are needed so that stored data survives the tolerated losses.
func (v *StoreView) minActive() int { return v.Tolerance + 1 }

// CheckFailure returns why one more store can't be marked as failed while some have failed already; empty if it can. At
// most Tolerance stores are failed at a time: if more are gone, some data may be on these alone.
func (v *StoreView) CheckFailure(failed int) (refusal string) {
	if failed >= v.Tolerance {
		return fmt.Sprintf("%d stores have failed already, %d may fail at a time", failed, v.Tolerance)
	}
	return v.checkDeparture()
}

// checkDeparture returns why no member may stop being active; empty if one may.
func (v *StoreView) checkDeparture() (refusal string) {
	if v.ActiveCount() > v.minActive() {
		return ""
	}
	return fmt.Sprintf("%d stores would be left, %d are needed", v.ActiveCount()-1, v.minActive())
}

// RetirementState is the progress of a machine's retirement.
type RetirementState int

// The states of a retirement.
const (
	RetirementUnknown   RetirementState = iota // not requested
	RetirementRunning                          // the store's data is being moved to other stores
	RetirementCompleted                        // all data of the machine is on other stores
)

// String returns the state as the operator API spells it.
func (r RetirementState) String() string {
	switch r {
	case RetirementRunning:
		return "running"
	case RetirementCompleted:
		return "completed"
	}
	return "unknown"
}

// Retirement is an operator's request to move all data off a store machine.
type Retirement struct {
	Node            string
	StoreID         string // the current store of the machine, or the last one
	DeadlineSeconds float64
	Completed       bool
}

// Stores returns a copy of the store view.
func (s *State) Stores() StoreView {
	view := s.stores
	view.Members = slices.Clone(view.Members)
	return view
}

// Retirement returns the progress of a machine's retirement.
func (s *State) Retirement(node string) RetirementState {
	index := s.retirementIndex(node)
	switch {
	case index < 0:
		return RetirementUnknown
	case s.retirements[index].Completed:
		return RetirementCompleted
	}
	return RetirementRunning
}

// Retirements returns a copy of the retirements that are kept, oldest first.
func (s *State) Retirements() []Retirement { return slices.Clone(s.retirements) }

// registerStore adds a store to the view, or updates the zone and address of a member.
func (s *State) registerStore(c Command) (Result, bool) {
	store := StoreMember{ID: c.Store.ID, Node: c.Store.Node, Zone: c.Store.Zone, Address: c.Store.Address}
	if store.ID == "" || store.Node == "" || store.Address == "" || c.Tolerance < 0 {
		return s.storeResult(StatusBadRequest, "a store needs an ID, a node, an address and a tolerance"), false
	}
	if s.isRetired(store.ID) {
		return s.storeResult(StatusConflict, fmt.Sprintf("store %s was retired", store.ID)), false
	}
	index := s.memberIndexByNode(store.Node)
	if other := s.memberIndexByID(store.ID); other >= 0 && other != index {
		reason := fmt.Sprintf("store %s is on node %s", store.ID, s.stores.Members[other].Node)
		return s.storeResult(StatusConflict, reason), false
	}
	if index < 0 && len(s.stores.Members) == maxMembers {
		return s.storeResult(StatusConflict, fmt.Sprintf("there are %d stores, the most there may be", maxMembers)), false
	}
	if index >= 0 && s.stores.Members[index].ID == store.ID {
		return s.updateMember(index, store)
	}
	if s.stores.Epoch == 0 {
		s.stores.Tolerance = c.Tolerance
	}
	s.stores.Epoch++
	store.Replaced = index >= 0 && !c.Bootstrap
	store.JoinEpoch = s.stores.Epoch
	store.Retiring = s.Retirement(store.Node) == RetirementRunning
	if index >= 0 {
		s.stores.Members[index] = store // the disk of the previous member is lost
	} else {
		s.stores.Members = append(s.stores.Members, store)
	}
	s.transferRetirement(store)
	return s.storeResult(StatusOK, ""), true
}

// updateMember sets the address and zone of a member.
func (s *State) updateMember(index int, store StoreMember) (Result, bool) {
	member := &s.stores.Members[index]
	if member.Address == store.Address && member.Zone == store.Zone {
		return s.storeResult(StatusOK, ""), false
	}
	member.Address, member.Zone = store.Address, store.Zone
	s.stores.Epoch++
	return s.storeResult(StatusOK, ""), true
}

// transferRetirement continues the running retirement of a machine that lost its disk, with the machine's new store.
func (s *State) transferRetirement(store StoreMember) {
	if index := s.retirementIndex(store.Node); index >= 0 && !s.retirements[index].Completed {
		s.retirements[index].StoreID = store.ID
	}
}

// retireStore starts the retirement of a machine. The command is executed or refused only on the view that was current when
// the request was received. A refusal depends on the view alone, so a delayed duplicate of a refused command cannot be
// executed on a later view: it gets StatusUnknown, and the operator sends the request again.
func (s *State) retireStore(c Command) (Result, bool) {
	index := s.memberIndexByNode(c.Node)
	state := s.Retirement(c.Node)
	if state == RetirementRunning || index < 0 && state == RetirementCompleted {
		return s.storeResult(StatusOK, ""), false
	}
	if result, current := s.checkStoreBase(c); !current {
		return result, false
	}
	if index < 0 {
		return s.storeResult(StatusNotFound, fmt.Sprintf("there is no store on node %q", c.Node)), false
	}
	if refusal := s.stores.checkDeparture(); refusal != "" {
		return s.storeResult(StatusConflict, refusal), false
	}
	if !s.makeRetirementRoom() {
		return s.storeResult(StatusConflict, "too many machines are being emptied"), false
	}
	member := &s.stores.Members[index]
	member.Retiring = true
	s.stores.Epoch++
	s.forgetRetirement(c.Node)
	s.retirements = append(s.retirements, Retirement{Node: c.Node, StoreID: member.ID, DeadlineSeconds: c.DeadlineSeconds})
	return s.storeResult(StatusOK, ""), true
}

// completeRetirement ends the retirement of a machine: all data of its store is on other stores.
func (s *State) completeRetirement(c Command) (Result, bool) {
	index := s.retirementIndex(c.Node)
	if index < 0 {
		return s.storeResult(StatusNotFound, fmt.Sprintf("node %q is not being emptied", c.Node)), false
	}
	retirement := &s.retirements[index]
	if retirement.StoreID != c.StoreID {
		reason := fmt.Sprintf("store %s is on node %s, not %s", retirement.StoreID, c.Node, c.StoreID)
		return s.storeResult(StatusConflict, reason), false
	}
	if retirement.Completed {
		return s.storeResult(StatusOK, ""), false
	}
	retirement.Completed = true
	s.dropMember(c.StoreID)
	return s.storeResult(StatusOK, ""), true
}

// failStore marks a store as failed: it is Retiring without a retirement of its machine. So no new data is placed there and
// the others copy what it held, while it still counts as a possible holder of all data.
func (s *State) failStore(c Command) (Result, bool) {
	index := s.memberIndexByID(c.StoreID)
	if index < 0 || s.stores.Members[index].Retiring {
		return s.storeResult(StatusOK, ""), false
	}
	if result, current := s.checkStoreBase(c); !current {
		return result, false
	}
	if refusal := s.stores.CheckFailure(len(s.FailedStores())); refusal != "" {
		return s.storeResult(StatusConflict, refusal), false
	}
	s.stores.Members[index].Retiring = true
	s.stores.Epoch++
	return s.storeResult(StatusOK, ""), true
}

// restoreStore makes a failed store active again: it came back with its disk.
func (s *State) restoreStore(c Command) (Result, bool) {
	index := s.memberIndexByID(c.StoreID)
	if index < 0 || !s.hasFailed(s.stores.Members[index]) {
		return s.storeResult(StatusOK, ""), false
	}
	s.stores.Members[index].Retiring = false
	s.stores.Epoch++
	return s.storeResult(StatusOK, ""), true
}

// removeStore removes a failed or retiring store from the view once the active ones hold all of its data, which the caller
// has made sure of under the view of epoch Base. A retirement of its machine continues until RetireCompleted.
func (s *State) removeStore(c Command) (Result, bool) {
	index := s.memberIndexByID(c.StoreID)
	if index < 0 {
		return s.storeResult(StatusOK, ""), false
	}
	member := s.stores.Members[index]
	if !member.Retiring {
		return s.storeResult(StatusConflict, fmt.Sprintf("store %s is active: its data may be on no other store", member.ID)), false
	}
	if result, current := s.checkStoreBase(c); !current {
		return result, false
	}
	s.dropMember(c.StoreID)
	return s.storeResult(StatusOK, ""), true
}

// checkStoreBase returns a refusal and false if the store view has changed since the command was decided on.
func (s *State) checkStoreBase(c Command) (Result, bool) {
	if !c.HasBase || c.Base == s.stores.Epoch {
		return Result{}, true
	}
	reason := fmt.Sprintf("the stores have changed since the order came in: epoch %d then, %d now", c.Base, s.stores.Epoch)
	return s.storeResult(StatusUnknown, reason), false
}

// FailedStores returns the members that have failed, see failStore.
func (s *State) FailedStores() []StoreMember {
	var failed []StoreMember
	for _, m := range s.stores.Members {
		if s.hasFailed(m) {
			failed = append(failed, m)
		}
	}
	return failed
}

// hasFailed reports whether a member is Retiring for another reason than a retirement of its machine.
func (s *State) hasFailed(m StoreMember) bool {
	return m.Retiring && s.Retirement(m.Node) != RetirementRunning
}

// dropMember removes a member from the view if it is there, and advances the epoch.
func (s *State) dropMember(id string) {
	if index := s.memberIndexByID(id); index >= 0 {
		s.stores.Members = slices.Delete(s.stores.Members, index, index+1)
	}
	s.stores.Epoch++
}

// makeRetirementRoom drops the oldest completed retirement if there are maxRetirements. It returns false if all of them
// are still running.
func (s *State) makeRetirementRoom() bool {
	if len(s.retirements) < maxRetirements {
		return true
	}
	index := slices.IndexFunc(s.retirements, func(r Retirement) bool { return r.Completed })
	if index < 0 {
		return false
	}
	s.retirements = slices.Delete(s.retirements, index, index+1)
	return true
}

// forgetRetirement drops the former retirement of a machine that was removed and came back under the same name.
func (s *State) forgetRetirement(node string) {
	s.retirements = slices.DeleteFunc(s.retirements, func(r Retirement) bool { return r.Node == node })
}

// isRetired reports whether the retirement of a store is completed, or is running and the store was removed.
func (s *State) isRetired(id string) bool {
	return slices.ContainsFunc(s.retirements, func(r Retirement) bool {
		return r.StoreID == id && (r.Completed || s.memberIndexByID(id) < 0)
	})
}

func (s *State) memberIndexByID(id string) int {
	return slices.IndexFunc(s.stores.Members, func(m StoreMember) bool { return m.ID == id })
}

func (s *State) memberIndexByNode(node string) int {
	return slices.IndexFunc(s.stores.Members, func(m StoreMember) bool { return m.Node == node })
}

func (s *State) retirementIndex(node string) int {
	return slices.IndexFunc(s.retirements, func(r Retirement) bool { return r.Node == node })
}

func (s *State) storeResult(status int, message string) Result {
	return Result{Status: status, Message: message, Version: s.stores.Epoch}
}
