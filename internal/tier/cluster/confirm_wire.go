package cluster

import (
	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/transport"
)

// Methods that deliver an entry, answered once it is in the table of the other node, and fetch one.
const (
	methodConfirm transport.Method = "cluster.confirm"
	methodFetch   transport.Method = "cluster.fetch"
)

// confirmRequest delivers an entry. If Holder is not empty, the value is left out, and a receiver that lacks it fetches
// it from the node at that address, which is in its own zone.
type confirmRequest struct {
	From    string         `avro:"from"`
	Entry   core.WireEntry `avro:"entry"`
	Holder  string         `avro:"holder"`
	Forward bool           `avro:"forward"` // the receiver is to push the entry to other nodes
}

// confirmAnswer reports whether the receiver now has the entry or a newer one of its key.
type confirmAnswer struct {
	Has bool `avro:"has"`
}

type fetchRequest struct {
	Key string `avro:"key"`
}

// fetchAnswer holds the entry of the key, if there is one.
type fetchAnswer struct {
	Entries []core.WireEntry `avro:"entries"`
}

var (
	confirmRequestCodec = transport.MustCodec[confirmRequest](`{"type":"record","name":"ConfirmRequest","fields":[
	{"name":"from","type":"string"},
	{"name":"entry","type":` + core.EntrySchema + `},
	{"name":"holder","type":"string"},
	{"name":"forward","type":"boolean"}]}`)

	confirmAnswerCodec = transport.MustCodec[confirmAnswer](`{"type":"record","name":"ConfirmAnswer","fields":[
	{"name":"has","type":"boolean"}]}`)

	fetchRequestCodec = transport.MustCodec[fetchRequest](`{"type":"record","name":"FetchRequest","fields":[
	{"name":"key","type":"string"}]}`)

	fetchAnswerCodec = transport.MustCodec[fetchAnswer](`{"type":"record","name":"FetchAnswer","fields":[
	{"name":"entries","type":{"type":"array","items":` + core.EntrySchema + `}}]}`)
)
