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

// taker answers what it is told to, or nothing.
type taker struct {
	answer    *sender.Answer
	texts     chan *ledger.Text
	withdrawn chan string
	busy      bool
	reply     chan<- sender.Answer // of the last text
}

func (k *taker) HandIn(t *ledger.Text, reply chan<- sender.Answer) bool {
	k.reply = reply
	k.texts <- t
	if k.answer != nil {
		reply <- *k.answer
	}
	return !k.busy
}

func (k *taker) Withdraw(t *ledger.Text) { k.withdrawn <- t.ID }

func (k *taker) Status() (sender.Counts, bool) { return sender.Counts{Held: 3}, !k.busy }

func serve(t *testing.T, most int, answer *sender.Answer) (*Server, *taker, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, k := serveOn(t, l, most, answer)
	return s, k, l.Addr().String()
}

// readHeader is the time for a request, from its connection on.
var readHeader = time.Second

func serveOn(t *testing.T, l net.Listener, most int, answer *sender.Answer) (*Server, *taker) {
	t.Helper()
	k := &taker{answer: answer, texts: make(chan *ledger.Text, 99), withdrawn: make(chan string, 9)}
	s := New(&config.Config{Products: map[string]bool{"order": true, "late_order": true}, Limits: config.Limits{
		MaxClientConns: most, MaxBodyBytes: 64 << 10, MaxHeaderBytes: 16 << 10, RequestReadTimeout: readHeader, ClientIdleTimeout: time.Minute,
		AnswerTimeout: 300 * time.Millisecond, FirstRequestTimeout: 20 * time.Millisecond}}, k)
	go s.Serve(l)
	t.Cleanup(func() { s.http.Close() })
	return s, k
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

const heads = "X-Call-Id: a1\r\nX-Call-Class: order\r\nX-Budget: 1.25\r\nX-Envelope: dest=7\r\nIdempotency-Key: k\r\n"

// bodiless is a whole request, as bytes.
const bodiless = "POST /api HTTP/1.1\r\nHost: a\r\n" + heads + "Content-Length: 0\r\n\r\n"

// ask writes one request and reads its answer.
func ask(t *testing.T, c net.Conn, heads, body string) *http.Response {
	t.Helper()
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: app.svc\r\n%sContent-Length: %d\r\n\r\n%s", heads, len(body), body)
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
		_, k, addr := serve(t, 9, &c.answer)
		conn := dial(t, addr)
		for range 2 { // the connection stays
			keyed := strings.Replace(heads, "dest=7", "dest=7, key=k9, brand=b2", 1)
			r := ask(t, conn, keyed+"X-Again: 1\r\n", "b\x00y")
			if r.StatusCode != c.status || r.Header.Get("Retry-After") != c.after {
				t.Errorf("%v: %v", c.answer, r)
			}
		}
		x := <-k.texts
		left := x.ValidUntil - protocol.UnixTicks(time.Now())
		if x.ID != "a1" || x.Product != "order" || x.Destination != 7 || x.IdempotencyKey != "k" || x.Key != "k9" || x.Brand != "b2" || !x.Retry || x.Returned ||
			string(x.Body) != "b\x00y" || left > 12500 || left < 10000 {
			t.Errorf("%+v, %d left", x, left)
		}
	}
}

// Key and brand come in headers of their own; those in the envelope are for clients that have none. Names are put as the
// settings hold them: one with a space would else be unknown, or another brand's share would count.
func TestKeyAndBrandComeInHeaders(t *testing.T) {
	_, k, addr := serve(t, 9, &sender.Answer{Verdict: sender.Accepted})
	for envelope, want := range map[string]string{"dest=7": "k1 late_order b_1", "dest=7,key=k2,brand=b2": "k1 late_order b_1"} {
		h := strings.Replace(heads, "dest=7", envelope, 1) + "X-Route-Hash: k1\r\nX-Caller: b 1\r\n"
		if r := ask(t, dial(t, addr), strings.Replace(h, "Class: order", "Class: late order", 1), ""); r.StatusCode != 202 {
			t.Fatal(r)
		}
		if x := <-k.texts; x.Key+" "+x.Product+" "+x.Brand != want {
			t.Errorf("%s: %+v", envelope, x)
		}
	}
}

