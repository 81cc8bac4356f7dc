package clients

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"emberquay/internal/config"
	"emberquay/internal/protocol"
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
	if at, ok := to[state]; ok {
		raw.(*conn).reached(at)
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
	defer c.mu.Unlock()
	if c.waiting = len(c.open) >= c.limits.ClientConns && !c.makeRoom(); !c.waiting {
		c.open[n] = true
	}
	return !c.waiting
}

// makeRoom closes the connection that is worth least. Those that say nothing, or never end what they say, may
// have a quarter of the places: with more, what is idle would go for them, and with fewer the next client that
// asks would wait behind them to be let in, as each has a moment to speak.
func (c *conns) makeRoom() bool {
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
			if o.at == silent && now.Sub(o.since) >= c.limits.Speak || now.Sub(o.since) >= c.limits.Answer {
				ripe = append(ripe, o)
			}
		}
	}
	if len(unheard) <= c.limits.ClientConns/4 {
		over = append(over, between...)
	}
	for _, o := range append(over, ripe...) {
		if unread, _ := protocol.Peek(o.Conn); unread && (o.at == silent || o.at == idle) {
			continue // its request has just come
		}
		if now.Sub(c.told) >= time.Second { // it may be every connection
			c.told = now
			slog.Info("made_room", "part", "clients", "from", o.RemoteAddr(), "at", o.at, "for", now.Sub(o.since))
		}
		delete(c.open, o)
		o.Conn.Close()
		return true
	}
	return false
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
	for full := false; !l.conns.admit(n); time.Sleep(l.conns.limits.Speak / 4) {
		if !full {
			full = true
			slog.Warn("full", "part", "clients", "conns", l.conns.limits.ClientConns)
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

	request protocol.Message // the reader's alone
	paired  atomic.Bool      // a length stood beside pieces; it never has a further request
}

// reached notes how far the connection has come.
func (c *conn) reached(at stage) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.at, c.since = at, time.Now()
}

// spoke notes the first bytes of a request.
func (c *conn) spoke() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.at == silent || c.at == idle {
		c.at, c.since = partial, time.Now()
	}
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.spoke()
	}
	for rest := b[:n]; len(rest) > 0; {
		if c.request.Part == protocol.Over || !c.request.Request {
			c.request = protocol.Message{Request: true}
		}
		rest = rest[c.request.Take(rest):]
		if c.request.Paired {
			c.paired.Store(true)
		}
	}
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
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// Linger: the process is to end. Connections close after their next answer; new ones still come.
func (s *Server) Linger() {
	s.stopping.Store(true)
	s.http.SetKeepAlivesEnabled(false)
}

// Shutdown takes no new connections and waits for the answers under way. The server's own shutdown misses a
// connection that is accepted at that moment; its request must be answered like any other.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return err
	}
	for s.conns.count() > 0 {
		select {
		case <-time.After(s.limits.Speak / 4):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
