// Package receivers makes the calls to the destinations' endpoints over http.Transport: an actor for each
// receiver and a call for each attempt.
package receivers

import (
	"cmp"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"emberquay/control"
	"emberquay/internal/delivery/config"
)

// Pool holds the listed receivers. Only the sender's actor goroutine uses it.
type Pool struct {
	limits      config.Limits
	reportNames []string // of the values of a load report, in order
	callCount   atomic.Int64
	openConns   atomic.Int64 // connections to all receivers
	dials       atomic.Int64 // attempted since the start

	mu    sync.Mutex // guards peers: only the sender's actor writes, calls that free connections read
	peers map[control.ReceiverID]*peer
}

// New returns a pool without receivers. The names are those of the values that a load report may hold.
func New(limits config.Limits, reportNames []string) *Pool {
	return &Pool{limits: limits, reportNames: reportNames, peers: map[control.ReceiverID]*peer{}}
}

// SetAddress adds a receiver or changes its address.
func (pool *Pool) SetAddress(id control.ReceiverID, addr string) {
	p := pool.peers[id]
	if p == nil {
		p = pool.newPeer(addr)
		pool.mu.Lock()
		pool.peers[id] = p
		pool.mu.Unlock()
	}
	if p.addr != addr {
		p.addr = addr
		p.enqueue(p.transport.CloseIdleConnections)
	}
}

// Remove removes a receiver that is no longer listed. Calls in flight are completed.
func (pool *Pool) Remove(id control.ReceiverID) {
	if p := pool.peers[id]; p != nil {
		pool.mu.Lock()
		delete(pool.peers, id)
		pool.mu.Unlock()
		p.removed.Store(true)
		close(p.mailbox)
	}
}

// Submit passes a call to the receiver's actor; false if the receiver is unknown or the mailbox is full.
func (pool *Pool) Submit(id control.ReceiverID, c *Call) bool {
	p := pool.peers[id]
	if p == nil {
		return false
	}
	p.lastCall.Store(pool.callCount.Add(1))
	c.addr = p.addr
	return p.enqueue(func() { go p.runCall(c) })
}

// reserveConn counts one more connection to a receiver. At the limit it first closes idle connections to other receivers,
// least recently called first: idle connections must not block a call, but closing one means that the next call to
// its receiver has to dial.
func (pool *Pool) reserveConn(p *peer) bool {
	if pool.openConns.Add(1) <= int64(pool.limits.MaxReceiverConns) {
		return true
	}
	pool.mu.Lock()
	others := slices.Collect(maps.Values(pool.peers))
	pool.mu.Unlock()
	slices.SortFunc(others, func(a, b *peer) int { return cmp.Compare(a.lastCall.Load(), b.lastCall.Load()) })
	for _, o := range others {
		if pool.OpenConns() <= pool.limits.MaxReceiverConns {
			return true
		}
		if o != p {
			o.transport.CloseIdleConnections()
		}
	}
	if pool.OpenConns() <= pool.limits.MaxReceiverConns {
		return true
	}
	pool.openConns.Add(-1)
	return false
}

// CloseIdle closes the idle connections to a receiver.
func (pool *Pool) CloseIdle(id control.ReceiverID) {
	if p := pool.peers[id]; p != nil {
		p.enqueue(p.transport.CloseIdleConnections)
	}
}

// OpenConns counts the connections to all receivers.
func (pool *Pool) OpenConns() int { return int(pool.openConns.Load()) }

// Dials counts the connections attempted since the start.
func (pool *Pool) Dials() int { return int(pool.dials.Load()) }

// peer is one receiver. Its actor runs the functions of its mailbox in order; each call has its own goroutine, and
// control bounds their number by its limit on calls in flight.
type peer struct {
	pool      *Pool
	addr      string       // used only by the goroutine that uses the pool
	lastCall  atomic.Int64 // the sequence number of its last call
	removed   atomic.Bool  // calls then close the idle connections when they end
	mailbox   chan func()
	transport *http.Transport
}

func (pool *Pool) newPeer(addr string) *peer {
	p := &peer{pool: pool, addr: addr, mailbox: make(chan func(), 2*pool.limits.MaxCalls+8)}
	p.transport = &http.Transport{
		DialContext:            p.dial,
		DisableCompression:     true, // bytes are passed on unchanged
		MaxIdleConnsPerHost:    pool.limits.MaxCalls,
		IdleConnTimeout:        pool.limits.ReceiverIdleTimeout,
		MaxResponseHeaderBytes: int64(pool.limits.MaxHeaderBytes),
	}
	go func() {
		for do := range p.mailbox {
			do()
		}
		p.transport.CloseIdleConnections()
	}()
	return p
}

// enqueue never blocks: one receiver must not stall the sender's actor.
func (p *peer) enqueue(do func()) bool {
	select {
	case p.mailbox <- do:
		return true
	default:
		slog.Error("mailbox_full", "part", "receivers", "addr", p.addr)
		return false
	}
}
