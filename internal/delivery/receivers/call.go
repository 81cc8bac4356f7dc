package receivers

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"emberquay/control"
	"emberquay/internal/delivery/config"
	"emberquay/internal/delivery/protocol"
)

// The path of a call and the headers that only its answers have.
const (
	callPath     = "/events"
	waitHeader   = "X-Retry-In-Ms"
	noSlotHeader = "X-No-Slot"
	reportHeader = "X-Load-Report"
)

// Call is one submit of a text.
type Call struct {
	TextID         string
	IdempotencyKey string // by which the receiver knows a repeat; may be empty
	Body           []byte
	Timeout        time.Duration // for the answer
	Done           func(control.Result)

	// MaySend says whether a call that had to wait for its connection may leave; nil: it may.
	MaySend func(context.Context) bool

	addr   string
	ctx    context.Context
	cancel context.CancelCauseFunc
	stage  atomic.Int32 // waiting, leaving or kept back
}

// Until a call leaves it can be kept back: then nothing of it is ever written.
const (
	waiting int32 = iota
	leaving
	keptBack
)

// NewCall makes a call that Cancel can call off from the start.
func NewCall(text, mark string, body []byte, wait time.Duration, done func(control.Result)) *Call {
	c := &Call{TextID: text, IdempotencyKey: mark, Body: body, Timeout: wait, Done: done}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

var (
	errCancelled = errors.New("called off")
	errTooLong   = errors.New("no answer in time")
	errTooMany   = errors.New("too many connections")
	errDead      = errors.New("the receiver has ended the connection")
	errSpoilt    = errors.New("the head of the answer does not end")
	errOverdue   = errors.New("it had its connection too late to leave")
)

// Cancel gives the call up; its connection is closed.
func (c *Call) Cancel() { c.cancel(errCancelled) }

// CancelUnsent gives the call up if it still waits for its connection, so that it surely never runs.
func (c *Call) CancelUnsent() {
	if c.stage.CompareAndSwap(waiting, keptBack) {
		c.cancel(errCancelled)
	}
}

// leave notes that some of the call may be written from now on; false: it was kept back.
func (c *Call) leave() bool {
	return c.stage.CompareAndSwap(waiting, leaving) || c.stage.Load() == leaving
}

// trip is one way of a call over one connection.
type trip struct {
	on         *conn // nil before there is one
	wrote, cut atomic.Bool
}

// round makes one trip.
func (p *peer) round(c *Call, first bool) (*trip, *http.Response, error) {
	t := &trip{}
	ctx := httptrace.WithClientTrace(c.ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.on, _ = info.Conn.(*conn)
			// While a connection was made, by a network that says nothing for a second, say, a wait may have been
			// told or the time for a repeat have passed: what is written now counts as sent now.
			var stop error
			if !(first && info.WasIdle) && c.MaySend != nil && !c.MaySend(c.ctx) || !c.leave() {
				stop = errOverdue
			}
			t.on.begin(stop, func() { c.cancel(errSpoilt) })
		},
		WroteRequest: func(w httptrace.WroteRequestInfo) {
			if w.Err == nil {
				t.wrote.Store(true)
			} else {
				t.cut.Store(true)
			}
		},
	})
	resp, err := p.transport.RoundTrip(c.request().WithContext(ctx)) // and no redirects
	return t, resp, err
}

// request is the call as it is written. Its body has no GetBody: http.Transport else sends a request with an idempotency key
// a second time by itself when its connection breaks, and the receiver counts that as a second submit; of an empty body,
// too, as it is not http.NoBody. It is one that http.Transport knows to be in memory: head and body then leave in one
// write where they fit its buffer. Of any other the head leaves first, and a call that is given up in between has been
// begun at its receiver and not been written whole.
func (c *Call) request() *http.Request {
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: c.addr, Path: callPath},
		Host: c.addr, Header: http.Header{protocol.IDHeader: {c.TextID}, protocol.BudgetHeader: {seconds(c.Timeout)}},
		Body: io.NopCloser(bytes.NewReader(c.Body)), ContentLength: int64(len(c.Body)),
	}
	if c.IdempotencyKey != "" {
		req.Header[protocol.IdempotencyKeyHeader] = []string{c.IdempotencyKey}
	}
	return req
}

// call makes the call and tells its result once.
func (p *peer) call(c *Call) {
	began := time.Now()
	timer := time.AfterFunc(c.Timeout, func() { c.cancel(errTooLong) })
	defer timer.Stop()
	defer c.cancel(nil)
	t, resp, err := p.round(c, true)
	// To a connection that was found dead nothing of the call was written: it goes on the next one.
	for tries := 0; err != nil && c.ctx.Err() == nil && tries < p.fleet.limits.MaxCalls; tries++ {
		if _, stop := t.on.state(); stop != errDead {
			break
		}
		t, resp, err = p.round(c, false)
	}
	took := time.Since(began)
	var r control.Result
	if err != nil {
		r = p.failed(c, t, err)
	} else {
		kept, _ := t.on.state()
		r = p.read(resp, kept)
		// An answer that does not fit its length is spoilt: whatever it says but for a delivery, the call may
		// have run.
		if !c.drain(resp, p.fleet.limits) && r.Outcome != control.Delivered {
			r = control.Result{Outcome: control.ConnectionLost, Report: r.Report}
		}
	}
	if p.gone.Load() {
		p.transport.CloseIdleConnections()
	}
	r.Took = protocol.Ticks(took)
	c.Done(r)
}

