// Package membership tells which processes of the tier run. Each sends heartbeats to a few monitors, its
// successors on a ring of hashed ids, so that the cost to each does not grow with their number. A monitor that
// hears nothing suspects, asks the node itself and lets others ask, and only then declares it down; the
// declaration is spread by others (package gossip). A node that learns that it was declared down refutes
// with a higher incarnation, as in Das, Gupta and Motivala's SWIM.
//
// A Membership is pure: time, messages and the seed of its choices come in, effects go out.
//
//	m := membership.New(now, self, seed)
//	m.Learn(now, node)             // each newer record of a node
//	m.Heard(now, from, incarnation) // each message that comes from a node
//	m.Receive(now, from, message)
//	m.Tick(now)                    // once m.Due() has come
//	effects := m.Take()
//
// Invariants: for one incarnation of a node the known state only rises, suspicion apart; nothing is declared
// down by a monitor that hears from no other machine, or that has just woken from a pause of its own.
// The caller owns the Membership: one goroutine.
package membership
