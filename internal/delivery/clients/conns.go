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

// stage is how far a connection has come with its present request.
type stage int

// The stages, and what they mean at the cap.
const (
	refused stage = iota // its last answer is given: it goes first
	silent               // nothing has come: it goes once a usual client would have spoken
	partial              // not all of a request has come: likewise
	idle                 // between requests: the longest idle goes
	working              // an answer is owed: it stays
)

func (s stage) String() string {
	return [...]string{"refused", "silent", "partial", "idle", "working"}[s]
}

// conns counts the clients' connections. At the cap one makes room for a new one; if none can the new one
// waits.
type conns struct {
	limits config.Limits

	stopping atomic.Bool // none is kept between requests

	mu      sync.Mutex
	open    map[*conn]bool
	waiting bool      // a new one waits
	told    time.Time // when the log last had that room was made
}

func newConns(limits config.Limits) *conns { return &conns{limits: limits, open: map[*conn]bool{}} }

func (c *conns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// changed is the server's hook.
func (c *conns) changed(raw net.Conn, state http.ConnState) {
	to := map[http.ConnState]stage{http.StateNew: silent, http.StateActive: partial, http.StateIdle: idle}
	at, ok := to[state]
	if !ok {
		return
	}
	o := raw.(*conn)
	if at == idle && o.ahead.Load() {
		at = partial // some of its next request was read beside the answer
	}
	o.reached(at)
	if c.stopping.Load() {
		c.rest()
	}
}

// wanted says whether a new connection waits for this one's place; it is asked before an answer, so that the
// client is told and no request of its crosses the close.
func (c *conns) wanted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := c.waiting
	c.waiting = false
	return wanted
}

// admit lets a connection in if there is room, or if room can be made.
func (c *conns) admit(n *conn) bool {
	c.mu.Lock()
	var goes *conn
	if len(c.open) >= c.limits.MaxClientConns {
		goes = c.makeRoom()
	}
	if c.waiting = len(c.open) >= c.limits.MaxClientConns; !c.waiting {
		c.open[n] = true
	}
	admitted := !c.waiting
	c.mu.Unlock()
	goes.hangUp()
	return admitted
}

// makeRoom gives up the connection that is worth least; nil if none may go. It is closed once the lock is free. Those
// that say nothing, or never end what they say, may have a quarter of the places: with more, what is idle would go for
// them, and with fewer the next client that asks would wait behind them to be let in, as each has a moment to speak.
func (c *conns) makeRoom() *conn {
	now := time.Now()
	var over, between, unheard, ripe []*conn
	for _, o := range slices.SortedFunc(maps.Keys(c.open), func(a, b *conn) int { return a.since.Compare(b.since) }) {
		switch o.at {
		case refused:
			over = append(over, o)
		case idle:
			between = append(between, o)
		case silent, partial:
			unheard = append(unheard, o)
			if o.at == silent && now.Sub(o.since) >= c.limits.FirstRequestTimeout || now.Sub(o.since) >= c.limits.AnswerTimeout {
				ripe = append(ripe, o)
			}
		}
	}
	if len(unheard) <= c.limits.MaxClientConns/4 {
		over = append(over, between...)
	}
	for _, o := range append(over, ripe...) {
		if !c.giveUp(o) {
			continue // its request has just come
		}
		if now.Sub(c.told) >= time.Second { // it may be every connection
			c.told = now
			slog.Info("made_room", "part", "clients", "from", o.RemoteAddr(), "at", o.at, "for", now.Sub(o.since))
		}
		return o
	}
	return nil
}

// giveUp takes the place of a connection, unless a request has just come on it. What comes from here on is never
// read, so its client hands it in once more: what was read on a connection that is closed under it would be sent
// on, and nobody would hear of it. Under the lock.
func (c *conns) giveUp(o *conn) bool {
	if unread, _ := protocol.Peek(o.Conn); unread && (o.at == silent || o.at == idle) {
		return false
	}
	delete(c.open, o)
	o.over = true
	return true
}

// rest closes the connections on which nothing is asked.
func (c *conns) rest() {
	c.mu.Lock()
	var over []*conn
	for o := range c.open {
		if o.at == idle && c.giveUp(o) {
			over = append(over, o)
		}
	}
	c.mu.Unlock()
	for _, o := range over {
		o.hangUp()
	}
}

func (c *conns) listen(l net.Listener) net.Listener { return &listener{l, c} }

type listener struct {
	net.Listener
	conns *conns
}

// Accept takes a connection once there is room for it.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	n := &conn{Conn: raw, conns: l.conns, at: silent, since: time.Now()}
	for full := false; !l.conns.admit(n); time.Sleep(l.conns.limits.FirstRequestTimeout / 4) {
		if !full {
			full = true
			slog.Warn("full", "part", "clients", "conns", l.conns.limits.MaxClientConns)
		}
	}
	return n, nil
}

// conn is one client's connection. It reads along what comes: net/http hides a length that stands beside
// pieces, by which a body may conceal another request.
type conn struct {
	net.Conn
	conns *conns

	at    stage     // under the lock of conns
	since time.Time // likewise
	over  bool      // likewise: it has lost its place, nothing is read on it any more

	request protocol.Message // the reader's alone
	paired  atomic.Bool      // a length stood beside pieces; it never has a further request
	ahead   atomic.Bool      // a request has begun and not all of it was read
}

// reached notes how far the connection has come.
func (c *conn) reached(at stage) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.at, c.since = at, time.Now()
}

// take reads what has come and notes it in one step: whoever gives up an idle connection sees a request of which
// nothing was read, or one that is under way. Between a read and its note it could be closed under a request.
func (c *conn) take(b []byte) (n int, err error) {
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
		if c.over {
			n, fault = 0, net.ErrClosed
			return true
		}
		for fault = syscall.EINTR; fault == syscall.EINTR; {
			n, fault = syscall.Read(int(fd), b)
		}
		if fault == syscall.EAGAIN {
			return false
		}
		if n > 0 && (c.at == silent || c.at == idle) {
			c.at, c.since = partial, time.Now()
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
	// As a read of the connection would tell it, which net/http knows.
	if wrapped := (*net.OpError)(nil); errors.As(err, &wrapped) {
		err = wrapped.Err
	}
	return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: cmp.Or(err, fault)}
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.take(b)
	for rest := b[:n]; len(rest) > 0; {
		if c.request.Section == protocol.Complete || !c.request.IsRequest {
			c.request = protocol.Message{IsRequest: true}
		}
		rest = rest[c.request.Feed(rest):]
		if c.request.LengthConflict {
			c.paired.Store(true)
		}
	}
	c.ahead.Store(c.request.Started && c.request.Section != protocol.Complete)
	return n, err
}

// CloseWrite lets net/http end its side first, so that an answer to what was not read is not lost.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close gives the place back.
func (c *conn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.over = true
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// hangUp closes what was given up: without the lock, as a close waits for whoever reads.
func (c *conn) hangUp() {
	if c != nil {
		c.Conn.Close()
	}
}

// DisableKeepAlives: the process is to end. Idle connections close, others after their next answer; new ones still come.
// The server's own ways to close idle ones are not used: they close some on which a request has been read already.
func (s *Server) DisableKeepAlives() {
	s.conns.stopping.Store(true)
	s.conns.rest() // one that goes idle from now on closes then
}

// Shutdown takes no new connections and waits until those that are open have had their answers. The server's own
// shutdown leaves a request unanswered whose connection is accepted at that moment.
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
