// Package storewire is the protocol between stores and their clients: the messages and their Avro schemas, the view of
// the stores and its distribution, the notifications of stores to control planes, and the client and server of calls:
//
//	storewire.Register(mux, server)                 // server implements Server
//	caller := storewire.NewCaller(transport.NewClient())
//	answer, err := caller.Commit(ctx, address, storewire.CommitRequest{Header: header, Turn: turn})
//
// Every request carries a Header: the epoch of the sender's view and the id of the addressed store. Every answer begins
// with a Reply; the rest of the answer is valid only if its Status is Served. After an error the call may or may not
// have been executed.
package storewire
