package sender

import (
	"log/slog"
	"time"

	"emberquay/control"
)

// AttemptCounts counts the attempts that did not deliver, by reason, and the dials.
type AttemptCounts struct {
	Refused          int `json:"full"`          // for any reason
	ConnLimitReached int `json:"crowded"`       // of the refused: the receiver had no connection left
	NoConnection     int `json:"no_connection"` // no connection could be made
	NoAnswer         int `json:"no_answer"`     // no response in time, or the connection broke
	Errored          int `json:"errored"`
	Unsent           int `json:"unsent"` // never left this sender
	Dials            int `json:"dials"`  // connections opened or attempted
}

func (c *AttemptCounts) record(r control.Result) {
	switch r.Outcome {
	case control.Refused:
		c.Refused++
		if r.ConnLimitReached {
			c.ConnLimitReached++
		}
	case control.NoConnection:
		c.NoConnection++
	case control.NoAnswer, control.ConnectionLost:
		c.NoAnswer++
	case control.Errored:
		c.Errored++
	case control.Unsent:
		c.Unsent++
	}
}

// countLog logs the counts since its last line, once per interval, if any changed.
type countLog struct {
	interval   time.Duration // 0: never
	lastTime   time.Time
	lastCounts Counts
}

// LogCounts makes the sender log its counts; call it before Run. `quaylab count` sums the logs of a fleet.
func (s *Sender) LogCounts(interval time.Duration) {
	s.countLog = countLog{interval: interval, lastTime: time.Now()}
}

func (s *Sender) logCountsIfDue() {
	t := &s.countLog
	if t.interval == 0 || time.Since(t.lastTime) < t.interval {
		return
	}
	current, previous := s.currentCounts(), t.lastCounts
	if current.Accepted == previous.Accepted && current.Attempts == previous.Attempts && current.Rejected == previous.Rejected && current.finalAnswers() == previous.finalAnswers() {
		return
	}
	slog.Info("counted", "part", "sender", "over", time.Since(t.lastTime).Round(time.Millisecond),
		"taken", current.Accepted-previous.Accepted, "refused", current.Rejected-previous.Rejected, "delivered", current.Delivered-previous.Delivered,
		"nacked", current.Nacked-previous.Nacked, "undeliverable", current.Undeliverable-previous.Undeliverable, "submits", current.Attempts-previous.Attempts,
		"full", current.Refused-previous.Refused, "crowded", current.ConnLimitReached-previous.ConnLimitReached, "no_connection", current.NoConnection-previous.NoConnection,
		"no_answer", current.NoAnswer-previous.NoAnswer, "errored", current.Errored-previous.Errored, "unsent", current.Unsent-previous.Unsent,
		"dials", current.Dials-previous.Dials, "held", current.Held, "out", current.InFlight, "conns", current.ReceiverConns)
	t.lastTime, t.lastCounts = time.Now(), current
}

// finalAnswers returns how many texts have their final answer.
func (c Counts) finalAnswers() int { return c.Delivered + c.Nacked + c.Undeliverable }

// currentCounts returns the totals and the current state.
func (s *Sender) currentCounts() Counts {
	c := s.counts
	c.Held, c.PendingNotices, c.Receivers, c.ReceiverConns, c.Dials = len(s.texts), s.pendingNotices, len(s.entries), s.receivers.OpenConns(), s.receivers.Dials()
	return c
}
