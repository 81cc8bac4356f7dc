package clients

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"emberquay/internal/delivery/config"
	"emberquay/internal/delivery/ledger"
	"emberquay/internal/delivery/protocol"
	"emberquay/internal/delivery/sender"
)

// fakeAcceptor answers each text with a fixed answer, or not at all.
type fakeAcceptor struct {
	answer    *sender.Answer
	texts     chan *ledger.Text
	withdrawn chan string
	busy      bool
	reply     chan<- sender.Answer // of the last text
}

func (a *fakeAcceptor) HandIn(t *ledger.Text, reply chan<- sender.Answer) bool {
	a.reply = reply
	a.texts <- t
	if a.answer != nil {
		reply <- *a.answer
	}
	return !a.busy
}

func (a *fakeAcceptor) Withdraw(t *ledger.Text) { a.withdrawn <- t.ID }

func (a *fakeAcceptor) Status() (sender.Counts, bool) { return sender.Counts{Held: 3}, !a.busy }

func serve(t *testing.T, maxConns int, answer *sender.Answer) (*Server, *fakeAcceptor, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, a := serveOn(t, l, maxConns, answer)
	return s, a, l.Addr().String()
}

// readHeader is the time limit for reading a request, from the accepted connection on.
var readHeader = time.Second

func serveOn(t *testing.T, l net.Listener, maxConns int, answer *sender.Answer) (*Server, *fakeAcceptor) {
	t.Helper()
	a := &fakeAcceptor{answer: answer, texts: make(chan *ledger.Text, 99), withdrawn: make(chan string, 9)}
	s := New(&config.Config{Products: map[string]bool{"order": true, "late_order": true}, Limits: config.Limits{
		MaxClientConns: maxConns, MaxBodyBytes: 64 << 10, MaxHeaderBytes: 16 << 10, RequestReadTimeout: readHeader, ClientIdleTimeout: time.Minute,
		AnswerTimeout: 300 * time.Millisecond, FirstRequestTimeout: 20 * time.Millisecond}}, a)
	go s.Serve(l)
	t.Cleanup(func() { s.http.Close() })
	return s, a
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

const headers = "X-Call-Id: a1\r\nX-Call-Class: order\r\nX-Budget: 1.25\r\nX-Envelope: dest=7\r\nIdempotency-Key: k\r\n"

// emptyRequest is a complete request without a body.
const emptyRequest = "POST /api HTTP/1.1\r\nHost: a\r\n" + headers + "Content-Length: 0\r\n\r\n"

// roundTrip writes one request and reads its response.
func roundTrip(t *testing.T, c net.Conn, headers, body string) *http.Response {
	t.Helper()
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: app.svc\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(body), body)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, r.Body)
	return r
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		answer sender.Answer
		status int
		after  string
	}{
		{sender.Answer{Verdict: sender.Accepted}, 202, ""},
		{sender.Answer{Verdict: sender.Nacked}, 503, ""},
		{sender.Answer{Verdict: sender.Nacked, RetryAfter: 5001}, 503, "0.501"},
		{sender.Answer{Verdict: sender.Undeliverable}, 422, ""},
	} {
		_, a, addr := serve(t, 9, &c.answer)
		conn := dial(t, addr)
		for range 2 { // the connection stays open
			keyed := strings.Replace(headers, "dest=7", "dest=7, key=k9, brand=b2", 1)
			r := roundTrip(t, conn, keyed+"X-Again: 1\r\n", "b\x00y")
			if r.StatusCode != c.status || r.Header.Get("Retry-After") != c.after {
				t.Errorf("%v: %v", c.answer, r)
			}
		}
		x := <-a.texts
		left := x.ValidUntil - protocol.UnixTicks(time.Now())
		if x.ID != "a1" || x.Product != "order" || x.Destination != 7 || x.IdempotencyKey != "k" || x.Key != "k9" || x.Brand != "b2" || !x.Retry || x.Returned ||
			string(x.Body) != "b\x00y" || left > 12500 || left < 10000 {
			t.Errorf("%+v, %d left", x, left)
		}
	}
}

// Key and brand come in headers of their own; those in the envelope are for clients that send no such headers. Names are
// normalized as in the settings: otherwise a name with a space would be unknown, or another brand's quota would count.
func TestKeyAndBrandHeaders(t *testing.T) {
	_, a, addr := serve(t, 9, &sender.Answer{Verdict: sender.Accepted})
	for envelope, want := range map[string]string{"dest=7": "k1 late_order b_1", "dest=7,key=k2,brand=b2": "k1 late_order b_1"} {
		h := strings.Replace(headers, "dest=7", envelope, 1) + "X-Route-Hash: k1\r\nX-Caller: b 1\r\n"
		if r := roundTrip(t, dial(t, addr), strings.Replace(h, "Class: order", "Class: late order", 1), ""); r.StatusCode != 202 {
			t.Fatal(r)
		}
		if x := <-a.texts; x.Key+" "+x.Product+" "+x.Brand != want {
			t.Errorf("%s: %+v", envelope, x)
		}
	}
}

