package clients

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"emberquay/internal/delivery/config"
	"emberquay/internal/delivery/protocol"
)

// stage is the progress of a connection with its current request.
type stage int

// The stages, and what each means for eviction at the connection limit.
const (
	refused stage = iota // its last response has been sent: evicted first
	silent               // nothing received: evicted once a normal client would have sent something
	partial              // part of a request received: evicted once overdue
	idle                 // between requests: the longest idle is evicted
	working              // a response is due: never evicted
)

func (s stage) String() string {
	return [...]string{"refused", "silent", "partial", "idle", "working"}[s]
}

// conns holds the clients' connections. At the limit one is evicted for a new one; if none can be, the new one
// waits.
type conns struct {
	limits config.Limits

	stopping atomic.Bool // no connection is kept open between requests

	mu         sync.Mutex
	open       map[*conn]bool
	waiting    bool      // a new connection waits for a place
	lastLogged time.Time // when an eviction was last logged
}

func newConns(limits config.Limits) *conns { return &conns{limits: limits, open: map[*conn]bool{}} }

func (c *conns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// onStateChange is the server's ConnState hook.
func (c *conns) onStateChange(raw net.Conn, state http.ConnState) {
	stages := map[http.ConnState]stage{http.StateNew: silent, http.StateActive: partial, http.StateIdle: idle}
	next, ok := stages[state]
	if !ok {
		return
	}
	o := raw.(*conn)
	if next == idle && o.requestPending.Load() {
		next = partial // some of its next request was read before the response was complete
	}
	o.setStage(next)
	if c.stopping.Load() {
		c.closeIdle()
	}
}

// consumeWaiting reports whether a new connection waits for this one's place, and resets the mark. It is called before a
// response is written, so that the client is told of the close and sends no further request on the connection.
func (c *conns) consumeWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.waiting
	c.waiting = false
	return waiting
}

// admit adds a connection if there is room, or if another can be evicted.
func (c *conns) admit(n *conn) bool {
	c.mu.Lock()
	var evicted *conn
	if len(c.open) >= c.limits.MaxClientConns {
		evicted = c.makeRoom()
	}
	if c.waiting = len(c.open) >= c.limits.MaxClientConns; !c.waiting {
		c.open[n] = true
	}
	admitted := !c.waiting
	c.mu.Unlock()
	evicted.closeEvicted()
	return admitted
}

// makeRoom evicts the least valuable connection and returns it, to be closed without the lock; nil if none can be evicted.
// Idle connections are evicted only while those without a complete request hold at most a quarter of the places. With a
// higher bound, idle connections would be evicted for them; with a lower one, the next client with a request would wait
// behind them to be admitted, since each gets a moment to send something.
func (c *conns) makeRoom() *conn {
	now := time.Now()
	var evictable, idleConns, incomplete, overdue []*conn
	for _, o := range slices.SortedFunc(maps.Keys(c.open), func(a, b *conn) int { return a.since.Compare(b.since) }) {
		switch o.stage {
		case refused:
			evictable = append(evictable, o)
		case idle:
			idleConns = append(idleConns, o)
		case silent, partial:
			incomplete = append(incomplete, o)
			if o.stage == silent && now.Sub(o.since) >= c.limits.FirstRequestTimeout || now.Sub(o.since) >= c.limits.AnswerTimeout {
				overdue = append(overdue, o)
			}
		}
	}
	if len(incomplete) <= c.limits.MaxClientConns/4 {
		evictable = append(evictable, idleConns...)
	}
	for _, o := range append(evictable, overdue...) {
		if !c.evict(o) {
			continue // a request has just arrived on it
		}
		if now.Sub(c.lastLogged) >= time.Second { // at most one line per second: it may be every connection
			c.lastLogged = now
			slog.Info("made_room", "part", "clients", "from", o.RemoteAddr(), "at", o.stage, "for", now.Sub(o.since))
		}
		return o
	}
	return nil
}

// evict removes a connection, unless a request has just arrived on it. Nothing that arrives from here on is read, so
// that the client hands it in again: a text read on a connection that is then closed would be delivered without its
// client being told. Call it with the lock held.
func (c *conns) evict(o *conn) bool {
	if unread, _ := protocol.Peek(o.Conn); unread && (o.stage == silent || o.stage == idle) {
		return false
	}
	delete(c.open, o)
	o.evicted = true
	return true
}

