package receivers

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"emberquay/control"
	"emberquay/internal/delivery/config"
	"emberquay/internal/delivery/protocol"
)

var limits = config.Limits{MaxReceiverConns: 8, MaxCalls: 4, MaxBodyBytes: 64 << 10, MaxHeaderBytes: 16 << 10,
	DialTimeout: time.Second, ReceiverIdleTimeout: time.Second, DrainTimeout: 50 * time.Millisecond}

// fakeReceiver starts a receiver that answers each request with what respond returns; an empty response closes the
// connection.
func fakeReceiver(t *testing.T, respond func(r *http.Request, body []byte) string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					requests.Add(1)
					a := respond(r, body)
					if a == "" {
						return
					}
					io.WriteString(c, "HTTP/1.1 "+a+"Content-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return l.Addr().String(), &requests
}

// submit makes one call and waits for its result.
func submit(t *testing.T, pool *Pool, body []byte, wait time.Duration) control.Result {
	t.Helper()
	done := make(chan control.Result, 2)
	if !pool.Submit(1, NewCall("t1", "mark", body, wait, func(r control.Result) { done <- r })) {
		t.Fatal("not submitted")
	}
	select {
	case r := <-done:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no result")
	}
	panic("unreachable")
}

func newPool(addr string) *Pool {
	pool := New(limits, []string{"x0", "x1"})
	pool.SetAddress(1, addr)
	return pool
}

func TestAnswers(t *testing.T) {
	for answer, want := range map[string]control.Result{
		"200 OK\r\nX-Load-Report: x1=25,x0=0.4\r\n":      {Outcome: control.Delivered, Final: true, Report: []float64{0.4, 25}},
		"200 OK\r\nX-Load-Report: x1=25\r\n":             {Outcome: control.Delivered, Final: true, Report: []float64{math.NaN(), 25}},
		"200 OK\r\nX-Load-Report: x0=oops\r\n":           {Outcome: control.Delivered, Final: true},
		"500 No\r\n":                                     {Outcome: control.Errored},
		"429 No\r\nX-Retry-In-Ms: 12.34\r\n":             {Outcome: control.Refused, RetryAfter: 124},
		"429 No\r\nX-Retry-In-Ms: soon\r\n":              {Outcome: control.Refused},
		"503 No\r\n":                                     {Outcome: control.Refused},
		"503 No\r\nX-No-Slot: 1\r\n":                     {Outcome: control.Unsent},
		"504 No\r\n":                                     {Outcome: control.Unsent},
		"410 Gone\r\n":                                   {Outcome: control.Unsent, Final: true},
		"302 Found\r\nLocation: /elsewhere\r\n":          {Outcome: control.Errored},
		"200 OK\r\nX-Load-Report: x0=1,x1=2,other=3\r\n": {Outcome: control.Delivered, Final: true, Report: []float64{1, 2}},

		"503 No\r\nConnection: close\r\n":                             {Outcome: control.Refused, ConnLimitReached: true},
		"503 No\r\nConnection: close\r\nX-Retry-In-Ms: 1\r\n":         {Outcome: control.Refused, RetryAfter: 10},
		"503 No\r\nConnection: close\r\nX-Load-Report: x0=0,x1=2\r\n": {Outcome: control.Refused, Report: []float64{0, 2}},
	} {
		addr, requests := fakeReceiver(t, func(*http.Request, []byte) string { return answer })
		got := submit(t, newPool(addr), []byte("x"), time.Second)
		got.Took = 0
		if fmt.Sprint(got) != fmt.Sprint(want) || requests.Load() != 1 {
			t.Errorf("%q: %v after %d requests, want %v", answer, got, requests.Load(), want)
		}
	}
}

// http.Transport resends a request by itself when a reused connection breaks, if the request has an idempotency key and a
// body that can be read again. The receiver would count a second call.
func TestNothingIsSentTwice(t *testing.T) {
	for _, body := range [][]byte{nil, []byte("body")} {
		var n atomic.Int64
		addr, requests := fakeReceiver(t, func(*http.Request, []byte) string {
			if n.Add(1) == 1 {
				return "200 OK\r\n"
			}
			return ""
		})
		pool := newPool(addr)
		if r := submit(t, pool, body, time.Second); r.Outcome != control.Delivered {
			t.Fatal(r)
		}
		if r := submit(t, pool, body, time.Second); r.Outcome != control.ConnectionLost || requests.Load() != 2 {
			t.Errorf("%v after %d requests", r, requests.Load())
		}
	}
}

// The receiver closed the connection while it was idle: nothing of the call is written to it.
func TestClosedWhileIdle(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, _ := l.Accept()
		http.ReadRequest(bufio.NewReader(c))
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		c.Close()
		l.Close()
	}()
	pool := newPool(l.Addr().String())
	submit(t, pool, nil, time.Second)
	for pool.OpenConns() > 0 {
		time.Sleep(time.Millisecond)
	}
	if r := submit(t, pool, nil, time.Second); r.Outcome != control.NoConnection {
		t.Error(r)
	}
}

