package outbound

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultDialTimeout is how long a receiver may take to accept: a dead machine says nothing.
	defaultDialTimeout = time.Second
	// unackedTimeout ends a connection whose peer acknowledges nothing that was sent.
	unackedTimeout = 5 * time.Second
	// sweepEvery is how often connections are looked for that have rested too long.
	sweepEvery = 2 * time.Second
	// crowdedIdle is how long a connection rests at a receiver that has few places for each of its callers.
	crowdedIdle = 500 * time.Millisecond
	// leastLimit is the least number of connections to one receiver.
	leastLimit = 2
)

// Options of a pool. The zero value of each field stands for its default.
type Options struct {
	MaxConnections      int           // connections to all receivers together; default 512
	DialTimeout         time.Duration // default one second
	DefaultAddressLimit int           // connections to a receiver for which SetLimits has said nothing; default 8
}

// Pool keeps connections to receivers. Its methods may be called from any goroutine.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu        sync.Mutex
	endpoints map[string]*endpoint // by address
	open      int
	idle      int
	sweeper   *time.Timer
	sweeping  bool
	closed    bool
}

// endpoint is what the pool knows of one address. Its fields are under the pool's lock.
type endpoint struct {
	pool    *Pool
	address string
	limit   int
	crowded bool
	open    int
	idle    []*connection // the latest used last
}

// NewPool makes an empty pool.
func NewPool(options Options) *Pool {
	if options.MaxConnections <= 0 {
		options.MaxConnections = 512
	}
	if options.DefaultAddressLimit <= 0 {
		options.DefaultAddressLimit = 8
	}
	if options.DialTimeout <= 0 {
		options.DialTimeout = defaultDialTimeout
	}
	p := &Pool{options: options, endpoints: make(map[string]*endpoint)}
	p.dialer = net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1, Control: boundUnacked}
	return p
}

// boundUnacked sets TCP_USER_TIMEOUT: behind a cut, writes would else hang for minutes.
func boundUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// AddressLimit is the most connections to an address. Where it is crowded, those at rest take places from others: they are
// kept for crowdedIdle only.
type AddressLimit struct {
	Address        string
	MaxConnections int
	Contended      bool
}

// SetLimits names all receivers; idle connections to any other address are closed.
func (p *Pool) SetLimits(limits []AddressLimit) {
	p.mu.Lock()
	named := make(map[string]bool, len(limits))
	for _, limit := range limits {
		named[limit.Address] = true
		e := p.endpoint(limit.Address)
		e.limit = max(leastLimit, limit.MaxConnections)
		e.crowded = limit.Contended
	}
	var gone []*connection
	for address, e := range p.endpoints {
		if named[address] {
			continue
		}
		gone = append(gone, p.takeIdle(e, len(e.idle))...)
		if e.open == 0 {
			delete(p.endpoints, address)
		}
	}
	p.mu.Unlock()
	closeAll(gone)
}

// Close closes idle connections, now and as exchanges end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	var gone []*connection
	for _, e := range p.endpoints {
		gone = append(gone, p.takeIdle(e, len(e.idle))...)
	}
	p.mu.Unlock()
	closeAll(gone)
}

func (p *Pool) endpoint(address string) *endpoint {
	e := p.endpoints[address]
	if e == nil {
		e = &endpoint{pool: p, address: address, limit: p.options.DefaultAddressLimit}
		p.endpoints[address] = e
	}
	return e
}

// takeIdle takes the n connections out that have rested longest. Under the lock; the caller closes them after it.
func (p *Pool) takeIdle(e *endpoint, n int) []*connection {
	taken := make([]*connection, n)
	copy(taken, e.idle)
	e.idle = append(e.idle[:0], e.idle[n:]...)
	p.idle -= n
	return taken
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		c.close()
	}
}

// get gives a kept connection to the address that seems alive, or a new one.
func (p *Pool) get(ctx context.Context, address string, deadline time.Time) (*connection, error) {
	for {
		c, err := p.reuse(address)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if !c.expired(time.Now()) && !c.stale() {
			return c, nil
		}
		c.close()
	}
	return p.dial(ctx, address, deadline)
}

// reuse takes the latest used idle connection, or counts a new one: then it gives neither a connection nor an error.
func (p *Pool) reuse(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	e := p.endpoint(address)
	if last := len(e.idle) - 1; last >= 0 {
		c := e.idle[last]
		e.idle[last] = nil
		e.idle = e.idle[:last]
		p.idle--
		return c, nil
	}
	if e.open >= e.limit {
		return nil, ErrConnectionLimit
	}
	if p.open >= p.options.MaxConnections && !p.evict() {
		return nil, ErrConnectionLimit
	}
	e.open++
	p.open++
	return nil, nil
}

// evict makes room by closing the connection that has rested longest. Under the lock.
func (p *Pool) evict() bool {
	var from *endpoint
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (from == nil || e.idle[0].idleFrom.Before(from.idle[0].idleFrom)) {
			from = e
		}
	}
	if from == nil {
		return false
	}
	gone := p.takeIdle(from, 1)[0]
	gone.closed.Store(true)
	p.forget(from)
	go gone.Conn.Close()
	return true
}

func (p *Pool) dial(ctx context.Context, address string, deadline time.Time) (*connection, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	p.mu.Lock()
	e := p.endpoint(address)
	if err != nil {
		p.forget(e)
	}
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return newConnection(raw, e), nil
}

// ended uncounts a connection.
func (p *Pool) ended(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c.home)
}

func (p *Pool) forget(e *endpoint) {
	e.open--
	p.open--
}

// put keeps a connection whose exchange has ended well.
func (p *Pool) put(c *connection, idleFor time.Duration) {
	c.idleFrom = time.Now()
	c.idleFor = idleFor
	p.mu.Lock()
	if c.home.crowded {
		c.idleFor = min(c.idleFor, crowdedIdle)
	}
	kept := !p.closed && p.endpoints[c.home.address] == c.home && c.home.open <= c.home.limit
	if kept {
		c.home.idle = append(c.home.idle, c)
		p.idle++
		p.armSweep()
	}
	p.mu.Unlock()
	if !kept {
		c.close()
	}
}

// armSweep starts the timer if it does not run. Under the lock.
func (p *Pool) armSweep() {
	if p.sweeping {
		return
	}
	p.sweeping = true
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(sweepEvery, p.sweep)
		return
	}
	p.sweeper.Reset(sweepEvery)
}

// sweep closes connections that have rested too long, and goes on while any is idle.
func (p *Pool) sweep() {
	now := time.Now()
	var gone []*connection
	p.mu.Lock()
	for _, e := range p.endpoints {
		n := 0
		for n < len(e.idle) && e.idle[n].expired(now) {
			n++
		}
		gone = append(gone, p.takeIdle(e, n)...)
	}
	p.sweeping = false
	if p.idle > 0 && !p.closed {
		p.armSweep()
	}
	p.mu.Unlock()
	closeAll(gone)
}
