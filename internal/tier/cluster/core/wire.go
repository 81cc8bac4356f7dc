package core

import (
	"encoding/binary"

	"github.com/rotisserie/eris"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/tier/transport"
)

// WireEnvelope is the Avro form of an envelope. Unsigned numbers are stored as longs, bucket sums as bytes.
type WireEnvelope struct {
	From        string           `avro:"from"`
	Incarnation int64            `avro:"incarnation"`
	Syncing     bool             `avro:"syncing"`
	Gossip      []wireGossip     `avro:"gossip"`
	Membership  []wireMembership `avro:"membership"`
}

// WireStamp is the Avro form of a stamp.
type WireStamp struct {
	Epoch    int64  `avro:"epoch"`
	Sequence int64  `avro:"sequence"`
	Origin   string `avro:"origin"`
}

// WireEntry is the Avro form of an entry.
type WireEntry struct {
	Key   string    `avro:"key"`
	Stamp WireStamp `avro:"stamp"`
	Value []byte    `avro:"value"`
}

type wireVersion struct {
	Key   string    `avro:"key"`
	Stamp WireStamp `avro:"stamp"`
}

type wireGossip struct {
	Push    []WireEntry   `avro:"push"`
	Offer   []wireVersion `avro:"offer"`
	Want    []string      `avro:"want"`
	Compare *int64        `avro:"compare"` // root of the digest
	Equal   bool          `avro:"equal"`
	Sums    []byte        `avro:"sums"`
	Summary *wireSummary  `avro:"summary"`
	Delta   *wireDelta    `avro:"delta"`
}

type wireSummary struct {
	Buckets  []int         `avro:"buckets"`
	Versions []wireVersion `avro:"versions"`
	Whole    bool          `avro:"whole"`
	Partial  bool          `avro:"partial"`
}

type wireDelta struct {
	Entries []WireEntry   `avro:"entries"`
	Want    []string      `avro:"want"`
	Offer   []wireVersion `avro:"offer"`
	Partial bool          `avro:"partial"`
}

type wireMembership struct {
	Ping  *wirePing `avro:"ping"`
	Probe *string   `avro:"probe"` // id of the target
	Ack   *wireAck  `avro:"ack"`
}

type wirePing struct {
	For string `avro:"for"`
}

type wireAck struct {
	Of          string `avro:"of"`
	Incarnation int64  `avro:"incarnation"`
	For         string `avro:"for"`
}

// Schemas of parts that other messages of the cluster also contain.
const (
	StampSchema = `{"type":"record","name":"Stamp","fields":[
	{"name":"epoch","type":"long"},
	{"name":"sequence","type":"long"},
	{"name":"origin","type":"string"}]}`
	EntrySchema = `{"type":"record","name":"Entry","fields":[
	{"name":"key","type":"string"},
	{"name":"stamp","type":` + StampSchema + `},
	{"name":"value","type":"bytes"}]}`
)

const versionSchema = `{"type":"record","name":"Version","fields":[
	{"name":"key","type":"string"},
	{"name":"stamp","type":"Stamp"}]}`

const summarySchema = `{"type":"record","name":"Summary","fields":[
	{"name":"buckets","type":{"type":"array","items":"int"}},
	{"name":"versions","type":{"type":"array","items":"Version"}},
	{"name":"whole","type":"boolean"},
	{"name":"partial","type":"boolean"}]}`

const deltaSchema = `{"type":"record","name":"Delta","fields":[
	{"name":"entries","type":{"type":"array","items":"Entry"}},
	{"name":"want","type":{"type":"array","items":"string"}},
	{"name":"offer","type":{"type":"array","items":"Version"}},
	{"name":"partial","type":"boolean"}]}`

const gossipSchema = `{"type":"record","name":"Gossip","fields":[
	{"name":"push","type":{"type":"array","items":` + EntrySchema + `}},
	{"name":"offer","type":{"type":"array","items":` + versionSchema + `}},
	{"name":"want","type":{"type":"array","items":"string"}},
	{"name":"compare","type":["null","long"]},
	{"name":"equal","type":"boolean"},
	{"name":"sums","type":"bytes"},
	{"name":"summary","type":["null",` + summarySchema + `]},
	{"name":"delta","type":["null",` + deltaSchema + `]}]}`

const membershipSchema = `{"type":"record","name":"Membership","fields":[
	{"name":"ping","type":["null",{"type":"record","name":"Ping","fields":[{"name":"for","type":"string"}]}]},
	{"name":"probe","type":["null","string"]},
	{"name":"ack","type":["null",{"type":"record","name":"Ack","fields":[
		{"name":"of","type":"string"},
		{"name":"incarnation","type":"long"},
		{"name":"for","type":"string"}]}]}]}`

// EnvelopeCodec encodes and decodes envelopes.
var EnvelopeCodec = transport.MustCodec[WireEnvelope](`{"type":"record","name":"ClusterEnvelope","fields":[
	{"name":"from","type":"string"},
	{"name":"incarnation","type":"long"},
	{"name":"syncing","type":"boolean"},
	{"name":"gossip","type":{"type":"array","items":` + gossipSchema + `}},
	{"name":"membership","type":{"type":"array","items":` + membershipSchema + `}}]}`)

// EnvelopeToWire converts an envelope to its Avro form.
func EnvelopeToWire(e Envelope) WireEnvelope {
	return WireEnvelope{
		From:        string(e.From),
		Incarnation: int64(e.Incarnation),
		Syncing:     e.Syncing,
		Gossip:      convertAll(e.Gossip, gossipToWire),
		Membership:  convertAll(e.Membership, membershipToWire),
	}
}

