package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/routing"
)

// requestHandler is one request of a client on its way. It belongs to the goroutine of its handler.
type requestHandler struct {
	proxy           *Proxy
	writer          http.ResponseWriter
	flusher         *http.ResponseController
	request         *http.Request
	closeConnection bool // the client is asked to come on another connection next
	snapshot        *routing.Snapshot
	route           *routing.Route
	service         string

	id       string
	arrived  time.Time
	deadline time.Time // of the client or the route, whichever is sooner
	usage    tokenUsage

	body         bufferedBody
	history      []byte // in front of the body, for receivers
	hasBody      bool   // a body was announced
	historyBytes int64  // bytes of memory taken for history
	turn         *turn

	pending         *pendingRequest
	maybeExecuted   bool   // a receiver may have run it
	responseStarted bool   // part of an answer has gone to the client
	lastEventID     uint64 // of the events passed on
	lastEventRawID  string // the same as it came; "" before the first
	eventWithoutID  bool   // an event without an id was passed on: no other receiver could go on behind it
}

// responseEnd is how a visit ends for its client's connection.
type responseEnd int

const (
	responseComplete responseEnd = iota
	responseAborted              // the connection is closed, so that nothing looks complete
)

// serve carries the request from its head to the end of its answer.
func (h *requestHandler) serve() responseEnd {
	if status := h.readRequest(); status != 0 {
		if status == statusClientClosed {
			return responseAborted
		}
		return h.respond(status, unavailableRetryAfter)
	}
	defer h.release()
	if !h.proxy.canFinishBy(h.deadline) {
		return h.respond(http.StatusServiceUnavailable, stoppingRetryAfter)
	}
	return h.forward()
}

// unavailableRetryAfter is told to clients that come before a configuration is known, or while no memory is left.
const unavailableRetryAfter = 300 * time.Millisecond

// statusClientClosed stands for a client that broke off.
const statusClientClosed = -1

// readRequest takes in the request up to the end of its body. A status other than 0 is the answer.
func (h *requestHandler) readRequest() int {
	if h.snapshot == nil {
		return http.StatusServiceUnavailable
	}
	if !h.request.ProtoAtLeast(1, 1) {
		// An answer of unknown length ends there with the connection: one that is cut would look complete.
		return http.StatusHTTPVersionNotSupported
	}
	route, ok := h.snapshot.Match(h.request.Host, rawPath(h.request.RequestURI))
	if !ok {
		return http.StatusNotFound
	}
	h.route = route
	ids := h.request.Header[headerRequestID]
	if len(ids) != 1 || ids[0] == "" {
		return http.StatusBadRequest
	}
	h.id = ids[0]
	h.usage = parseTokenUsage(h.request.Header.Get(headerTokenUsage))
	h.deadline = h.arrived.Add(route.Timeout)
	if wait, given := parseMilliseconds(h.request.Header, headerDeadline); given {
		h.deadline = earlier(h.deadline, h.arrived.Add(wait))
	}
	h.service = h.proxy.chooseService(route)
	return h.readBody()
}

// rawPath is the path as the client sent it.
func rawPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	// The absolute form, which servers must take (RFC 9112, 3.2.2).
	if _, rest, ok := strings.Cut(path, "://"); ok {
		if slash := strings.IndexByte(rest, '/'); slash >= 0 {
			return rest[slash:]
		}
		return "/"
	}
	return path
}

func (h *requestHandler) readBody() int {
	r := h.request
	h.hasBody = r.ContentLength != 0 || len(r.Header["Content-Length"]) > 0
	if r.ContentLength == 0 {
		return 0
	}
	h.flusher.SetReadDeadline(h.deadline)
	body, err := h.proxy.bodyMemory.readBody(r.Body, r.ContentLength, int64(h.snapshot.Limits.MaxBodyBytes))
	// A deadline that is left standing would end the watch for a client that goes.
	h.flusher.SetReadDeadline(time.Time{})
	h.body = body
	if err == nil {
		return 0
	}
	h.body.release()
	h.closeConnection = true // the rest of the body is still to come
	switch {
	case errors.Is(err, errTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errMemoryLimit):
		return http.StatusServiceUnavailable
	case isTimeout(err):
		return http.StatusRequestTimeout
	case h.clientGone() || isConnectionLost(err):
		return statusClientClosed
	}
	return http.StatusBadRequest
}

// release gives back what the request holds.
func (h *requestHandler) release() {
	h.turn.settle()
	h.body.release()
	if h.historyBytes > 0 {
		h.proxy.bodyMemory.release(h.historyBytes)
	}
}

// forward has the request answered by a receiver, or refuses it.
func (h *requestHandler) forward() responseEnd {
	if status, wait := h.prepareTurn(); status != 0 {
		return h.respond(status, wait)
	}
	if h.engine() != nil {
		h.proxy.reportPoller.noteRequest(h.service, h.arrived)
	}
	prepareRequestHeader(h.request.Header, h.id)
	h.pending = h.proxy.admission.submit(h.dispatchRequest())
	for {
		d, ok := h.proxy.admission.await(h.request.Context(), h.pending, h.decisionDeadline())
		switch {
		case !ok && h.clientGone():
			return responseAborted
		case !ok:
			return h.respondExpired()
		case d.send == nil:
			return h.respondRefused(d.refusal)
		}
		if end, done := h.attempt(d.send); done {
			return end
		}
	}
}

