// Package outbound carries requests to receivers over kept HTTP/1.1 connections.
//
//	pool := outbound.NewPool(outbound.Options{MaxConnections: 500})
//	response, err := pool.Exchange(ctx, address, &outbound.Request{ID: id, Method: "GET", Target: "/a/b?c", Host: host}, deadline)
//	if err != nil {
//		return outbound.MaybeSent(err) // true: a part left, the receiver may have run it
//	}
//	defer response.Close()
//	body, err := io.ReadAll(response.Body)
//
// net/http's Transport is not used for the way to receivers: it resends a request on its own when a kept connection
// breaks, and may then run it twice; it also cannot say whether any byte of a request left.
//
// Invariants: the bytes of a request are written to one connection at most once; an answer is handed out only under
// the request id that it echoes; a connection is kept only after a whole answer with nothing behind it.
//
// The pool owns all connections. Its table is small and is held for moments only, by a mutex.
package outbound
