package world

import "time"

// ClientReply is what a client learns about a text that it handed in.
type ClientReply int

// Replies to a client.
const (
	Accepted ClientReply = iota // the sender now owes its delivery
	Nacked                      // in the answer or by a later notice; it may be handed in again
	Failed                      // it must not be handed in again
	NoAnswer                    // the sender died, or did not answer within ReplyTimeout
)

// Retry is a client's next hand-in of the same text.
type Retry struct {
	At   time.Duration
	Mark string // 1: after a nack; again: after a sender that died or gave no answer
}

// NextHandIn returns when and how a client repeats hand-in number handInNo (from 0) of a text, and false if it does not
// repeat it.
func (d *Day) NextHandIn(now time.Duration, t *Text, handInNo int, reply ClientReply, retryAfter time.Duration) (Retry, bool) {
	w := d.World.Clients
	rnd := newRand(d.Seed, "again", uint64(t.No), uint64(handInNo))
	var retry Retry
	switch reply {
	case Nacked:
		if handInNo >= w.Retries {
			return retry, false
		}
		retry.Mark = "1"
		retry.At = now + millis(drawBetween(rnd, w.BackoffMs))<<min(handInNo, 10)
		if retryAfter > 0 && rnd.Float64() < w.Honour {
			retry.At = now + retryAfter + time.Duration(rnd.Float64()*float64(retryAfter)/10)
		}
	case NoAnswer:
		if handInNo > w.Retries+2 || t.Product.Repeat == "once-only" {
			return retry, false
		}
		retry.Mark = "again"
		retry.At = now + millis(drawBetween(rnd, w.AgainMs))
		if t.Product.Repeat == "referenced" && retry.At >= t.At+seconds(t.Product.WindowS) {
			return retry, false // it may have run, and the receiver might no longer recognize a repeat
		}
	default:
		return retry, false
	}
	if !w.Marks {
		retry.Mark = ""
	}
	return retry, retry.At < t.Validity()
}

// DeathNoticeDelay returns how long the front end keeps sending to a sender after its death number deaths.
func (d *Day) DeathNoticeDelay(sender, deaths int) time.Duration {
	return seconds(drawBetween(newRand(d.Seed, "front", uint64(sender), uint64(deaths)), d.World.Clients.NoticeS))
}

// ReplyTimeout returns how long a client waits for the answer to a hand-in.
func (d *Day) ReplyTimeout() time.Duration { return millis(d.World.Clients.PatienceMs) }
