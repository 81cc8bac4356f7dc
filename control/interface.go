// Package control decides when, where and how often delivery of each text is attempted. Comments refer to rules of the
// delivery service by number: 1, a text gets exactly one final answer; 2, it is repeated only as its product permits;
// 3, draining and removed receivers get no calls; 4, a recovering receiver gets few; 5, texts of a key are sent in
// order; 6, Retry-After delays are kept.
package control

// Time is a point in time of the caller's clock or a duration, in ticks of a tenth of a millisecond.
type Time int64

// Second is one second.
const Second Time = 10000

// ReceiverID identifies a receiver in the list of receivers.
type ReceiverID uint32

// Settings holds the instance's settings by name, as the caller received them.
type Settings map[string]string

// Actions is implemented by the caller and carries out the decisions.
type Actions interface {
	Submit(textID string, receiver ReceiverID, timeout Time) // timeout 0: until the validity period ends
	Cancel(textID string, number int)                        // the attempt of that number
	Nack(textID string, retryAfter Time)                     // retryAfter 0: no advice
	MarkUndeliverable(textID string)
	WakeAt(at Time, mark int64)
	CloseIdle(receiver ReceiverID) // closes this sender's idle connections to it
	WatchReceivers()               // requests the list's changes from now on; called if RegistryMode is "ask"
	Broadcast(content []byte)      // to every other sender
	Log(line string)
}

// Arrival is a text as a client submits it.
type Arrival struct {
	ID          string
	Product     string
	Destination int64
	TimeLeft    Time // remaining validity period
	Key         string
	Brand       string // owner, if brands have quotas; empty: none
	Retry       bool   // the client submits it again
	Returned    bool   // the sender that held the text has failed

	Recovered bool // accepted before this process started

	// What this sender did for it before a restart.
	Attempts     int
	FirstRunAt   Time   // when the first attempt that may have run was sent; 0: none
	FirstRunZone string // the zone of that attempt
}

// ReceiverState is the state of a receiver in the list.
type ReceiverState int

// The receiver states.
const (
	Up ReceiverState = iota
	Draining
	Removed
)

// ReceiverEntry is one entry of the list of receivers.
type ReceiverEntry struct {
	Receiver    ReceiverID
	Rate        float64 // calls per second that the destination takes; 0 if the list does not tell
	Destination int64
	Kind        string
	Zone        string
	State       ReceiverState
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	Delivered      Outcome = iota
	Errored                // the destination answered with an error
	Refused                // rejected before processing, for overload
	NoAnswer               // no response within the timeout
	NoConnection           // no connection could be made
	ConnectionLost         // the connection broke during the call
	Cancelled
	Unsent // never left this sender
)

func (o Outcome) String() string {
	return [...]string{"delivered", "errored", "full", "no_answer", "no_connection", "lost", "cancelled", "unsent"}[o]
}

// Result is the outcome of one attempt and what the response carried.
type Result struct {
	Outcome          Outcome
	Final            bool      // the text has its final answer
	StaleConn        bool      // a reused connection broke before any response
	ConnLimitReached bool      // refused because no connection was left for this sender
	NotListening     bool      // no connection because nothing listens at the address
	Took             Time      // time since the attempt was sent
	RetryAfter       Time      // with Refused: the delay that the receiver asked for; 0: none
	Report           []float64 // values in the order of the setting Report.Names; nil without a report, NaN for a missing value
}