// resumeTimeout is how long a stream that has begun waits for another receiver. Its client gives it up after two seconds of
// silence; cut before, it comes back and may find another sender with a free receiver.
const resumeTimeout = time.Second

// decisionDeadline is how long the dispatcher's next decision is worth waiting for.
func (h *requestHandler) decisionDeadline() time.Time {
	if h.responseStarted {
		return earlier(h.deadline, time.Now().Add(resumeTimeout))
	}
	return h.deadline
}

// prepareTurn does what a turn needs before it is sent. A status other than 0 is the answer, with its wait.
func (h *requestHandler) prepareTurn() (status int, wait time.Duration) {
	if h.route.Kind != routing.Streaming {
		return 0, 0
	}
	t, ok := h.newTurn()
	switch {
	case !ok:
		return http.StatusBadRequest, 0
	case t == nil:
		return 0, 0
	case t.retained && h.request.Header.Get(headerLastEvent) != "":
		// The first part of such an answer went out under another id: this one alone would be kept as the turn.
		return http.StatusServiceUnavailable, storeRetryAfter
	}
	h.turn = t
	if status = h.prepare(t); status == http.StatusServiceUnavailable {
		wait = storeRetryAfter
	}
	return status, wait
}

// dispatchRequest is what the dispatcher decides by.
func (h *requestHandler) dispatchRequest() dispatch.Request {
	header := h.request.Header
	finish, _ := parseMilliseconds(header, headerFinish)
	return dispatch.Request{
		Service:       h.service,
		Route:         h.route.Name,
		Kind:          dispatchKind(h.route.Kind),
		Resumable:     h.route.Resumable,
		Priority:      h.route.Priority,
		Deadline:      h.proxy.admission.instant(h.deadline),
		Timeout:       h.route.Timeout,
		TargetLatency: h.route.TargetLatency,
		MaxAttempts:   h.route.MaxAttempts,
		Prefix:        parsePromptPrefix(header.Get(headerPromptPrefix)),
		TokensIn:      h.usage.promptTokens,
		TokensOut:     h.usage.maxOutputTokens,
		Program:       header.Get(headerProgram),
		Session:       header.Get(headerSession),
		Begun:         header.Get(headerPrevious) != "" || h.route.Kind != routing.Streaming && header.Get(headerProgram) != "",
		Finish:        finish,
		Turn:          h.route.Kind == routing.Streaming && header.Get(headerProgram) != "",
	}
}

func dispatchKind(kind routing.Kind) dispatch.Kind {
	switch kind {
	case routing.Safe:
		return dispatch.Safe
	case routing.Streaming:
		return dispatch.Streaming
	}
	return dispatch.Unsafe
}

// respondExpired ends a request whose time, or that of the process, is over.
func (h *requestHandler) respondExpired() responseEnd {
	if h.maybeExecuted {
		return h.respond(http.StatusGatewayTimeout, 0)
	}
	if h.canceledByShutdown() {
		return h.respond(http.StatusServiceUnavailable, stoppingRetryAfter)
	}
	return h.respond(http.StatusServiceUnavailable, 0)
}

// resumeFailureCause is why a stream that has begun ends without another receiver.
func (h *requestHandler) resumeFailureCause() abortCause {
	if cause := h.bodyFailureCause(); cause != abortReceiverFailed {
		return cause
	}
	return abortNotResumed
}

// respondRefused answers as the dispatcher says, but never promises that nothing ran where something may have.
func (h *requestHandler) respondRefused(refusal dispatch.Refuse) responseEnd {
	status := refusal.Status
	if (h.maybeExecuted || refusal.Executed) && claimsNotExecuted(status) {
		status = http.StatusBadGateway
	}
	return h.respond(status, refusal.RetryAfter)
}

// claimsNotExecuted says whether a status states that the request has not run and never will.
func claimsNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// abort ends the answer before it is complete, for a reason that is logged where the client still waits.
func (h *requestHandler) abort(cause abortCause) responseEnd {
	if !h.clientGone() {
		h.proxy.failures.responseAborted(h, cause)
	}
	return responseAborted
}

// writeFailed ends an answer that could not be written: the client has gone, or did not read in time.
func (h *requestHandler) writeFailed(err error) responseEnd {
	if isTimeout(err) {
		return h.abort(abortWriteTimeout)
	}
	return responseAborted
}

// bodyFailureCause is why an answer that has begun cannot go on, and no other receiver may take it up.
func (h *requestHandler) bodyFailureCause() abortCause {
	switch {
	case h.canceledByShutdown():
		return abortShutdown
	case !time.Now().Before(h.deadline):
		return abortDeadlineExceeded
	}
	return abortReceiverFailed
}

// respond gives an answer of our own. Where part of a receiver's answer has gone out, only the cut is left.
func (h *requestHandler) respond(status int, retryAfter time.Duration) responseEnd {
	if h.responseStarted {
		return h.abort(h.resumeFailureCause())
	}
	h.responseStarted = true
	header := h.writer.Header()
	suppressDefaultHeaders(header)
	if retryAfter > 0 && status == http.StatusServiceUnavailable {
		header["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	header["Content-Length"] = []string{"0"}
	h.writeHead(status)
	return responseComplete
}

// writeHead ends the head of the answer.
func (h *requestHandler) writeHead(status int) {
	if h.closeConnection || h.proxy.stopping.Load() {
		h.writer.Header()["Connection"] = []string{"close"}
	}
	h.writer.WriteHeader(status)
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
