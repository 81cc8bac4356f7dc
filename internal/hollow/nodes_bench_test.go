package hollow_test

import (
	"fmt"
	"testing"
	"time"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/cluster/core"
	"emberquay/internal/cluster/records"
)

// entryOf gives the record of a made-up proxy.
func entryOf(b *testing.B, i int, incarnation uint64) gossip.Entry {
	name := fmt.Sprint("front-", i)
	value, err := records.EncodeNode(records.NodeRecord{
		Name: name, Role: membership.Proxy, Zone: fmt.Sprint("zone-", i%5), Address: fmt.Sprintf("10.0.%d.%d:7380", i/200, i%200),
	})
	if err != nil {
		b.Fatal(err)
	}
	return gossip.Entry{Key: core.NodeKey(membership.IDOf(name, membership.Proxy)), Value: value, Stamp: gossip.Stamp{Epoch: incarnation}}
}

// BenchmarkNodeChange is what a node pays for hearing that one of the others has started anew.
func BenchmarkNodeChange(b *testing.B) {
	for _, nodes := range []int{30, 100, 340, 1000} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			now := time.Now()
			self := membership.Node{Name: "self", Role: membership.Proxy, Zone: "zone-0", Address: "10.1.0.1:7380", Incarnation: 1}
			c, err := core.New(now, core.Options{Self: self, Seed: 1})
			if err != nil {
				b.Fatal(err)
			}
			hear := func(e gossip.Entry) {
				now = now.Add(time.Millisecond)
				from := membership.IDOf("front-0", membership.Proxy)
				c.Receive(now, core.Envelope{From: from, Incarnation: 1, Gossip: []gossip.Message{{Push: []gossip.Entry{e}}}}, "")
				c.Take()
				c.Nodes() // as the runtime does for those who read
			}
			for i := range nodes {
				hear(entryOf(b, i, 1))
			}
			if known := len(c.Nodes()); known != nodes+1 {
				b.Fatalf("%d nodes are known", known)
			}
			incarnation := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				incarnation++
				hear(entryOf(b, 1+int(incarnation)%(nodes-1), incarnation))
			}
		})
	}
}
