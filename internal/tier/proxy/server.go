package proxy

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"emberquay/internal/tier/routing"
)

const (
	// clientUserTimeout is TCP_USER_TIMEOUT of client connections: how long sent data may stay unacknowledged.
	clientUserTimeout = 10 * time.Second
	// minHeaderBytes is accepted whatever the configuration says: the protocol's header fields need it.
	minHeaderBytes = 16 << 10
)

// discardLog drops net/http's log lines: dropped client connections are normal, and logging them costs CPU time.
var discardLog = log.New(io.Discard, "", 0)

// generation is an http.Server with the limits of one configuration. net/http fixes a server's limits for all of its
// connections, so changed limits need a new server; responses of older generations carry Connection: close.
type generation struct {
	limits   routing.Limits
	server   *http.Server
	listener *channelListener
}

// frontend accepts client connections and hands them to the current server generation.
type frontend struct {
	listener       net.Listener
	handler        func(current func() bool) http.Handler
	clients        *connectionTracker
	maxConnections int

	// baseContext is the parent context of all requests; cancelRequests cancels it.
	baseContext    context.Context
	cancelRequests context.CancelCauseFunc

	mu          sync.Mutex
	current     *generation
	generations []*generation
	stopped     bool
}

// listenClients opens the client listener. Accepted connections inherit its TCP_USER_TIMEOUT: a client behind a network
// partition sends nothing and would otherwise hold its connection for minutes.
func listenClients(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(clientUserTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return config.Listen(context.Background(), "tcp", address)
}

func newFrontend(listener net.Listener, handler func(func() bool) http.Handler, clients *connectionTracker, maxConnections int) *frontend {
	baseContext, cancelRequests := context.WithCancelCause(context.Background())
	return &frontend{
		listener: listener, handler: handler, clients: clients, maxConnections: maxConnections,
		baseContext: baseContext, cancelRequests: cancelRequests,
	}
}

// setLimits starts a new server generation if the server limits differ.
func (f *frontend) setLimits(limits routing.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped || f.current != nil && sameServerLimits(f.current.limits, limits) {
		return
	}
	g := &generation{limits: limits, listener: newChannelListener(f.listener.Addr())}
	g.server = &http.Server{
		Handler:                      f.handler(func() bool { return f.currentGeneration() == g }),
		ReadHeaderTimeout:            limits.HeaderTimeout,
		IdleTimeout:                  limits.IdleTimeout,
		MaxHeaderBytes:               max(limits.MaxHeaderBytes, minHeaderBytes),
		ConnState:                    f.clients.stateChanged,
		BaseContext:                  func(net.Listener) context.Context { return f.baseContext },
		ErrorLog:                     discardLog,
		DisableGeneralOptionsHandler: true,
	}
	if f.current != nil {
		f.current.listener.Close() // its server keeps serving its open connections
	}
	f.current = g
	f.generations = append(f.generations, g)
	go g.server.Serve(g.listener)
}

// sameServerLimits compares the limits that an http.Server fixes for its connections.
func sameServerLimits(a, b routing.Limits) bool {
	return a.MaxHeaderBytes == b.MaxHeaderBytes && a.HeaderTimeout == b.HeaderTimeout && a.IdleTimeout == b.IdleTimeout
}

func (f *frontend) currentGeneration() *generation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// accept admits new connections until the listener is closed.
func (f *frontend) accept() error {
	for {
		connection, err := f.listener.Accept()
		switch {
		case err == nil:
			f.admit(connection)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTemporary(err):
			time.Sleep(acceptRetryDelay)
		default:
			return err
		}
	}
}

// admit hands a connection to the current generation. Beyond maxConnections it closes the connection without reading
// from it, so that the client can try another proxy at once.
func (f *frontend) admit(connection net.Conn) {
	client, admitted := f.clients.add(connection, f.maxConnections)
	if !admitted {
		connection.Close()
		return
	}
	for !f.currentGeneration().listener.deliver(client) {
		if f.isStopped() {
			f.clients.remove(client)
			connection.Close()
			return
		}
	}
}

func (f *frontend) isStopped() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped
}

// acceptRetryDelay is the pause after a temporary accept error, such as a lack of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// stopAccepting closes the listener; open connections are still served.
func (f *frontend) stopAccepting() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	f.listener.Close()
}

// close closes all client connections.
func (f *frontend) close() {
	f.mu.Lock()
	generations := f.generations
	f.mu.Unlock()
	for _, g := range generations {
		g.listener.Close()
		g.server.Close()
	}
}

// channelListener is a net.Listener for connections that another listener has accepted.
type channelListener struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newChannelListener(address net.Addr) *channelListener {
	return &channelListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

// deliver passes a connection to Accept. It returns false if the listener is closed.
func (l *channelListener) deliver(connection net.Conn) bool {
	select {
	case l.conns <- connection:
		return true
	case <-l.done:
		return false
	}
}

// Accept returns the next delivered connection.
func (l *channelListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.conns:
		return connection, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and deliver return.
func (l *channelListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address of the accepting listener.
func (l *channelListener) Addr() net.Addr { return l.address }
