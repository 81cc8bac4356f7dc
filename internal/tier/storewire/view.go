package storewire

import (
	"slices"

	"emberquay/internal/tier/controlstate"
)

// View is one state of the list of stores, in the order of its epochs. It is not changed once made.
type View struct {
	Epoch     int64    `avro:"epoch"`     // 0: none is known yet
	Tolerance int      `avro:"tolerance"` // how many stores may be lost at once
	Members   []Member `avro:"members"`
}

// Member is a store of a view.
type Member struct {
	ID       string `avro:"id"`   // drawn when its disk was first used: a lost disk makes another member
	Node     string `avro:"node"` // name of the machine
	Zone     string `avro:"zone"`
	Address  string `avro:"address"`  // IP:port of its internal calls
	Retiring bool   `avro:"retiring"` // it takes nothing new and is being emptied
	Replaced bool   `avro:"replaced"` // it took the place of a store whose disk is lost, and may lack what that one held
}

// ViewOf gives the view that the control state holds.
func ViewOf(stores controlstate.StoreView) View {
	view := View{Epoch: int64(stores.Epoch), Tolerance: stores.Tolerance, Members: make([]Member, 0, len(stores.Members))}
	for _, m := range stores.Members {
		view.Members = append(view.Members, Member{ID: m.ID, Node: m.Node, Zone: m.Zone, Address: m.Address, Retiring: m.Retiring, Replaced: m.Replaced})
	}
	return view
}

// StoreView gives the view back as the control state has it; when members joined is not told.
func (v *View) StoreView() controlstate.StoreView {
	stores := controlstate.StoreView{Epoch: uint64(v.Epoch), Tolerance: v.Tolerance}
	for _, m := range v.Members {
		stores.Members = append(stores.Members, controlstate.StoreMember{ID: m.ID, Node: m.Node, Zone: m.Zone, Address: m.Address, Retiring: m.Retiring, Replaced: m.Replaced})
	}
	return stores
}

// IndexOf gives the place of a member in Members, or -1.
func (v *View) IndexOf(id string) int {
	return slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == id })
}

// ActiveCount counts the members that are not retiring.
func (v *View) ActiveCount() int {
	active := 0
	for _, m := range v.Members {
		if !m.Retiring {
			active++
		}
	}
	return active
}

// Copies is how many stores have to hold a turn: one more than may be lost.
func (v *View) Copies() int { return v.Tolerance + 1 }

// NotFoundQuorum is how many complete stores, retiring ones included, have to say that they don't know a turn for it not to
// exist: any so many include one of those that hold it.
func (v *View) NotFoundQuorum() int { return max(1, len(v.Members)-v.Tolerance) }

// Quorum is how many complete stores that are not retiring have to hold a reservation: any two such sets meet, and
// Tolerance may be lost.
func (v *View) Quorum() int {
	active := v.ActiveCount()
	return max(active-v.Tolerance, active/2+1)
}

// CatchUpQuorum is how many other complete members a store with a fresh disk has to compare with: one of them at least holds
// whatever had been acknowledged.
func (v *View) CatchUpQuorum() int {
	others := len(v.Members) - 1
	strangers := max(v.Tolerance, len(v.Members)-v.Quorum()) // complete stores that may not hold it
	return max(1, min(others, max(len(v.Members)-v.Tolerance, strangers+1)))
}
