// Package receivers speaks with the destinations' endpoints: one actor for each, and one call for each
// submit, over http.Transport.
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

// Pool holds the receivers that the list names. One goroutine uses it, the module's actor.
type Pool struct {
	limits config.Limits
	names  []string // of the values of a report, in order
	calls  atomic.Int64
	open   atomic.Int64 // connections, all receivers together
	dials  atomic.Int64 // asked for so far

	mu    sync.Mutex // only the module's actor writes; a call that makes room reads
	peers map[control.ReceiverID]*peer
}

// New makes a fleet that knows no receiver. Names are those of the values that a report may hold.
func New(limits config.Limits, names []string) *Pool {
	return &Pool{limits: limits, names: names, peers: map[control.ReceiverID]*peer{}}
}

// SetAddress tells where a receiver is.
func (f *Pool) SetAddress(id control.ReceiverID, addr string) {
	p := f.peers[id]
	if p == nil {
		p = f.newPeer(addr)
		f.mu.Lock()
		f.peers[id] = p
		f.mu.Unlock()
	}
	if p.addr != addr {
		p.addr = addr
		p.post(p.transport.CloseIdleConnections)
	}
}

// Remove: the list does not name the receiver any more. Calls that are out end by themselves.
func (f *Pool) Remove(id control.ReceiverID) {
	if p := f.peers[id]; p != nil {
		f.mu.Lock()
		delete(f.peers, id)
		f.mu.Unlock()
		p.gone.Store(true)
		close(p.mail)
	}
}

// Submit hands a call to a receiver's actor; false if the receiver is unknown or its mailbox is full.
func (f *Pool) Submit(to control.ReceiverID, c *Call) bool {
	p := f.peers[to]
	if p == nil {
		return false
	}
	p.used.Store(f.calls.Add(1))
	c.addr = p.addr
	return p.post(func() { go p.call(c) })
}

// take counts one more connection to a receiver. At the cap idle ones are closed first, of the receivers that
// were called longest ago: what is idle elsewhere must not keep a call from going, and each one closed is
// opened again.
func (f *Pool) take(p *peer) bool {
	if f.open.Add(1) <= int64(f.limits.MaxReceiverConns) {
		return true
	}
	f.mu.Lock()
	others := slices.Collect(maps.Values(f.peers))
	f.mu.Unlock()
	slices.SortFunc(others, func(a, b *peer) int { return cmp.Compare(a.used.Load(), b.used.Load()) })
	for _, o := range others {
		if f.OpenConns() <= f.limits.MaxReceiverConns {
			return true
		}
		if o != p {
			o.transport.CloseIdleConnections()
		}
	}
	if f.OpenConns() <= f.limits.MaxReceiverConns {
		return true
	}
	f.open.Add(-1)
	return false
}

// CloseIdle closes the idle connections to a receiver.
func (f *Pool) CloseIdle(to control.ReceiverID) {
	if p := f.peers[to]; p != nil {
		p.post(p.transport.CloseIdleConnections)
	}
}

// OpenConns counts the connections to all receivers.
func (f *Pool) OpenConns() int { return int(f.open.Load()) }

// Dials counts the connections that were asked for so far.
func (f *Pool) Dials() int { return int(f.dials.Load()) }

// peer is one receiver. Its actor takes what is posted in order; each call then has a goroutine, which the
// module's slots bound.
type peer struct {
	fleet     *Pool
	addr      string       // the fleet's goroutine's alone
	used      atomic.Int64 // the number of the last call
	gone      atomic.Bool  // the last of its calls closes their connections
	mail      chan func()
	transport *http.Transport
}

func (f *Pool) newPeer(addr string) *peer {
	p := &peer{fleet: f, addr: addr, mail: make(chan func(), 2*f.limits.MaxCalls+8)}
	p.transport = &http.Transport{
		DialContext:            p.dial,
		DisableCompression:     true, // the bytes stay as they came
		MaxIdleConnsPerHost:    f.limits.MaxCalls,
		IdleConnTimeout:        f.limits.ReceiverIdleTimeout,
		MaxResponseHeaderBytes: int64(f.limits.MaxHeaderBytes),
	}
	go func() {
		for do := range p.mail {
			do()
		}
		p.transport.CloseIdleConnections()
	}()
	return p
}

// post never waits: the module's actor must not hang on one receiver.
func (p *peer) post(do func()) bool {
	select {
	case p.mail <- do:
		return true
	default:
		slog.Error("mailbox_full", "part", "receivers", "addr", p.addr)
		return false
	}
}
