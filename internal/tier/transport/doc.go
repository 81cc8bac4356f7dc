// Package transport carries the tier's internal calls: avro messages in frames over TCP.
//
// A client keeps one connection to each peer and multiplexes any number of concurrent calls on it; responses come in
// any order. Methods and their message types are registered by the packages that serve them:
//
//	var echo = transport.MustCodec[Echo](`{"type":"record","name":"Echo","fields":[{"name":"text","type":"string"}]}`)
//	mux := transport.NewMux()
//	transport.Handle(mux, "test.echo", echo, echo, func(ctx context.Context, e Echo) (Echo, error) { return e, nil })
//	server, err := transport.Listen("127.0.0.1:7380", mux)
//	response, err := transport.Call(ctx, transport.NewClient(), "127.0.0.1:7380", "test.echo", echo, echo, Echo{Text: "a"})
//
// A *RemoteError is an error returned by the peer. After any other error it is unknown whether the call was executed,
// unless errors.Is(err, ErrNotSent). This package never retries a call.
//
// Wire format: the client starts a connection with a preamble that contains the protocol's version; a server closes a
// connection with a version that it does not support. Then both sides send frames: a length of four bytes, big endian,
// at most MaxFrameBytes, and an avro record of that length (schema in envelope.go).
package transport
