package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/proxy/outbound"
	"emberquay/internal/tier/routing"
)

// headerPriority tells a receiver which of its requests go first.
const headerPriority = "Priority"

// leastLeft is the least time that a receiver is given: what it hears rounds to whole milliseconds.
const leastLeft = time.Millisecond

// attempt sends the request to one receiver and passes its answer on. over: the visit has ended, as told.
func (v *visit) attempt(send *dispatch.Send) (end ending, over bool) {
	began := time.Now()
	until := earlier(v.deadline, began.Add(send.Timeout))
	if until.Sub(began) < leastLeft {
		v.proxy.admission.finished(send, dispatch.Outcome{Kind: dispatch.NotConnected})
		return v.expire(), true
	}
	answer, err := v.proxy.pool.Exchange(v.request.Context(), send.Address, v.outgoing(send, until.Sub(began)), until)
	first := time.Since(began)
	if err != nil {
		return v.failed(send, began, 0, err)
	}
	defer answer.Close()
	if answer.NotExecuted() {
		io.Copy(io.Discard, io.LimitReader(answer.Body, refusalBody)) // so that its connection is kept
		v.proxy.admission.answered(send, dispatch.Outcome{
			Kind: refusalKind(send, answer), RetryAfter: answer.RetryAfter(), Took: time.Since(began),
		})
		return complete, false
	}
	v.sent = true
	if err := unusable(answer); err != nil {
		return v.failed(send, began, first, err)
	}
	switch {
	case v.route.Kind == routing.Streaming && answer.Status == http.StatusOK:
		return v.passStream(send, answer, began)
	case v.begun:
		// A stream goes on only as a stream.
		return v.ended(send, began, first, dispatch.ErrorAnswer, v.cut(cutNoStream))
	}
	return v.passPlain(send, answer, began, first)
}

// refusalKind tells a receiver that has the address of another from one that is full, or has other weights.
func refusalKind(send *dispatch.Send, answer *outbound.Response) dispatch.OutcomeKind {
	if answer.Status == http.StatusMisdirectedRequest && answer.Header.Get(headerInstance) != string(send.Instance) {
		return dispatch.Elsewhere
	}
	return dispatch.Full
}

// refusalBody is how much of a refusal's body is read away.
const refusalBody = 4 << 10

// outgoing is the request as this receiver gets it.
func (v *visit) outgoing(send *dispatch.Send, left time.Duration) *outbound.Request {
	extra := make([]outbound.HeaderField, 0, 4)
	extra = append(extra,
		outbound.HeaderField{Name: headerDeadline, Value: strconv.FormatInt(left.Milliseconds(), 10)},
		outbound.HeaderField{Name: headerExpectInstance, Value: string(send.Instance)},
	)
	header := v.request.Header
	if v.engine() != nil && send.Priority != dispatch.DefaultPriority && header.Get(headerPriority) == "" {
		extra = append(extra, outbound.HeaderField{Name: headerPriority, Value: strconv.Itoa(send.Priority)})
	}
	if v.lastText != "" {
		header[headerLastEvent] = []string{v.lastText}
	}
	return &outbound.Request{
		ID: v.id, Method: v.request.Method, Target: v.request.RequestURI, Host: v.request.Host,
		Header: header, ExtraFields: extra, BodyPrefix: v.history, Body: v.body.bytes(), HasBody: v.framed,
	}
}

var (
	errNoStamp     = errors.New("a success without the receiver's stamp")
	errFalsePledge = errors.New("a refusal that does not say that nothing ran")
)

// unusable says why an answer must not be passed on: a success needs its stamp, and a status that promises that nothing
// ran would make the promise ours, though the receiver does not state it.
func unusable(answer *outbound.Response) error {
	switch {
	case answer.Status < 300 && answer.Header.Get(headerStamp) == "":
		return errNoStamp
	case promises(answer.Status):
		return errFalsePledge
	}
	return nil
}

// failed tells the dispatcher of an attempt without a usable answer. Where the client has gone or the time is over, the
// visit ends; else the dispatcher decides.
func (v *visit) failed(send *dispatch.Send, began time.Time, first time.Duration, err error) (ending, bool) {
	outcome := dispatch.Outcome{Kind: dispatch.Broken, FirstByte: first, Took: time.Since(began)}
	v.sent = v.sent || outbound.MaybeSent(err)
	switch {
	case v.clientGone():
		outcome.Kind = dispatch.Cancelled
		v.proxy.admission.finished(send, outcome)
		return cut, true
	case v.givenUp():
		outcome.Kind = dispatch.Cancelled
		v.proxy.admission.finished(send, outcome)
		return v.expire(), true
	case errors.Is(err, outbound.ErrConnectionLimit):
		outcome.Kind = dispatch.Full
	case !outbound.MaybeSent(err):
		outcome.Kind = dispatch.NotConnected
	case isTimeout(err):
		outcome.Kind = dispatch.TimedOut
	default:
		v.proxy.failures.broke(string(send.Instance), v.id, err)
	}
	if v.begun && v.unnamed {
		v.proxy.admission.finished(send, outcome)
		return v.cut(cutUnresumable), true
	}
	if !time.Now().Before(v.deadline) {
		v.proxy.admission.finished(send, outcome)
		return v.expire(), true
	}
	v.proxy.admission.answered(send, outcome)
	return complete, false
}

// ended tells the dispatcher of an attempt that ends the visit.
func (v *visit) ended(send *dispatch.Send, began time.Time, first time.Duration, kind dispatch.OutcomeKind, end ending) (ending, bool) {
	v.proxy.admission.finished(send, dispatch.Outcome{Kind: kind, FirstByte: first, Took: time.Since(began)})
	return end, true
}

// brokeOff says whether an error means that the other side of a connection has gone.
func brokeOff(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, context.Canceled)
}
