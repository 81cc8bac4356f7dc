// Package core combines gossip and membership into the state machine of one node: node records are entries of
// the gossip table, and the declarations of membership are published there. It also discovers other nodes at
// startup and after a network partition.
//
// A Core does no I/O and is deterministic: time, envelopes and the random seed are arguments, effects are
// returned. Package internal/tier/cluster runs it; tests run hundreds of cores under a seeded scheduler.
//
// Invariants: the record of a node in the table agrees with the view of membership, except for a local
// suspicion; a node reports ready only after it has compared its table with other nodes (see joinState).
package core
