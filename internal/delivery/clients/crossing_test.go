package clients

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"emberquay/internal/delivery/sender"
)

// pausingListener accepts connections whose next read, once armed, pauses after the bytes are read and before it returns.
type pausingListener struct {
	net.Listener
	armed           atomic.Bool
	reached, resume chan struct{}
}

func (l *pausingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConn{c.(*net.TCPConn), l}, nil
}

func (l *pausingListener) pause() {
	if l.armed.CompareAndSwap(true, false) {
		l.reached <- struct{}{}
		<-l.resume
	}
}

type pausingConn struct {
	*net.TCPConn
	l *pausingListener
}

func (c *pausingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.l.pause()
	}
	return n, err
}

func (c *pausingConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &pausingRaw{raw, c.l}, err
}

type pausingRaw struct {
	syscall.RawConn
	l *pausingListener
}

func (r *pausingRaw) Read(f func(uintptr) bool) error {
	err := r.RawConn.Read(f)
	if err == nil {
		r.l.pause()
	}
	return err
}

// waitForConn waits for a connection that meets a condition, which is checked with the lock held.
func waitForConn(s *Server, condition func(*conn) bool) {
	for found := false; !found; time.Sleep(time.Millisecond) {
		s.conns.mu.Lock()
		for c := range s.conns.open {
			found = found || condition(c)
		}
		s.conns.mu.Unlock()
	}
}

// An idle connection's next request is read just as the server evicts the connection. When it was closed then, the text was
// accepted and sent without an answer to its client; the request must be answered first.
func TestClosedAsARequestIsRead(t *testing.T) {
	for moment, close := range map[string]func(*Server, string){
		"asked to stop": func(s *Server, _ string) { s.DisableKeepAlives() },
		"shut down": func(s *Server, _ string) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			s.DisableKeepAlives()
			s.Shutdown(ctx)
		},
		"makes room": func(s *Server, addr string) {
			if c, err := net.Dial("tcp", addr); err == nil {
				t.Cleanup(func() { c.Close() })
			}
			waitForConn(s, func(c *conn) bool { return s.conns.waiting || c.stage == silent }) // admitted or waiting
		},
	} {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := &pausingListener{Listener: inner, reached: make(chan struct{}), resume: make(chan struct{})}
		s, _ := serveOn(t, l, 1, &sender.Answer{Verdict: sender.Accepted})
		c := dial(t, inner.Addr().String())
		roundTrip(t, c, headers, "")
		waitForConn(s, func(o *conn) bool { return o.stage == idle })
		l.armed.Store(true)
		io.WriteString(c, emptyRequest)
		<-l.reached
		close(s, inner.Addr().String())
		l.resume <- struct{}{}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode != 202 || !r.Close {
			if err == nil {
				err = fmt.Errorf("%s, close %v", r.Status, r.Close)
			}
			t.Errorf("%s: a request that was read has no response: %v", moment, err)
		}
	}
}

// The first byte of the next request is read before the response to the previous one is written: the connection must not
// count as idle.
func TestAStopBesideAHalfRequest(t *testing.T) {
	s, a, addr := serve(t, 9, nil)
	c := dial(t, addr)
	io.WriteString(c, emptyRequest)
	<-a.texts
	io.WriteString(c, emptyRequest[:1]) // net/http reads one byte ahead while it handles a request
	waitForConn(s, func(o *conn) bool { return o.requestPending.Load() })
	a.reply <- sender.Answer{Verdict: sender.Accepted}
	in := bufio.NewReader(c)
	if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 202 {
		t.Fatal(r, err)
	}
	s.DisableKeepAlives()
	io.WriteString(c, emptyRequest[1:])
	select {
	case <-a.texts:
		a.reply <- sender.Answer{Verdict: sender.Accepted}
	case <-time.After(2 * time.Second):
		t.Error("the rest of the request was not read")
	}
	if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 202 || !r.Close {
		t.Error(r, err)
	}
}

// The time limit for reading a request expires while its response is due: that must not count as the client leaving.
func TestTheTimeForARequestEndsBesideItsAnswer(t *testing.T) {
	before := readHeader
	readHeader = 50 * time.Millisecond
	_, a, addr := serve(t, 9, nil)
	readHeader = before
	c := dial(t, addr)
	io.WriteString(c, emptyRequest)
	<-a.texts
	select {
	case <-a.withdrawn:
		t.Fatal("withdrawn while its client waits")
	case <-time.After(200 * time.Millisecond):
	}
	a.reply <- sender.Answer{Verdict: sender.Accepted}
	if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != 202 {
		t.Error(r, err)
	}
}
