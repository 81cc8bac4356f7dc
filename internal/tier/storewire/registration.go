package storewire

import (
	"context"

	"emberquay/internal/tier/transport"
)

// Methods by which stores tell any control plane of themselves: that a disk is to be in the store view, and that nothing
// is left on it which is not elsewhere. An error leaves open whether the control state took it: it is told again, which is
// harmless.
const (
	RegisterStore transport.Method = "control.register-store"
	StoreRetired  transport.Method = "control.store-retired"
)

// StoreNews is what a store tells of itself.
type StoreNews struct {
	ID        string `avro:"id"` // of its disk
	Node      string `avro:"node"`
	Zone      string `avro:"zone"`
	Address   string `avro:"address"` // internal, ip:port
	Bootstrap bool   `avro:"bootstrap"`
}

// StoreNewsAnswer is how the control state took it: an HTTP status.
type StoreNewsAnswer struct {
	Status int    `avro:"status"`
	Reason string `avro:"reason"`
}

var (
	storeNewsCodec = transport.MustCodec[StoreNews](`{"type":"record","name":"StoreNews","fields":[
		{"name":"id","type":"string"},
		{"name":"node","type":"string"},
		{"name":"zone","type":"string"},
		{"name":"address","type":"string"},
		{"name":"bootstrap","type":"boolean"}]}`)
	storeNewsAnswerCodec = transport.MustCodec[StoreNewsAnswer](`{"type":"record","name":"StoreAnswer","fields":[
		{"name":"status","type":"int"},
		{"name":"reason","type":"string"}]}`)
)

// HandleStoreNews has a control plane answer one of the methods.
func HandleStoreNews(mux *transport.Mux, method transport.Method, take func(context.Context, StoreNews) (StoreNewsAnswer, error)) {
	transport.Handle(mux, method, storeNewsCodec, storeNewsAnswerCodec, take)
}

// TellControlPlane tells one control plane. Errors: those of transport.Call.
func TellControlPlane(ctx context.Context, c *transport.Client, address string, method transport.Method, n StoreNews) (StoreNewsAnswer, error) {
	return transport.Call(ctx, c, address, method, storeNewsCodec, storeNewsAnswerCodec, n)
}
