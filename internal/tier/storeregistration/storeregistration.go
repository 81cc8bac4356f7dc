// Package storeregistration is how stores tell the control planes of themselves: that a disk is to be in the store view,
// and that nothing is left on it which is not elsewhere. A store calls any control node:
//
//	answer, err := storeregistration.Call(ctx, client, address, storeregistration.Register, news)
//
// and a control node answers both methods:
//
//	storeregistration.Handle(mux, storeregistration.Register, func(ctx context.Context, news storeregistration.News)
//		(storeregistration.Answer, error) { ... })
//
// An error leaves open whether the control state took the news: it is told again, which is harmless.
package storeregistration

import (
	"context"

	"emberquay/internal/tier/transport"
)

// Methods that stores call at any control node.
const (
	Register transport.Method = "control.register-store"
	Retired  transport.Method = "control.store-retired"
)

// News is what a store tells of itself.
type News struct {
	ID        string `avro:"id"` // of its disk
	Node      string `avro:"node"`
	Zone      string `avro:"zone"`
	Address   string `avro:"address"` // internal, ip:port
	Bootstrap bool   `avro:"bootstrap"`
}

// Answer is how the control state took it: an HTTP status.
type Answer struct {
	Status int    `avro:"status"`
	Reason string `avro:"reason"`
}

var (
	news = transport.MustCodec[News](`{"type":"record","name":"StoreNews","fields":[
		{"name":"id","type":"string"},
		{"name":"node","type":"string"},
		{"name":"zone","type":"string"},
		{"name":"address","type":"string"},
		{"name":"bootstrap","type":"boolean"}]}`)
	answers = transport.MustCodec[Answer](`{"type":"record","name":"StoreAnswer","fields":[
		{"name":"status","type":"int"},
		{"name":"reason","type":"string"}]}`)
)

// Handle has a control node answer one of the methods.
func Handle(mux *transport.Mux, method transport.Method, take func(context.Context, News) (Answer, error)) {
	transport.Handle(mux, method, news, answers, take)
}

// Call tells a control node. Errors: those of transport.Call.
func Call(ctx context.Context, c *transport.Client, address string, method transport.Method, n News) (Answer, error) {
	return transport.Call(ctx, c, address, method, news, answers, n)
}
