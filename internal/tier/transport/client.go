package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// RemoteError is an error that the peer returned for a call.
type RemoteError struct {
	Method Method
	Reason string
}

func (e *RemoteError) Error() string { return string(e.Method) + ": " + e.Reason }

// ErrNotSent reports that no byte of the call was sent, so it was not executed.
var ErrNotSent = errors.New("not sent")

// ErrConnectionLost reports that the connection ended before the response arrived; the call may have been executed.
var ErrConnectionLost = errors.New("connection lost")

const (
	// dialTimeout limits the time to establish a connection. A host behind a network partition does not respond at all.
	dialTimeout = time.Second
	// firstDialTimeout limits the first attempt to connect; each further one may take twice as long. A host that is just
	// starting loses the SYN, which the kernel retransmits only after a second: a new attempt is faster.
	firstDialTimeout = 120 * time.Millisecond
)

// Client calls peers over one connection each. The zero value is not usable; use NewClient.
type Client struct {
	mutex       sync.Mutex
	connections map[string]*connection // by the peer's address; guarded by mutex
	closed      bool                   // guarded by mutex
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{connections: map[string]*connection{}} }

// Close closes all connections; pending calls fail.
func (c *Client) Close() {
	c.mutex.Lock()
	connections := c.connections
	c.connections = map[string]*connection{}
	c.closed = true
	c.mutex.Unlock()
	for _, conn := range connections {
		conn.close(ErrConnectionLost)
	}
}

// Call sends a request to a peer and waits for its response, at most until ctx ends.
func Call[Req, Resp any](ctx context.Context, c *Client, address string, method Method, requestCodec *Codec[Req], responseCodec *Codec[Resp], request Req) (Resp, error) {
	var zero Resp
	payload, err := requestCodec.Encode(request)
	if err != nil {
		return zero, eris.Wrap(errors.Join(ErrNotSent, err), string(method))
	}
	result, err := c.call(ctx, address, method, payload)
	if err != nil {
		return zero, err
	}
	return responseCodec.Decode(result)
}

// Send sends a message that has no response. A nil error does not mean that it arrived.
func Send[M any](ctx context.Context, c *Client, address string, method Method, codec *Codec[M], message M) error {
	payload, err := codec.Encode(message)
	if err != nil {
		return eris.Wrap(errors.Join(ErrNotSent, err), string(method))
	}
	conn, err := c.connectionTo(ctx, address)
	if err != nil {
		return err
	}
	if err := conn.writer.send(envelope{Kind: int(kindOneWay), Method: string(method), Payload: payload}); err != nil {
		conn.close(ErrConnectionLost)
		c.remove(address, conn)
		return err
	}
	return nil
}

func (c *Client) call(ctx context.Context, address string, method Method, payload []byte) ([]byte, error) {
	conn, err := c.connectionTo(ctx, address)
	if err != nil {
		return nil, err
	}
	id, result := conn.addCall()
	e := envelope{Kind: int(kindRequest), ID: id, Method: string(method), TimeoutMillis: remainingMillis(ctx), Payload: payload}
	if err := conn.writer.send(e); err != nil {
		conn.close(ErrConnectionLost)
		c.remove(address, conn)
		return nil, eris.Wrapf(ErrConnectionLost, "%s to %s", method, address)
	}
	select {
	case r := <-result:
		return r.payload(method, address)
	case <-ctx.Done():
		conn.removeCall(id)
		return nil, eris.Wrapf(ctx.Err(), "%s to %s", method, address)
	}
}

func remainingMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, time.Until(deadline).Milliseconds())
}

// connectionTo returns the connection to a peer, and establishes it if there is none. Concurrent callers share one
// attempt.
func (c *Client) connectionTo(ctx context.Context, address string) (*connection, error) {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return nil, eris.Wrap(ErrNotSent, "client closed")
	}
	conn := c.connections[address]
	if conn == nil || conn.isClosed() {
		conn = newConnection()
		c.connections[address] = conn
		go c.dial(address, conn)
	}
	c.mutex.Unlock()
	select {
	case <-conn.ready:
	case <-ctx.Done():
		return nil, eris.Wrapf(errors.Join(ErrNotSent, ctx.Err()), "connect to %s", address)
	}
	if conn.dialErr != nil {
		return nil, eris.Wrapf(errors.Join(ErrNotSent, conn.dialErr), "connect to %s", address)
	}
	return conn, nil
}

