package clients

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// conns counts the clients' connections. At the cap the one longest idle is closed for a new one; if none
// is idle the new one waits.
type conns struct {
	free chan struct{} // one token for each connection that may still come
	most int

	mu      sync.Mutex
	idle    map[net.Conn]time.Time
	waiting bool // a new one waits, and none was idle
}

func newConns(most int) *conns {
	c := &conns{free: make(chan struct{}, most), most: most, idle: map[net.Conn]time.Time{}}
	for range most {
		c.free <- struct{}{}
	}
	return c
}

func (c *conns) count() int { return c.most - len(c.free) }

// changed is the server's hook.
func (c *conns) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, conn)
	switch {
	case state != http.StateIdle:
	case c.waiting: // the new one may have come just before this one was idle
		c.waiting = false
		conn.Close()
	default:
		c.idle[conn] = time.Now()
	}
}

// wanted says whether a new connection waits for this one's place; it is asked before an answer, so that the
// client is told and no request of its crosses the close.
func (c *conns) wanted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := c.waiting
	c.waiting = false
	return wanted
}

// makeRoom closes the connection that has been idle longest.
func (c *conns) makeRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var oldest net.Conn
	for conn, since := range c.idle {
		if oldest == nil || since.Before(c.idle[oldest]) {
			oldest = conn
		}
	}
	if c.waiting = oldest == nil; !c.waiting {
		delete(c.idle, oldest)
		oldest.Close()
	}
}

func (c *conns) listen(l net.Listener) net.Listener { return &listener{l, c} }

type listener struct {
	net.Listener
	conns *conns
}

// Accept takes a connection once there is room for it.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case <-l.conns.free:
	default:
		log.Printf("part=clients event=full conns=%d", l.conns.most)
		l.conns.makeRoom()
		<-l.conns.free
		l.conns.wanted() // not any more
	}
	return &counted{Conn: conn, conns: l.conns}, nil
}

// counted gives its place back once.
type counted struct {
	net.Conn
	conns *conns
	once  sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.conns.free <- struct{}{} })
	return c.Conn.Close()
}

// Linger: the process is to end. Connections close after their next answer; new ones still come.
func (s *Server) Linger() {
	s.stopping.Store(true)
	s.http.SetKeepAlivesEnabled(false)
}

// Shutdown takes no new connections and waits for the answers under way. The server's own shutdown misses a
// connection that is accepted at that moment; its request must be answered like any other.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return err
	}
	for range s.conns.most {
		select {
		case <-s.conns.free:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
