package core_test

import (
	"testing"
	"time"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/core"
)

// FuzzReceive checks that no envelope of a peer makes a node panic, send malformed envelopes or stop publishing.
func FuzzReceive(f *testing.F) {
	zero := testStart
	for _, e := range []core.Envelope{
		{From: "front-2/control", Incarnation: 3},
		{From: "front-2/control", Incarnation: 3, Gossip: []gossip.Message{{Compare: &gossip.Digest{Root: 7}}, {Want: []string{core.ConfigurationKey}}}},
		{From: "front-2/control", Gossip: []gossip.Message{{BucketSums: make([]uint32, 16)}, {Summary: &gossip.Summary{Buckets: []int{1, -1, 1 << 30}}}}},
		{From: "front-2/control", Gossip: []gossip.Message{{Delta: &gossip.Delta{Want: []string{"x"}}, Push: []gossip.Entry{{Key: core.NodePrefix + "x/proxy", Value: []byte{1}}}}}},
	} {
		data, err := core.EnvelopeCodec.Encode(core.EnvelopeToWire(e))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		wire, err := core.EnvelopeCodec.Decode(data)
		if err != nil {
			return
		}
		envelope, err := core.EnvelopeFromWire(wire)
		if err != nil {
			return
		}
		self := membership.Node{Name: "front-1", Role: membership.Control, Zone: "a", Region: "r", Address: "10.0.0.1:7381", Incarnation: 5}
		node, err := core.New(zero, core.Options{Self: self, Seeds: []string{"10.0.0.2:7381"}, Seed: 1})
		if err != nil {
			t.Fatal(err)
		}
		for step := range 3 {
			now := zero.Add(time.Duration(step) * 700 * time.Millisecond)
			node.Receive(now, envelope, "")
			node.Receive(now, envelope, "10.0.0.2:7381")
			for _, out := range node.Take().Messages {
				if _, err := core.EnvelopeCodec.Encode(core.EnvelopeToWire(out.Envelope)); err != nil {
					t.Fatalf("cannot encode an envelope that the node sends: %v", err)
				}
			}
			node.Tick(now)
		}
		if _, isNew := node.Publish(zero.Add(3*time.Second), gossip.Entry{Key: core.StoresKey, Value: []byte("own")}); !isNew {
			if _, known := node.Get(core.StoresKey); !known {
				t.Fatal("the table lacks the entry that the node has published")
			}
		}
	})
}
