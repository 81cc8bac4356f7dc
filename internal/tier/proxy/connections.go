package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionTracker tracks the open client connections and the requests in flight: those of which a byte has been read
// and whose response is not completely written. A shutdown waits for them. Its methods are safe for concurrent use.
//
// Once it is draining, idle connections are closed, and the others at the end of their response. No request is lost by
// that: see clientConnection.
type connectionTracker struct {
	mu           sync.Mutex
	open         map[*clientConnection]struct{}
	inFlight     int
	draining     bool
	lateRequests int           // requests whose head was read while draining
	stopped      bool          // no request may be forwarded any more
	drained      chan struct{} // closed once no request is in flight; nil while nobody waits
}

// clientConnection is a client's connection. While draining, an idle one is ended by a read deadline in the past, not by
// Close: a read returns either bytes or a timeout, never both. So a connection whose request has been read stays open, and
// one that is closed has its request unread, so its client can send it to another proxy. The ways in which net/http
// closes idle connections leave a gap between reading a request and marking its connection active.
type clientConnection struct {
	net.Conn
	tracker *connectionTracker

	// Guarded by tracker.mu.
	inFlight     bool      // a request on it is in flight
	requestStart time.Time // when the first byte of that request was read
	readDeadline time.Time // as set by net/http
}

// pastDeadline is a deadline in the past, which makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// Read reads from the connection and marks its request as in flight.
func (c *clientConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.tracker.bytesRead(c)
	}
	return n, err
}

// SetReadDeadline sets the read deadline; while draining, an idle connection keeps pastDeadline.
func (c *clientConnection) SetReadDeadline(deadline time.Time) error {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.readDeadline = deadline
	if c.tracker.draining && !c.inFlight {
		deadline = pastDeadline
	}
	return c.Conn.SetReadDeadline(deadline)
}

// connectionCounts holds the numbers of open connections and requests at one time.
type connectionCounts struct {
	inFlight     int
	idle         int // connections without a request in flight
	lateRequests int // requests whose head was read while draining
	// oldestAge and youngestAge are the times since the first bytes of the requests in flight; 0 without any.
	oldestAge, youngestAge time.Duration
}

// add tracks a connection. It returns false if maxConnections are open.
func (t *connectionTracker) add(raw net.Conn, maxConnections int) (*clientConnection, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.open) >= maxConnections {
		return nil, false
	}
	if t.open == nil {
		t.open = map[*clientConnection]struct{}{}
	}
	c := &clientConnection{Conn: raw, tracker: t}
	t.open[c] = struct{}{}
	return c, true
}

// remove stops tracking a connection that was not handed to a server.
func (t *connectionTracker) remove(c *clientConnection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

// bytesRead marks a request of the connection as in flight.
func (t *connectionTracker) bytesRead(c *clientConnection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beginRequest(c)
}

// stateChanged is the ConnState hook of net/http. It is called when the head of a request has been read, and when the
// last byte of its response has been written, which is after its handler has returned.
func (t *connectionTracker) stateChanged(raw net.Conn, state http.ConnState) {
	c := raw.(*clientConnection)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateActive:
		t.beginRequest(c) // a pipelined request was read together with the previous one
		if t.draining {
			t.lateRequests++
		}
	case http.StateIdle:
		t.endRequest(c)
		if t.draining {
			c.Conn.SetReadDeadline(pastDeadline)
		}
	case http.StateClosed, http.StateHijacked:
		t.endRequest(c)
		delete(t.open, c)
	}
}

func (t *connectionTracker) beginRequest(c *clientConnection) {
	if c.inFlight {
		return
	}
	c.inFlight, c.requestStart = true, time.Now()
	t.inFlight++
	if t.draining { // its bytes were read before pastDeadline took effect
		c.Conn.SetReadDeadline(c.readDeadline)
	}
}

func (t *connectionTracker) endRequest(c *clientConnection) {
	if !c.inFlight {
		return
	}
	c.inFlight = false
	t.inFlight--
	if t.inFlight == 0 && t.drained != nil {
		t.stopped = true
		close(t.drained)
		t.drained = nil
	}
}

// drain closes idle connections, and from now on each connection that becomes idle.
func (t *connectionTracker) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	for c := range t.open {
		if !c.inFlight {
			c.Conn.SetReadDeadline(pastDeadline)
		}
	}
}

// inFlightRequests returns the number of requests in flight.
func (t *connectionTracker) inFlightRequests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

// isStopped reports whether the shutdown has ended, so that no request may be forwarded any more.
func (t *connectionTracker) isStopped() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopped
}

// count returns the current counts.
func (t *connectionTracker) count() connectionCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	c := connectionCounts{inFlight: t.inFlight, idle: len(t.open) - t.inFlight, lateRequests: t.lateRequests}
	for connection := range t.open {
		if !connection.inFlight {
			continue
		}
		age := now.Sub(connection.requestStart)
		c.oldestAge = max(c.oldestAge, age)
		if c.youngestAge == 0 || age < c.youngestAge {
			c.youngestAge = age
		}
	}
	return c
}

// waitDrained waits until no request is in flight; from then on none is forwarded. It returns false if ctx ends first.
func (t *connectionTracker) waitDrained(ctx context.Context) bool {
	drained := t.drainedSignal()
	select {
	case <-drained:
		return true
	case <-ctx.Done():
		return t.inFlightRequests() == 0
	}
}

// drainedSignal returns a channel that is closed once no request is in flight.
func (t *connectionTracker) drainedSignal() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	drained := t.drained
	if drained == nil {
		drained = make(chan struct{})
	}
	if t.inFlight == 0 {
		t.stopped = true
		close(drained)
		return drained
	}
	t.drained = drained
	return drained
}

// stop prevents any further request from being forwarded.
func (t *connectionTracker) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
}
