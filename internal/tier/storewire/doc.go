// Package storewire holds what stores and their clients say to each other: messages, their avro schemas, the list of
// stores (View) and how it is spread, how a store tells the control planes of itself, and the two ends of a call:
//
//	storewire.Register(mux, server)                 // server implements Server
//	caller := storewire.NewCaller(transport.NewClient())
//	answer, err := caller.Commit(ctx, address, storewire.CommitRequest{Header: header, Turn: turn})
//
// Every request carries a Header: the view that the sender works by and the store that it means. Every answer begins
// with a Reply, whose Standing says whether the rest counts. An error of a call leaves open whether it was carried out.
package storewire
