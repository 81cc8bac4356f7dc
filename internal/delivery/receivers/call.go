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

// The path of a call and the headers of its responses.
const (
	callPath         = "/events"
	retryAfterHeader = "X-Retry-In-Ms"
	unsentHeader     = "X-No-Slot"
	reportHeader     = "X-Load-Report"
)

// Call is one attempt to deliver a text.
type Call struct {
	TextID         string
	IdempotencyKey string // by which the receiver recognizes a repeat; may be empty
	Body           []byte
	Timeout        time.Duration // for the response
	Done           func(control.Result)

	// MaySend reports whether a call that had to wait for its connection may still be sent; nil: it may.
	MaySend func(context.Context) bool

	addr      string
	ctx       context.Context
	cancel    context.CancelCauseFunc
	sendState atomic.Int32 // notStarted, sending or withheld
}

// The send states. A call that is withheld before sending starts is never written.
const (
	notStarted int32 = iota
	sending
	withheld
)

// NewCall returns a call; Cancel works from here on.
func NewCall(textID, idempotencyKey string, body []byte, timeout time.Duration, done func(control.Result)) *Call {
	c := &Call{TextID: textID, IdempotencyKey: idempotencyKey, Body: body, Timeout: timeout, Done: done}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

var (
	errCancelled   = errors.New("call cancelled")
	errTimeout     = errors.New("no response within the timeout")
	errConnLimit   = errors.New("too many connections")
	errConnDead    = errors.New("receiver closed the connection or sent unsolicited bytes before the call")
	errHeadTimeout = errors.New("the head of the answer does not end")
	errTooLate     = errors.New("it had its connection too late to leave")
)

// Cancel cancels the call and closes its connection.
func (c *Call) Cancel() { c.cancel(errCancelled) }

// CancelUnsent cancels the call if it still waits for its connection, so that it is certain not to run.
func (c *Call) CancelUnsent() {
	if c.sendState.CompareAndSwap(notStarted, withheld) {
		c.cancel(errCancelled)
	}
}

// startSending records that the call may be written from now on; false: it was withheld.
func (c *Call) startSending() bool {
	return c.sendState.CompareAndSwap(notStarted, sending) || c.sendState.Load() == sending
}

// roundTrip is the state of one try to send a call over one connection.
type roundTrip struct {
	conn                 *conn // nil until the transport has assigned one
	written, writeFailed atomic.Bool
}

// tryRoundTrip sends the call over one connection.
func (p *peer) tryRoundTrip(c *Call, first bool) (*roundTrip, *http.Response, error) {
	t := &roundTrip{}
	ctx := httptrace.WithClientTrace(c.ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.conn, _ = info.Conn.(*conn)
			// While the connection was being made, which may take a second on a lossy network, a Retry-After delay may
			// have been announced or the repeat window have ended: a call written now counts as sent now.
			var writeErr error
			if !(first && info.WasIdle) && c.MaySend != nil && !c.MaySend(c.ctx) || !c.startSending() {
				writeErr = errTooLate
			}
			t.conn.startCall(writeErr, func() { c.cancel(errHeadTimeout) })
		},
		WroteRequest: func(w httptrace.WroteRequestInfo) {
			if w.Err == nil {
				t.written.Store(true)
			} else {
				t.writeFailed.Store(true)
			}
		},
	})
	resp, err := p.transport.RoundTrip(c.request().WithContext(ctx)) // and no redirects
	return t, resp, err
}

// request returns the HTTP request of the call. It has no GetBody: otherwise http.Transport resends a request with an
// idempotency key by itself when its connection breaks, and the receiver counts that as a second call. An empty body is
// not http.NoBody for the same reason. The body's type is one that http.Transport knows to be in memory: head and
// body then go out in one write if they fit its buffer. With any other type the head is written first, and a call
// cancelled in between has begun at the receiver without being complete.
func (c *Call) request() *http.Request {
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: c.addr, Path: callPath},
		Host: c.addr, Header: http.Header{protocol.IDHeader: {c.TextID}, protocol.BudgetHeader: {formatSeconds(c.Timeout)}},
		Body: io.NopCloser(bytes.NewReader(c.Body)), ContentLength: int64(len(c.Body)),
	}
	if c.IdempotencyKey != "" {
		req.Header[protocol.IdempotencyKeyHeader] = []string{c.IdempotencyKey}
	}
	return req
}

// runCall makes the call and reports its result once.
func (p *peer) runCall(c *Call) {
	began := time.Now()
	timer := time.AfterFunc(c.Timeout, func() { c.cancel(errTimeout) })
	defer timer.Stop()
	defer c.cancel(nil)
	t, resp, err := p.tryRoundTrip(c, true)
	// Nothing of the call was written to a connection found dead: the next connection is tried.
	for tries := 0; err != nil && c.ctx.Err() == nil && tries < p.pool.limits.MaxCalls; tries++ {
		if _, writeErr := t.conn.callState(); writeErr != errConnDead {
			break
		}
		t, resp, err = p.tryRoundTrip(c, false)
	}
	took := time.Since(began)
	var r control.Result
	if err != nil {
		r = p.failedResult(c, t, err)
	} else {
		reused, _ := t.conn.callState()
		r = p.readResponse(resp, reused)
		// A response whose body does not match its length is not trusted: unless it reports a delivery, the call
		// counts as possibly run.
		if !c.discardBody(resp, p.pool.limits) && r.Outcome != control.Delivered {
			r = control.Result{Outcome: control.ConnectionLost, Report: r.Report}
		}
	}
	if p.removed.Load() {
		p.transport.CloseIdleConnections()
	}
	r.Took = protocol.Ticks(took)
	c.Done(r)
}

