package sender

import (
	"context"
	"log/slog"

	"emberquay/control"
	"emberquay/internal/delivery/ledger"
	"emberquay/internal/delivery/protocol"
	"emberquay/internal/delivery/receivers"
)

// The outlet: what the module wants done, as messages.

// Submit keeps that a submit goes out and hands its call to the receiver.
func (s *Sender) Submit(id string, to control.ReceiverID, timeout control.Time) {
	h := s.texts[id]
	if h == nil {
		slog.Error("unknown_text", "part", "sender", "text", id)
		return
	}
	no := h.no
	h.no++
	now := s.now()
	wait := max(0, h.ValidUntil-now)
	if timeout > 0 {
		wait = min(wait, timeout)
	}
	if h.FirstRunAt > 0 { // whether a repeat was in time is asked afterwards
		slog.Info("repeat", "part", "sender", "text", id, "no", h.Attempts+1, "to", to, "after", protocol.Duration(now-h.FirstRunAt))
	}
	// A submit that the ledger does not know of could be made once more after a restart.
	if err := s.ledger.RecordAttempt(id, now, s.listed[to].Zone); err != nil {
		slog.Error("not_submitted", "part", "sender", "text", id, "err", err)
		s.unsent(id, no)
		return
	}
	done := func(r control.Result) {
		s.Enqueue(func() {
			s.counts.InFlight--
			s.answered(id, no, r)
		})
	}
	call := receivers.NewCall(id, h.IdempotencyKey, h.Body, protocol.Duration(wait), done)
	call.MaySend = func(ctx context.Context) bool { return s.still(ctx, id, no) }
	h.call = call
	s.leave(func() {
		if !s.fleet.Submit(to, call) {
			s.unsent(id, no)
			return
		}
		s.counts.InFlight++
		s.counts.Attempts++
	}, func() { s.unsent(id, no) })
}

// still asks whether a submit that got its connection late may leave; a process that stops lets none.
func (s *Sender) still(ctx context.Context, id string, no int) bool {
	answer := make(chan bool, 1)
	select {
	case s.mail <- func() { answer <- !s.frozen && s.module.MayStillSend(id, no) }:
	case <-ctx.Done():
		return false
	}
	select {
	case may := <-answer:
		return may
	case <-ctx.Done():
		return false
	}
}

// unsent tells the module, after the call it makes just now, that a submit never left.
func (s *Sender) unsent(id string, no int) {
	s.later = append(s.later, func() { s.answered(id, no, control.Result{Outcome: control.Unsent}) })
}

// Cancel gives up the call that is out.
func (s *Sender) Cancel(id string, no int) {
	if h := s.texts[id]; h != nil && h.call != nil && h.no == no+1 {
		h.call.Cancel()
	}
}

// Nack ends a text: the client may hand it in again.
func (s *Sender) Nack(id string, comeBack control.Time) {
	s.end(&ledger.Notice{ID: id, Nack: true, RetryAfter: comeBack}, Answer{Nacked, comeBack})
}

// MarkUndeliverable ends a text for good.
func (s *Sender) MarkUndeliverable(id string) {
	s.end(&ledger.Notice{ID: id}, Answer{Verdict: Undeliverable})
}

// end tells the client where it still waits, else the platform.
func (s *Sender) end(n *ledger.Notice, a Answer) {
	h := s.texts[n.ID]
	switch {
	case h == nil:
	case h.waits != nil:
		// Written before it is said: a process killed in between would else send what its client had back.
		s.counts.Rejected++
		s.forget(n.ID)
		s.leave(func() { h.tell(a) }, nil) // an end goes in any case
	default:
		if n.Nack {
			s.counts.Nacked++
		} else {
			s.counts.Undeliverable++
		}
		delete(s.texts, n.ID)
		s.over.add(n.ID, s.limits.MaxTexts)
		if n.Key = h.Key; n.Key != "" { // at once: the module may let the next of the key go in this very batch
			s.module.NoticePending(n.Key)
		}
		s.noted(n.ID, s.ledger.RecordEndOwingNotice(n))
		s.leave(func() { s.post(n) }, nil)
	}
}

func (s *Sender) post(n *ledger.Notice) {
	s.owed++
	if !s.desk.Post(n) { // it stays in the ledger
		slog.Warn("notice_left", "part", "sender", "text", n.ID)
	}
}

// WakeAt sets the timer, if nothing earlier is waited for. The module needs no more than one wake. One whose time has come
// is waited for no more, even if the timer has not been heard: what came in with it has had the module plan anew, and
// it would not ask a second time.
func (s *Sender) WakeAt(at control.Time, _ int64) {
	if now := s.now(); s.wakeAt <= now || at < s.wakeAt {
		s.wakeAt = at
		s.timer.Reset(protocol.Duration(max(0, at-now)))
	}
}

// CloseIdle closes the idle connections to a receiver.
func (s *Sender) CloseIdle(to control.ReceiverID) { s.fleet.CloseIdle(to) }

// WatchReceivers has nothing to do here: internal/delivery/directory keeps a watch open from the start, asked for or not.
func (s *Sender) WatchReceivers() {}

// Broadcast has no way to other senders here; the module sends none.
func (s *Sender) Broadcast([]byte) {}

// Log writes a line of the module.
func (s *Sender) Log(line string) { slog.Info("said", "part", "module", "line", line) }
