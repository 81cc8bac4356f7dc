// Package control decides when, where and how often each text is submitted.
package control

// Time is in tenths of a millisecond: an instant of the caller's clock, or a span.
type Time int64

// Second is one second.
const Second Time = 10000

// ReceiverID names a receiver as the list does.
type ReceiverID uint32

// Settings are the instance's settings, name to value, as the caller was given them.
type Settings map[string]string

// Actions is what the module calls to have something done.
type Actions interface {
	Submit(text string, to ReceiverID, timeout Time) // timeout 0: until the validity period is up
	Cancel(text string, submit int)
	Nack(text string, comeBack Time) // comeBack 0: no advice
	MarkUndeliverable(text string)
	WakeAt(at Time, mark int64)
	CloseIdle(to ReceiverID)  // this sender's idle connections there
	WatchReceivers()          // the list's changes from now on; asked for where RegistryMode is "ask"
	Broadcast(content []byte) // to every other sender
	Log(line string)
}

// Arrival is a text as it is handed in.
type Arrival struct {
	ID          string
	Product     string
	Destination int64
	TimeLeft    Time // of the validity period
	Key         string
	Brand       string // whose it is, where brands have shares; empty: nobody's
	Retry       bool   // the client hands it in again
	Returned    bool   // a sender died holding it

	Recovered bool // taken on before this process started

	// What this sender had done for it before it restarted.
	Attempts     int
	FirstRunAt   Time   // when the first submit that may have run was sent; 0: none
	FirstRunZone string // and the zone it went to
}

// ReceiverState says how the list speaks of a receiver.
type ReceiverState int

// The listings.
const (
	Up ReceiverState = iota
	Draining
	Removed
)

// ReceiverEntry is one line of the list of receivers.
type ReceiverEntry struct {
	Receiver    ReceiverID
	Rate        float64 // calls a second that the destination takes, if the list tells
	Destination int64
	Kind        string
	Zone        string
	State       ReceiverState
}

// Outcome says how a submit ended.
type Outcome int

// The outcomes.
const (
	Delivered      Outcome = iota
	Errored                // the destination answered with an error
	Refused                // turned away unseen
	NoAnswer               // timed out
	NoConnection           // none could be made
	ConnectionLost         // the connection broke
	Cancelled
	Unsent // never left this sender
)

func (o Outcome) String() string {
	return [...]string{"delivered", "errored", "full", "no_answer", "no_connection", "lost", "cancelled", "unsent"}[o]
}

// Result is how one submit ended and what came with it.
type Result struct {
	Outcome          Outcome
	Final            bool      // the text has its final answer
	StaleConn        bool      // it broke with a connection kept from an earlier call, before any answer
	ConnLimitReached bool      // full, as no connection was left for this sender
	NotListening     bool      // no connection, as nobody listens there
	Took             Time      // since it was sent
	RetryAfter       Time      // told wait, with Full
	Report           []float64 // in the order of the setting Report.Names; nil if none came, NaN if left out
}
