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

// StoreNotification is what a store tells of itself.
type StoreNotification struct {
	ID        string `avro:"id"` // of its disk
	Node      string `avro:"node"`
	Zone      string `avro:"zone"`
	Address   string `avro:"address"` // internal, ip:port
	Bootstrap bool   `avro:"bootstrap"`
}

// StoreNotificationAnswer is how the control state took it: an HTTP status.
type StoreNotificationAnswer struct {
	Status int    `avro:"status"`
	Reason string `avro:"reason"`
}

var (
	storeNewsCodec = transport.MustCodec[StoreNotification](`{"type":"record","name":"StoreNews","fields":[
		{"name":"id","type":"string"},
		{"name":"node","type":"string"},
		{"name":"zone","type":"string"},
		{"name":"address","type":"string"},
		{"name":"bootstrap","type":"boolean"}]}`)
	storeNewsAnswerCodec = transport.MustCodec[StoreNotificationAnswer](`{"type":"record","name":"StoreAnswer","fields":[
		{"name":"status","type":"int"},
		{"name":"reason","type":"string"}]}`)
)

// HandleStoreNotifications has a control plane answer one of the methods.
func HandleStoreNotifications(mux *transport.Mux, method transport.Method, take func(context.Context, StoreNotification) (StoreNotificationAnswer, error)) {
	transport.Handle(mux, method, storeNewsCodec, storeNewsAnswerCodec, take)
}

// NotifyControlPlane tells one control plane. Errors: those of transport.Call.
func NotifyControlPlane(ctx context.Context, c *transport.Client, address string, method transport.Method, n StoreNotification) (StoreNotificationAnswer, error) {
	return transport.Call(ctx, c, address, method, storeNewsCodec, storeNewsAnswerCodec, n)
}