func (c *Client) dial(address string, conn *connection) {
	netConn, err := dialWithRetries(func(timeout time.Duration) (net.Conn, error) {
		return net.DialTimeout("tcp4", address, timeout)
	})
	if err == nil {
		setTCPOptions(netConn)
		_, err = netConn.Write(preamble[:])
	}
	if err != nil {
		conn.dialErr = err
		close(conn.ready)
		c.remove(address, conn)
		return
	}
	if !conn.attach(netConn) {
		conn.dialErr = ErrConnectionLost
		close(conn.ready)
		return
	}
	close(conn.ready)
	conn.readResponses()
	c.remove(address, conn)
}

// dialWithRetries dials with timeouts that double, until an attempt succeeds or fails other than by its timeout, or
// dialTimeout is used up.
func dialWithRetries(dial func(timeout time.Duration) (net.Conn, error)) (net.Conn, error) {
	remaining := dialTimeout
	for timeout := firstDialTimeout; ; timeout *= 2 {
		conn, err := dial(min(timeout, remaining))
		remaining -= timeout
		var netErr net.Error
		if err == nil || !errors.As(err, &netErr) || !netErr.Timeout() || remaining <= 0 {
			return conn, err
		}
	}
}

// remove drops a connection that has ended.
func (c *Client) remove(address string, conn *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connections[address] == conn {
		delete(c.connections, address)
	}
}

// connection is the connection to a peer, with the calls that wait for their responses.
type connection struct {
	ready   chan struct{} // closed once dialing has succeeded or failed
	dialErr error         // set before ready is closed
	writer  *frameWriter  // set before ready is closed, with mutex held

	mutex   sync.Mutex
	lastID  int64                     // id of the newest call; guarded by mutex
	pending map[int64]chan callResult // by call id; guarded by mutex; nil once the connection has ended
}

type callResult struct {
	envelope envelope
	err      error
}

func (r callResult) payload(method Method, address string) ([]byte, error) {
	switch {
	case r.err != nil:
		return nil, eris.Wrapf(r.err, "%s to %s", method, address)
	case kind(r.envelope.Kind) == kindError:
		return nil, &RemoteError{Method: method, Reason: string(r.envelope.Payload)}
	}
	return r.envelope.Payload, nil
}

func newConnection() *connection {
	return &connection{ready: make(chan struct{}), pending: map[int64]chan callResult{}}
}

// attach sets the established network connection; it closes it and returns false if the client was closed meanwhile.
func (c *connection) attach(conn net.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending == nil {
		_ = conn.Close()
		return false
	}
	c.writer = &frameWriter{conn: conn}
	return true
}

func (c *connection) isClosed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pending == nil
}

// addCall registers a new call and returns its id and the channel of its result.
func (c *connection) addCall() (int64, <-chan callResult) {
	result := make(chan callResult, 1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastID++
	if c.pending == nil {
		result <- callResult{err: ErrConnectionLost}
		return c.lastID, result
	}
	c.pending[c.lastID] = result
	return c.lastID, result
}

func (c *connection) removeCall(id int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pending, id)
}

// readResponses passes responses to the calls that wait for them, until the connection ends.
func (c *connection) readResponses() {
	reader := bufio.NewReaderSize(c.writer.conn, readBufferBytes)
	for {
		e, err := readFrame(reader)
		if err != nil {
			c.close(ErrConnectionLost)
			return
		}
		c.mutex.Lock()
		result := c.pending[e.ID]
		delete(c.pending, e.ID)
		c.mutex.Unlock()
		if result != nil {
			result <- callResult{envelope: e}
		}
	}
}

// close closes the connection and fails its pending calls.
func (c *connection) close(cause error) {
	c.mutex.Lock()
	pending := c.pending
	c.pending = nil
	writer := c.writer
	c.mutex.Unlock()
	if writer != nil {
		_ = writer.conn.Close()
	}
	for _, result := range pending {
		result <- callResult{err: cause}
	}
}
