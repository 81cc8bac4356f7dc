package chain

import (
	"slices"

	"emberquay/coordination/view"
)

// A first start that a loss of power interrupted. A first member writes its identity, which names the other first members,
// and the first view with the empty state. If power goes before that is synced, a disk holds nothing, or the identity
// alone, and the settings no longer say that the system starts for the first time. Such a node is unbegun. It asks all
// first members what they hold, and becomes the first member that it was to be once every one of them has answered that it
// is unbegun as well, or in the first view with the empty state and its epoch not sealed.
//
// Why nothing acknowledged can be lost by that. Let n first members have answered questions of this process. What is
// acknowledged in epoch 1 is on the disks of all n; with nothing of it on any, n disks would have been lost. Epoch 2 needs
// promises, which seal epoch 1 on a majority's disks; those have been lost since, and a member that answers although epoch 2
// was decided was down or cut off when that was: again all n are lost at once. Both are more than is borne. The votes of
// the member's earlier life belong to ballots whose proposer has sealed the epoch before its first message.
//
// Where no disk holds an identity, nothing tells a first start from new machines that reach nobody but each other: these
// wait, and the first start, of which no message ever left, is made again with Bootstrap.

// BootstrapProbe asks what a first member holds.
type BootstrapProbe struct{ Nonce int64 }

// PristineReply answers BootstrapProbe: its sender is unbegun, or in the first view with nothing done.
type PristineReply struct {
	Nonce   int64    // of the question
	Members []string // addresses of the first members, sorted; empty: the sender's disk does not tell
}

func (BootstrapProbe) message() {}
func (PristineReply) message()  {}

// beginning is what an unbegun node knows of the first start; the zero value is that of any other node.
type beginning struct {
	unbegun bool
	nonce   int64
	members []string            // addresses of the first members, sorted; nil: not known yet
	answers map[string][]string // PristineReply.Members, by the address of who answered
}

// awaitBeginning makes this node an unbegun one. Members are told by its own disk, or nil.
func (n *Node) awaitBeginning(members []string) {
	n.beginning = beginning{unbegun: true, nonce: n.random.Int64(), members: members, answers: map[string][]string{}}
}

// wasUnbegun says whether a disk with an identity, and no view, is that of a node that was never a member: one that was
// removed remembers whom to ask, and has an id that it drew.
func wasUnbegun(d *DurableState) bool {
	return d.View.Epoch == 0 && (d.Member.ID == FirstMemberID(d.Member.Address) || len(d.Known) == 0)
}

// firstMembers are the addresses that the identity of a first member names, with its own; nil for another identity.
func firstMembers(d *DurableState) []string {
	if d.Member.ID != FirstMemberID(d.Member.Address) || len(d.Known) == 0 {
		return nil
	}
	return sortedDistinct(append(slices.Clone(d.Known), d.Member.Address))
}

// untouched says whether this member is in the first view and nothing was ever done in it.
func (n *Node) untouched() bool {
	return n.view.Epoch == 1 && n.sequence == 0 && !n.acceptor.Sealed()
}

// inquire asks all that may be first members, while this node is unbegun.
func (n *Node) inquire() {
	if !n.beginning.unbegun {
		return
	}
	for _, address := range sortedDistinct(append(n.addresses(), n.beginning.members...)) {
		if address != n.self.Address {
			n.send(Peer{Address: address}, BootstrapProbe{Nonce: n.beginning.nonce})
		}
	}
}

func (n *Node) onInquire(from Peer, m BootstrapProbe) {
	switch {
	case n.beginning.unbegun:
		n.send(from, PristineReply{Nonce: m.Nonce, Members: n.beginning.members})
	case n.untouched():
		n.send(from, PristineReply{Nonce: m.Nonce, Members: memberAddresses(n.view)})
	}
}

func (n *Node) onUntouched(from Peer, m PristineReply) {
	b := &n.beginning
	if !b.unbegun || m.Nonce != b.nonce || len(m.Members) > view.MaxMembers {
		return
	}
	if len(b.answers) < 2*view.MaxMembers {
		b.answers[from.Address] = m.Members
	}
	if b.members == nil && slices.Contains(m.Members, n.self.Address) {
		b.members = sortedDistinct(m.Members)
	}
	if b.complete(n.self.Address) {
		n.beginFirst(firstView(b.members))
	}
}

// complete says whether all other first members have answered, and name the same first members where they know them.
func (b *beginning) complete(self string) bool {
	if !slices.Contains(b.members, self) {
		return false
	}
	for _, address := range b.members {
		told, answered := b.answers[address]
		if address != self && (!answered || len(told) > 0 && !slices.Equal(told, b.members)) {
			return false
		}
	}
	return true
}

// beginFirst begins as a first member, with the empty state.
func (n *Node) beginFirst(first view.View) {
	n.beginning = beginning{}
	n.self.ID = FirstMemberID(n.self.Address)
	n.view, n.known = first, first
	n.rememberMembers()
	n.persist(IdentityRecord{Member: n.self, Known: n.remembered})
	state := State{Epoch: 1, Full: true, Snapshot: n.machine.Snapshot()}
	n.persist(ViewRecord{View: first, State: state})
	n.meetMembers()
	n.noteCommitted()
}

// firstView is the first view of members at these addresses, which are sorted.
func firstView(addresses []string) view.View {
	var members []view.Member
	for _, address := range addresses {
		members = append(members, view.Member{ID: FirstMemberID(address), Address: address})
	}
	return view.First(members)
}

// memberAddresses are the addresses of a view's members, sorted.
func memberAddresses(v view.View) []string {
	var all []string
	for _, m := range v.Members {
		all = append(all, m.Address)
	}
	return sortedDistinct(all)
}
