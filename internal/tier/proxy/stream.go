package proxy

import (
	"context"
	"io"
	"time"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/proxy/events"
	"emberquay/internal/tier/proxy/outbound"
)

// forwardStream passes events on as each arrives. A stream that is cut off may be taken up at another receiver where its
// route allows that: then the visit goes on.
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
			// The attempt was bounded so that another receiver could run the request. One that is at work is no reason to
			// end the answer sooner than its request.
			response.SetDeadline(h.deadline)
		}
		if resumed && event.HasID && event.ID <= h.lastEventID {
			continue // it was passed on from the receiver before
		}
		if err := h.forwardEvent(response, &event, reader.NextBuffered()); err != nil {
			return h.finishAttempt(send, start, firstByte, dispatch.Cancelled, h.writeFailed(err))
		}
	}
}

// forwardEvent writes one event; more follow at once if another is here already.
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
		h.proxy.admission.started(h.pending)
	}
	if more {
		return nil
	}
	return h.flusher.Flush()
}

// completeStream ends the answer after the receiver's stream has ended properly. The end of a retained turn goes out only
// once the stores hold it.
func (h *requestHandler) completeStream(send *dispatch.Send, response *outbound.Response, start time.Time, firstByte time.Duration) (responseEnd, bool) {
	response.Close()
	h.proxy.admission.requestEnded(send, dispatch.Outcome{Kind: dispatch.Success, FirstByte: firstByte, Took: time.Since(start)})
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
	// The route's time-out holds for the wait as well; at its end the client must not be left waiting.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(h.request.Context()), h.deadline.Add(commitGrace))
	defer cancel()
	return h.turn.commit(ctx, h.route.Retention)
}
