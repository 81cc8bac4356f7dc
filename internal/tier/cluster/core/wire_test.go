package core_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/core"
)

func drawStamp(t *rapid.T) gossip.Stamp {
	return gossip.Stamp{Epoch: rapid.Uint64().Draw(t, "epoch"), Sequence: rapid.Uint64().Draw(t, "sequence"), Origin: rapid.String().Draw(t, "origin")}
}

func drawVersions(t *rapid.T) []gossip.Version {
	var versions []gossip.Version
	for range rapid.IntRange(0, 3).Draw(t, "versions") {
		versions = append(versions, gossip.Version{Key: rapid.String().Draw(t, "key"), Stamp: drawStamp(t)})
	}
	return versions
}

func drawEntries(t *rapid.T) []gossip.Entry {
	var entries []gossip.Entry
	for range rapid.IntRange(0, 3).Draw(t, "entries") {
		value := rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "value")
		entries = append(entries, gossip.Entry{Key: rapid.String().Draw(t, "key"), Value: value, Stamp: drawStamp(t)})
	}
	return entries
}

func drawKeys(t *rapid.T) []string {
	var keys []string
	for range rapid.IntRange(0, 3).Draw(t, "keys") {
		keys = append(keys, rapid.String().Draw(t, "key"))
	}
	return keys
}

func drawGossip(t *rapid.T) gossip.Message {
	m := gossip.Message{Push: drawEntries(t), Offer: drawVersions(t), Want: drawKeys(t), Equal: rapid.Bool().Draw(t, "equal")}
	if rapid.Bool().Draw(t, "compare") {
		m.Compare = &gossip.Digest{Root: rapid.Uint64().Draw(t, "root")}
	}
	for range rapid.IntRange(0, 64).Draw(t, "sums") {
		m.BucketSums = append(m.BucketSums, rapid.Uint32().Draw(t, "sum"))
	}
	if rapid.Bool().Draw(t, "summary") {
		m.Summary = &gossip.Summary{Buckets: []int{rapid.IntRange(0, 63).Draw(t, "bucket")}, Versions: drawVersions(t), Whole: rapid.Bool().Draw(t, "whole")}
	}
	if rapid.Bool().Draw(t, "delta") {
		m.Delta = &gossip.Delta{Entries: drawEntries(t), Want: drawKeys(t), Offer: drawVersions(t), Partial: rapid.Bool().Draw(t, "partial")}
	}
	return m
}

func drawMembership(t *rapid.T) membership.Message {
	var m membership.Message
	if rapid.Bool().Draw(t, "ping") {
		m.Ping = &membership.Ping{Requester: membership.ID(rapid.String().Draw(t, "for"))}
	}
	if rapid.Bool().Draw(t, "probe") {
		m.Probe = &membership.Probe{Target: membership.ID(rapid.String().Draw(t, "target"))}
	}
	if rapid.Bool().Draw(t, "ack") {
		m.Ack = &membership.Ack{Subject: membership.ID(rapid.String().Draw(t, "of")), Incarnation: rapid.Uint64().Draw(t, "incarnation")}
	}
	return m
}

func TestEnvelopeCodecRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := core.Envelope{
			From:        membership.ID(rapid.String().Draw(t, "from")),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			Syncing:     rapid.Bool().Draw(t, "syncing"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "gossip") {
			e.Gossip = append(e.Gossip, drawGossip(t))
		}
		for range rapid.IntRange(0, 3).Draw(t, "membership") {
			e.Membership = append(e.Membership, drawMembership(t))
		}
		data, err := core.EnvelopeCodec.Encode(core.EnvelopeToWire(e))
		if err != nil {
			t.Fatal(err)
		}
		wire, err := core.EnvelopeCodec.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		back, err := core.EnvelopeFromWire(wire)
		if err != nil {
			t.Fatal(err)
		}
		reencoded, err := core.EnvelopeCodec.Encode(core.EnvelopeToWire(back)) // compare encoded envelopes: empty and nil lists are equal
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(reencoded, data) {
			t.Fatalf("%+v decoded as %+v", e, back)
		}
	})
}

func TestDecodeToleratesAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wire, err := core.EnvelopeCodec.Decode(rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes"))
		if err == nil {
			_, _ = core.EnvelopeFromWire(wire)
		}
	})
}
