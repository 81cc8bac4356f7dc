// Package transport carries the tier's internal calls: avro messages in frames over TCP.
//
// A client keeps one connection to each peer and runs any number of calls on it at once; answers come in
// any order. Methods and their message types are registered by the packages that serve them:
//
//	var echo = transport.MustCodec[Echo](`{"type":"record","name":"Echo","fields":[{"name":"text","type":"string"}]}`)
//	mux := transport.NewMux()
//	transport.Handle(mux, "test.echo", echo, echo, func(ctx context.Context, e Echo) (Echo, error) { return e, nil })
//	server, err := transport.Listen("127.0.0.1:7380", mux)
//	answer, err := transport.Call(ctx, transport.NewClient(), "127.0.0.1:7380", "test.echo", echo, echo, Echo{Text: "a"})
//
// A *RemoteError is the other side's own refusal of the call. Any other error leaves open whether the call
// was carried out, unless errors.Is(err, ErrNotSent). Nothing is ever sent twice by this package.
//
// The wire: the client opens with a preamble that names the protocol's version; a server closes a connection
// of a version that it does not speak. Then frames in both directions: a length of four bytes, big endian,
// at most MaxFrameBytes, and an avro record of that length (schema in envelope.go).
package transport
