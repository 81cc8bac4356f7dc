package transport_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"emberquay/internal/tier/transport"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTransport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "transport")
}

type text struct {
	Text string `avro:"text"`
}

var textCodec = transport.MustCodec[text](`{"type":"record","name":"Text","fields":[{"name":"text","type":"string"}]}`)

const (
	echoMethod  transport.Method = "test.echo"
	failMethod  transport.Method = "test.refuse"
	blockMethod transport.Method = "test.hang"
)

func startServer() (*transport.Server, *transport.Client) {
	mux := transport.NewMux()
	transport.Handle(mux, echoMethod, textCodec, textCodec, func(_ context.Context, request text) (text, error) { return request, nil })
	transport.Handle(mux, failMethod, textCodec, textCodec, func(context.Context, text) (text, error) {
		return text{}, errors.New("not here")
	})
	transport.Handle(mux, blockMethod, textCodec, textCodec, func(ctx context.Context, _ text) (text, error) {
		<-ctx.Done()
		return text{}, ctx.Err()
	})
	server, err := transport.Listen("127.0.0.1:0", mux)
	Expect(err).NotTo(HaveOccurred())
	client := transport.NewClient()
	DeferCleanup(func() {
		client.Close()
		_ = server.Close()
	})
	return server, client
}

var _ = Describe("calls", func() {
	It("return the handler's responses, many concurrently on one connection", func(ctx SpecContext) {
		server, client := startServer()
		results := make(chan error, 50)
		for i := range 50 {
			go func() {
				request := text{Text: string(rune('a' + i%26))}
				response, err := transport.Call(ctx, client, server.Address(), echoMethod, textCodec, textCodec, request)
				if err == nil && response != request {
					err = errors.New("got another call's response")
				}
				results <- err
			}()
		}
		for range 50 {
			Expect(<-results).To(Succeed())
		}
	})

	It("return the handler's error and an unknown method as a RemoteError", func(ctx SpecContext) {
		server, client := startServer()
		_, err := transport.Call(ctx, client, server.Address(), failMethod, textCodec, textCodec, text{})
		var remote *transport.RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue())
		Expect(remote.Reason).To(Equal("not here"))
		_, err = transport.Call(ctx, client, server.Address(), "test.unknown", textCodec, textCodec, text{})
		Expect(errors.As(err, &remote)).To(BeTrue())
	})

	It("fail with ErrNotSent where nobody listens", func(ctx SpecContext) {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		client := transport.NewClient()
		defer client.Close()
		_, err = transport.Call(ctx, client, address, echoMethod, textCodec, textCodec, text{})
		Expect(errors.Is(err, transport.ErrNotSent)).To(BeTrue())
	})

	It("do not fail with ErrNotSent when the connection ends under them, and the next call reconnects", func(ctx SpecContext) {
		server, client := startServer()
		failed := make(chan error, 1)
		callCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			_, err := transport.Call(callCtx, client, server.Address(), blockMethod, textCodec, textCodec, text{})
			failed <- err
		}()
		_, err := transport.Call(ctx, client, server.Address(), echoMethod, textCodec, textCodec, text{Text: "a"})
		Expect(err).NotTo(HaveOccurred())
		address := server.Address()
		Expect(server.Close()).To(Succeed())
		Expect(errors.Is(<-failed, transport.ErrNotSent)).To(BeFalse())

		mux := transport.NewMux()
		transport.Handle(mux, echoMethod, textCodec, textCodec, func(_ context.Context, request text) (text, error) { return request, nil })
		restarted, err := transport.Listen(address, mux)
		Expect(err).NotTo(HaveOccurred())
		defer restarted.Close()
		Eventually(func() error {
			_, err := transport.Call(ctx, client, address, echoMethod, textCodec, textCodec, text{Text: "b"})
			return err
		}).Should(Succeed())
	})

	It("fail when their context is cancelled", func(ctx SpecContext) {
		server, client := startServer()
		callCtx, cancel := context.WithCancel(ctx)
		result := make(chan error, 1)
		go func() {
			_, err := transport.Call(callCtx, client, server.Address(), blockMethod, textCodec, textCodec, text{})
			result <- err
		}()
		cancel()
		Expect(errors.Is(<-result, context.Canceled)).To(BeTrue())
	})

	It("of another version of the protocol have their connection closed", func() {
		server, _ := startServer()
		c, err := net.Dial("tcp4", server.Address())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = c.Write([]byte{'E', 'Q', 9, 0})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
	})

	It("that exceed the frame limit fail, and the next call succeeds", func(ctx SpecContext) {
		server, client := startServer()
		_, err := transport.Call(ctx, client, server.Address(), echoMethod, textCodec, textCodec, text{Text: string(make([]byte, transport.MaxFrameBytes))})
		Expect(err).To(HaveOccurred())
		_, err = transport.Call(ctx, client, server.Address(), echoMethod, textCodec, textCodec, text{Text: "a"})
		Expect(err).NotTo(HaveOccurred())
	})
})

func FuzzDecode(f *testing.F) {
	valid, err := textCodec.Encode(text{Text: "a"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = textCodec.Decode(data)
	})
}

func BenchmarkCall(b *testing.B) {
	mux := transport.NewMux()
	transport.Handle(mux, echoMethod, textCodec, textCodec, func(_ context.Context, request text) (text, error) { return request, nil })
	server, err := transport.Listen("127.0.0.1:0", mux)
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	client := transport.NewClient()
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := transport.Call(context.Background(), client, server.Address(), echoMethod, textCodec, textCodec, text{Text: "a"}); err != nil {
			b.Fatal(err)
		}
	}
}
