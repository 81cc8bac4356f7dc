package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/proxy/outbound"
)

const (
	// maxBufferedResponseBytes is the longest body that is read completely before the head of its response is written.
	maxBufferedResponseBytes = 1 << 20
	// copyBufferBytes is the size of the copy buffer for longer bodies.
	copyBufferBytes = 32 << 10
	// writeDeadlineThresholdBytes is the body size above which a client that does not read can block the write, which
	// therefore needs a deadline.
	writeDeadlineThresholdBytes = 16 << 10
	// writeGrace extends the deadline for writing the end of a response.
	writeGrace = 200 * time.Millisecond
)

// forwardResponse forwards a response once it has been read completely, so that a truncated one is never started. A long
// one is forwarded as it arrives.
func (h *requestHandler) forwardResponse(
	send *dispatch.Send, response *outbound.Response, start time.Time, firstByte time.Duration,
) (responseEnd, bool) {
	body, err := h.proxy.bodyMemory.readBody(response.Body, response.ContentLength, maxBufferedResponseBytes)
	defer body.release()
	switch {
	case response.Complete():
		return h.forwardBuffered(send, response, body.bytes(), start, firstByte)
	case err == nil:
		err = io.ErrUnexpectedEOF
	case errors.Is(err, errTooLarge), errors.Is(err, errMemoryLimit):
		return h.forwardUnbuffered(send, response, body.bytes(), start, firstByte)
	}
	return h.attemptFailed(send, start, firstByte, err)
}

func (h *requestHandler) forwardBuffered(
	send *dispatch.Send, response *outbound.Response, body []byte, start time.Time, firstByte time.Duration,
) (responseEnd, bool) {
	length := int64(len(body))
	if h.request.Method == http.MethodHead {
		length = response.ContentLength
	}
	kind := statusOutcome(response.Status)
	// The receiver is free: the dispatcher is told before the write to the client, which may block.
	response.Close()
	h.proxy.admission.requestEnded(send, dispatch.Outcome{Kind: kind, TimeToFirstByte: firstByte, Duration: time.Since(start)})
	h.startResponse(response, length)
	if len(body) > writeDeadlineThresholdBytes {
		h.flusher.SetWriteDeadline(h.deadline.Add(writeGrace))
		defer h.flusher.SetWriteDeadline(time.Time{})
	}
	if _, err := h.writer.Write(body); err != nil && len(body) > 0 {
		return h.writeFailed(err), true
	}
	return responseComplete, true
}

func statusOutcome(status int) dispatch.OutcomeKind {
	if status >= http.StatusInternalServerError {
		return dispatch.ErrorResponse
	}
	return dispatch.Success
}

// startResponse writes the head of the receiver's response. length is the body's length; -1: chunked.
func (h *requestHandler) startResponse(response *outbound.Response, length int64) {
	h.responseStarted = true
	header := h.writer.Header()
	copyResponseHeader(header, response.Header)
	if length >= 0 && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	h.writeHead(response.Status)
}

// forwardUnbuffered forwards the part of a body that was read and then the rest. If the receiver's connection breaks, the
// response is aborted: the client misses part of the announced length or the last chunk.
func (h *requestHandler) forwardUnbuffered(
	send *dispatch.Send, response *outbound.Response, prefix []byte, start time.Time, firstByte time.Duration,
) (responseEnd, bool) {
	h.startResponse(response, response.ContentLength)
	response.SetDeadline(h.deadline)
	h.proxy.admission.responseStarted(h.pending)
	h.flusher.SetWriteDeadline(h.deadline.Add(writeGrace))
	defer h.flusher.SetWriteDeadline(time.Time{})
	if _, err := h.writer.Write(prefix); err != nil {
		return h.finishAttempt(send, start, firstByte, dispatch.Cancelled, h.writeFailed(err))
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if _, writeErr := h.writer.Write(buffer[:n]); writeErr != nil && n > 0 {
			return h.finishAttempt(send, start, firstByte, dispatch.Cancelled, h.writeFailed(writeErr))
		}
		switch {
		case err == io.EOF:
			return h.finishAttempt(send, start, firstByte, statusOutcome(response.Status), responseComplete)
		case err != nil:
			return h.finishAttempt(send, start, firstByte, h.bodyFailureOutcome(err), h.abort(h.bodyFailureCause()))
		}
	}
}

// bodyFailureOutcome returns how the body of a started response failed.
func (h *requestHandler) bodyFailureOutcome(err error) dispatch.OutcomeKind {
	switch {
	case h.request.Context().Err() != nil:
		return dispatch.Cancelled
	case isTimeout(err):
		return dispatch.TimedOut
	}
	return dispatch.TransportError
}
