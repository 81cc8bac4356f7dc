// Package membership detects which processes of the tier are running. Each node sends heartbeats to a few monitors,
// its successors on a ring of hashed ids, so that the cost per node does not grow with the number of nodes. A monitor
// that hears nothing from a node suspects it, pings it directly and through other nodes, and only then declares it
// down; package gossip spreads the declaration. A node that learns that it was declared down refutes this with a
// higher incarnation, as in SWIM (Das, Gupta and Motivala).
//
// A Membership does no I/O and is deterministic: time, messages and the random seed are arguments, effects are returned.
//
//	m := membership.New(first, self, seed)
//	m.ApplyRecord(now, node)                // for each record of a node from gossip
//	m.RecordContact(now, from, incarnation) // for each message from a node
//	m.Receive(now, from, message)
//	m.Tick(now)                             // once m.Due() is reached
//	effects := m.Take()
//
// Invariants: for one incarnation of a node the known state only advances, except that a suspicion may be withdrawn;
// a monitor declares no node down while it hears from no other machine, or right after a pause of its own process.
// A Membership must be used by one goroutine at a time.
package membership
