package storewire

import (
	"slices"

	"emberquay/internal/tier/controlstate"
)

// View is one version of the list of stores; a higher epoch is newer. It is immutable.
type View struct {
	Epoch     int64    `avro:"epoch"`     // 0: no view is known yet
	Tolerance int      `avro:"tolerance"` // number of stores that may be lost at once
	Members   []Member `avro:"members"`
}

// Member is a store in a view.
type Member struct {
	ID       string `avro:"id"`   // generated when the disk is first used; a store with a new disk is a new member
	Node     string `avro:"node"` // name of the machine
	Zone     string `avro:"zone"`
	Address  string `avro:"address"`  // IP:port for internal calls
	Retiring bool   `avro:"retiring"` // it accepts no new records and moves its records to other stores
	Replaced bool   `avro:"replaced"` // it replaces a store whose disk was lost, and may lack the records of that store
}

// ViewOf converts a view of the control state.
func ViewOf(stores controlstate.StoreView) View {
	view := View{Epoch: int64(stores.Epoch), Tolerance: stores.Tolerance, Members: make([]Member, 0, len(stores.Members))}
	for _, m := range stores.Members {
		view.Members = append(view.Members, Member{ID: m.ID, Node: m.Node, Zone: m.Zone, Address: m.Address, Retiring: m.Retiring, Replaced: m.Replaced})
	}
	return view
}

// StoreView converts the view to that of the control state, without JoinEpoch of its members.
func (v *View) StoreView() controlstate.StoreView {
	stores := controlstate.StoreView{Epoch: uint64(v.Epoch), Tolerance: v.Tolerance}
	for _, m := range v.Members {
		stores.Members = append(stores.Members, controlstate.StoreMember{ID: m.ID, Node: m.Node, Zone: m.Zone, Address: m.Address, Retiring: m.Retiring, Replaced: m.Replaced})
	}
	return stores
}

// IndexOf returns the index of a member in Members, or -1.
func (v *View) IndexOf(id string) int {
	return slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == id })
}

// ActiveCount returns the number of members that are not retiring.
func (v *View) ActiveCount() int {
	active := 0
	for _, m := range v.Members {
		if !m.Retiring {
			active++
		}
	}
	return active
}

// Copies returns how many stores must hold a turn: one more than may be lost.
func (v *View) Copies() int { return v.Tolerance + 1 }

// NotFoundQuorum returns how many complete stores, retiring ones included, must answer that a turn is unknown to prove
// that it does not exist: any set of this size includes a store that would hold it.
func (v *View) NotFoundQuorum() int { return max(1, len(v.Members)-v.Tolerance) }

// Quorum returns how many complete active stores must hold a reservation: any two sets of this size intersect, and
// enough stores remain after the loss of Tolerance of them.
func (v *View) Quorum() int {
	active := v.ActiveCount()
	return max(active-v.Tolerance, active/2+1)
}

// CatchUpQuorum returns how many other complete members a store with an empty disk must compare with: at least one of
// them holds any given acknowledged record.
func (v *View) CatchUpQuorum() int {
	others := len(v.Members) - 1
	mayLack := max(v.Tolerance, len(v.Members)-v.Quorum()) // complete stores that may lack an acknowledged record
	return max(1, min(others, max(len(v.Members)-v.Tolerance, mayLack+1)))
}
