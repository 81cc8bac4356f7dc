// Package sim runs whole clusters of the serving tier under one seeded scheduler in virtual time, and holds them against
// the tier's rules after each step.
//
//	result := sim.Run(sim.Options{Seed: 42})
//	if result.Breach != nil { fmt.Println(result.Breach) } // the same for the same seed
//
// What is run are the state machines of the service: coordination/chain with internal/tier/controlstate on it, gossip and
// membership of internal/tier/cluster/core, internal/tier/registration, coordination/budget and coordination/placement. What joins
// them in the service are goroutines and sockets; here the same joints are steps of the scheduler: a store's table and
// disk, the proxies' calls of stores, confirmed deliveries. Those are models, and docs/notes/simulation.md says where they
// differ.
//
// The network loses, repeats, delays and reorders messages and is cut one way or both ways, in whole or in part. Disks
// keep what was synced and any beginning of the rest. Machines are killed, frozen, wiped, replaced and added. Operators race,
// lose answers, repeat themselves and send what is invalid.
//
// Invariants are named after the rule that they stand for, see Breach. The clock is virtual, chance comes from the seed
// alone, and no map's order decides anything: a seed gives the same run each time.
package sim
