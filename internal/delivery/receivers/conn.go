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

// conn is one connection to a receiver. It reads along what comes, since http.Transport gives only an error
// for an answer that it cannot read, waits on for the rest of a head, and would take what is left over from
// one answer for the next call's.
type conn struct {
	net.Conn
	fleet  *Pool
	closed atomic.Bool

	mu     sync.Mutex
	calls  int   // that it was given
	stop   error // why nothing of the present one may be written; nil: it may
	asked  bool  // some of a call is written
	dead   bool  // it ended, or more came, while nothing was asked
	answer protocol.Message
	late   *time.Timer // runs while a head has begun and not ended
	spoilt func()      // tells the call that its head does not end
}

// Close takes the connection out of the fleet's count, once.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.fleet.open.Add(-1)
	}
	return c.Conn.Close()
}

// begin makes the connection ready for a call, of which nothing leaves if there is a reason to stop it; spoilt is
// called if the head of its answer does not end.
func (c *conn) begin(stop error, spoilt func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.stop = stop
	c.asked, c.answer, c.spoilt = false, protocol.Message{}, spoilt
}

// Write sends some of a call; from here on an answer may come. The transport may give out a kept connection before it
// sees that the receiver has ended it, or sent what nobody asked for: nothing is written to such a one. It is looked at
// in the last moment, as what is written to a connection that is over counts as a call that may have run.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.stop == nil && !c.asked {
		unread, ended := protocol.Peek(c.Conn)
		if c.dead = c.dead || unread || ended; c.dead {
			c.stop = errDead
		}
	}
	stop := c.stop
	c.asked = c.asked || stop == nil
	c.mu.Unlock()
	if stop != nil {
		return 0, stop
	}
	return c.Conn.Write(b)
}

// Read hands on what belongs to the answer of the call under way. Anything else ends the connection for the
// transport: a second copy must never stand for the answer to the next call.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = c.dead || !c.asked && (n > 0 || err != nil) // the transport may have given it out already
	own := 0
	for c.asked && own < n {
		if c.answer.Section == protocol.Complete && c.answer.Status >= http.StatusOK {
			break
		}
		if c.answer.Section == protocol.Complete { // only an answer in front of the answer
			c.answer = protocol.Message{}
		}
		own += c.answer.Feed(b[own:n])
	}
	switch part := c.answer.Section == protocol.Head && c.answer.Started; {
	case part && c.late == nil:
		c.late = time.AfterFunc(c.fleet.limits.DrainTimeout, c.spoilt)
	case !part && c.late != nil:
		c.late.Stop()
		c.late = nil
	}
	if own < n {
		return own, io.EOF
	}
	return n, err
}

// seal lets nothing of the present call be written any more; false: some of it was, or there is no connection. The
// transport may tell of the end of a call while its writing has yet to begin.
func (c *conn) seal() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asked {
		return false
	}
	c.stop = errOverdue
	return true
}

// state says whether the connection was kept from an earlier call, and why nothing of the present one may be written.
func (c *conn) state() (kept bool, stop error) {
	if c == nil {
		return false, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls > 1, c.stop
}

// heard says what the first line of the answer reads, 0 if none came, and whether any byte came.
func (c *conn) heard() (status int, any bool) {
	if c == nil {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer.Status, c.answer.Started
}
