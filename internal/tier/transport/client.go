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
	// firstDial bounds the first try to make it; each further one may take twice as long. The opening packet of a
	// connection is lost at a host that is just coming up, and goes again only after a second: a new try is quicker.
	firstDial = 120 * time.Millisecond
)

// Client calls peers over one connection each. The zero value is not usable; NewClient makes one.
type Client struct {
	mutex sync.Mutex
	peers map[string]*peer // by address; guarded by mutex
	done  bool             // guarded by mutex
}

// NewClient makes a client without connections.
func NewClient() *Client { return &Client{peers: map[string]*peer{}} }

// Close ends all connections; calls under way fail.
func (c *Client) Close() {
	c.mutex.Lock()
	peers := c.peers
	c.peers = map[string]*peer{}
	c.done = true
	c.mutex.Unlock()
	for _, p := range peers {
		p.close(ErrConnectionLost)
	}
}

// Call sends a request to a peer and waits for its answer, at most until ctx ends.
func Call[Q, A any](ctx context.Context, c *Client, address string, method Method, q *Codec[Q], a *Codec[A], message Q) (A, error) {
	var none A
	payload, err := q.Encode(message)
	if err != nil {
		return none, eris.Wrap(errors.Join(ErrNotSent, err), string(method))
	}
	result, err := c.call(ctx, address, method, payload)
	if err != nil {
		return none, err
	}
	return a.Decode(result)
}

// Send sends a message that has no answer. No error does not mean that it arrived.
func Send[Q any](ctx context.Context, c *Client, address string, method Method, q *Codec[Q], message Q) error {
	payload, err := q.Encode(message)
	if err != nil {
		return eris.Wrap(errors.Join(ErrNotSent, err), string(method))
	}
	p, err := c.connected(ctx, address)
	if err != nil {
		return err
	}
	if err := p.out.send(envelope{Kind: int(oneWay), Method: string(method), Payload: payload}); err != nil {
		p.close(ErrConnectionLost)
		c.drop(address, p)
		return err
	}
	return nil
}

func (c *Client) call(ctx context.Context, address string, method Method, payload []byte) ([]byte, error) {
	p, err := c.connected(ctx, address)
	if err != nil {
		return nil, err
	}
	id, result := p.expect()
	e := envelope{Kind: int(request), ID: id, Method: string(method), TimeMillis: timeLeft(ctx), Payload: payload}
	if err := p.out.send(e); err != nil {
		p.close(ErrConnectionLost)
		c.drop(address, p)
		return nil, eris.Wrapf(ErrConnectionLost, "%s to %s", method, address)
	}
	select {
	case r := <-result:
		return r.outcome(method, address)
	case <-ctx.Done():
		p.abandon(id)
		return nil, eris.Wrapf(ctx.Err(), "%s to %s", method, address)
	}
}

func timeLeft(ctx context.Context) int64 {
	end, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, time.Until(end).Milliseconds())
}

// connected gives the peer's connection, made now if there is none. Callers at the same time share one try.
func (c *Client) connected(ctx context.Context, address string) (*peer, error) {
	c.mutex.Lock()
	if c.done {
		c.mutex.Unlock()
		return nil, eris.Wrap(ErrNotSent, "client closed")
	}
	p := c.peers[address]
	if p == nil || p.ended() {
		p = newPeer()
		c.peers[address] = p
		go c.dial(address, p)
	}
	c.mutex.Unlock()
	select {
	case <-p.ready:
	case <-ctx.Done():
		return nil, eris.Wrapf(errors.Join(ErrNotSent, ctx.Err()), "connect to %s", address)
	}
	if p.failed != nil {
		return nil, eris.Wrapf(errors.Join(ErrNotSent, p.failed), "connect to %s", address)
	}
	return p, nil
}

func (c *Client) dial(address string, p *peer) {
	conn, err := dialTries(func(patience time.Duration) (net.Conn, error) {
		return net.DialTimeout("tcp4", address, patience)
	})
	if err == nil {
		tune(conn)
		_, err = conn.Write(preamble[:])
	}
	if err != nil {
		p.failed = err
		close(p.ready)
		c.drop(address, p)
		return
	}
	if !p.start(conn) {
		p.failed = ErrConnectionLost
		close(p.ready)
		return
	}
	close(p.ready)
	p.read()
	c.drop(address, p)
}

// dialTries makes a connection in tries that take longer and longer, until one succeeds, one is turned away, or
// dialTimeout is used up.
func dialTries(dial func(patience time.Duration) (net.Conn, error)) (net.Conn, error) {
	left := dialTimeout
	for patience := firstDial; ; patience *= 2 {
		conn, err := dial(min(patience, left))
		left -= patience
		var timeout net.Error
		if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() || left <= 0 {
			return conn, err
		}
	}
}

// drop forgets a connection that has ended.
func (c *Client) drop(address string, p *peer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.peers[address] == p {
		delete(c.peers, address)
	}
}

// peer is one connection and the calls that wait on it.
type peer struct {
	ready  chan struct{} // closed once connected or failed
	failed error         // set before ready is closed
	out    *writer       // set before ready is closed, under mutex

	mutex   sync.Mutex
	last    int64                   // id of the newest call; guarded by mutex
	waiting map[int64]chan response // guarded by mutex; nil once the connection has ended
}

type response struct {
	envelope envelope
	err      error
}

func (r response) outcome(method Method, address string) ([]byte, error) {
	switch {
	case r.err != nil:
		return nil, eris.Wrapf(r.err, "%s to %s", method, address)
	case kind(r.envelope.Kind) == refusal:
		return nil, &RemoteError{Method: method, Reason: string(r.envelope.Payload)}
	}
	return r.envelope.Payload, nil
}

func newPeer() *peer {
	return &peer{ready: make(chan struct{}), waiting: map[int64]chan response{}}
}

// start takes the connection made for the peer, unless the client was closed meanwhile.
func (p *peer) start(conn net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.waiting == nil {
		_ = conn.Close()
		return false
	}
	p.out = &writer{conn: conn}
	return true
}

func (p *peer) ended() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.waiting == nil
}

// expect draws the id of a new call and says where its answer will come.
func (p *peer) expect() (int64, <-chan response) {
	result := make(chan response, 1)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.last++
	if p.waiting == nil {
		result <- response{err: ErrConnectionLost}
		return p.last, result
	}
	p.waiting[p.last] = result
	return p.last, result
}

func (p *peer) abandon(id int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.waiting, id)
}

// read hands answers to the calls that wait for them, until the connection ends.
func (p *peer) read() {
	reader := bufio.NewReaderSize(p.out.conn, readBuffer)
	for {
		e, err := readFrame(reader)
		if err != nil {
			p.close(ErrConnectionLost)
			return
		}
		p.mutex.Lock()
		result := p.waiting[e.ID]
		delete(p.waiting, e.ID)
		p.mutex.Unlock()
		if result != nil {
			result <- response{envelope: e}
		}
	}
}

// close ends the connection and fails the calls that wait on it.
func (p *peer) close(cause error) {
	p.mutex.Lock()
	waiting := p.waiting
	p.waiting = nil
	out := p.out
	p.mutex.Unlock()
	if out != nil {
		_ = out.conn.Close()
	}
	for _, result := range waiting {
		result <- response{err: cause}
	}
}
