package receivers

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"emberquay/internal/delivery/protocol"
)

// conn is one connection to a receiver. It parses the responses as they are read, since http.Transport returns only
// an error for a response that it cannot parse, has no time limit for the rest of a response head, and would take
// surplus bytes after one response for the response to the next call.
type conn struct {
	net.Conn
	pool   *Pool
	closed atomic.Bool

	mu             sync.Mutex
	callCount      int   // started on it
	writeErr       error // why the current call must not be written; nil: it may be
	requestStarted bool  // some of the current call has been written
	dead           bool  // it was closed, or bytes arrived, while no request was outstanding
	response       protocol.Message
	headTimer      *time.Timer // runs while a response head is incomplete
	onHeadTimeout  func()      // called when the head is not complete in time
}

// Close closes the connection and, the first time, takes it out of the pool's count.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.pool.openConns.Add(-1)
	}
	return c.Conn.Close()
}

// startCall prepares the connection for a call. If writeErr is not nil, nothing of the call is written; onHeadTimeout is
// called if the head of its response is not complete in time.
func (c *conn) startCall(writeErr error, onHeadTimeout func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callCount++
	c.writeErr = writeErr
	c.requestStarted, c.response, c.onHeadTimeout = false, protocol.Message{}, onHeadTimeout
}

// Write sends some of a call; from then on bytes that arrive are its response. The transport may reuse an idle connection
// before it notices that the receiver has closed it or has sent unsolicited bytes: nothing is written to such a
// connection. It is checked at the last moment, since a call written to a closed connection counts as possibly run.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writeErr == nil && !c.requestStarted {
		unread, ended := protocol.Peek(c.Conn)
		if c.dead = c.dead || unread || ended; c.dead {
			c.writeErr = errConnDead
		}
	}
	writeErr := c.writeErr
	c.requestStarted = c.requestStarted || writeErr == nil
	c.mu.Unlock()
	if writeErr != nil {
		return 0, writeErr
	}
	return c.Conn.Write(b)
}

// Read returns only the bytes of the response to the current call. Any further byte ends the connection for the
// transport: a duplicate response must never be taken for the response to the next call.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = c.dead || !c.requestStarted && (n > 0 || err != nil) // the transport may already have assigned it to a call
	consumed := 0
	for c.requestStarted && consumed < n {
		if c.response.Section == protocol.Complete && c.response.Status >= http.StatusOK {
			break
		}
		if c.response.Section == protocol.Complete { // a 1xx response; the final one follows
			c.response = protocol.Message{}
		}
		consumed += c.response.Feed(b[consumed:n])
	}
	switch inHead := c.response.Section == protocol.Head && c.response.Started; {
	case inHead && c.headTimer == nil:
		c.headTimer = time.AfterFunc(c.pool.limits.DrainTimeout, c.onHeadTimeout)
	case !inHead && c.headTimer != nil:
		c.headTimer.Stop()
		c.headTimer = nil
	}
	if consumed < n {
		return consumed, io.EOF
	}
	return n, err
}

// preventWrites ensures that nothing of the current call is written; false: some of it was, or there is no connection.
// It is needed because the transport may report the end of a call before it has begun to write it.
func (c *conn) preventWrites() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStarted {
		return false
	}
	c.writeErr = errTooLate
	return true
}

// callState returns whether the connection was reused from an earlier call, and why the current one must not be written.
func (c *conn) callState() (reused bool, writeErr error) {
	if c == nil {
		return false, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callCount > 1, c.writeErr
}

// responseStatus returns the status code of the response, 0 if none has arrived, and whether any byte has.
func (c *conn) responseStatus() (status int, begun bool) {
	if c == nil {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.response.Status, c.response.Started
}
