package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections are those of clients that are open, with the requests in hand: those of which a byte has been read and
// whose answer is not written yet. A stop waits for them. Its methods may be called from any goroutine.
//
// Once connections are retired, one without a request in hand is closed, and one with a request when its answer has
// ended. No request is lost by that: see clientConnection.
type connections struct {
	mu       sync.Mutex
	open     map[*clientConnection]struct{}
	inHand   int
	retiring bool
	late     int           // requests whose head was read while retiring
	stopped  bool          // nothing may be passed on any more
	empty    chan struct{} // closed when nothing is in hand; nil while nobody waits
}

// clientConnection is one of a client. One that is retired is ended by a read deadline in the past rather than by a
// close: a read gives the bytes that it got or that its time is over, never both, so a connection whose request has been
// read goes on, and one that is closed has its request unread and its client may send it elsewhere. net/http's own ways
// to close connections at rest leave a gap between reading a request and noting that it was read.
type clientConnection struct {
	net.Conn
	all *connections

	// Guarded by the lock of all.
	inHand       bool      // a request of it is in hand
	since        time.Time // its first byte was read
	readDeadline time.Time // as net/http wants it
}

// longPast is a read deadline that has passed.
var longPast = time.Unix(1, 0)

// Read notes the first bytes of a request.
func (c *clientConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.all.received(c)
	}
	return n, err
}

// SetReadDeadline sets the deadline, unless the connection is retired and no request of it is in hand.
func (c *clientConnection) SetReadDeadline(deadline time.Time) error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.readDeadline = deadline
	if c.all.retiring && !c.inHand {
		deadline = longPast
	}
	return c.Conn.SetReadDeadline(deadline)
}

// census is what is open at an instant.
type census struct {
	inHand int
	atRest int // connections without a request in hand
	late   int // requests whose head was read while retiring
	// oldest and youngest are the times since the first bytes of the requests in hand; 0 without any.
	oldest, youngest time.Duration
}

// add takes a connection in, unless there are as many as there may be.
func (s *connections) add(raw net.Conn, most int) (*clientConnection, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= most {
		return nil, false
	}
	if s.open == nil {
		s.open = map[*clientConnection]struct{}{}
	}
	c := &clientConnection{Conn: raw, all: s}
	s.open[c] = struct{}{}
	return c, true
}

// remove forgets a connection that has ended.
func (s *connections) remove(c *clientConnection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// received notes that bytes of a request were read.
func (s *connections) received(c *clientConnection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(c)
}

// changed is net/http's hook. It tells of a request when its head has been read, and of the end of its answer when the
// last byte was written, which is after its handler has returned.
func (s *connections) changed(raw net.Conn, state http.ConnState) {
	c := raw.(*clientConnection)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateActive:
		s.enter(c) // sent behind the one before, it was read with that
		if s.retiring {
			s.late++
		}
	case http.StateIdle:
		s.leave(c)
		if s.retiring {
			c.Conn.SetReadDeadline(longPast)
		}
	case http.StateClosed, http.StateHijacked:
		s.leave(c)
		delete(s.open, c)
	}
}

func (s *connections) enter(c *clientConnection) {
	if c.inHand {
		return
	}
	c.inHand, c.since = true, time.Now()
	s.inHand++
	if s.retiring { // its bytes were there before its time was over
		c.Conn.SetReadDeadline(c.readDeadline)
	}
}

func (s *connections) leave(c *clientConnection) {
	if !c.inHand {
		return
	}
	c.inHand = false
	s.inHand--
	if s.inHand == 0 && s.empty != nil {
		s.stopped = true
		close(s.empty)
		s.empty = nil
	}
}

// retire closes what is at rest, and from now on each connection as it comes to rest.
func (s *connections) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retiring = true
	for c := range s.open {
		if !c.inHand {
			c.Conn.SetReadDeadline(longPast)
		}
	}
}

// requestsInHand is how many there are now.
func (s *connections) requestsInHand() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inHand
}

// isStopped says that the process ends, and that nothing may be passed on any more.
func (s *connections) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// count looks at what is open.
func (s *connections) count() census {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := census{inHand: s.inHand, atRest: len(s.open) - s.inHand, late: s.late}
	for connection := range s.open {
		if !connection.inHand {
			continue
		}
		age := now.Sub(connection.since)
		c.oldest = max(c.oldest, age)
		if c.youngest == 0 || age < c.youngest {
			c.youngest = age
		}
	}
	return c
}

// drained waits until no request is in hand, from where on nothing is passed on; false: ctx ended first.
func (s *connections) drained(ctx context.Context) bool {
	empty := s.whenEmpty()
	select {
	case <-empty:
		return true
	case <-ctx.Done():
		return s.requestsInHand() == 0
	}
}

// whenEmpty gives what is closed once nothing is in hand.
func (s *connections) whenEmpty() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	empty := s.empty
	if empty == nil {
		empty = make(chan struct{})
	}
	if s.inHand == 0 {
		s.stopped = true
		close(empty)
		return empty
	}
	s.empty = empty
	return empty
}

// stop has nothing passed on any more.
func (s *connections) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}