// EnvelopeFromWire converts an envelope from its Avro form.
func EnvelopeFromWire(w WireEnvelope) (Envelope, error) {
	e := Envelope{
		From:        membership.ID(w.From),
		Incarnation: uint64(w.Incarnation),
		Syncing:     w.Syncing,
		Membership:  convertAll(w.Membership, membershipFromWire),
	}
	for _, g := range w.Gossip {
		m, err := gossipFromWire(g)
		if err != nil {
			return Envelope{}, eris.Wrapf(err, "from %s", w.From)
		}
		e.Gossip = append(e.Gossip, m)
	}
	return e, nil
}

// convertAll converts each element of a list. It returns nil for an empty list.
func convertAll[A, B any](list []A, convert func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	converted := make([]B, len(list))
	for i, element := range list {
		converted[i] = convert(element)
	}
	return converted
}

func stampToWire(s gossip.Stamp) WireStamp {
	return WireStamp{Epoch: int64(s.Epoch), Sequence: int64(s.Sequence), Origin: s.Origin}
}

// StampFromWire converts a stamp from its Avro form.
func StampFromWire(s WireStamp) gossip.Stamp {
	return gossip.Stamp{Epoch: uint64(s.Epoch), Sequence: uint64(s.Sequence), Origin: s.Origin}
}

// EntryToWire converts an entry to its Avro form.
func EntryToWire(e gossip.Entry) WireEntry {
	return WireEntry{Key: e.Key, Stamp: stampToWire(e.Stamp), Value: e.Value}
}

// EntryFromWire converts an entry from its Avro form.
func EntryFromWire(e WireEntry) gossip.Entry {
	return gossip.Entry{Key: e.Key, Stamp: StampFromWire(e.Stamp), Value: e.Value}
}

func versionToWire(v gossip.Version) wireVersion {
	return wireVersion{Key: v.Key, Stamp: stampToWire(v.Stamp)}
}

func versionFromWire(v wireVersion) gossip.Version {
	return gossip.Version{Key: v.Key, Stamp: StampFromWire(v.Stamp)}
}

func gossipToWire(m gossip.Message) wireGossip {
	w := wireGossip{
		Push:  convertAll(m.Push, EntryToWire),
		Offer: convertAll(m.Offer, versionToWire),
		Want:  m.Want,
		Equal: m.Equal,
		Sums:  sumsToWire(m.BucketSums),
	}
	if m.Compare != nil {
		root := int64(m.Compare.Root)
		w.Compare = &root
	}
	if s := m.Summary; s != nil {
		w.Summary = &wireSummary{Buckets: s.Buckets, Versions: convertAll(s.Versions, versionToWire), Whole: s.Whole, Partial: s.Partial}
	}
	if d := m.Delta; d != nil {
		w.Delta = &wireDelta{Entries: convertAll(d.Entries, EntryToWire), Want: d.Want, Offer: convertAll(d.Offer, versionToWire), Partial: d.Partial}
	}
	return w
}

func gossipFromWire(w wireGossip) (gossip.Message, error) {
	sums, err := sumsFromWire(w.Sums)
	if err != nil {
		return gossip.Message{}, err
	}
	m := gossip.Message{
		Push:       convertAll(w.Push, EntryFromWire),
		Offer:      convertAll(w.Offer, versionFromWire),
		Want:       w.Want,
		Equal:      w.Equal,
		BucketSums: sums,
	}
	if w.Compare != nil {
		m.Compare = &gossip.Digest{Root: uint64(*w.Compare)}
	}
	if s := w.Summary; s != nil {
		m.Summary = &gossip.Summary{Buckets: s.Buckets, Versions: convertAll(s.Versions, versionFromWire), Whole: s.Whole, Partial: s.Partial}
	}
	if d := w.Delta; d != nil {
		m.Delta = &gossip.Delta{Entries: convertAll(d.Entries, EntryFromWire), Want: d.Want, Offer: convertAll(d.Offer, versionFromWire), Partial: d.Partial}
	}
	return m, nil
}

// sumBytes is the encoded size of the sum of one bucket.
const sumBytes = 4

func sumsToWire(sums []uint32) []byte {
	encoded := make([]byte, 0, sumBytes*len(sums))
	for _, sum := range sums {
		encoded = binary.BigEndian.AppendUint32(encoded, sum)
	}
	return encoded
}

func sumsFromWire(encoded []byte) ([]uint32, error) {
	if len(encoded)%sumBytes != 0 {
		return nil, eris.Errorf("%d bytes of sums", len(encoded))
	}
	var sums []uint32
	for ; len(encoded) > 0; encoded = encoded[sumBytes:] {
		sums = append(sums, binary.BigEndian.Uint32(encoded))
	}
	return sums, nil
}

func membershipToWire(m membership.Message) wireMembership {
	var w wireMembership
	if m.Ping != nil {
		w.Ping = &wirePing{For: string(m.Ping.Requester)}
	}
	if m.Probe != nil {
		target := string(m.Probe.Target)
		w.Probe = &target
	}
	if m.Ack != nil {
		w.Ack = &wireAck{Of: string(m.Ack.Subject), Incarnation: int64(m.Ack.Incarnation), For: string(m.Ack.Requester)}
	}
	return w
}

func membershipFromWire(w wireMembership) membership.Message {
	var m membership.Message
	if w.Ping != nil {
		m.Ping = &membership.Ping{Requester: membership.ID(w.Ping.For)}
	}
	if w.Probe != nil {
		m.Probe = &membership.Probe{Target: membership.ID(*w.Probe)}
	}
	if w.Ack != nil {
		m.Ack = &membership.Ack{Subject: membership.ID(w.Ack.Of), Incarnation: uint64(w.Ack.Incarnation), Requester: membership.ID(w.Ack.For)}
	}
	return m
}
