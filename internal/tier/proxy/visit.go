package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/proxy/outbound"
	"emberquay/internal/tier/routing"
)

// requestHandler handles one client request. It is used only by the goroutine of its HTTP handler.
type requestHandler struct {
	proxy           *Proxy
	writer          http.ResponseWriter
	flusher         *http.ResponseController
	request         *http.Request
	closeConnection bool // the response carries Connection: close
	snapshot        *routing.Snapshot
	route           *routing.Route
	service         string

	id       string
	arrived  time.Time
	deadline time.Time // of the client or the route, whichever is earlier
	usage    tokenUsage

	body         bufferedBody
	history      []byte // sent to receivers in front of the body
	hasBody      bool   // the client announced a body, possibly empty
	historyBytes int64  // reserved for history in the memory budget
	turn         *turn

	connections     outbound.Connections // that carried the request to receivers
	pending         *pendingRequest
	mayHaveRun      bool   // a receiver may have run the request
	responseStarted bool   // the response head has been written to the client
	lastEventID     uint64 // of the last event forwarded
	lastEventRawID  string // the same as received; "" before the first
	eventWithoutID  bool   // an event without an id was forwarded
}

// responseEnd says how the response ended.
type responseEnd int

const (
	responseComplete responseEnd = iota
	responseAborted              // the connection must be closed, so that the response does not look complete
)

// serve handles the request to the end of its response.
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

// unavailableRetryAfter is the Retry-After value sent before the first configuration, or while the memory for bodies is
// used up.
const unavailableRetryAfter = 300 * time.Millisecond

// statusClientClosed stands for a request whose client closed the connection; nothing is answered.
const statusClientClosed = -1

// readRequest matches the request to a route and reads its body. If it returns a status other than 0, the request is
// answered with it.
func (h *requestHandler) readRequest() int {
	if h.snapshot == nil {
		return http.StatusServiceUnavailable
	}
	if !h.request.ProtoAtLeast(1, 1) {
		// In HTTP/1.0 the end of the connection ends a response of unknown length: an aborted one would look complete.
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

// rawPath returns the undecoded path of a request target.
func rawPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	// The absolute form, which servers must accept (RFC 9112, 3.2.2).
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
	// A remaining read deadline would end net/http's background read, which detects that the client has gone.
	h.flusher.SetReadDeadline(time.Time{})
	h.body = body
	if err == nil {
		return 0
	}
	h.body.release()
	h.closeConnection = true // the rest of the body is unread
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

// release settles the turn and releases the memory of the request.
func (h *requestHandler) release() {
	h.turn.settle()
	h.body.release()
	if h.historyBytes > 0 {
		h.proxy.bodyMemory.release(h.historyBytes)
	}
}

// forward sends the request to receivers as the dispatcher decides, until it is answered.
func (h *requestHandler) forward() responseEnd {
	if status, wait := h.prepareTurn(); status != 0 {
		return h.respond(status, wait)
	}
	if h.engine() != nil {
		h.proxy.reportPoller.recordRequest(h.service, h.arrived)
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

// resumeTimeout is how long a started stream waits for another receiver. Clients give up after two seconds without
// data; a client whose stream is aborted earlier retries and may find another proxy with a free receiver.
const resumeTimeout = time.Second

// decisionDeadline returns until when to wait for the dispatcher's next decision.
func (h *requestHandler) decisionDeadline() time.Time {
	if h.responseStarted {
		return earlier(h.deadline, time.Now().Add(resumeTimeout))
	}
	return h.deadline
}

// prepareTurn prepares a request that is a turn. If it returns a status other than 0, the request is answered with it and
// with retryAfter.
func (h *requestHandler) prepareTurn() (status int, retryAfter time.Duration) {
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
		// The first part of the output was sent under another request id; committing would store only the rest of the turn.
		return http.StatusServiceUnavailable, storeRetryAfter
	}
	h.turn = t
	if status = h.prepare(t); status == http.StatusServiceUnavailable {
		retryAfter = storeRetryAfter
	}
	return status, retryAfter
}

// dispatchRequest returns the properties of the request that the dispatcher decides by.
func (h *requestHandler) dispatchRequest() dispatch.Request {
	header := h.request.Header
	finish, _ := parseMilliseconds(header, headerFinish)
	return dispatch.Request{
		Service:         h.service,
		Route:           h.route.Name,
		Kind:            dispatchKind(h.route.Kind),
		Resumable:       h.route.Resumable,
		Priority:        h.route.Priority,
		Deadline:        h.proxy.admission.instant(h.deadline),
		Timeout:         h.route.Timeout,
		TargetLatency:   h.route.TargetLatency,
		MaxAttempts:     h.route.MaxAttempts,
		Prefix:          parsePromptPrefix(header.Get(headerPromptPrefix)),
		InputTokens:     h.usage.promptTokens,
		MaxOutputTokens: h.usage.maxOutputTokens,
		Program:         header.Get(headerProgram),
		Session:         header.Get(headerSession),
		ProgramStarted:  header.Get(headerPrevious) != "" || h.route.Kind != routing.Streaming && header.Get(headerProgram) != "",
		ProgramTimeLeft: finish,
		IsTurn:          h.route.Kind == routing.Streaming && header.Get(headerProgram) != "",
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

// respondExpired answers a request whose deadline has passed, or that the end of the shutdown canceled.
func (h *requestHandler) respondExpired() responseEnd {
	if h.mayHaveRun {
		return h.respond(http.StatusGatewayTimeout, 0)
	}
	if h.canceledByShutdown() {
		return h.respond(http.StatusServiceUnavailable, stoppingRetryAfter)
	}
	return h.respond(http.StatusServiceUnavailable, 0)
}

// resumeFailureCause returns why a started stream was not resumed at another receiver.
func (h *requestHandler) resumeFailureCause() abortCause {
	if cause := h.bodyFailureCause(); cause != abortReceiverFailed {
		return cause
	}
	return abortNotResumed
}

// respondRefused answers with the dispatcher's refusal. If the request may have run, a status that would state the
// opposite is replaced by 502.
func (h *requestHandler) respondRefused(refusal dispatch.Refusal) responseEnd {
	status := refusal.Status
	if (h.mayHaveRun || refusal.MayHaveRun) && claimsNotExecuted(status) {
		status = http.StatusBadGateway
	}
	return h.respond(status, refusal.RetryAfter)
}

// claimsNotExecuted reports whether a status states that the request has not run and never will.
func claimsNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// abort ends the response before it is complete, and logs the cause if the client is still connected.
func (h *requestHandler) abort(cause abortCause) responseEnd {
	if !h.clientGone() {
		h.proxy.failures.responseAborted(h, cause)
	}
	return responseAborted
}

// writeFailed ends a response that could not be written: the client has gone, or did not read in time.
func (h *requestHandler) writeFailed(err error) responseEnd {
	if isTimeout(err) {
		return h.abort(abortWriteTimeout)
	}
	return responseAborted
}

// bodyFailureCause returns why a started response that cannot be resumed has ended.
func (h *requestHandler) bodyFailureCause() abortCause {
	switch {
	case h.canceledByShutdown():
		return abortShutdown
	case !time.Now().Before(h.deadline):
		return abortDeadlineExceeded
	}
	return abortReceiverFailed
}

// respond answers the request with a status of the proxy's own. If a receiver's response has been started, it can only
// be aborted.
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

// writeHead writes the head of the response, with Connection: close where the client should reconnect.
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
