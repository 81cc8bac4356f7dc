// Package view holds the views of a replicated state and how the next one is agreed on: the types, single-decree Paxos
// (Lamport, "Paxos Made Simple") with the members of one view as the acceptors of the next, and the plan of which view
// should come next. It is pure: no clock, no goroutine, no input or output.
//
//	acceptor.Prepare(ballot)                       // at each member: seals the epoch
//	proposer := view.NewProposer[Value](ballot, current.Majority())
//	if proposer.Promise(member, accepted, value) { // a majority has promised
//		value, found := proposer.Found()           // must be taken if found
//		proposer.Begin(value)
//	}
//	decided := proposer.Accepted(member)
//
// Invariants: for each epoch at most one view is ever decided, by a majority of the members of the epoch before; a chain
// is a subset of the members and holds at least a majority of them, so it meets every majority.
package view