func TestTimeoutAndCancelCloseTheConnection(t *testing.T) {
	closed, read := make(chan error, 2), make(chan bool, 2)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { // reads until the end and never responds
				c.Read(make([]byte, 1))
				read <- true
				_, err := io.Copy(io.Discard, c)
				closed <- err
			}()
		}
	}()
	pool := newPool(l.Addr().String())
	if r := submit(t, pool, []byte("x"), 50*time.Millisecond); r.Outcome != control.NoAnswer || r.Took < 500 {
		t.Error(r)
	}
	done := make(chan control.Result, 1)
	c := NewCall("t1", "", nil, time.Minute, func(r control.Result) { done <- r })
	pool.Submit(1, c)
	<-read
	<-read
	c.Cancel()
	if r := <-done; r.Outcome != control.Cancelled {
		t.Error(r)
	}
	for range 2 { // an abandoned call occupies its slot until its connection is closed
		select {
		case <-closed:
		case <-time.After(time.Second):
			t.Fatal("the connection was not closed")
		}
	}
}

func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if r := submit(t, newPool(l.Addr().String()), []byte("x"), time.Second); r.Outcome != control.NoConnection || !r.NotListening {
		t.Error(r)
	}
}

// A request whose body was cut off in transit is incomplete, so the call cannot have run.
func TestIncompleteRequestIsNoConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, _ := l.Accept()
		c.Read(make([]byte, 1))
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}()
	body := make([]byte, 32<<20) // more than the socket buffers hold
	if r := submit(t, newPool(l.Addr().String()), body, 5*time.Second); r.Outcome != control.NoConnection {
		t.Error(r)
	}
}

func TestRequestBytesAreUnchanged(t *testing.T) {
	want := []byte("a\x00b\r\n\xff")
	var got []byte
	var head http.Header
	addr, _ := fakeReceiver(t, func(r *http.Request, body []byte) string {
		got, head = slices.Clone(body), r.Header
		return "200 OK\r\n"
	})
	submit(t, newPool(addr), want, 1500*time.Millisecond)
	if !bytes.Equal(got, want) || head.Get("X-Call-Id") != "t1" || head.Get("Idempotency-Key") != "mark" ||
		head.Get("X-Budget") != "1.5000" || head.Get("Accept-Encoding") != "" {
		t.Errorf("%q %v", got, head)
	}
}

// Idle connections and those in use are counted, limited, and closed by CloseIdle.
func TestConnectionLimit(t *testing.T) {
	release := make(chan bool)
	addr, _ := fakeReceiver(t, func(*http.Request, []byte) string { <-release; return "200 OK\r\n" })
	pool := newPool(addr)
	pool.limits.MaxReceiverConns = 2
	done := make(chan control.Result, 3)
	for range 2 {
		pool.Submit(1, NewCall("t", "", nil, time.Minute, func(r control.Result) { done <- r }))
	}
	for pool.OpenConns() < 2 {
		time.Sleep(time.Millisecond)
	}
	if r := submit(t, pool, nil, time.Second); r.Outcome != control.Unsent {
		t.Error(r)
	}
	close(release)
	<-done
	<-done
	pool.CloseIdle(1)
	for end := time.Now().Add(time.Second); pool.OpenConns() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections were not closed", pool.OpenConns())
		}
	}
	if pool.Remove(1); pool.Submit(1, NewCall("t", "", nil, time.Second, nil)) {
		t.Error("a call to a removed receiver was accepted")
	}
}

// Idle connections to one receiver must not exhaust the limit that another needs.
func TestIdleConnectionsFreeTheLimit(t *testing.T) {
	a, _ := fakeReceiver(t, func(*http.Request, []byte) string { return "200 OK\r\n" })
	b, _ := fakeReceiver(t, func(*http.Request, []byte) string { return "200 OK\r\n" })
	pool := newPool(a)
	pool.limits.MaxReceiverConns = 1
	pool.SetAddress(2, b)
	submit(t, pool, nil, time.Second)
	done := make(chan control.Result, 1)
	pool.Submit(2, NewCall("t2", "", nil, time.Second, func(r control.Result) { done <- r }))
	if r := <-done; r.Outcome != control.Delivered || pool.OpenConns() != 1 {
		t.Errorf("%v with %d connections", r, pool.OpenConns())
	}
}

// rawReceiver starts a receiver that answers each call with exactly the bytes of respond and keeps the connection open; it
// counts connections.
func rawReceiver(t *testing.T, respond func(n int64) string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var conns, calls atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					io.WriteString(c, respond(calls.Add(1)))
				}
			}()
		}
	}()
	return l.Addr().String(), &conns
}

