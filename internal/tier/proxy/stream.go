package proxy

import (
	"context"
	"io"
	"time"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/proxy/events"
	"emberquay/internal/tier/proxy/outbound"
)

// passStream passes events on as each arrives. A stream that is cut off may be taken up at another receiver where its
// route allows that: then the visit goes on.
func (v *visit) passStream(send *dispatch.Send, answer *outbound.Response, began time.Time) (ending, bool) {
	resumed := v.lastText != ""
	var first time.Duration
	reader := events.NewReader(answer.Body)
	for {
		event, err := reader.Next()
		if err == io.EOF {
			return v.endStream(send, answer, began, first)
		}
		if err != nil {
			return v.failed(send, began, first, err)
		}
		if first == 0 {
			first = time.Since(began)
			// The attempt was bounded so that another receiver could run the request. One that is at work is no reason to
			// end the answer sooner than its request.
			answer.SetDeadline(v.deadline)
		}
		if resumed && event.HasID && event.ID <= v.lastID {
			continue // it was passed on from the receiver before
		}
		if err := v.passEvent(answer, &event, reader.NextBuffered()); err != nil {
			return v.ended(send, began, first, dispatch.Cancelled, v.unwritten(err))
		}
	}
}

// passEvent writes one event; more follow at once if another is here already.
func (v *visit) passEvent(answer *outbound.Response, event *events.Event, more bool) error {
	begins := !v.begun
	if begins {
		v.flusher.SetWriteDeadline(v.deadline.Add(writeSlack))
		v.head(answer, -1)
	}
	if _, err := v.writer.Write(event.Raw); err != nil {
		return err
	}
	if v.turn != nil {
		v.turn.record(event.Data, event.HasData)
	}
	v.unnamed = v.unnamed || !event.HasID
	if event.HasID {
		v.lastID, v.lastText = event.ID, string(event.RawID)
	}
	if begins {
		v.proxy.admission.started(v.ticket)
	}
	if more {
		return nil
	}
	return v.flusher.Flush()
}

// endStream ends the answer after the receiver's stream has ended properly. The end of a retained turn goes out only
// once the stores hold it.
func (v *visit) endStream(send *dispatch.Send, answer *outbound.Response, began time.Time, first time.Duration) (ending, bool) {
	answer.Close()
	v.proxy.admission.finished(send, dispatch.Outcome{Kind: dispatch.Success, FirstByte: first, Took: time.Since(began)})
	if !v.begun {
		v.head(answer, -1)
	}
	if v.turn != nil && v.turn.retained && !v.commit() {
		return v.cut(cutUncommitted), true
	}
	v.flusher.SetWriteDeadline(time.Time{})
	return complete, true
}

func (v *visit) commit() bool {
	// The route's time-out holds for the wait as well; at its end the client must not be left waiting.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(v.request.Context()), v.deadline.Add(commitWait))
	defer cancel()
	return v.turn.commit(ctx, v.route.Retention)
}
