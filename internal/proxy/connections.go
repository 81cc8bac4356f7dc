package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections are those of clients that are open, with the requests that have been read from them and not answered:
// the requests in hand, for which a stop waits. Its methods may be called from any goroutine.
type connections struct {
	mu         sync.Mutex
	open       map[*clientConnection]struct{}
	inHand     int
	noticeOver bool          // the platform has had its time to notice that the process stops
	late       int           // requests that were read after that
	stopped    bool          // nothing may be passed on any more
	empty      chan struct{} // closed when nothing is in hand; nil while nobody waits
}

// clientConnection is one of a client. What follows Conn is guarded by the lock of its connections.
type clientConnection struct {
	net.Conn
	active bool      // a request of it is in hand
	since  time.Time // the request was read
}

// census is what is open at an instant.
type census struct {
	inHand int
	atRest int // connections without a request in hand
	late   int // requests that were read after the notice
	// oldest and youngest are the times since the requests in hand were read; 0 without any.
	oldest, youngest time.Duration
}

// add takes a connection in, unless there are as many as there may be.
func (s *connections) add(c *clientConnection, most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= most {
		return false
	}
	if s.open == nil {
		s.open = map[*clientConnection]struct{}{}
	}
	s.open[c] = struct{}{}
	return true
}

// remove forgets a connection that has ended.
func (s *connections) remove(c *clientConnection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// changed is net/http's hook: a request is in hand from its head on until the last byte of its answer was written,
// which is after its handler has returned.
func (s *connections) changed(raw net.Conn, state http.ConnState) {
	c := raw.(*clientConnection)
	active := state == http.StateActive
	s.mu.Lock()
	defer s.mu.Unlock()
	if active && !c.active {
		s.enter(c)
	}
	if !active && c.active {
		s.leave(c)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.open, c)
	}
}

func (s *connections) enter(c *clientConnection) {
	c.active, c.since = true, time.Now()
	s.inHand++
	if s.noticeOver {
		s.late++
	}
}

func (s *connections) leave(c *clientConnection) {
	c.active = false
	s.inHand--
	if s.inHand == 0 && s.empty != nil {
		s.stopped = true
		close(s.empty)
		s.empty = nil
	}
}

// requestsInHand is how many there are now.
func (s *connections) requestsInHand() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inHand
}

// isStopped says that the process ends, and that nothing may be passed on any more.
func (s *connections) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// endNotice counts the requests that are read from now on.
func (s *connections) endNotice() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticeOver = true
}

// count looks at what is open.
func (s *connections) count() census {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := census{inHand: s.inHand, atRest: len(s.open) - s.inHand, late: s.late}
	for connection := range s.open {
		if !connection.active {
			continue
		}
		age := now.Sub(connection.since)
		c.oldest = max(c.oldest, age)
		if c.youngest == 0 || age < c.youngest {
			c.youngest = age
		}
	}
	return c
}

// stop waits until no request is in hand, from where on none enters, or until ctx ends.
func (s *connections) stop(ctx context.Context) {
	s.mu.Lock()
	if s.inHand == 0 {
		s.stopped = true
		s.mu.Unlock()
		return
	}
	empty := make(chan struct{})
	s.empty = empty
	s.mu.Unlock()
	select {
	case <-empty:
		return
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}
