// Package outbound sends requests to receivers over pooled HTTP/1.1 connections.
//
//	pool := outbound.NewPool(outbound.Options{MaxConnections: 500})
//	response, err := pool.Exchange(ctx, address, &outbound.Request{ID: id, Method: "GET", Target: "/a/b?c", Host: host}, deadline)
//	if err != nil {
//		return outbound.MaybeSent(err) // true: part of it was sent, the receiver may have run it
//	}
//	defer response.Close()
//	body, err := io.ReadAll(response.Body)
//
// net/http's Transport is not used: it retries a request by itself when a reused connection breaks, so that the request
// may run twice, and it does not tell whether any byte of a request was sent.
//
// Invariants:
//   - The bytes of a request are written to at most one connection, once.
//   - A response is returned only for the request whose id it echoes.
//   - A connection is reused only after a complete response with no bytes after it.
//
// The pool owns all connections. A mutex guards its table; it is held only briefly.
package outbound