func TestInvalidHeaders(t *testing.T) {
	_, a, addr := serve(t, 99, &sender.Answer{})
	for old, new := range map[string]string{
		"X-Call-Id: a1":        "X-Other: a1",
		"Class: order":         "Class: unheard-of",
		"X-Budget: 1.25":       "X-Budget: soon",
		"X-Budget: 1.2":        "X-Budget: -1",
		"X-Budget: 1.":         "X-Budget: NaN",
		"X-Budget: 1":          "X-Budget: 1e99",
		"dest=7":               "dest=",
		"X-Envelope: dest=7":   "X-Envelope: 7",
		"dest=7\r":             "dest=7,key=" + strings.Repeat("k", 300) + "\r",
		"dest=7\r\n":           "dest=7,brand=" + strings.Repeat("b", 300) + "\r\n",
		"Idempotency-Key: k":   "Idempotency-Key: " + strings.Repeat("k", 300),
		"X-Call-Id: a1\r":      "X-Call-Id: a\xff\r",
		"Idempotency-Key: k\r": "X-Again: maybe\r",
	} {
		if r := roundTrip(t, dial(t, addr), strings.Replace(headers, old, new, 1), "x"); r.StatusCode != 400 {
			t.Errorf("%s: %d", new, r.StatusCode)
		}
	}
	if r := roundTrip(t, dial(t, addr), headers, strings.Repeat("x", 64<<10+1)); r.StatusCode != 413 {
		t.Error(r)
	}
	if r := roundTrip(t, dial(t, addr), headers+"X-Long: "+strings.Repeat("x", 32<<10)+"\r\n", ""); r.StatusCode != 431 {
		t.Error(r)
	}
	if len(a.texts) > 0 {
		t.Errorf("%d invalid texts were accepted", len(a.texts))
	}
	if r := roundTrip(t, dial(t, addr), headers, strings.Repeat("x", 64<<10)); r.StatusCode != 202 {
		t.Error(r)
	}
}

// Whatever the headers contain, a hand-in is either refused with status 400 or becomes a valid text.
func TestRandomHeaders(t *testing.T) {
	s, _, _ := serve(t, 1, nil)
	values := []string{"", " ", "0", "1", "-1", "1e9", "1e308", "Inf", "NaN", "0x1p4", "dest=", "dest=9223372036854775808", "dest=-1",
		"dest=1,dest=x", "a=b; dest=3", "order", "again", "\xff", strings.Repeat("9", 400)}
	rng := rand.New(rand.NewSource(3))
	accepted := 0
	for range 5000 {
		r := httptest.NewRequest("POST", "/api", strings.NewReader("body"))
		for _, h := range []string{protocol.IDHeader, productHeader, protocol.BudgetHeader, envelopeHeader, protocol.IdempotencyKeyHeader, againHeader} {
			if rng.Intn(3) > 0 {
				r.Header.Set(h, values[rng.Intn(len(values))])
			}
		}
		x, status, err := s.parseText(r, time.Unix(1e9, 0))
		switch {
		case err != nil && status != 400:
			t.Fatalf("%v: %d %v", r.Header, status, err)
		case err == nil && (x.ID == "" || x.Product != "order" || x.ValidUntil < 1e13 || x.ValidUntil > 1e13+1e10):
			t.Fatalf("%v: %+v", r.Header, x)
		case err == nil:
			accepted++
		}
	}
	if accepted == 0 {
		t.Error("none was accepted")
	}
}

func TestStatus(t *testing.T) {
	_, _, addr := serve(t, 9, nil)
	r, err := http.Get("http://" + addr + "/status")
	if err != nil {
		t.Fatal(err)
	}
	b, _ := io.ReadAll(r.Body)
	if !strings.Contains(string(b), `"held":3`) || !strings.Contains(string(b), `"client_conns":1`) {
		t.Errorf("%s", b)
	}
}

func TestBusy(t *testing.T) {
	_, a, addr := serve(t, 9, nil)
	a.busy = true
	if r := roundTrip(t, dial(t, addr), headers, ""); r.StatusCode != 503 {
		t.Error(r)
	}
}

// A client that leaves without an answer may hand the text in again under another ID.
func TestClientGone(t *testing.T) {
	_, a, addr := serve(t, 9, nil)
	c := dial(t, addr)
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: a\r\n%sContent-Length: 1\r\n\r\nx", headers)
	<-a.texts
	c.Close()
	select {
	case id := <-a.withdrawn:
		if id != "a1" {
			t.Error(id)
		}
	case <-time.After(2 * time.Second):
		t.Error("not withdrawn")
	}
}

