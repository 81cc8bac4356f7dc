package sender

import (
	"log/slog"
	"slices"
	"time"

	"emberquay/control"
	"emberquay/internal/delivery/ledger"
	"emberquay/internal/delivery/receivers"
)

// Texts from their hand-in to their end: who waits for an answer, and who may still withdraw.

// held is a text that has no end yet.
type held struct {
	*ledger.Text
	no    int             // of the next submit, as the module counts
	call  *receivers.Call // out; nil if none
	waits []chan<- Answer // clients that wait; none once they have heard
	from  []*ledger.Text  // its hand-ins that hear that it is taken on
}

// mostFrom bounds the hand-ins of one id that are remembered; more cannot withdraw it.
const mostFrom = 8

// heldOf makes what is kept of a text; a process before may have taken it on.
func heldOf(t *ledger.Text) *held { return &held{Text: t, no: t.Attempts, from: []*ledger.Text{t}} }

// tell answers the clients that wait.
func (h *held) tell(a Answer) {
	for _, reply := range h.waits {
		reply <- a
	}
	h.waits = nil
}

// recent remembers so many ids, the latest.
type recent struct {
	ids   map[string]bool
	order []string
}

func (r *recent) add(id string, most int) {
	if r.ids == nil {
		r.ids = map[string]bool{}
	}
	if !r.ids[id] {
		r.ids[id], r.order = true, append(r.order, id)
	}
	for ; len(r.order) > most; r.order = r.order[1:] {
		delete(r.ids, r.order[0])
	}
}

// HandIn posts a text that a client hands in; the answer comes on reply, which must not block. It gives up
// after the time for an answer.
func (s *Sender) HandIn(t *ledger.Text, reply chan<- Answer) bool {
	do := func() { s.hand(t, reply) }
	select {
	case s.mail <- do:
		return true
	default:
	}
	timer := time.NewTimer(s.limits.AnswerTimeout / 2)
	defer timer.Stop()
	select {
	case s.mail <- do:
		return true
	case <-timer.C:
		return false
	}
}

func (s *Sender) hand(t *ledger.Text, reply chan<- Answer) {
	// A client whose connection ended under its request sends that once more: it is the same hand-in.
	switch h := s.texts[t.ID]; {
	case h != nil:
		if t.Body = nil; len(h.from) < mostFrom {
			h.from = append(h.from, t)
		}
		if h.waits != nil {
			h.waits = append(h.waits, reply)
		} else {
			reply <- Answer{Verdict: Accepted}
		}
		return
	case s.over.ids[t.ID]: // it has its end, and its notice may be on its way
		reply <- Answer{Verdict: Accepted}
		return
	case s.left[t.ID] != nil: // what is still out would be taken for its own
		s.counts.Rejected++
		reply <- Answer{Verdict: Nacked}
		return
	}
	h := heldOf(t)
	h.waits = []chan<- Answer{reply}
	s.texts[t.ID] = h
	t.AcceptedAt = s.now()
	full := len(s.texts) > s.limits.MaxTexts || s.owed >= s.limits.MaxTexts
	if !full {
		if s.take(t, false); s.texts[t.ID] != h {
			return // refused before it cost anything
		}
		if err := s.ledger.RecordAccepted(t); err != nil {
			slog.Error("not_kept", "part", "sender", "text", t.ID, "err", err)
			s.module.Withdraw(t.ID)
			full = true
		}
	}
	if full {
		delete(s.texts, t.ID)
		s.counts.Rejected++
		reply <- Answer{Verdict: Nacked}
		return
	}
	s.fresh = append(s.fresh, h)
}

// take tells the module of a text and of all that was done for it; owed: a process before took it on.
func (s *Sender) take(t *ledger.Text, owed bool) {
	s.module.HandleArrival(control.Arrival{
		ID: t.ID, Product: t.Product, Destination: t.Destination, TimeLeft: t.ValidUntil - s.now(), Key: t.Key, Brand: t.Brand,
		Retry: t.Retry, Returned: t.Returned, Recovered: owed, Attempts: t.Attempts, FirstRunAt: t.FirstRunAt, FirstRunZone: t.FirstRunZone,
	})
}

// Withdraw posts that a client went without an answer. The text stays where another hand-in of it was answered.
func (s *Sender) Withdraw(t *ledger.Text) {
	s.Enqueue(func() {
		h := s.texts[t.ID]
		if h == nil || !slices.Contains(h.from, t) {
			return
		}
		if h.from = slices.DeleteFunc(h.from, func(o *ledger.Text) bool { return o == t }); len(h.from) == 0 {
			s.withdraw(h)
		}
	})
}

func (s *Sender) withdraw(h *held) {
	s.module.Withdraw(h.ID)
	if h.call != nil {
		s.left[h.ID] = h
	}
	s.forget(h.ID)
}

// forget: nothing more is owed for a text.
func (s *Sender) forget(id string) {
	delete(s.texts, id)
	s.noted(id, s.ledger.RecordEnd(id))
}

// noted logs what the ledger could not keep. At worst a text is looked at again after a restart.
func (s *Sender) noted(id string, err error) {
	if err != nil {
		slog.Error("not_noted", "part", "sender", "text", id, "err", err)
	}
}
