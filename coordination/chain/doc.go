// Package chain is one member of a replicated state machine: chain replication (van Renesse and Schneider, "Chain
// Replication for Supporting High Throughput and Availability") under views agreed on by package view, as Vertical Paxos
// does it. It is pure: time, messages and chance come in, and what is to be done goes out, in this order:
//
//	node, output := chain.New(settings, durable, machine, now)
//	output = node.Step(now, envelope) // or Tick, Propose, Read
//	// 1. append output.Persist to the disk and sync it; until that has succeeded nothing else may happen
//	// 2. hand output.Committed to whoever follows the state
//	// 3. send output.Send, answer output.Replies
//	// 4. call Tick at node.Deadline() at the latest
//
// Invariants:
//   - (epoch, sequence) determines the state: only the head makes entries, and syncs each before anyone hears of it.
//   - What is acknowledged is on the disks of the whole chain of its epoch, and so in the promises of every majority.
//   - A member that has promised (sealed its epoch) takes no more entries of it.
//   - Reads and refusals are given after a majority of the members said, to a question asked after the call came in, that
//     the epoch is not sealed there. No clock has a part in it.
//
// The owner of the state is whoever calls Step; a Node is not safe for use by several goroutines.
package chain