// failedResult returns the result of a call without a readable response.
func (p *peer) failedResult(c *Call, t *roundTrip, err error) control.Result {
	var r control.Result
	reused, writeErr := t.conn.callState()
	status, answered := t.conn.responseStatus()
	switch {
	case status == http.StatusOK: // the status line counts, whatever follows it
		r.Outcome, r.Final = control.Delivered, true
	case errors.Is(err, errConnLimit), writeErr != nil, endedLocally(context.Cause(c.ctx)) && t.conn.preventWrites():
		r.Outcome = control.Unsent
	default:
		r.Outcome = failureOutcome(context.Cause(c.ctx), t.conn != nil, t.written.Load() || answered, t.writeFailed.Load())
		broke := r.Outcome == control.ConnectionLost || r.Outcome == control.NoConnection
		r.StaleConn = reused && broke && !answered
		// A receiver that is only out of connections accepts and says so in a response.
		r.NotListening = r.Outcome == control.NoConnection && errors.Is(err, syscall.ECONNREFUSED)
	}
	if !errors.Is(err, errCancelled) {
		slog.Warn("call_failed", "part", "receivers", "text", c.TextID, "addr", c.addr, "outcome", r.Outcome, "kept", r.StaleConn, "err", err)
	}
	return r
}

// discardBody reads the rest of a response, so that the connection is free for the call that the result allows to be sent.
// It reports whether the body was complete within the limits of time and size; if not, the connection is dropped. With an
// unknown length it returns true and drops the connection, since surplus bytes could follow undetected.
func (c *Call) discardBody(resp *http.Response, limits config.Limits) bool {
	defer resp.Body.Close()
	if resp.ContentLength < 0 {
		return true
	}
	timer := time.AfterFunc(limits.DrainTimeout, func() { c.cancel(nil) })
	defer timer.Stop()
	n, err := io.CopyN(io.Discard, resp.Body, min(resp.ContentLength, limits.MaxBodyBytes)+1)
	return err == io.EOF && n == resp.ContentLength
}

// endedLocally reports whether the call was ended by a timeout or a cancellation on this side.
func endedLocally(cause error) bool {
	return errors.Is(cause, errTimeout) || errors.Is(cause, errCancelled)
}

// failureOutcome returns the outcome of a call without a response. Only a request that is certain to be incomplete is
// certain not to have run.
func failureOutcome(cause error, connected, written, writeFailed bool) control.Outcome {
	switch {
	case !connected, writeFailed && !written:
		return control.NoConnection
	case !written && !endedLocally(cause): // the transport finishes writing before it reports a broken connection
		return control.NoConnection
	case errors.Is(cause, errTimeout):
		return control.NoAnswer
	case errors.Is(cause, errCancelled):
		return control.Cancelled
	}
	return control.ConnectionLost
}

// readResponse returns the result that a response reports; reused: it came on a connection reused from an earlier call.
func (p *peer) readResponse(resp *http.Response, reused bool) control.Result {
	r := control.Result{Report: p.parseReport(resp.Header.Get(reportHeader))}
	switch resp.StatusCode {
	case http.StatusOK:
		r.Outcome, r.Final = control.Delivered, true
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.Outcome = control.Refused
		if resp.Header.Get(unsentHeader) == "1" {
			r.Outcome = control.Unsent
		}
		if v := resp.Header.Get(retryAfterHeader); v != "" && r.Outcome == control.Refused {
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
	// A receiver at its connection limit refuses on the new connection, without a load report, and closes it.
	r.ConnLimitReached = r.Outcome == control.Refused && !reused && resp.Close && r.RetryAfter == 0 && r.Report == nil
	return r
}

// parseReport parses "name=value,..." into the order of reportNames; a missing value is NaN.
func (p *peer) parseReport(header string) []float64 {
	if header == "" {
		return nil
	}
	values := make([]float64, len(p.pool.reportNames))
	for i := range values {
		values[i] = math.NaN()
	}
	for _, pair := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			slog.Warn("bad_report", "part", "receivers", "value", header)
			return nil
		}
		for i, n := range p.pool.reportNames {
			if n == name {
				values[i] = v
			}
		}
	}
	return values
}

// formatSeconds formats a duration in seconds with four decimals, rounded down.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(math.Floor(max(0, d).Seconds()*1e4)/1e4, 'f', 4, 64)
}

// dial opens a connection if the limit allows one more.
func (p *peer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if !p.pool.reserveConn(p) {
		return nil, fmt.Errorf("%w: %d", errConnLimit, p.pool.limits.MaxReceiverConns)
	}
	p.pool.dials.Add(1)
	d := net.Dialer{Timeout: p.pool.limits.DialTimeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		p.pool.openConns.Add(-1)
		return nil, err
	}
	return &conn{Conn: c, pool: p.pool}, nil
}
