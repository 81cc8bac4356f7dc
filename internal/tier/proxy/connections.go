package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionTracker are those of clients that are open, with the requests in hand: those of which a byte has been read and
// whose answer is not written yet. A stop waits for them. Its methods may be called from any goroutine.
//
// Once connections are retired, one without a request in hand is closed, and one with a request when its answer has
// ended. No request is lost by that: see clientConnection.
type connectionTracker struct {
	mu           sync.Mutex
	open         map[*clientConnection]struct{}
	inFlight     int
	draining     bool
	lateRequests int           // requests whose head was read while retiring
	stopped      bool          // nothing may be passed on any more
	drained      chan struct{} // closed when nothing is in hand; nil while nobody waits
}

// clientConnection is one of a client. One that is retired is ended by a read deadline in the past rather than by a
// close: a read gives the bytes that it got or that its time is over, never both, so a connection whose request has been
// read goes on, and one that is closed has its request unread and its client may send it elsewhere. net/http's own ways
// to close connections at rest leave a gap between reading a request and noting that it was read.
type clientConnection struct {
	net.Conn
	tracker *connectionTracker

	// Guarded by the lock of all.
	inFlight     bool      // a request of it is in hand
	requestStart time.Time // its first byte was read
	readDeadline time.Time // as net/http wants it
}

// pastDeadline is a read deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// Read notes the first bytes of a request.
func (c *clientConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.tracker.bytesRead(c)
	}
	return n, err
}

// SetReadDeadline sets the deadline, unless the connection is retired and no request of it is in hand.
func (c *clientConnection) SetReadDeadline(deadline time.Time) error {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.readDeadline = deadline
	if c.tracker.draining && !c.inFlight {
		deadline = pastDeadline
	}
	return c.Conn.SetReadDeadline(deadline)
}

// connectionCounts is what is open at an instant.
type connectionCounts struct {
	inFlight     int
	idle         int // connections without a request in hand
	lateRequests int // requests whose head was read while retiring
	// oldestAge and youngest are the times since the first bytes of the requests in hand; 0 without any.
	oldestAge, youngestAge time.Duration
}

// add takes a connection in, unless there are as many as there may be.
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

// remove forgets a connection that has ended.
func (t *connectionTracker) remove(c *clientConnection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

// bytesRead notes that bytes of a request were read.
func (t *connectionTracker) bytesRead(c *clientConnection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beginRequest(c)
}

// stateChanged is net/http's hook. It tells of a request when its head has been read, and of the end of its answer when the
// last byte was written, which is after its handler has returned.
func (t *connectionTracker) stateChanged(raw net.Conn, state http.ConnState) {
	c := raw.(*clientConnection)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateActive:
		t.beginRequest(c) // sent behind the one before, it was read with that
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
	if t.draining { // its bytes were there before its time was over
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

// drain closes what is at rest, and from now on each connection as it comes to rest.
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

// inFlightRequests is how many there are now.
func (t *connectionTracker) inFlightRequests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

// isStopped says that the process ends, and that nothing may be passed on any more.
func (t *connectionTracker) isStopped() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopped
}

// count looks at what is open.
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

// waitDrained waits until no request is in hand, from where on nothing is passed on; false: ctx ended first.
func (t *connectionTracker) waitDrained(ctx context.Context) bool {
	drained := t.drainedSignal()
	select {
	case <-drained:
		return true
	case <-ctx.Done():
		return t.inFlightRequests() == 0
	}
}

// drainedSignal gives what is closed once nothing is in hand.
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

// stop has nothing passed on any more.
func (t *connectionTracker) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
}
