package world

import "time"

// Heard is what a client learns of a text that it handed in.
type Heard int

// What clients learn.
const (
	Taken    Heard = iota // owed from now on
	Nacked                // at once or by a notice; it may be handed in again
	Failed                // not again
	NoAnswer              // the sender died, or was silent for longer than the client's patience
)

// Again is a client's next hand-in.
type Again struct {
	At   time.Duration
	Mark string // 1: after a nack; again: after a sender that died or gave no answer
}

// After says when and how a client hands a text in again that it handed in for the n-th time, from 0; false if it
// does not.
func (d *Day) After(now time.Duration, t *Text, n int, h Heard, advice time.Duration) (Again, bool) {
	w := d.World.Clients
	c := chance(d.Seed, "again", uint64(t.No), uint64(n))
	var a Again
	switch h {
	case Nacked:
		if n >= w.Retries {
			return a, false
		}
		a.Mark = "1"
		a.At = now + millis(between(c, w.BackoffMs))<<min(n, 10)
		if advice > 0 && c.Float64() < w.Honour {
			a.At = now + advice + time.Duration(c.Float64()*float64(advice)/10)
		}
	case NoAnswer:
		if n > w.Retries+2 || t.Product.Repeat == "once-only" {
			return a, false
		}
		a.Mark = "again"
		a.At = now + millis(between(c, w.AgainMs))
		if t.Product.Repeat == "referenced" && a.At >= t.At+seconds(t.Product.WindowS) {
			return a, false // it may have run, and a repeat might not be known any more
		}
	default:
		return a, false
	}
	if !w.Marks {
		a.Mark = ""
	}
	return a, a.At < t.Validity()
}

// Notices is how long the front goes on sending to a sender that has died for the n-th time.
func (d *Day) Notices(sender, n int) time.Duration {
	return seconds(between(chance(d.Seed, "front", uint64(sender), uint64(n)), d.World.Clients.NoticeS))
}

// Patience is how long a client waits for the answer to a hand-in.
func (d *Day) Patience() time.Duration { return millis(d.World.Clients.PatienceMs) }
