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
	ID      string `avro:"id"`   // generated when the disk is first used; a store with a new disk is a new member
	Node    string `avro:"node"` // name of the machine
	Zone    string `avro:"zone"`
	Address string `avro:"address"` // IP:port for internal calls
	// Retiring: it accepts no new records, and its records are copied to the active members: an operator retires it, or it
	// has failed.
	Retiring bool `avro:"retiring"`
	Replaced bool `avro:"replaced"` // it replaces a store whose disk was lost, and may lack the records of that store
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

// ActiveMemberLeft reports whether a member may have stopped being active since an older view, the zero view included: one
// that was active there isn't any more, or one is retiring that wasn't there. A member whose disk was lost and that has an
// active Replaced successor on its node doesn't count, as the successor catches up by itself.
func (v *View) ActiveMemberLeft(older *View) bool {
	staysActive := func(m Member) bool {
		return slices.ContainsFunc(v.Members, func(n Member) bool {
			return !n.Retiring && (n.ID == m.ID || n.Node == m.Node && n.Replaced)
		})
	}
	wasRetiring := func(m Member) bool {
		index := older.IndexOf(m.ID)
		return index >= 0 && older.Members[index].Retiring
	}
	return slices.ContainsFunc(older.Members, func(m Member) bool { return !m.Retiring && !staysActive(m) }) ||
		slices.ContainsFunc(v.Members, func(m Member) bool { return m.Retiring && !wasRetiring(m) })
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

// NotFoundQuorum returns how many complete members, retiring ones included, must answer that a turn is unknown to prove
// that it does not exist: fewer than Copies of its possible holders have not answered then.
func (v *View) NotFoundQuorum() int { return max(1, len(v.Members)-v.Tolerance) }

// Quorum returns how many complete and settled active members must hold a reservation: any two sets of this size
// intersect, Copies members hold it, and enough remain after the loss of Tolerance of them.
func (v *View) Quorum() int {
	active := v.ActiveCount()
	return max(active-v.Tolerance, active/2+1, v.Copies())
}

// CatchUpQuorum returns how many other complete members a store with an empty disk must compare with: at least one of
// them holds any given acknowledged record.
func (v *View) CatchUpQuorum() int {
	others := len(v.Members) - 1
	return max(1, min(others, v.NotFoundQuorum()))
}

// SettleQuorum returns how many other complete members a complete store must compare with after an active member left:
// at least one of them or the store itself holds any given acknowledged record.
func (v *View) SettleQuorum() int { return v.NotFoundQuorum() - 1 }
