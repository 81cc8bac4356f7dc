package sender

import (
	"log/slog"
	"time"

	"emberquay/control"
)

// AttemptCounts is what became of submits, by why they did not deliver.
type AttemptCounts struct {
	Refused          int `json:"full"`          // turned away, for whatever reason
	ConnLimitReached int `json:"crowded"`       // of these, for want of a connection
	NoConnection     int `json:"no_connection"` // none could be made
	NoAnswer         int `json:"no_answer"`     // none in time, or the connection broke
	Errored          int `json:"errored"`
	Unsent           int `json:"unsent"` // never left
	Dials            int `json:"dials"`  // connections that were asked for
}

func (c *AttemptCounts) add(r control.Result) {
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

// tally writes a line of what was done since the last one, each so often, if anything was.
type tally struct {
	every time.Duration // 0: never
	last  time.Time
	told  Counts
}

// LogCounts has the sender log what it does, before Run; see quaylab count for whole fleets of such logs.
func (s *Sender) LogCounts(every time.Duration) { s.tally = tally{every: every, last: time.Now()} }

func (s *Sender) count() {
	t := &s.tally
	if t.every == 0 || time.Since(t.last) < t.every {
		return
	}
	now, was := s.counted(), t.told
	if now.Accepted == was.Accepted && now.Attempts == was.Attempts && now.Rejected == was.Rejected && now.ended() == was.ended() {
		return
	}
	slog.Info("counted", "part", "sender", "over", time.Since(t.last).Round(time.Millisecond),
		"taken", now.Accepted-was.Accepted, "refused", now.Rejected-was.Rejected, "delivered", now.Delivered-was.Delivered,
		"nacked", now.Nacked-was.Nacked, "undeliverable", now.Undeliverable-was.Undeliverable, "submits", now.Attempts-was.Attempts,
		"full", now.Refused-was.Refused, "crowded", now.ConnLimitReached-was.ConnLimitReached, "no_connection", now.NoConnection-was.NoConnection,
		"no_answer", now.NoAnswer-was.NoAnswer, "errored", now.Errored-was.Errored, "unsent", now.Unsent-was.Unsent,
		"dials", now.Dials-was.Dials, "held", now.Held, "out", now.InFlight, "conns", now.ReceiverConns)
	t.last, t.told = time.Now(), now
}

// ended is how many texts have their final answer.
func (c Counts) ended() int { return c.Delivered + c.Nacked + c.Undeliverable }

// counted is what was done and what is in hand.
func (s *Sender) counted() Counts {
	c := s.counts
	c.Held, c.PendingNotices, c.Receivers, c.ReceiverConns, c.Dials = len(s.texts), s.owed, len(s.listed), s.fleet.OpenConns(), s.fleet.Dials()
	return c
}
