package transport

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxConcurrentRequests limits the requests of one connection that are handled concurrently; further ones wait unread.
	maxConcurrentRequests = 256
	// writeTimeout limits one write: a peer that does not read must not block the connection's other senders for long.
	writeTimeout = 2 * time.Second
	// maxCallTimeout limits the handling of a call, whatever its own deadline, and the wait for a preamble.
	maxCallTimeout  = 10 * time.Second
	readBufferBytes = 4 << 10
)

// Method is the name of a call on the wire.
type Method string

type handler func(ctx context.Context, payload []byte) ([]byte, error)

// Mux holds the handlers of a server by method. All must be registered before Listen.
type Mux struct {
	handlers map[Method]handler
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux { return &Mux{handlers: map[Method]handler{}} }

// Handle registers the handler of a method. The caller gets its error as a *RemoteError with the error's text.
func Handle[Req, Resp any](m *Mux, method Method, requestCodec *Codec[Req], responseCodec *Codec[Resp], handle func(context.Context, Req) (Resp, error)) {
	m.handlers[method] = func(ctx context.Context, payload []byte) ([]byte, error) {
		request, err := requestCodec.Decode(payload)
		if err != nil {
			return nil, err
		}
		response, err := handle(ctx, request)
		if err != nil {
			return nil, err
		}
		return responseCodec.Encode(response)
	}
}

// HandleOneWay registers the handler of a method that has no response.
func HandleOneWay[Q any](m *Mux, method Method, codec *Codec[Q], handle func(context.Context, Q)) {
	m.handlers[method] = func(ctx context.Context, payload []byte) ([]byte, error) {
		message, err := codec.Decode(payload)
		if err != nil {
			return nil, err
		}
		handle(ctx, message)
		return nil, nil
	}
}

// Server serves calls at one address.
type Server struct {
	listener net.Listener
	mux      *Mux
	cancel   context.CancelFunc
	ctx      context.Context

	mutex       sync.Mutex
	connections map[net.Conn]struct{} // guarded by mutex
	closed      bool                  // guarded by mutex
}

// Listen listens on the address and serves calls until Close.
func Listen(address string, mux *Mux) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, mux: mux, ctx: ctx, cancel: cancel, connections: map[net.Conn]struct{}{}}
	go s.acceptLoop()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener and every connection.
func (s *Server) Close() error {
	s.cancel()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for conn := range s.connections {
		_ = conn.Close()
	}
	return s.listener.Close()
}

func (s *Server) acceptLoop() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryDelay) // out of file descriptors: retry later
			continue
		}
		if !s.addConnection(conn) {
			_ = conn.Close()
			return
		}
		go s.serve(conn)
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) addConnection(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.connections[conn] = struct{}{}
	return true
}

func (s *Server) removeConnection(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, conn)
}

// serve reads the requests of a connection and handles each in its own goroutine.
func (s *Server) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer s.removeConnection(conn)
	defer conn.Close()
	setTCPOptions(conn)
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	if !readPreamble(conn, reader) {
		return
	}
	w := &frameWriter{conn: conn}
	slots := make(chan struct{}, maxConcurrentRequests)
	for {
		e, err := readFrame(reader)
		if err != nil {
			return
		}
		slots <- struct{}{}
		go func() {
			s.handle(ctx, w, e)
			<-slots
		}()
	}
}

// readPreamble reports whether the peer starts with the supported preamble, within maxCallTimeout.
func readPreamble(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(maxCallTimeout))
	for _, want := range preamble {
		got, err := reader.ReadByte()
		if err != nil || got != want {
			return false
		}
	}
	return conn.SetReadDeadline(time.Time{}) == nil
}

func (s *Server) handle(ctx context.Context, w *frameWriter, e envelope) {
	timeout := maxCallTimeout
	if e.TimeoutMillis > 0 {
		timeout = min(timeout, time.Duration(e.TimeoutMillis)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h := s.mux.handlers[Method(e.Method)]
	if h == nil {
		w.sendError(e, "unknown method "+e.Method)
		return
	}
	payload, err := h(ctx, e.Payload)
	switch {
	case kind(e.Kind) == kindOneWay:
	case err != nil:
		w.sendError(e, err.Error())
	default:
		_ = w.send(envelope{Kind: int(kindResponse), ID: e.ID, Payload: payload})
	}
}

// frameWriter writes whole frames to a connection, one at a time. A failed write closes the connection, as part of a frame
// may have been sent.
type frameWriter struct {
	mutex sync.Mutex
	conn  net.Conn
}

func (w *frameWriter) send(e envelope) error {
	frame, err := encodeFrame(e)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.conn.Write(frame); err != nil {
		_ = w.conn.Close()
		return err
	}
	return nil
}

func (w *frameWriter) sendError(e envelope, reason string) {
	if kind(e.Kind) == kindRequest {
		_ = w.send(envelope{Kind: int(kindError), ID: e.ID, Payload: []byte(reason)})
	}
}
