package chain

import (
	"slices"

	"emberquay/coordination/view"
)

// Recovery of an interrupted first start. A first member writes its identity, which names the other first members, and
// the first view with the empty state. If power fails before that is synced, a disk holds nothing or only the identity,
// while the settings no longer say that this is the first start. Such a node is uninitialized. It asks all first members
// what they hold, and becomes the first member it was meant to be once each of them has answered that it is
// uninitialized as well, or in the first view with the empty state and its epoch not sealed.
//
// This cannot lose acknowledged entries. Let n first members have answered requests of this process. An entry acknowledged
// in epoch 1 is on all n disks; if none has it, n disks were lost. Epoch 2 requires promises, which seal epoch 1 on the
// disks of a majority; those disks must have been lost since, and a member that answers although epoch 2 was decided was
// down or partitioned at that time: again all n are lost at once. Both exceed the tolerated failures. The member's own
// lost votes belong to ballots whose proposer had sealed the epoch before it sent its first message.
//
// If no disk holds an identity, a first start cannot be told from new machines that reach only each other. These nodes
// wait, and the operator repeats the first start, of which no message was ever sent, with Bootstrap.

// BootstrapProbe asks a first member what its disk holds.
type BootstrapProbe struct{ Nonce int64 }

// PristineReply answers BootstrapProbe: the sender is uninitialized, or in the first view without any entry or promise.
type PristineReply struct {
	Nonce   int64    // of the probe
	Members []string // addresses of the first members, sorted; empty if the sender's disk doesn't name them
}

func (BootstrapProbe) message() {}
func (PristineReply) message()  {}

// bootstrapState is what an uninitialized node knows of the first start; the zero value in any other node.
type bootstrapState struct {
	uninitialized bool
	nonce         int64
	firstMembers  []string            // addresses, sorted; nil: not known yet
	replies       map[string][]string // PristineReply.Members by the address of the sender
}

// awaitBootstrap marks this node as uninitialized. The addresses of the first members come from its own disk; nil if it
// doesn't name them.
func (n *Node) awaitBootstrap(firstMembers []string) {
	n.bootstrap = bootstrapState{uninitialized: true, nonce: n.random.Int64(), firstMembers: firstMembers, replies: map[string][]string{}}
}

// isUninitialized reports whether a disk with an identity but without a view belongs to a node that was never a member. A
// removed member stores the addresses to contact and has a random id.
func isUninitialized(d *DurableState) bool {
	return d.View.Epoch == 0 && (d.Member.ID == FirstMemberID(d.Member.Address) || len(d.Known) == 0)
}

// firstMemberAddresses returns all addresses named by the identity of a first member, including its own; nil for any other
// identity.
func firstMemberAddresses(d *DurableState) []string {
	if d.Member.ID != FirstMemberID(d.Member.Address) || len(d.Known) == 0 {
		return nil
	}
	return sortedDistinct(append(slices.Clone(d.Known), d.Member.Address))
}

// isPristine reports whether this member is in the first view, with no entry and no promise.
func (n *Node) isPristine() bool {
	return n.view.Epoch == 1 && n.sequence == 0 && !n.acceptor.Sealed()
}

// probeFirstMembers sends a probe to all possible first members while this node is uninitialized.
func (n *Node) probeFirstMembers() {
	if !n.bootstrap.uninitialized {
		return
	}
	for _, address := range sortedDistinct(append(n.addresses(), n.bootstrap.firstMembers...)) {
		if address != n.self.Address {
			n.send(Peer{Address: address}, BootstrapProbe{Nonce: n.bootstrap.nonce})
		}
	}
}

func (n *Node) onBootstrapProbe(from Peer, m BootstrapProbe) {
	switch {
	case n.bootstrap.uninitialized:
		n.send(from, PristineReply{Nonce: m.Nonce, Members: n.bootstrap.firstMembers})
	case n.isPristine():
		n.send(from, PristineReply{Nonce: m.Nonce, Members: memberAddresses(n.view)})
	}
}

func (n *Node) onPristineReply(from Peer, m PristineReply) {
	b := &n.bootstrap
	if !b.uninitialized || m.Nonce != b.nonce || len(m.Members) > view.MaxMembers {
		return
	}
	if len(b.replies) < 2*view.MaxMembers {
		b.replies[from.Address] = m.Members
	}
	if b.firstMembers == nil && slices.Contains(m.Members, n.self.Address) {
		b.firstMembers = sortedDistinct(m.Members)
	}
	if b.complete(n.self.Address) {
		n.initializeFirstMember(firstView(b.firstMembers))
	}
}

// complete reports whether all other first members have replied, and name the same first members if they know them.
func (b *bootstrapState) complete(self string) bool {
	if !slices.Contains(b.firstMembers, self) {
		return false
	}
	for _, address := range b.firstMembers {
		reported, answered := b.replies[address]
		if address != self && (!answered || len(reported) > 0 && !slices.Equal(reported, b.firstMembers)) {
			return false
		}
	}
	return true
}

// initializeFirstMember starts this node as a first member with the empty state.
func (n *Node) initializeFirstMember(first view.View) {
	n.bootstrap = bootstrapState{}
	n.self.ID = FirstMemberID(n.self.Address)
	n.view, n.newestView = first, first
	n.rememberMemberAddresses()
	n.persist(IdentityRecord{Member: n.self, Known: n.rememberedAddresses})
	state := State{Epoch: 1, Full: true, Snapshot: n.machine.Snapshot()}
	n.persist(ViewRecord{View: first, State: state})
	n.trackMembers()
	n.publishCommitted()
}

// firstView returns the first view with members at the given sorted addresses.
func firstView(addresses []string) view.View {
	var members []view.Member
	for _, address := range addresses {
		members = append(members, view.Member{ID: FirstMemberID(address), Address: address})
	}
	return view.First(members)
}

// memberAddresses returns the sorted addresses of a view's members.
func memberAddresses(v view.View) []string {
	var all []string
	for _, m := range v.Members {
		all = append(all, m.Address)
	}
	return sortedDistinct(all)
}
