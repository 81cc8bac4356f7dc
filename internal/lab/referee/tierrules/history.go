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
	Bounds        Bounds
	TrafficEnd    time.Duration // traffic ends
	Requests      []*Request
	Runs          []*Run
	Rejections    []*Rejection
	ConfigChanges []*ConfigChange
	ConfigReads   []ConfigRead
	Departures    []Departure
	Faults        []Fault
	Crashes       []Crash
	ProcessStarts []ProcessStart
	Loads         []Load
}

// Load is how full the receivers of turns were together at an instant.
type Load struct {
	At    time.Duration
	InUse int // running and queued
	Slots int
}

// RouteKind is what may be repeated of a route.
type RouteKind string

// The kinds of route.
const (
	Safe      RouteKind = "safe"
	Unsafe    RouteKind = "unsafe"
	Streaming RouteKind = "streaming"
)

// Request is one try of a client.
type Request struct {
	ID          string
	Machine     string // that it was sent to
	Class       string // the client's kind of request, for the count
	Kind        RouteKind
	Resumable   bool
	Retained    bool
	Authority   string
	Target      string
	Method      string
	Body        []byte        // what the client sent; a turn's new input
	Deadline    time.Duration // that the client granted, from Sent
	Timeout     time.Duration // of the route as the client knows it
	Retention   time.Duration
	LastEventID uint64 // the stream is taken up behind it
	MaxAttempts int    // the route's max_attempts

	Program         string
	TokenBudget     int64
	MaxTokens       int64 // tokens that the turn may generate
	TokensPerEvent  int64 // tokens in an event
	Previous        string
	ProgramDeadline time.Duration // the instant of the program's aim; 0: none

	ReusedConnection bool // its connection had brought a request before
	Sent             time.Duration
	FullySent        time.Duration // its last byte was written; 0: it was not
	Ended            time.Duration // its answer, or the connection, ended
	Answer           *Answer       // nil: none came
	ClientAborted    bool          // the client ended it
	StrayBytes       bool          // bytes came that are no answer in the protocol, or none that was asked for
}

// Answer is what a client read.
type Answer struct {
	Status    int
	Stamp     string
	RequestID string // Emberquay-Request-Id of the answer; may be empty
	Body      []byte
	Events    []Event // of a stream, those that came whole
	Complete  bool    // its end came
}

// Event is one of a stream.
type Event struct {
	ID   uint64
	Data string
	At   time.Duration
}

// idempotent says whether the request may run more than once.
func (r *Request) idempotent() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// succeeded says whether the client takes the answer as a whole 2xx.
func (r *Request) succeeded() bool {
	return r.hasCompleteAnswer() && r.Answer.Status/100 == 2
}

// hasCompleteAnswer says whether an answer came to its end, be it the receiver's or the tier's own.
func (r *Request) hasCompleteAnswer() bool { return r.Answer != nil && r.Answer.Complete }

// status is that of the answer, 0 where none came.
func (r *Request) status() int {
	if r.Answer == nil {
		return 0
	}
	return r.Answer.Status
}

// Run is a request that a receiver began to work on.
type Run struct {
	RequestID    string
	Instance     string
	Service      string
	Authority    string
	Target       string
	Method       string
	Body         []byte
	Began        time.Duration
	Ended        time.Duration // 0: never
	Status       int           // that the receiver answered; 0: none
	Stamp        string
	Answer       []byte
	Events       []Event // that were written
	ResumedAfter uint64  // that it was asked to go on behind
	Complete     bool    // its answer was written whole
	Aborted      bool    // the receiver ended it itself
	FinalEventID uint64  // the id of the last event of a whole stream
}

// Rejection is a request that reached a receiver and was turned away with the word that it did not run.
type Rejection struct {
	RequestID string
	Instance  string
	Status    int
	At        time.Duration
}

// ConfigChange is one order of the operator that changes the configuration, with all of its tries.
type ConfigChange struct {
	Name           string
	BaseVersion    uint64
	Version        uint64
	Body           []byte // as sent
	Modify         bool
	Invalid        bool
	Routes         []Route // in force once it is taken; the operator knows them from what it sent
	ExpectedConfig []byte  // the configuration that should be read back; empty where only its routes are compared
	Attempts       []Attempt
}

// Attempt is one sending of a change.
type Attempt struct {
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

// ConfigRead is the configuration as the operator read it.
type ConfigRead struct {
	Sent, Ended time.Duration
	Status      int // 0: no answer
	Version     uint64
	Routes      []Route
	Last        bool // asked at the end of the day, the last of its kind
}

// Departure is a receiver's word that it drains or has gone, and its acknowledgement.
type Departure struct {
	Instance string
	AckedAt  time.Duration
	AckedBy  string // that acknowledged
}

// Fault is what was done to a machine.
type Fault struct {
	Machine      string
	Kind         FaultKind
	From, To     time.Duration
	Core         bool // the machine belongs to the core, or stores
	OtherProcess bool // it struck another process of the machine than the one that takes clients' requests
}

// FaultKind was done.
type FaultKind string

// The troubles.
const (
	Killed     FaultKind = "kill"
	Wiped      FaultKind = "wipe"
	Frozen     FaultKind = "freeze" // it does not run, and goes on where it was
	Terminated FaultKind = "term"   // planned
	Reloaded   FaultKind = "hup"    // planned; no trouble
	FinalFault FaultKind = "final"
)

// Crash is a receiver that ended without a word.
type Crash struct {
	Instance string
	At       time.Duration
}

// ProcessStart is a new incarnation of the process that takes the clients' requests on a machine.
type ProcessStart struct {
	Machine string
	At      time.Duration
}
