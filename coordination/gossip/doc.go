// Package gossip spreads the entries of a table among peers: epidemic dissemination with reconciliation by
// digests (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987).
//
// A Spreader is pure: time, messages and the seed of its choices come in as arguments, messages and changes
// go out as effects.
//
//	s := gossip.New(gossip.Options{Self: "a/proxy", Zone: "z1", Kinds: kinds}, seed)
//	s.SetPeers(now, peers)
//	s.Publish(now, gossip.Entry{Key: "configuration", Value: body, Stamp: stamp})
//	s.Receive(now, from, message) // for each message that arrives
//	s.Tick(now)                   // once s.Due() has come
//	for _, out := range s.Take().Messages { ... }
//
// What is new is pushed to a few peers, and by those to whom it was new to a few more. In the background a
// digest is compared with one peer in turn; where it differs both send what the other lacks. Large values are
// offered by their stamp and sent to those who ask.
//
// Invariants: the stamp of a key never falls at a node, also after its entry was dropped, for several times
// the entry's lifetime; what is not above the known stamp changes nothing, so messages may be lost, repeated
// and reordered. The caller owns the Spreader: one goroutine.
package gossip
