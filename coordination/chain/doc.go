// Package chain implements one member of a replicated state machine: chain replication (van Renesse and Schneider, "Chain
// Replication for Supporting High Throughput and Availability") with views decided by package view, as in Vertical Paxos.
// The package is pure: time, messages and random seeds are inputs, and the required actions are outputs, to be carried
// out in this order:
//
//	node, output := chain.New(settings, durable, machine, now)
//	output = node.Step(now, envelope) // or Tick, Propose, Read
//	// 1. append output.Persist to the disk and sync it; do nothing else until that has succeeded
//	// 2. pass output.Committed to the observers of the state
//	// 3. send output.Send and return output.Replies to their callers
//	// 4. call Tick at node.Deadline() at the latest
//
// Invariants:
//   - (epoch, sequence) determines the state: only the head creates entries, and syncs each one before it is sent.
//   - Acknowledged entries are on the disks of the whole chain of their epoch, and so are part of the promises of every
//     majority.
//   - A member that has promised a ballot (sealed its epoch) takes no more entries of that epoch.
//   - Reads and refusals are answered only after a majority of the members confirmed, in response to a request sent after
//     the call arrived, that they have not sealed the epoch. This does not depend on clocks.
//
// A Node is not safe for concurrent use: one goroutine owns it and makes all calls.
package chain
