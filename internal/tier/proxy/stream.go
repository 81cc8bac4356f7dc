package proxy

import (
	"context"
	"io"
	"time"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/proxy/events"
	"emberquay/internal/tier/proxy/outbound"
)

// forwardStream forwards each event as it arrives. If the stream breaks, it may be resumed at another receiver where its
// route allows that: then the request continues.
func (h *requestHandler) forwardStream(send *dispatch.Send, response *outbound.Response, start time.Time) (responseEnd, bool) {
	resumed := h.lastEventRawID != ""
	var firstByte time.Duration
	reader := events.NewReader(response.Body)
	for {
		event, err := reader.Next()
		if err == io.EOF {
			return h.completeStream(send, response, start, firstByte)
		}
		if err != nil {
			return h.attemptFailed(send, start, firstByte, err)
		}
		if firstByte == 0 {
			firstByte = time.Since(start)
			// The attempt's timeout leaves time to try another receiver. Once this one sends events, only the request's
			// deadline applies.
			response.SetDeadline(h.deadline)
		}
		if resumed && event.HasID && event.ID <= h.lastEventID {
			continue // already forwarded from the previous receiver
		}
		if err := h.forwardEvent(response, &event, reader.NextBuffered()); err != nil {
			return h.finishAttempt(send, start, firstByte, dispatch.Cancelled, h.writeFailed(err))
		}
	}
}

// forwardEvent writes one event. If more is true, the next one is already buffered and the write is not flushed yet.
func (h *requestHandler) forwardEvent(response *outbound.Response, event *events.Event, more bool) error {
	first := !h.responseStarted
	if first {
		h.flusher.SetWriteDeadline(h.deadline.Add(writeGrace))
		h.startResponse(response, -1)
	}
	if _, err := h.writer.Write(event.Raw); err != nil {
		return err
	}
	if h.turn != nil {
		h.turn.record(event.Data, event.HasData)
	}
	h.eventWithoutID = h.eventWithoutID || !event.HasID
	if event.HasID {
		h.lastEventID, h.lastEventRawID = event.ID, string(event.RawID)
	}
	if first {
		h.proxy.admission.responseStarted(h.pending)
	}
	if more {
		return nil
	}
	return h.flusher.Flush()
}

// completeStream completes the response after the end of the receiver's stream. That of a retained turn is completed
// only once the stores hold the turn.
func (h *requestHandler) completeStream(
	send *dispatch.Send, response *outbound.Response, start time.Time, firstByte time.Duration,
) (responseEnd, bool) {
	response.Close()
	h.proxy.admission.requestEnded(send, dispatch.Outcome{Kind: dispatch.Success, TimeToFirstByte: firstByte, Duration: time.Since(start)})
	if !h.responseStarted {
		h.startResponse(response, -1)
	}
	if h.turn != nil && h.turn.retained && !h.commitTurn() {
		return h.abort(abortNotCommitted), true
	}
	h.flusher.SetWriteDeadline(time.Time{})
	return responseComplete, true
}

func (h *requestHandler) commitTurn() bool {
	// The route's timeout also covers the commit: the client must not wait longer.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(h.request.Context()), h.deadline.Add(commitGrace))
	defer cancel()
	return h.turn.commit(ctx, h.route.Retention)
}