// A call with an unreadable response may have run, and was delivered if the status line says so; either result comes
// quickly, and the connection is dropped.
func TestSpoiltAnswers(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for answer, want := range map[string]control.Outcome{
		"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n":                control.Delivered,
		"HTTP/1.1 200 OK\r\nno header\r\n\r\n":                         control.Delivered,
		"HTTP/1.1 200 OK\r\nX-Never: ends":                             control.Delivered,
		"HTTP/1.1 200 OK\r\nX-Long: " + long:                           control.Delivered,
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + long: control.Delivered,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort":            control.Delivered,
		"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\nX-Never: ends":   control.Delivered,
		"HTTP/1.1 20":                                            control.ConnectionLost,
		"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 2":                   control.ConnectionLost,
		"HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nshort":    control.ConnectionLost,
		"HTTP/1.1 429 Full\r\nX-Retry-In-Ms: 5\r\nX-Never: ends": control.ConnectionLost,
		"\x00\xff\x17 noise\r\n":                                 control.ConnectionLost,
		"noise without an end":                                   control.ConnectionLost,
		"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n":          control.ConnectionLost,
	} {
		addr, conns := rawReceiver(t, func(int64) string { return answer })
		pool := newPool(addr)
		began := time.Now()
		for range 2 {
			if r := submit(t, pool, []byte("x"), 5*time.Second); r.Outcome != want || r.Final != (want == control.Delivered) {
				t.Errorf("%.60q: %v, want %v", answer, r.Outcome, want)
			}
		}
		if conns.Load() != 2 || time.Since(began) > time.Second {
			t.Errorf("%.60q: %d connections, %s", answer, conns.Load(), time.Since(began))
		}
	}
}

// A complete response counts whatever precedes or follows it; what follows is never taken for another response.
func TestBytesAroundTheResponse(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nX-Load-Report: x0=1,x1=2\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		first string
		conns int64
	}{
		{good, 1},
		{"HTTP/1.1 102 Wait\r\nContent-Length: 7\r\n\r\nHTTP/1.1 103 Soon\r\n\r\n" + good, 1},
		{good + good, 2},
		{good + "noise", 2},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 2},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + good, 2},
	} {
		addr, conns := rawReceiver(t, func(n int64) string {
			if n == 1 {
				return c.first
			}
			return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
		})
		pool := newPool(addr)
		if r := submit(t, pool, nil, time.Second); r.Outcome != control.Delivered {
			t.Errorf("%q: %v", c.first, r)
		}
		if r := submit(t, pool, nil, time.Second); r.Outcome != control.Errored || conns.Load() != c.conns {
			t.Errorf("after %q: %v on %d connections", c.first, r, conns.Load())
		}
	}
}

// A receiver closes a reused connection, or sends unsolicited bytes, after a call was assigned the connection and before
// any of it is written. A call that nobody reads must not count as possibly run: nothing is written, whether the
// transport or Write notices first.
func TestADeadConnectionGetsNothing(t *testing.T) {
	for _, more := range []string{"", "more"} {
		for _, heard := range []bool{false, true} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			near, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			far, _ := l.Accept()
			c := &conn{Conn: near, pool: newPool("127.0.0.1:1")}
			defer c.Close()
			c.startCall(nil, nil)
			if _, err := c.Write([]byte("first")); err != nil {
				t.Fatal(err)
			}
			c.startCall(nil, nil)
			if io.WriteString(far, more); more == "" {
				far.Close()
			}
			for over := false; !over; time.Sleep(time.Millisecond) {
				unread, ended := protocol.Peek(near)
				over = unread || ended
			}
			if heard { // by the transport, which reads all the time
				c.Read(make([]byte, 9))
			}
			n, err := c.Write([]byte("second"))
			if _, stop := c.callState(); n != 0 || err != errConnDead || stop != errConnDead {
				t.Errorf("%q, read by the transport %v: %d bytes written, %v, %v", more, heard, n, err, stop)
			}
		}
	}
}

// A call that had to wait for its connection is checked once more before it is sent: by then the repeat window may have
// ended or a Retry-After delay may have been announced. A call that gets an idle connection at once is not checked.
func TestACallThatWaitedIsAskedAgain(t *testing.T) {
	addr, requests := fakeReceiver(t, func(*http.Request, []byte) string { return "200 OK\r\n" })
	pool, asked := newPool(addr), 0
	for i, want := range []string{"unsent, asked 1, requests 0", "delivered, asked 2, requests 1", "delivered, asked 2, requests 2"} {
		done := make(chan control.Result, 1)
		call := NewCall("t1", "mark", []byte("x"), time.Second, func(r control.Result) { done <- r })
		call.MaySend = func(context.Context) bool { asked++; return i == 1 }
		pool.Submit(1, call)
		if got := fmt.Sprintf("%v, asked %d, requests %d", (<-done).Outcome, asked, requests.Load()); got != want {
			t.Errorf("call %d: %s, want %s", i, got, want)
		}
	}
}

// StaleConn is set if a reused connection breaks during the call, but not if a new one does.
func TestStaleConnection(t *testing.T) {
	for answers, kept := range map[int64]bool{0: false, 1: true} {
		var n atomic.Int64
		addr, _ := fakeReceiver(t, func(*http.Request, []byte) string {
			if n.Add(1) <= answers {
				return "200 OK\r\n"
			}
			return ""
		})
		pool := newPool(addr)
		for range answers {
			submit(t, pool, nil, time.Second)
		}
		if r := submit(t, pool, nil, time.Second); r.Outcome != control.ConnectionLost || r.StaleConn != kept {
			t.Errorf("%v after %d answers", r, answers)
		}
	}
}
