// Package gossip replicates a table of entries among peers by rumor mongering and anti-entropy with digests
// (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987).
//
// A Disseminator does no I/O and is deterministic: time, messages and the random seed are arguments, messages
// to send and changed entries are returned as effects.
//
//	d := gossip.New(now, gossip.Options{Self: "a/proxy", Zone: "z1", Kinds: kinds}, seed)
//	d.SetPeers(now, peers)
//	d.Publish(now, gossip.Entry{Key: "configuration", Value: body, Stamp: stamp})
//	d.Receive(now, from, message) // for each message that arrives
//	d.Tick(now)                   // once d.Due() is reached
//	for _, out := range d.Take().Messages { ... }
//
// New entries are pushed to a few peers; a peer to which an entry is new pushes it to a few more. In the
// background each node periodically compares digests with one peer; where they differ, both send the entries
// that the other lacks. Large values are offered by key and stamp and sent on request.
//
// Invariants: the stamp of a key never decreases at a node, and remains as a tombstone for several lifetimes
// after its entry has expired; an entry whose stamp is not newer than the known one changes nothing, so
// messages may be lost, duplicated and reordered. A Disseminator must be used by one goroutine at a time.
package gossip
