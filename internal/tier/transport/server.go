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
	// maxConcurrentRequests bounds the requests of one peer that are handled at once; more wait unread.
	maxConcurrentRequests = 256
	// writeTimeout bounds one write: a peer that does not read must not hold others up for long.
	writeTimeout = 2 * time.Second
	// maxCallTimeout bounds a call that brings no time of its own.
	maxCallTimeout  = 10 * time.Second
	readBufferBytes = 4 << 10
)

// Method names a call.
type Method string

type handler func(ctx context.Context, payload []byte) ([]byte, error)

// Mux holds the handlers of a server. All are registered before Listen.
type Mux struct {
	handlers map[Method]handler
}

// NewMux makes an empty one.
func NewMux() *Mux { return &Mux{handlers: map[Method]handler{}} }

// Handle registers the handler of a method. Its error goes back as a *RemoteError with the error's text.
func Handle[Req, Resp any](m *Mux, method Method, requestCodec *Codec[Req], responseCodec *Codec[Resp], handle func(context.Context, Req) (Resp, error)) {
	m.handlers[method] = func(ctx context.Context, payload []byte) ([]byte, error) {
		message, err := requestCodec.Decode(payload)
		if err != nil {
			return nil, err
		}
		result, err := handle(ctx, message)
		if err != nil {
			return nil, err
		}
		return responseCodec.Encode(result)
	}
}

// HandleOneWay registers the handler of a method without an answer.
func HandleOneWay[Q any](m *Mux, method Method, codec *Codec[Q], f func(context.Context, Q)) {
	m.handlers[method] = func(ctx context.Context, payload []byte) ([]byte, error) {
		message, err := codec.Decode(payload)
		if err != nil {
			return nil, err
		}
		f(ctx, message)
		return nil, nil
	}
}

// Server answers calls on one address.
type Server struct {
	listener net.Listener
	mux      *Mux
	cancel   context.CancelFunc
	ctx      context.Context

	mutex       sync.Mutex
	connections map[net.Conn]struct{} // guarded by mutex
	closed      bool                  // guarded by mutex
}

// Listen binds the address and serves it until Close.
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

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the listener and every connection.
func (s *Server) Close() error {
	s.cancel()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for c := range s.connections {
		_ = c.Close()
	}
	return s.listener.Close()
}

func (s *Server) acceptLoop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryDelay) // out of descriptors: not at once again
			continue
		}
		if !s.addConnection(c) {
			_ = c.Close()
			return
		}
		go s.serve(c)
	}
}

// acceptRetryDelay follows a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) addConnection(c net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.connections[c] = struct{}{}
	return true
}

func (s *Server) removeConnection(c net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c)
}

// serve reads the requests of one peer. Each is handled by a goroutine of its own.
func (s *Server) serve(c net.Conn) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer s.removeConnection(c)
	defer c.Close()
	setTCPOptions(c)
	reader := bufio.NewReaderSize(c, readBufferBytes)
	if !readPreamble(c, reader) {
		return
	}
	w := &frameWriter{conn: c}
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

// readPreamble checks the version that a peer opens with; one that says nothing is not waited for long.
func readPreamble(c net.Conn, reader *bufio.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(maxCallTimeout))
	for _, want := range preamble {
		got, err := reader.ReadByte()
		if err != nil || got != want {
			return false
		}
	}
	return c.SetReadDeadline(time.Time{}) == nil
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

// frameWriter sends whole frames on a connection, one at a time. A write that fails breaks the connection: a
// part of a frame may have gone.
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
