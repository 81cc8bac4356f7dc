package outbound

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultDialTimeout bounds the connection attempt: a dead machine does not answer it.
	defaultDialTimeout = time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of connections: how long sent data may stay unacknowledged.
	tcpUserTimeout = 5 * time.Second
	// sweepInterval is the time between two searches for expired idle connections.
	sweepInterval = 2 * time.Second
	// contendedIdleTimeout is the idle timeout for a receiver that allows few connections per proxy.
	contendedIdleTimeout = 500 * time.Millisecond
	// minAddressLimit is the least limit of connections to one receiver.
	minAddressLimit = 2
)

// Options configures a Pool. The zero value of each field selects its default.
type Options struct {
	MaxConnections      int           // to all receivers together; default 512
	DialTimeout         time.Duration // default one second
	DefaultAddressLimit int           // connections to a receiver without a limit from SetLimits; default 8
}

// Pool pools connections to receivers. Its methods are safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer
	dialed  atomic.Uint64 // number of connections so far

	mu             sync.Mutex
	endpoints      map[string]*endpoint // by address
	openCount      int
	idleCount      int
	sweepTimer     *time.Timer
	sweepScheduled bool
	closed         bool
}

// endpoint is the pool's state for one address. Its fields are guarded by the pool's mutex.
type endpoint struct {
	pool      *Pool
	address   string
	limit     int
	contended bool
	openCount int
	idle      []*connection // the most recently used last
}

// NewPool returns an empty pool.
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
	p.dialer = net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return p
}

// setUserTimeout sets TCP_USER_TIMEOUT: during a network partition writes would otherwise hang for minutes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// AddressLimit is the connection limit of an address. If it is contended, idle connections take connections away from
// other proxies, so they are kept for contendedIdleTimeout only.
type AddressLimit struct {
	Address        string
	MaxConnections int
	Contended      bool
}

// SetLimits sets the limits of all receivers. Idle connections to any other address are closed.
func (p *Pool) SetLimits(limits []AddressLimit) {
	p.mu.Lock()
	listed := make(map[string]bool, len(limits))
	for _, limit := range limits {
		listed[limit.Address] = true
		e := p.endpoint(limit.Address)
		e.limit = max(minAddressLimit, limit.MaxConnections)
		e.contended = limit.Contended
	}
	var toClose []*connection
	for address, e := range p.endpoints {
		if listed[address] {
			continue
		}
		toClose = append(toClose, p.removeIdle(e, len(e.idle))...)
		if e.openCount == 0 {
			delete(p.endpoints, address)
		}
	}
	p.mu.Unlock()
	closeAll(toClose)
}

// Close closes the idle connections, and the others as their exchanges end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
	var toClose []*connection
	for _, e := range p.endpoints {
		toClose = append(toClose, p.removeIdle(e, len(e.idle))...)
	}
	p.mu.Unlock()
	closeAll(toClose)
}

func (p *Pool) endpoint(address string) *endpoint {
	e := p.endpoints[address]
	if e == nil {
		e = &endpoint{pool: p, address: address, limit: p.options.DefaultAddressLimit}
		p.endpoints[address] = e
	}
	return e
}

// removeIdle removes the n connections that have been idle longest. The caller holds mu and closes them after releasing
// it.
func (p *Pool) removeIdle(e *endpoint, n int) []*connection {
	removed := make([]*connection, n)
	copy(removed, e.idle)
	e.idle = append(e.idle[:0], e.idle[n:]...)
	p.idleCount -= n
	return removed
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		c.close()
	}
}