func TestBadInput(t *testing.T) {
	_, k, addr := serve(t, 99, &sender.Answer{})
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
		if r := ask(t, dial(t, addr), strings.Replace(heads, old, new, 1), "x"); r.StatusCode != 400 {
			t.Errorf("%s: %d", new, r.StatusCode)
		}
	}
	if r := ask(t, dial(t, addr), heads, strings.Repeat("x", 64<<10+1)); r.StatusCode != 413 {
		t.Error(r)
	}
	if r := ask(t, dial(t, addr), heads+"X-Long: "+strings.Repeat("x", 32<<10)+"\r\n", ""); r.StatusCode != 431 {
		t.Error(r)
	}
	if len(k.texts) > 0 {
		t.Errorf("%d bad texts were handed on", len(k.texts))
	}
	if r := ask(t, dial(t, addr), heads, strings.Repeat("x", 64<<10)); r.StatusCode != 202 {
		t.Error(r)
	}
}

// Whatever the headers hold, a hand-in is refused plainly or is a text that makes sense.
func TestOddHeaders(t *testing.T) {
	s, _, _ := serve(t, 1, nil)
	odd := []string{"", " ", "0", "1", "-1", "1e9", "1e308", "Inf", "NaN", "0x1p4", "dest=", "dest=9223372036854775808", "dest=-1",
		"dest=1,dest=x", "a=b; dest=3", "order", "again", "\xff", strings.Repeat("9", 400)}
	chance := rand.New(rand.NewSource(3))
	taken := 0
	for range 5000 {
		r := httptest.NewRequest("POST", "/api", strings.NewReader("body"))
		for _, h := range []string{protocol.IDHeader, productHeader, protocol.BudgetHeader, envelopeHeader, protocol.IdempotencyKeyHeader, againHeader} {
			if chance.Intn(3) > 0 {
				r.Header.Set(h, odd[chance.Intn(len(odd))])
			}
		}
		x, status, err := s.text(r, time.Unix(1e9, 0))
		switch {
		case err != nil && status != 400:
			t.Fatalf("%v: %d %v", r.Header, status, err)
		case err == nil && (x.ID == "" || x.Product != "order" || x.ValidUntil < 1e13 || x.ValidUntil > 1e13+1e10):
			t.Fatalf("%v: %+v", r.Header, x)
		case err == nil:
			taken++
		}
	}
	if taken == 0 {
		t.Error("none was taken")
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
	_, k, addr := serve(t, 9, nil)
	k.busy = true
	if r := ask(t, dial(t, addr), heads, ""); r.StatusCode != 503 {
		t.Error(r)
	}
}

// A client that went without an answer may hand the text in again under another id.
func TestClientGone(t *testing.T) {
	_, k, addr := serve(t, 9, nil)
	c := dial(t, addr)
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: a\r\n%sContent-Length: 1\r\n\r\nx", heads)
	<-k.texts
	c.Close()
	select {
	case id := <-k.withdrawn:
		if id != "a1" {
			t.Error(id)
		}
	case <-time.After(2 * time.Second):
		t.Error("not withdrawn")
	}
}

// At the cap an idle connection makes room; with none idle a new one waits.
func TestConnectionCap(t *testing.T) {
	s, k, addr := serve(t, 2, &sender.Answer{})
	first, second := dial(t, addr), dial(t, addr)
	ask(t, first, heads, "")
	ask(t, second, heads, "")
	if r := ask(t, dial(t, addr), heads, ""); r.StatusCode != 202 || s.OpenConns() != 2 {
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
		t.Errorf("%d idle ones were closed", closed)
	}
	if len(k.texts) != 3 {
		t.Errorf("%d texts", len(k.texts))
	}
}

// A connection that is busy when the cap is reached makes room once it is idle.
func TestConnectionCapWithNoneIdle(t *testing.T) {
	s, k, addr := serve(t, 1, nil)
	first, second := dial(t, addr), dial(t, addr)
	io.WriteString(first, bodiless)
	<-k.texts
	fmt.Fprintf(second, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
	for waits := false; !waits; time.Sleep(time.Millisecond) {
		s.conns.mu.Lock()
		waits = s.conns.waiting
		s.conns.mu.Unlock()
	}
	k.reply <- sender.Answer{}
	for i, c := range []net.Conn{first, second} {
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.Close != (i == 0) {
			t.Error(r, err)
		}
	}
}

// Clients that connect and say nothing, or never end what they say, do not take the places of others, and each
// is closed in time.
func TestSilentClientsMakeRoom(t *testing.T) {
	_, _, addr := serve(t, 8, &sender.Answer{})
	usual := dial(t, addr)
	ask(t, usual, heads, "")
	var bad []net.Conn
	for i := range 40 {
		bad = append(bad, dial(t, addr))
		if i%4 == 0 {
			fmt.Fprintf(bad[i], "POST /api HTTP/1.1\r\nHost: a\r\n%sContent-Length: 9\r\n\r\nhalf", heads)
		}
	}
	began := time.Now()
	ask(t, usual, heads, "") // it was not closed for them
	if r := ask(t, dial(t, addr), heads, ""); r.StatusCode != 202 || time.Since(began) > 900*time.Millisecond {
		t.Error(r, time.Since(began))
	}
	for i, c := range bad {
		c.SetReadDeadline(began.Add(2 * time.Second))
		if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("%d stays", i)
		}
	}
}

// A silent connection went for each new one, and what was idle stayed: clients at their own bound could open no
// more for those of them that asked.
func TestFewSilentClientsLeaveIdleOnesToGo(t *testing.T) {
	_, _, addr := serve(t, 8, &sender.Answer{})
	silent := dial(t, addr)
	time.Sleep(50 * time.Millisecond)
	var idle []net.Conn
	for range 7 {
		idle = append(idle, dial(t, addr))
		ask(t, idle[len(idle)-1], heads, "")
	}
	ask(t, dial(t, addr), heads, "")
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
		t.Errorf("%d idle ones were closed", closed)
	}
}

