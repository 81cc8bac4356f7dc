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

// pausing lets connections in whose reads stand still, once armed, between the bytes and whoever is to get them.
type pausing struct {
	net.Listener
	armed    atomic.Bool
	read, on chan struct{}
}

func (l *pausing) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConn{c.(*net.TCPConn), l}, nil
}

func (l *pausing) stop() {
	if l.armed.CompareAndSwap(true, false) {
		l.read <- struct{}{}
		<-l.on
	}
}

type pausingConn struct {
	*net.TCPConn
	l *pausing
}

func (c *pausingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.l.stop()
	}
	return n, err
}

func (c *pausingConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &pausingRaw{raw, c.l}, err
}

type pausingRaw struct {
	syscall.RawConn
	l *pausing
}

func (r *pausingRaw) Read(f func(uintptr) bool) error {
	err := r.RawConn.Read(f)
	if err == nil {
		r.l.stop()
	}
	return err
}

// until waits for a connection of which something is true, seen under the lock.
func until(s *Server, is func(*conn) bool) {
	for found := false; !found; time.Sleep(time.Millisecond) {
		s.conns.mu.Lock()
		for c := range s.conns.open {
			found = found || is(c)
		}
		s.conns.mu.Unlock()
	}
}

// A connection rests; its next request is read just as the server gives it up. Closed under its request, the text was
// taken on and sent, and its client never heard. Now it is answered first.
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
			until(s, func(c *conn) bool { return s.conns.waiting || c.at == silent }) // let in, or it has to wait
		},
	} {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := &pausing{Listener: inner, read: make(chan struct{}), on: make(chan struct{})}
		s, _ := serveOn(t, l, 1, &sender.Answer{Verdict: sender.Accepted})
		c := dial(t, inner.Addr().String())
		ask(t, c, heads, "")
		until(s, func(o *conn) bool { return o.at == idle })
		l.armed.Store(true)
		io.WriteString(c, bodiless)
		<-l.read
		close(s, inner.Addr().String())
		l.on <- struct{}{}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode != 202 || !r.Close {
			if err == nil {
				err = fmt.Errorf("%s, close %v", r.Status, r.Close)
			}
			t.Errorf("%s: a request that was read has no answer: %v", moment, err)
		}
	}
}

// What was read of a next request beside the answer to the one before is not forgotten: the connection does not rest.
func TestAStopBesideAHalfRequest(t *testing.T) {
	s, k, addr := serve(t, 9, nil)
	c := dial(t, addr)
	io.WriteString(c, bodiless)
	<-k.texts
	io.WriteString(c, bodiless[:1]) // net/http reads one byte beside a request that it works on
	until(s, func(o *conn) bool { return o.ahead.Load() })
	k.reply <- sender.Answer{Verdict: sender.Accepted}
	in := bufio.NewReader(c)
	if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 202 {
		t.Fatal(r, err)
	}
	s.DisableKeepAlives()
	io.WriteString(c, bodiless[1:])
	select {
	case <-k.texts:
		k.reply <- sender.Answer{Verdict: sender.Accepted}
	case <-time.After(2 * time.Second):
		t.Error("the rest of the request is not read")
	}
	if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 202 || !r.Close {
		t.Error(r, err)
	}
}

// The time for a request ends while an answer to it is owed: that is not its client's going.
func TestTheTimeForARequestEndsBesideItsAnswer(t *testing.T) {
	before := readHeader
	readHeader = 50 * time.Millisecond
	_, k, addr := serve(t, 9, nil)
	readHeader = before
	c := dial(t, addr)
	io.WriteString(c, bodiless)
	<-k.texts
	select {
	case <-k.withdrawn:
		t.Fatal("withdrawn, and its client waits")
	case <-time.After(200 * time.Millisecond):
	}
	k.reply <- sender.Answer{Verdict: sender.Accepted}
	if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != 202 {
		t.Error(r, err)
	}
}