// get returns an idle connection to the address that seems alive and is not excluded, or a new one.
func (p *Pool) get(ctx context.Context, address string, excluded *Connections, deadline time.Time) (*connection, error) {
	for {
		c, err := p.takeIdleOrReserve(address, excluded)
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

// takeIdleOrReserve removes and returns a recently used idle connection that is not excluded. If there is none, it counts a
// new one, to be dialed by the caller, and returns nil without an error.
func (p *Pool) takeIdleOrReserve(address string, excluded *Connections) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	e := p.endpoint(address)
	if c := p.takeIdle(e, excluded); c != nil {
		return c, nil
	}
	if e.openCount >= e.limit && !p.evictFrom(e) {
		return nil, ErrConnectionLimit
	}
	if p.openCount >= p.options.MaxConnections && !p.evict() {
		return nil, ErrConnectionLimit
	}
	e.openCount++
	p.openCount++
	return nil, nil
}

// evict makes room by closing the connection that has been idle longest. The caller holds mu.
func (p *Pool) evict() bool {
	var from *endpoint
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (from == nil || e.idle[0].idleSince.Before(from.idle[0].idleSince)) {
			from = e
		}
	}
	return from != nil && p.evictFrom(from)
}

// evictFrom makes room by closing the connection to a receiver that has been idle longest. The caller holds mu.
func (p *Pool) evictFrom(e *endpoint) bool {
	if len(e.idle) == 0 {
		return false
	}
	evicted := p.removeIdle(e, 1)[0]
	evicted.closed.Store(true)
	p.uncount(e)
	go evicted.Conn.Close()
	return true
}

// takeIdle removes and returns an idle connection that is not excluded; nil: there is none. The two most recently used take
// turns, so that one stays open for requests that may not use the other; all others expire unless they are needed. Of a
// contended receiver no spare connection is kept. The caller holds mu.
func (p *Pool) takeIdle(e *endpoint, excluded *Connections) *connection {
	chosen := -1
	for index, c := range slices.Backward(e.idle) {
		if excluded.contains(c.number) {
			continue
		}
		spare := chosen >= 0
		chosen = index
		if spare || e.contended {
			break
		}
	}
	if chosen < 0 {
		return nil
	}
	c := e.idle[chosen]
	e.idle = slices.Delete(e.idle, chosen, chosen+1)
	p.idleCount--
	return c
}

func (p *Pool) dial(ctx context.Context, address string, deadline time.Time) (*connection, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	p.mu.Lock()
	e := p.endpoint(address)
	if err != nil {
		p.uncount(e)
	}
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return newConnection(raw, e), nil
}

// release removes a closed connection from the counts.
func (p *Pool) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uncount(c.endpoint)
}

func (p *Pool) uncount(e *endpoint) {
	e.openCount--
	p.openCount--
}

// put returns a connection to the pool after a successful exchange.
func (p *Pool) put(c *connection, idleTimeout time.Duration) {
	c.idleSince = time.Now()
	c.idleTimeout = idleTimeout
	p.mu.Lock()
	if c.endpoint.contended {
		c.idleTimeout = min(c.idleTimeout, contendedIdleTimeout)
	}
	kept := !p.closed && p.endpoints[c.endpoint.address] == c.endpoint && c.endpoint.openCount <= c.endpoint.limit
	if kept {
		c.endpoint.idle = append(c.endpoint.idle, c)
		p.idleCount++
		p.scheduleSweep()
	}
	p.mu.Unlock()
	if !kept {
		c.close()
	}
}

// scheduleSweep starts the timer unless it is running. The caller holds mu.
func (p *Pool) scheduleSweep() {
	if p.sweepScheduled {
		return
	}
	p.sweepScheduled = true
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(sweepInterval, p.sweep)
		return
	}
	p.sweepTimer.Reset(sweepInterval)
}

// sweep closes expired idle connections, and schedules the next sweep while any is idle.
func (p *Pool) sweep() {
	now := time.Now()
	var toClose []*connection
	p.mu.Lock()
	for _, e := range p.endpoints {
		n := 0
		for n < len(e.idle) && e.idle[n].expired(now) {
			n++
		}
		toClose = append(toClose, p.removeIdle(e, n)...)
	}
	p.sweepScheduled = false
	if p.idleCount > 0 && !p.closed {
		p.scheduleSweep()
	}
	p.mu.Unlock()
	closeAll(toClose)
}
