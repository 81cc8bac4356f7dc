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
	// bufferedAnswer is the longest body that is read whole before the head of its answer goes out.
	bufferedAnswer = 1 << 20
	// copyBuffer is for longer ones.
	copyBuffer = 32 << 10
	// slowClient is the size from which a client that does not read may hold us up.
	slowClient = 16 << 10
	// writeSlack is granted past the deadline for the last bytes of an answer.
	writeSlack = 200 * time.Millisecond
)

// passPlain passes an answer on once it is here whole, so that one that breaks off is never begun; a long one goes on
// as it comes.
func (v *visit) passPlain(send *dispatch.Send, answer *outbound.Response, began time.Time, first time.Duration) (ending, bool) {
	body, err := v.proxy.memory.hold(answer.Body, answer.ContentLength, bufferedAnswer)
	defer body.release()
	switch {
	case answer.Complete():
		return v.passWhole(send, answer, body.bytes(), began, first)
	case err == nil:
		err = io.ErrUnexpectedEOF
	case errors.Is(err, errTooLarge), errors.Is(err, errNoMemory):
		return v.passLong(send, answer, body.bytes(), began, first)
	}
	return v.failed(send, began, first, err)
}

func (v *visit) passWhole(send *dispatch.Send, answer *outbound.Response, body []byte, began time.Time, first time.Duration) (ending, bool) {
	length := int64(len(body))
	if v.request.Method == http.MethodHead {
		length = answer.ContentLength
	}
	kind := answerKind(answer.Status)
	// The receiver is free: it is told before the client's connection may hold us up.
	answer.Close()
	v.proxy.admission.finished(send, dispatch.Outcome{Kind: kind, FirstByte: first, Took: time.Since(began)})
	v.head(answer, length)
	if len(body) > slowClient {
		v.flusher.SetWriteDeadline(v.deadline.Add(writeSlack))
		defer v.flusher.SetWriteDeadline(time.Time{})
	}
	if _, err := v.writer.Write(body); err != nil && len(body) > 0 {
		return v.unwritten(err), true
	}
	return complete, true
}

func answerKind(status int) dispatch.OutcomeKind {
	if status >= http.StatusInternalServerError {
		return dispatch.ErrorAnswer
	}
	return dispatch.Success
}

// head begins the answer with the receiver's head. The length is of the body; -1: in chunks.
func (v *visit) head(answer *outbound.Response, length int64) {
	v.begun = true
	header := v.writer.Header()
	passHeader(header, answer.Header)
	if length >= 0 && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	v.writeHead(answer.Status)
}

// passLong passes on what was read of a body and then the rest. If the receiver breaks off, the client's connection is
// cut: the announced length or the end of the chunks is missing then.
func (v *visit) passLong(send *dispatch.Send, answer *outbound.Response, read []byte, began time.Time, first time.Duration) (ending, bool) {
	v.head(answer, answer.ContentLength)
	answer.SetDeadline(v.deadline)
	v.proxy.admission.started(v.ticket)
	v.flusher.SetWriteDeadline(v.deadline.Add(writeSlack))
	defer v.flusher.SetWriteDeadline(time.Time{})
	if _, err := v.writer.Write(read); err != nil {
		return v.ended(send, began, first, dispatch.Cancelled, v.unwritten(err))
	}
	buffer := make([]byte, copyBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		if _, failed := v.writer.Write(buffer[:n]); failed != nil && n > 0 {
			return v.ended(send, began, first, dispatch.Cancelled, v.unwritten(failed))
		}
		switch {
		case err == io.EOF:
			return v.ended(send, began, first, answerKind(answer.Status), complete)
		case err != nil:
			return v.ended(send, began, first, v.brokenKind(err), v.cut(v.brokenCause()))
		}
	}
}

// brokenKind says how an answer broke that had begun.
func (v *visit) brokenKind(err error) dispatch.OutcomeKind {
	switch {
	case v.request.Context().Err() != nil:
		return dispatch.Cancelled
	case isTimeout(err):
		return dispatch.TimedOut
	}
	return dispatch.Broken
}
