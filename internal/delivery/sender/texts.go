package sender

import (
	"log/slog"
	"slices"
	"time"

	"emberquay/control"
	"emberquay/internal/delivery/ledger"
	"emberquay/internal/delivery/receivers"
)

// Texts from hand-in to final answer: which clients wait for an answer and which may still withdraw.

// heldText is a text without a final answer.
type heldText struct {
	*ledger.Text
	nextNumber int             // of the next attempt, as control counts
	call       *receivers.Call // in flight; nil if none
	waiting    []chan<- Answer // answer channels of waiting clients; nil once answered
	handIns    []*ledger.Text  // the hand-ins that are told that it was accepted
}

// maxHandIns bounds the remembered hand-ins of one ID; further ones cannot withdraw the text.
const maxHandIns = 8

// newHeldText returns a heldText for a text, which may have been accepted by the previous process.
func newHeldText(t *ledger.Text) *heldText {
	return &heldText{Text: t, nextNumber: t.Attempts, handIns: []*ledger.Text{t}}
}

// reply answers the waiting clients.
func (h *heldText) reply(a Answer) {
	for _, reply := range h.waiting {
		reply <- a
	}
	h.waiting = nil
}

// recentIDs remembers the most recent IDs.
type recentIDs struct {
	ids   map[string]bool
	order []string
}

func (r *recentIDs) add(id string, limit int) {
	if r.ids == nil {
		r.ids = map[string]bool{}
	}
	if !r.ids[id] {
		r.ids[id], r.order = true, append(r.order, id)
	}
	for ; len(r.order) > limit; r.order = r.order[1:] {
		delete(r.ids, r.order[0])
	}
}

// HandIn enqueues a text that a client hands in; the answer is sent on reply, which must not block. It returns false
// if the mailbox stays full for half the answer time.
func (s *Sender) HandIn(t *ledger.Text, reply chan<- Answer) bool {
	do := func() { s.handIn(t, reply) }
	select {
	case s.mailbox <- do:
		return true
	default:
	}
	timer := time.NewTimer(s.limits.AnswerTimeout / 2)
	defer timer.Stop()
	select {
	case s.mailbox <- do:
		return true
	case <-timer.C:
		return false
	}
}

func (s *Sender) handIn(t *ledger.Text, reply chan<- Answer) {
	// A client whose connection ended during its request repeats it: that is the same text.
	switch h := s.texts[t.ID]; {
	case h != nil:
		if t.Body = nil; len(h.handIns) < maxHandIns {
			h.handIns = append(h.handIns, t)
		}
		if h.waiting != nil {
			h.waiting = append(h.waiting, reply)
		} else {
			reply <- Answer{Verdict: Accepted}
		}
		return
	case s.ended.ids[t.ID]: // it has its final answer, and its notice may be on its way
		reply <- Answer{Verdict: Accepted}
		return
	case s.withdrawnInFlight[t.ID] != nil: // the call still in flight would be taken for one of the new text
		s.counts.Rejected++
		reply <- Answer{Verdict: Nacked}
		return
	}
	h := newHeldText(t)
	h.waiting = []chan<- Answer{reply}
	s.texts[t.ID] = h
	t.AcceptedAt = s.now()
	reject := len(s.texts) > s.limits.MaxTexts || s.pendingNotices >= s.limits.MaxTexts
	if !reject {
		if s.handleArrival(t, false); s.texts[t.ID] != h {
			return // rejected before anything was recorded
		}
		if err := s.ledger.RecordAccepted(t); err != nil {
			slog.Error("not_kept", "part", "sender", "text", t.ID, "err", err)
			s.control.Withdraw(t.ID)
			reject = true
		}
	}
	if reject {
		delete(s.texts, t.ID)
		s.counts.Rejected++
		reply <- Answer{Verdict: Nacked}
		return
	}
	s.newTexts = append(s.newTexts, h)
}

// handleArrival passes a text and its earlier attempts to control; recovered: the previous process accepted it.
func (s *Sender) handleArrival(t *ledger.Text, recovered bool) {
	s.control.HandleArrival(control.Arrival{
		ID: t.ID, Product: t.Product, Destination: t.Destination, TimeLeft: t.ValidUntil - s.now(), Key: t.Key, Brand: t.Brand,
		Retry: t.Retry, Returned: t.Returned, Recovered: recovered, Attempts: t.Attempts, FirstRunAt: t.FirstRunAt, FirstRunZone: t.FirstRunZone,
	})
}

// Withdraw reports that a client left without an answer. The text is kept if another hand-in of it remains.
func (s *Sender) Withdraw(t *ledger.Text) {
	s.Enqueue(func() {
		h := s.texts[t.ID]
		if h == nil || !slices.Contains(h.handIns, t) {
			return
		}
		if h.handIns = slices.DeleteFunc(h.handIns, func(o *ledger.Text) bool { return o == t }); len(h.handIns) == 0 {
			s.withdraw(h)
		}
	})
}

func (s *Sender) withdraw(h *heldText) {
	s.control.Withdraw(h.ID)
	if h.call != nil {
		s.withdrawnInFlight[h.ID] = h
	}
	s.forget(h.ID)
}

// forget drops a text that needs no further delivery or notice.
func (s *Sender) forget(id string) {
	delete(s.texts, id)
	s.logUnrecorded(id, s.ledger.RecordEnd(id))
}

// logUnrecorded logs a failed ledger write. At worst the text is processed again after a restart.
func (s *Sender) logUnrecorded(id string, err error) {
	if err != nil {
		slog.Error("not_noted", "part", "sender", "text", id, "err", err)
	}
}
