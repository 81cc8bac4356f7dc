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

// headerPriority tells a receiver in which order to run its requests.
const headerPriority = "Priority"

// minAttemptTime is the least time given to a receiver, as its deadline header is in whole milliseconds.
const minAttemptTime = time.Millisecond

// attempt sends the request to one receiver and forwards its response. If done is true, the request has ended with end.
func (h *requestHandler) attempt(send *dispatch.Send) (end responseEnd, done bool) {
	start := time.Now()
	deadline := earlier(h.deadline, start.Add(send.Timeout))
	if deadline.Sub(start) < minAttemptTime {
		h.proxy.admission.requestEnded(send, dispatch.Outcome{Kind: dispatch.NotConnected})
		return h.respondExpired(), true
	}
	response, err := h.proxy.pool.Exchange(h.request.Context(), send.Address, h.outboundRequest(send, deadline.Sub(start)), deadline)
	firstByte := time.Since(start)
	if err != nil {
		return h.attemptFailed(send, start, 0, err)
	}
	defer response.Close()
	if response.NotExecuted() {
		io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBodyBytes)) // so that the connection can be reused
		h.proxy.admission.attemptEnded(send, dispatch.Outcome{
			Kind: refusalOutcome(send, response), RetryAfter: response.RetryAfter(), Duration: time.Since(start),
		})
		return responseComplete, false
	}
	h.mayHaveRun = true
	if err := checkResponse(response); err != nil {
		return h.attemptFailed(send, start, firstByte, err)
	}
	switch {
	case h.route.Kind == routing.Streaming && response.Status == http.StatusOK:
		return h.forwardStream(send, response, start)
	case h.responseStarted:
		// A started stream can be resumed only by a stream.
		return h.finishAttempt(send, start, firstByte, dispatch.ErrorResponse, h.abort(abortNotAStream))
	}
	return h.forwardResponse(send, response, start, firstByte)
}

// refusalOutcome distinguishes a receiver that has taken over another's address from one that is full or has other
// model weights.
func refusalOutcome(send *dispatch.Send, response *outbound.Response) dispatch.OutcomeKind {
	if response.Status == http.StatusMisdirectedRequest && response.Header.Get(headerInstance) != string(send.Instance) {
		return dispatch.Misdirected
	}
	return dispatch.Full
}

// maxRefusalBodyBytes bounds how much of a refusal's body is read and discarded.
const maxRefusalBodyBytes = 4 << 10

// outboundRequest returns the request as sent to this receiver.
func (h *requestHandler) outboundRequest(send *dispatch.Send, remaining time.Duration) *outbound.Request {
	extra := make([]outbound.HeaderField, 0, 4)
	extra = append(extra,
		outbound.HeaderField{Name: headerDeadline, Value: strconv.FormatInt(remaining.Milliseconds(), 10)},
		outbound.HeaderField{Name: headerExpectInstance, Value: string(send.Instance)},
	)
	header := h.request.Header
	if h.engine() != nil && send.Priority != dispatch.DefaultPriority && header.Get(headerPriority) == "" {
		extra = append(extra, outbound.HeaderField{Name: headerPriority, Value: strconv.Itoa(send.Priority)})
	}
	if h.lastEventRawID != "" {
		header[headerLastEvent] = []string{h.lastEventRawID}
	}
	return &outbound.Request{
		ID: h.id, Method: h.request.Method, Target: h.request.RequestURI, Host: h.request.Host,
		Header: header, ExtraFields: extra, BodyPrefix: h.history, Body: h.body.bytes(), HasBody: h.hasBody,
		Earlier: &h.connections,
	}
}

var (
	errNoStamp            = errors.New("success response has no server stamp")
	errUnconfirmedRefusal = errors.New("refusal status without confirmation that the request was not executed")
)

// checkResponse returns why a response must not be forwarded: a success needs the receiver's stamp, and a status that
// means "not executed" needs the receiver's confirmation, as the client would take it as the proxy's own statement.
func checkResponse(response *outbound.Response) error {
	switch {
	case response.Status < 300 && response.Header.Get(headerStamp) == "":
		return errNoStamp
	case claimsNotExecuted(response.Status):
		return errUnconfirmedRefusal
	}
	return nil
}

// attemptFailed reports an attempt without a usable response to the dispatcher. If the client has gone, the deadline has
// passed or the stream cannot be resumed, the request ends; otherwise the dispatcher decides.
func (h *requestHandler) attemptFailed(send *dispatch.Send, start time.Time, firstByte time.Duration, err error) (responseEnd, bool) {
	outcome := dispatch.Outcome{Kind: dispatch.TransportError, TimeToFirstByte: firstByte, Duration: time.Since(start)}
	h.mayHaveRun = h.mayHaveRun || outbound.MaybeSent(err)
	switch {
	case h.clientGone():
		outcome.Kind = dispatch.Cancelled
		h.proxy.admission.requestEnded(send, outcome)
		return responseAborted, true
	case h.canceledByShutdown():
		outcome.Kind = dispatch.Cancelled
		h.proxy.admission.requestEnded(send, outcome)
		return h.respondExpired(), true
	case errors.Is(err, outbound.ErrConnectionLimit):
		outcome.Kind = dispatch.Full
	case !outbound.MaybeSent(err):
		outcome.Kind = dispatch.NotConnected
	case isTimeout(err):
		outcome.Kind = dispatch.TimedOut
	default:
		h.proxy.failures.attemptFailed(string(send.Instance), h.id, err)
	}
	if h.responseStarted && h.eventWithoutID {
		h.proxy.admission.requestEnded(send, outcome)
		return h.abort(abortNotResumable), true
	}
	if !time.Now().Before(h.deadline) {
		h.proxy.admission.requestEnded(send, outcome)
		return h.respondExpired(), true
	}
	h.proxy.admission.attemptEnded(send, outcome)
	return responseComplete, false
}

// finishAttempt reports an attempt that ends the request to the dispatcher.
func (h *requestHandler) finishAttempt(
	send *dispatch.Send, start time.Time, firstByte time.Duration, kind dispatch.OutcomeKind, end responseEnd,
) (responseEnd, bool) {
	h.proxy.admission.requestEnded(send, dispatch.Outcome{Kind: kind, TimeToFirstByte: firstByte, Duration: time.Since(start)})
	return end, true
}

// isConnectionLost reports whether an error means that the peer has gone: the connection was closed, reset or timed out,
// or the request's context was canceled.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, context.Canceled)
}