// A body in pieces that has a length too may conceal another request: neither of them is taken on, nor what
// follows any body in pieces.
func TestConcealedRequests(t *testing.T) {
	_, k, addr := serve(t, 99, &sender.Answer{})
	hidden := bodiless
	for more, most := range map[string]int{"Content-Length: 5\r\n": 0, "content-length:5\r\n": 0, "": 1} {
		for _, first := range []string{"", hidden} {
			c := dial(t, addr)
			io.WriteString(c, first+"POST /api HTTP/1.1\r\nHost: a\r\n"+heads+more+"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+hidden)
			all, _ := io.ReadAll(c)
			if want := most + strings.Count(first, "POST"); len(k.texts) > want {
				t.Errorf("%q: %d of at most %d taken on: %s", more, len(k.texts), want, all)
			}
			for len(k.texts) > 0 {
				<-k.texts
			}
		}
	}
}

// From the request to stop until the listener closes, what still comes is served, each on a last connection.
func TestLinger(t *testing.T) {
	s, _, addr := serve(t, 9, &sender.Answer{})
	idle := dial(t, addr)
	ask(t, idle, heads, "")
	s.DisableKeepAlives()
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("an idle connection stays: %v", err)
	}
	if r := ask(t, dial(t, addr), heads, ""); r.StatusCode != 202 || !r.Close {
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
