// Package view defines the views (configurations) of a replicated state machine and how the next one is decided: the
// types, single-decree Paxos (Lamport, "Paxos Made Simple") with the members of one view as the acceptors for the next,
// and the planner that chooses the next view. The package is pure: no clock, no goroutines, no I/O.
//
//	acceptor.Prepare(ballot)                             // at each member: seals the epoch
//	proposer := view.NewProposer[Value](ballot, current.Majority())
//	if proposer.RecordPromise(member, accepted, value) { // a majority has promised
//		value, found := proposer.RequiredValue()         // must be proposed if found
//		proposer.Propose(value)
//	}
//	decided := proposer.RecordAccepted(member)
//
// Invariants: at most one view is decided per epoch, by a majority of the members of the previous epoch. A chain is a
// subset of the members and contains at least a majority of them, so it intersects every majority.
package view
