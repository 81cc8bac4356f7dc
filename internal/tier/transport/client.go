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

// RemoteError is the other side's refusal of a call.
type RemoteError struct {
	Method Method
	Reason string
}

func (e *RemoteError) Error() string { return string(e.Method) + ": " + e.Reason }

// ErrNotSent: no byte of the call has left, so it was certainly not carried out.
var ErrNotSent = errors.New("not sent")

// ErrConnectionLost: the connection ended before the answer came; the call may have been carried out.
var ErrConnectionLost = errors.New("connection lost")

const (
	// dialTimeout bounds the making of a connection. A host behind a cut says nothing.
	dialTimeout = time.Second
	// firstDialTimeout bounds the first try to make it; each further one may take twice as long. The opening packet of a
	// connection is lost at a host that is just coming up, and goes again only after a second: a new try is quicker.
	firstDialTimeout = 120 * time.Millisecond
)

// Client calls peers over one connection each. The zero value is not usable; NewClient makes one.
type Client struct {
	mutex       sync.Mutex
	connections map[string]*connection // by address; guarded by mutex
	closed      bool                   // guarded by mutex
}

// NewClient makes a client without connections.
func NewClient() *Client { return &Client{connections: map[string]*connection{}} }

// Close ends all connections; calls under way fail.
func (c *Client) Close() {
	c.mutex.Lock()
	connections := c.connections
	c.connections = map[string]*connection{}
	c.closed = true
	c.mutex.Unlock()
	for _, p := range connections {
		p.close(ErrConnectionLost)
	}
}

// Call sends a request to a peer and waits for its answer, at most until ctx ends.
func Call[Req, Resp any](ctx context.Context, c *Client, address string, method Method, requestCodec *Codec[Req], responseCodec *Codec[Resp], message Req) (Resp, error) {
	var zero Resp
	payload, err := requestCodec.Encode(message)
	if err != nil {
		return zero, eris.Wrap(errors.Join(ErrNotSent, err), string(method))
	}
	result, err := c.call(ctx, address, method, payload)
	if err != nil {
		return zero, err
	}
	return responseCodec.Decode(result)
}

// Send sends a message that has no answer. No error does not mean that it arrived.
func Send[M any](ctx context.Context, c *Client, address string, method Method, codec *Codec[M], message M) error {
	payload, err := codec.Encode(message)
	if err != nil {
		return eris.Wrap(errors.Join(ErrNotSent, err), string(method))
	}
	p, err := c.connectionTo(ctx, address)
	if err != nil {
		return err
	}
	if err := p.writer.send(envelope{Kind: int(kindOneWay), Method: string(method), Payload: payload}); err != nil {
		p.close(ErrConnectionLost)
		c.remove(address, p)
		return err
	}
	return nil
}

func (c *Client) call(ctx context.Context, address string, method Method, payload []byte) ([]byte, error) {
	p, err := c.connectionTo(ctx, address)
	if err != nil {
		return nil, err
	}
	id, result := p.addCall()
	e := envelope{Kind: int(kindRequest), ID: id, Method: string(method), TimeoutMillis: remainingMillis(ctx), Payload: payload}
	if err := p.writer.send(e); err != nil {
		p.close(ErrConnectionLost)
		c.remove(address, p)
		return nil, eris.Wrapf(ErrConnectionLost, "%s to %s", method, address)
	}
	select {
	case r := <-result:
		return r.payload(method, address)
	case <-ctx.Done():
		p.removeCall(id)
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

// connectionTo gives the peer's connection, made now if there is none. Callers at the same time share one try.
func (c *Client) connectionTo(ctx context.Context, address string) (*connection, error) {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return nil, eris.Wrap(ErrNotSent, "client closed")
	}
	p := c.connections[address]
	if p == nil || p.isClosed() {
		p = newConnection()
		c.connections[address] = p
		go c.dial(address, p)
	}
	c.mutex.Unlock()
	select {
	case <-p.ready:
	case <-ctx.Done():
		return nil, eris.Wrapf(errors.Join(ErrNotSent, ctx.Err()), "connect to %s", address)
	}
	if p.dialErr != nil {
		return nil, eris.Wrapf(errors.Join(ErrNotSent, p.dialErr), "connect to %s", address)
	}
	return p, nil
}

func (c *Client) dial(address string, p *connection) {
	conn, err := dialWithRetries(func(timeout time.Duration) (net.Conn, error) {
		return net.DialTimeout("tcp4", address, timeout)
	})
	if err == nil {
		setTCPOptions(conn)
		_, err = conn.Write(preamble[:])
	}
	if err != nil {
		p.dialErr = err
		close(p.ready)
		c.remove(address, p)
		return
	}
	if !p.attach(conn) {
		p.dialErr = ErrConnectionLost
		close(p.ready)
		return
	}
	close(p.ready)
	p.readResponses()
	c.remove(address, p)
}

// dialWithRetries makes a connection in tries that take longer and longer, until one succeeds, one is turned away, or
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

// remove forgets a connection that has ended.
func (c *Client) remove(address string, p *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connections[address] == p {
		delete(c.connections, address)
	}
}

// connection is one connection and the calls that wait on it.
type connection struct {
	ready   chan struct{} // closed once connected or failed
	dialErr error         // set before ready is closed
	writer  *frameWriter  // set before ready is closed, under mutex

	mutex   sync.Mutex
	lastID  int64                     // id of the newest call; guarded by mutex
	pending map[int64]chan callResult // guarded by mutex; nil once the connection has ended
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

// attach takes the connection made for the peer, unless the client was closed meanwhile.
func (p *connection) attach(conn net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.pending == nil {
		_ = conn.Close()
		return false
	}
	p.writer = &frameWriter{conn: conn}
	return true
}

func (p *connection) isClosed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pending == nil
}

// addCall draws the id of a new call and says where its answer will come.
func (p *connection) addCall() (int64, <-chan callResult) {
	result := make(chan callResult, 1)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastID++
	if p.pending == nil {
		result <- callResult{err: ErrConnectionLost}
		return p.lastID, result
	}
	p.pending[p.lastID] = result
	return p.lastID, result
}

func (p *connection) removeCall(id int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.pending, id)
}

// readResponses hands answers to the calls that wait for them, until the connection ends.
func (p *connection) readResponses() {
	reader := bufio.NewReaderSize(p.writer.conn, readBufferBytes)
	for {
		e, err := readFrame(reader)
		if err != nil {
			p.close(ErrConnectionLost)
			return
		}
		p.mutex.Lock()
		result := p.pending[e.ID]
		delete(p.pending, e.ID)
		p.mutex.Unlock()
		if result != nil {
			result <- callResult{envelope: e}
		}
	}
}

// close ends the connection and fails the calls that wait on it.
func (p *connection) close(cause error) {
	p.mutex.Lock()
	pending := p.pending
	p.pending = nil
	writer := p.writer
	p.mutex.Unlock()
	if writer != nil {
		_ = writer.conn.Close()
	}
	for _, result := range pending {
		result <- callResult{err: cause}
	}
}
