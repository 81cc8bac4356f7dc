package sender

import (
	"context"
	"log/slog"

	"emberquay/control"
	"emberquay/internal/delivery/ledger"
	"emberquay/internal/delivery/protocol"
	"emberquay/internal/delivery/receivers"
)

// The implementation of control.Actions: decisions become calls, notices and log lines.

// Submit records an attempt in the ledger and passes its call to the receiver.
func (s *Sender) Submit(id string, receiver control.ReceiverID, timeout control.Time) {
	h := s.texts[id]
	if h == nil {
		slog.Error("unknown_text", "part", "sender", "text", id)
		return
	}
	number := h.nextNumber
	h.nextNumber++
	now := s.now()
	timeLeft := max(0, h.ValidUntil-now)
	if timeout > 0 {
		timeLeft = min(timeLeft, timeout)
	}
	if h.FirstRunAt > 0 { // so that it can be checked later whether the repeat was in time
		slog.Info("repeat", "part", "sender", "text", id, "no", h.Attempts+1, "to", receiver, "after", protocol.Duration(now-h.FirstRunAt))
	}
	// An attempt that the ledger does not hold could be made again after a restart.
	if err := s.ledger.RecordAttempt(id, now, s.entries[receiver].Zone); err != nil {
		slog.Error("not_submitted", "part", "sender", "text", id, "err", err)
		s.reportUnsent(id, number)
		return
	}
	done := func(r control.Result) {
		s.Enqueue(func() {
			s.counts.InFlight--
			s.handleResult(id, number, r)
		})
	}
	call := receivers.NewCall(id, h.IdempotencyKey, h.Body, protocol.Duration(timeLeft), done)
	call.MaySend = func(ctx context.Context) bool { return s.maySend(ctx, id, number) }
	h.call = call
	s.runAfterSync(func() {
		if !s.receivers.Submit(receiver, call) {
			s.reportUnsent(id, number)
			return
		}
		s.counts.InFlight++
		s.counts.Attempts++
	}, func() { s.reportUnsent(id, number) })
}

// maySend asks whether an attempt that waited for its connection may still be sent; once sending has stopped, none may.
func (s *Sender) maySend(ctx context.Context, id string, number int) bool {
	answer := make(chan bool, 1)
	select {
	case s.mailbox <- func() { answer <- !s.sendingStopped && s.control.MayStillSend(id, number) }:
	case <-ctx.Done():
		return false
	}
	select {
	case allowed := <-answer:
		return allowed
	case <-ctx.Done():
		return false
	}
}

// reportUnsent tells control that an attempt was never sent. It is deferred: control may be in the middle of a call.
func (s *Sender) reportUnsent(id string, number int) {
	s.deferred = append(s.deferred, func() { s.handleResult(id, number, control.Result{Outcome: control.Unsent}) })
}

// Cancel cancels the call in flight.
func (s *Sender) Cancel(id string, number int) {
	if h := s.texts[id]; h != nil && h.call != nil && h.nextNumber == number+1 {
		h.call.Cancel()
	}
}

// Nack rejects a text: the client may hand it in again.
func (s *Sender) Nack(id string, retryAfter control.Time) {
	s.endText(&ledger.Notice{ID: id, Nack: true, RetryAfter: retryAfter}, Answer{Nacked, retryAfter})
}

// MarkUndeliverable ends a text permanently.
func (s *Sender) MarkUndeliverable(id string) {
	s.endText(&ledger.Notice{ID: id}, Answer{Verdict: Undeliverable})
}

// endText gives the final answer to the client if it still waits, else to the platform in a notice.
func (s *Sender) endText(n *ledger.Notice, answer Answer) {
	h := s.texts[n.ID]
	switch {
	case h == nil:
	case h.waiting != nil:
		// Recorded before the client is answered: a process killed in between would otherwise send, after its restart,
		// a text that the client has been given back.
		s.counts.Rejected++
		s.forget(n.ID)
		s.runAfterSync(func() { h.reply(answer) }, nil) // a rejection is sent even if the sync fails
	default:
		if n.Nack {
			s.counts.Nacked++
		} else {
			s.counts.Undeliverable++
		}
		delete(s.texts, n.ID)
		s.ended.add(n.ID, s.limits.MaxTexts)
		if n.Key = h.Key; n.Key != "" { // at once: control may send the next text of the key in this same batch
			s.control.NoticePending(n.Key)
		}
		s.logUnrecorded(n.ID, s.ledger.RecordEndOwingNotice(n))
		s.runAfterSync(func() { s.postNotice(n) }, nil)
	}
}

func (s *Sender) postNotice(n *ledger.Notice) {
	s.pendingNotices++
	if !s.notifier.Post(n) { // the ledger keeps it for the next start
		slog.Warn("notice_left", "part", "sender", "text", n.ID)
	}
}

// WakeAt sets the timer, unless an earlier wake is pending; control needs only one. A wake that is due no longer counts
// as pending, even if the timer's channel has not been read: events of the same moment have made control plan again,
// and it does not ask for that next wake a second time.
func (s *Sender) WakeAt(at control.Time, _ int64) {
	if now := s.now(); s.wakeAt <= now || at < s.wakeAt {
		s.wakeAt = at
		s.wakeTimer.Reset(protocol.Duration(max(0, at-now)))
	}
}

// CloseIdle closes the idle connections to a receiver.
func (s *Sender) CloseIdle(receiver control.ReceiverID) { s.receivers.CloseIdle(receiver) }

// WatchReceivers does nothing: internal/delivery/directory keeps a watch open from the start.
func (s *Sender) WatchReceivers() {}

// Broadcast does nothing: there is no channel to other senders, and control sends no broadcasts.
func (s *Sender) Broadcast([]byte) {}

// Log logs a line of control.
func (s *Sender) Log(line string) { slog.Info("said", "part", "module", "line", line) }
