package storewire

import (
	"context"

	"emberquay/internal/tier/transport"
)

// Methods of store notifications, which any control plane accepts: RegisterStore adds a disk to the store view;
// StoreRetired reports that all data of a retiring store is held elsewhere. After an error the control state may or may
// not have applied the notification; the store repeats it, which is harmless.
const (
	RegisterStore transport.Method = "control.register-store"
	StoreRetired  transport.Method = "control.store-retired"
)

// StoreNotification identifies the store that sends it.
type StoreNotification struct {
	ID        string `avro:"id"` // of the store's disk
	Node      string `avro:"node"`
	Zone      string `avro:"zone"`
	Address   string `avro:"address"` // internal, ip:port
	Bootstrap bool   `avro:"bootstrap"`
}

// StoreNotificationAnswer is the result of applying a notification, as an HTTP status.
type StoreNotificationAnswer struct {
	Status int    `avro:"status"`
	Reason string `avro:"reason"`
}

var (
	storeNotificationCodec = transport.MustCodec[StoreNotification](`{"type":"record","name":"StoreNews","fields":[
		{"name":"id","type":"string"},
		{"name":"node","type":"string"},
		{"name":"zone","type":"string"},
		{"name":"address","type":"string"},
		{"name":"bootstrap","type":"boolean"}]}`)
	storeNotificationAnswerCodec = transport.MustCodec[StoreNotificationAnswer](`{"type":"record","name":"StoreAnswer","fields":[
		{"name":"status","type":"int"},
		{"name":"reason","type":"string"}]}`)
)

// HandleStoreNotifications registers a control plane's handler of one of the methods.
func HandleStoreNotifications(mux *transport.Mux, method transport.Method, handle func(context.Context, StoreNotification) (StoreNotificationAnswer, error)) {
	transport.Handle(mux, method, storeNotificationCodec, storeNotificationAnswerCodec, handle)
}

// NotifyControlPlane sends a notification to one control plane. It fails with the errors of transport.Call.
func NotifyControlPlane(ctx context.Context, client *transport.Client, address string, method transport.Method, notification StoreNotification) (StoreNotificationAnswer, error) {
	return transport.Call(ctx, client, address, method, storeNotificationCodec, storeNotificationAnswerCodec, notification)
}