// failed says what a call came to that has no answer which can be read.
func (p *peer) failed(c *Call, t *trip, err error) control.Result {
	var r control.Result
	kept, stop := t.on.state()
	status, answered := t.on.heard()
	switch {
	case status == http.StatusOK: // true, whatever comes after that line
		r.Outcome, r.Final = control.Delivered, true
	case errors.Is(err, errTooMany), stop != nil, gaveUp(context.Cause(c.ctx)) && t.on.seal():
		r.Outcome = control.Unsent
	default:
		r.Outcome = failure(context.Cause(c.ctx), t.on != nil, t.wrote.Load() || answered, t.cut.Load())
		broke := r.Outcome == control.ConnectionLost || r.Outcome == control.NoConnection
		r.StaleConn = kept && broke && !answered
		// One whose places are all taken says so in an answer.
		r.NotListening = r.Outcome == control.NoConnection && errors.Is(err, syscall.ECONNREFUSED)
	}
	if !errors.Is(err, errCancelled) {
		slog.Warn("call_failed", "part", "receivers", "text", c.TextID, "addr", c.addr, "outcome", r.Outcome, "kept", r.StaleConn, "err", err)
	}
	return r
}

// drain reads the rest of an answer, so that the connection is free for whoever is let go by the result. It
// says whether all came, in little time and room; if not, or where the length was not told, so that more could
// follow unseen, the connection is dropped.
func (c *Call) drain(resp *http.Response, limits config.Limits) bool {
	defer resp.Body.Close()
	if resp.ContentLength < 0 {
		return true
	}
	timer := time.AfterFunc(limits.DrainTimeout, func() { c.cancel(nil) })
	defer timer.Stop()
	n, err := io.CopyN(io.Discard, resp.Body, min(resp.ContentLength, limits.MaxBodyBytes)+1)
	return err == io.EOF && n == resp.ContentLength
}

// gaveUp says whether this side ended the call, rather than its connection.
func gaveUp(cause error) bool { return errors.Is(cause, errTooLong) || errors.Is(cause, errCancelled) }

// failure says what an answer that never came means. Only a request that was surely not written whole is
// sure not to have run.
func failure(cause error, connected, wrote, cut bool) control.Outcome {
	switch {
	case !connected, cut && !wrote:
		return control.NoConnection
	case !wrote && !gaveUp(cause): // the transport ends its writing before it tells of a broken connection
		return control.NoConnection
	case errors.Is(cause, errTooLong):
		return control.NoAnswer
	case errors.Is(cause, errCancelled):
		return control.Cancelled
	}
	return control.ConnectionLost
}

// read takes from an answer what the module needs; kept: it came on a connection kept from an earlier call.
func (p *peer) read(resp *http.Response, kept bool) control.Result {
	r := control.Result{Report: p.report(resp.Header.Get(reportHeader))}
	switch resp.StatusCode {
	case http.StatusOK:
		r.Outcome, r.Final = control.Delivered, true
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.Outcome = control.Refused
		if resp.Header.Get(noSlotHeader) == "1" {
			r.Outcome = control.Unsent
		}
		if v := resp.Header.Get(waitHeader); v != "" && r.Outcome == control.Refused {
			ms, err := strconv.ParseFloat(v, 64)
			if err != nil || !(ms >= 0) || ms > 1e9 {
				slog.Warn("bad_wait", "part", "receivers", "addr", resp.Request.URL.Host, "value", v)
				break
			}
			r.RetryAfter = control.Time(math.Ceil(ms * float64(time.Millisecond/protocol.Tick)))
		}
	case http.StatusGatewayTimeout:
		r.Outcome = control.Unsent
	case http.StatusGone:
		r.Outcome, r.Final = control.Unsent, true
	default:
		r.Outcome = control.Errored
		if resp.StatusCode != http.StatusInternalServerError {
			slog.Warn("odd_answer", "part", "receivers", "addr", resp.Request.URL.Host, "status", resp.StatusCode)
		}
	}
	// One that has no place for a connection says so on it, without a report, and closes it.
	r.ConnLimitReached = r.Outcome == control.Refused && !kept && resp.Close && r.RetryAfter == 0 && r.Report == nil
	return r
}

// report reads "name=value,..." into the order of the settings; what is left out is NaN.
func (p *peer) report(text string) []float64 {
	if text == "" {
		return nil
	}
	row := make([]float64, len(p.fleet.names))
	for i := range row {
		row[i] = math.NaN()
	}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			slog.Warn("bad_report", "part", "receivers", "value", text)
			return nil
		}
		for i, n := range p.fleet.names {
			if n == name {
				row[i] = v
			}
		}
	}
	return row
}

// seconds writes a time as the protocol does, rounded down.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(math.Floor(max(0, d).Seconds()*1e4)/1e4, 'f', 4, 64)
}

// dial opens a connection within the limits.
func (p *peer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if !p.fleet.take(p) {
		return nil, fmt.Errorf("%w: %d", errTooMany, p.fleet.limits.MaxReceiverConns)
	}
	p.fleet.dials.Add(1)
	d := net.Dialer{Timeout: p.fleet.limits.DialTimeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		p.fleet.open.Add(-1)
		return nil, err
	}
	return &conn{Conn: c, fleet: p.fleet}, nil
}
