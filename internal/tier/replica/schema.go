package replica

import (
	"github.com/hamba/avro/v2"

	"emberquay/internal/tier/transport"
)

// sharedTypes counts the registered Avro types that messages and records share. A type may refer to those before it.
var sharedTypes = registerTypes(
	`{"type":"record","name":"replica.Peer","fields":[
		{"name":"ID","type":"long"},{"name":"Address","type":"string"}]}`,
	`{"type":"record","name":"replica.Member","fields":[
		{"name":"ID","type":"long"},{"name":"Name","type":"string"},
		{"name":"Address","type":"string"},{"name":"Zone","type":"string"}]}`,
	`{"type":"record","name":"replica.View","fields":[
		{"name":"Epoch","type":"long"},{"name":"Initial","type":"int"},
		{"name":"Members","type":{"type":"array","items":"replica.Member"}},
		{"name":"Chain","type":{"type":"array","items":"long"}}]}`,
	`{"type":"record","name":"replica.Ballot","fields":[
		{"name":"Round","type":"long"},{"name":"Proposer","type":"long"}]}`,
	`{"type":"record","name":"replica.CommandID","fields":[
		{"name":"Process","type":"long"},{"name":"Number","type":"long"}]}`,
	`{"type":"record","name":"replica.Entry","fields":[
		{"name":"Sequence","type":"long"},{"name":"ID","type":"replica.CommandID"},{"name":"Command","type":"bytes"}]}`,
	`{"type":"record","name":"replica.Outcome","fields":[
		{"name":"ID","type":"replica.CommandID"},{"name":"Sequence","type":"long"},{"name":"Result","type":"bytes"}]}`,
	`{"type":"record","name":"replica.State","fields":[
		{"name":"Epoch","type":"long"},{"name":"Sequence","type":"long"},
		{"name":"Full","type":"boolean"},{"name":"Snapshot","type":"bytes"},
		{"name":"Recent","type":{"type":"array","items":"replica.Outcome"}}]}`,
	`{"type":"record","name":"replica.Proposal","fields":[
		{"name":"View","type":"replica.View"},{"name":"State","type":"replica.State"}]}`,
	`{"type":"record","name":"replica.Acceptor","fields":[
		{"name":"Promised","type":"replica.Ballot"},{"name":"Accepted","type":"replica.Ballot"},
		{"name":"Value","type":"replica.Proposal"}]}`,
)

// registerTypes parses schemas, which makes their types available to the schemas parsed later.
func registerTypes(schemas ...string) int {
	for _, schema := range schemas {
		avro.MustParse(schema)
	}
	return len(schemas)
}

// newCodec returns the codec of an Avro record; fields alternates the names and the types of its fields.
func newCodec[T any](name string, fields ...string) *transport.Codec[T] {
	if sharedTypes == 0 {
		panic("replica: codec created before the shared types")
	}
	schema := `{"type":"record","name":"replica.` + name + `","fields":[`
	for i := 0; i < len(fields); i += 2 {
		if i > 0 {
			schema += ","
		}
		schema += `{"name":"` + fields[i] + `","type":` + fields[i+1] + `}`
	}
	return transport.MustCodec[T](schema + `]}`)
}

// Avro types of fields.
const (
	longType        = `"long"`
	booleanType     = `"boolean"`
	stringType      = `"string"`
	bytesType       = `"bytes"`
	intType         = `"int"`
	stringArrayType = `{"type":"array","items":"string"}`
	longArrayType   = `{"type":"array","items":"long"}`
	entryArrayType  = `{"type":"array","items":"replica.Entry"}`
	peerType        = `"replica.Peer"`
	memberType      = `"replica.Member"`
	viewType        = `"replica.View"`
	ballotType      = `"replica.Ballot"`
	commandIDType   = `"replica.CommandID"`
	entryType       = `"replica.Entry"`
	stateType       = `"replica.State"`
	proposalType    = `"replica.Proposal"`
	acceptorType    = `"replica.Acceptor"`
)