// closeIdle closes the connections that are between requests.
func (c *conns) closeIdle() {
	c.mu.Lock()
	var evicted []*conn
	for o := range c.open {
		if o.stage == idle && c.evict(o) {
			evicted = append(evicted, o)
		}
	}
	c.mu.Unlock()
	for _, o := range evicted {
		o.closeEvicted()
	}
}

func (c *conns) limitListener(l net.Listener) net.Listener { return &listener{l, c} }

type listener struct {
	net.Listener
	conns *conns
}

// Accept returns a connection once there is room for it.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	n := &conn{Conn: raw, conns: l.conns, stage: silent, since: time.Now()}
	for full := false; !l.conns.admit(n); time.Sleep(l.conns.limits.FirstRequestTimeout / 4) {
		if !full {
			full = true
			slog.Warn("full", "part", "clients", "conns", l.conns.limits.MaxClientConns)
		}
	}
	return n, nil
}

// conn is one client's connection. It parses the requests as they are read: net/http hides a Content-Length beside
// Transfer-Encoding: chunked, with which a body can smuggle another request.
type conn struct {
	net.Conn
	conns *conns

	stage   stage // guarded by conns.mu, as the next two
	since   time.Time
	evicted bool // nothing is read on it any more

	request         protocol.Message // used only by the reader
	ambiguousLength atomic.Bool      // a request had both Content-Length and chunked encoding; no further request is served
	requestPending  atomic.Bool      // a request has been read in part
}

// setStage records the stage of the connection.
func (c *conn) setStage(next stage) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.stage, c.since = next, time.Now()
}

// readAndMark reads and records the new stage in one step under the lock, so that an eviction sees either a request that
// is still unread or the stage partial. With two steps an idle connection could be closed after a request was read from it.
func (c *conn) readAndMark(b []byte) (n int, err error) {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var fault error
	err = raw.Read(func(fd uintptr) bool {
		c.conns.mu.Lock()
		defer c.conns.mu.Unlock()
		if c.evicted {
			n, fault = 0, net.ErrClosed
			return true
		}
		for fault = syscall.EINTR; fault == syscall.EINTR; {
			n, fault = syscall.Read(int(fd), b)
		}
		if fault == syscall.EAGAIN {
			return false
		}
		if n > 0 && (c.stage == silent || c.stage == idle) {
			c.stage, c.since = partial, time.Now()
		}
		return true
	})
	n = max(0, n)
	switch {
	case err == nil && fault == nil && n == 0 && len(b) > 0:
		return 0, io.EOF
	case err == nil && fault == nil:
		return n, nil
	}
	// The error has the form that a read of the connection returns, which net/http expects.
	if wrapped := (*net.OpError)(nil); errors.As(err, &wrapped) {
		err = wrapped.Err
	}
	return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: cmp.Or(err, fault)}
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.readAndMark(b)
	for rest := b[:n]; len(rest) > 0; {
		if c.request.Section == protocol.Complete || !c.request.IsRequest {
			c.request = protocol.Message{IsRequest: true}
		}
		rest = rest[c.request.Feed(rest):]
		if c.request.LengthConflict {
			c.ambiguousLength.Store(true)
		}
	}
	c.requestPending.Store(c.request.Started && c.request.Section != protocol.Complete)
	return n, err
}

// CloseWrite lets net/http close its side first, so that the response to a request not read in full is not lost.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.evicted = true
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// closeEvicted closes an evicted connection. Call it without the lock, since a close waits for the reader, which takes it.
func (c *conn) closeEvicted() {
	if c != nil {
		c.Conn.Close()
	}
}

// DisableKeepAlives prepares the end of the process: idle connections are closed, others after their next response; new
// ones are still accepted. The methods of http.Server for this are not used: they also close connections from which a
// request has already been read.
func (s *Server) DisableKeepAlives() {
	s.conns.stopping.Store(true)
	s.conns.closeIdle() // a connection that becomes idle later is closed then
}

// Shutdown stops accepting connections and waits until the open ones have had their responses. http.Server.Shutdown
// leaves a request unanswered if its connection is accepted at that moment.
func (s *Server) Shutdown(ctx context.Context) error {
	if l := s.listener.Load(); l != nil {
		(*l).Close()
	}
	for s.conns.count() > 0 {
		select {
		case <-time.After(s.limits.FirstRequestTimeout / 4):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
