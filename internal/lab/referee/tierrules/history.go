package tierrules

import "time"

// Bounds are the figures of the rules.
type Bounds struct {
	Contact       time.Duration // without trouble, for a machine to be in touch
	Drain         time.Duration // after the acknowledgement, within which requests may still reach a draining receiver
	Grace         time.Duration // between SIGTERM and SIGKILL
	LossSlack     time.Duration // within which a request that went nowhere may end unserved
	ConfigApply   time.Duration // within which an acknowledged configuration is in force
	RollbackSlack time.Duration // within which an older configuration may still show
	Recovery      time.Duration // after the machines are back, within which requests are served again
	Ack           time.Duration // within which a proper order of a calm time is acknowledged
}

// History is all that was seen of a day.
type History struct {
	Bounds   Bounds
	Length   time.Duration // traffic ends
	Requests []*Request
	Runs     []*Run
	Turned   []*Turned
	Changes  []*Change
	Reads    []Read
	Ends     []End
	Troubles []Trouble
	Crashed  []Crash
	Starts   []Start
	Loads    []Load
}

// Load is how full the receivers of turns were together at an instant.
type Load struct {
	At    time.Duration
	Taken int // running and queued
	Slots int
}

// Kind is what may be repeated of a route.
type Kind string

// The kinds of route.
const (
	Safe      Kind = "safe"
	Unsafe    Kind = "unsafe"
	Streaming Kind = "streaming"
)

// Request is one try of a client.
type Request struct {
	ID        string
	Machine   string // that it was sent to
	Class     string // the client's kind of request, for the count
	Kind      Kind
	Resumable bool
	Retained  bool
	Authority string
	Target    string
	Method    string
	Body      []byte        // what the client sent; a turn's new input
	Deadline  time.Duration // that the client granted, from Sent
	Timeout   time.Duration // of the route as the client knows it
	Retention time.Duration
	LastEvent uint64 // the stream is taken up behind it
	Attempts  int    // the route's max_attempts

	Program  string
	Budget   int64
	Most     int64 // tokens that the turn may generate
	Chunk    int64 // tokens in an event
	Previous string
	Finish   time.Duration // the instant of the program's aim; 0: none

	Kept   bool // its connection had brought a request before
	Sent   time.Duration
	Whole  time.Duration // its last byte was written; 0: it was not
	Ended  time.Duration // its answer, or the connection, ended
	Answer *Answer       // nil: none came
	GaveUp bool          // the client ended it
	Stray  bool          // bytes came that are no answer in the protocol, or none that was asked for
}

// Answer is what a client read.
type Answer struct {
	Status   int
	Stamp    string
	ID       string // Emberquay-Request-Id of the answer; may be empty
	Body     []byte
	Events   []Event // of a stream, those that came whole
	Complete bool    // its end came
}

// Event is one of a stream.
type Event struct {
	ID   uint64
	Data string
	At   time.Duration
}

// idempotent says whether the request may run more than once.
func (r *Request) idempotent() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// success says whether the client takes the answer as a whole 2xx.
func (r *Request) success() bool {
	return r.whole() && r.Answer.Status/100 == 2
}

// whole says whether an answer came to its end, be it the receiver's or the tier's own.
func (r *Request) whole() bool { return r.Answer != nil && r.Answer.Complete }

// status is that of the answer, 0 where none came.
func (r *Request) status() int {
	if r.Answer == nil {
		return 0
	}
	return r.Answer.Status
}

// Run is a request that a receiver began to work on.
type Run struct {
	RequestID string
	Instance  string
	Service   string
	Authority string
	Target    string
	Method    string
	Body      []byte
	Began     time.Duration
	Ended     time.Duration // 0: never
	Status    int           // that the receiver answered; 0: none
	Stamp     string
	Answer    []byte
	Events    []Event // that were written
	LastEvent uint64  // that it was asked to go on behind
	Complete  bool    // its answer was written whole
	BrokeOff  bool    // the receiver ended it itself
	Most      uint64  // the id of the last event of a whole stream
}

// Turned is a request that reached a receiver and was turned away with the word that it did not run.
type Turned struct {
	RequestID string
	Instance  string
	Status    int
	At        time.Duration
}

// Change is one order of the operator that changes the configuration, with all of its tries.
type Change struct {
	Name    string
	Base    uint64
	Version uint64
	Body    []byte // as sent
	Modify  bool
	Invalid bool
	Routes  []Route // in force once it is taken; the operator knows them from what it sent
	Whole   []byte  // the configuration that should be read back; empty where only its routes are compared
	Tries   []Try
}

// Try is one sending of a change.
type Try struct {
	Sent, Ended time.Duration
	Status      int // 0: no clear answer
}

// Route is what a configuration says of a route.
type Route struct {
	Authority  string
	PathPrefix string
	Services   []string      // with a weight above 0
	Timeout    time.Duration // 0: not told
}

// Read is the configuration as the operator read it.
type Read struct {
	Sent, Ended time.Duration
	Status      int // 0: no answer
	Version     uint64
	Routes      []Route
	Last        bool // asked at the end of the day, the last of its kind
}

// End is a receiver's word that it drains or has gone, and its acknowledgement.
type End struct {
	Instance string
	Acked    time.Duration
	Machine  string // that acknowledged
}

// Trouble is what was done to a machine.
type Trouble struct {
	Machine  string
	What     What
	From, To time.Duration
	Core     bool // the machine belongs to the core, or stores
	Apart    bool // it struck another process of the machine than the one that takes clients' requests
}

// What was done.
type What string

// The troubles.
const (
	Killed     What = "kill"
	Wiped      What = "wipe"
	Frozen     What = "freeze" // it does not run, and goes on where it was
	Terminated What = "term"   // planned
	Reloaded   What = "hup"    // planned; no trouble
	Final      What = "final"
)

// Crash is a receiver that ended without a word.
type Crash struct {
	Instance string
	At       time.Duration
}

// Start is a new incarnation of the process that takes the clients' requests on a machine.
type Start struct {
	Machine string
	At      time.Duration
}