// At the connection limit an idle connection is evicted; with none idle, a new one waits.
func TestConnectionLimit(t *testing.T) {
	s, a, addr := serve(t, 2, &sender.Answer{})
	first, second := dial(t, addr), dial(t, addr)
	roundTrip(t, first, headers, "")
	roundTrip(t, second, headers, "")
	if r := roundTrip(t, dial(t, addr), headers, ""); r.StatusCode != 202 || s.OpenConns() != 2 {
		t.Error(r, s.OpenConns())
	}
	closed := 0
	for _, c := range []net.Conn{first, second} {
		c.SetDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); err == io.EOF {
			closed++
		}
	}
	if closed != 1 {
		t.Errorf("%d idle connections were closed", closed)
	}
	if len(a.texts) != 3 {
		t.Errorf("%d texts", len(a.texts))
	}
}

// A connection that is busy when the limit is reached is closed after its response.
func TestConnectionLimitWithNoneIdle(t *testing.T) {
	s, a, addr := serve(t, 1, nil)
	first, second := dial(t, addr), dial(t, addr)
	io.WriteString(first, emptyRequest)
	<-a.texts
	fmt.Fprintf(second, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
	for waits := false; !waits; time.Sleep(time.Millisecond) {
		s.conns.mu.Lock()
		waits = s.conns.waiting
		s.conns.mu.Unlock()
	}
	a.reply <- sender.Answer{}
	for i, c := range []net.Conn{first, second} {
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.Close != (i == 0) {
			t.Error(r, err)
		}
	}
}

// Clients that send nothing, or only part of a request, do not block others, and their connections are closed in time.
func TestSilentClientsAreEvicted(t *testing.T) {
	_, _, addr := serve(t, 8, &sender.Answer{})
	normal := dial(t, addr)
	roundTrip(t, normal, headers, "")
	var incomplete []net.Conn
	for i := range 40 {
		incomplete = append(incomplete, dial(t, addr))
		if i%4 == 0 {
			fmt.Fprintf(incomplete[i], "POST /api HTTP/1.1\r\nHost: a\r\n%sContent-Length: 9\r\n\r\nhalf", headers)
		}
	}
	began := time.Now()
	roundTrip(t, normal, headers, "") // its connection was not closed for them
	if r := roundTrip(t, dial(t, addr), headers, ""); r.StatusCode != 202 || time.Since(began) > 900*time.Millisecond {
		t.Error(r, time.Since(began))
	}
	for i, c := range incomplete {
		c.SetReadDeadline(began.Add(2 * time.Second))
		if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("connection %d stays open", i)
		}
	}
}

// A silent connection was evicted for each new one and idle ones stayed open: clients at their own connection limit could
// then open no more connections for their requests.
func TestIdleIsEvictedBeforeFewSilent(t *testing.T) {
	_, _, addr := serve(t, 8, &sender.Answer{})
	silent := dial(t, addr)
	time.Sleep(50 * time.Millisecond)
	var idle []net.Conn
	for range 7 {
		idle = append(idle, dial(t, addr))
		roundTrip(t, idle[len(idle)-1], headers, "")
	}
	roundTrip(t, dial(t, addr), headers, "")
	open := func(c net.Conn) bool {
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	closed := 0
	for _, c := range idle {
		if !open(c) {
			closed++
		}
	}
	if closed != 1 || !open(silent) {
		t.Errorf("%d idle connections were closed", closed)
	}
}

// A chunked body with a Content-Length may smuggle another request: neither of them is accepted, nor what follows any
// chunked body.
func TestRequestSmuggling(t *testing.T) {
	_, a, addr := serve(t, 99, &sender.Answer{})
	hidden := emptyRequest
	for more, maxAccepted := range map[string]int{"Content-Length: 5\r\n": 0, "content-length:5\r\n": 0, "": 1} {
		for _, first := range []string{"", hidden} {
			c := dial(t, addr)
			io.WriteString(c, first+"POST /api HTTP/1.1\r\nHost: a\r\n"+headers+more+"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+hidden)
			all, _ := io.ReadAll(c)
			if want := maxAccepted + strings.Count(first, "POST"); len(a.texts) > want {
				t.Errorf("%q: %d accepted, want at most %d: %s", more, len(a.texts), want, all)
			}
			for len(a.texts) > 0 {
				<-a.texts
			}
		}
	}
}

// From the stop request until the listener closes, requests are still served; each connection is closed after its response.
func TestLinger(t *testing.T) {
	s, _, addr := serve(t, 9, &sender.Answer{})
	idle := dial(t, addr)
	roundTrip(t, idle, headers, "")
	s.DisableKeepAlives()
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("an idle connection stays open: %v", err)
	}
	if r := roundTrip(t, dial(t, addr), headers, ""); r.StatusCode != 202 || !r.Close {
		t.Error(r)
	}
	if err := s.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("still listening")
	}
}
