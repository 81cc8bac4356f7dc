package tierrules

import "time"

// Bounds are the time limits of the rules.
type Bounds struct {
	Contact       time.Duration // without faults, until a machine counts as in contact
	Drain         time.Duration // from the acknowledgement, during which requests may still reach a draining receiver
	Grace         time.Duration // between SIGTERM and SIGKILL
	LossSlack     time.Duration // after a request was fully sent, during which it may end unserved if it reached no receiver
	ConfigApply   time.Duration // from the acknowledgement until a configuration is in force
	RollbackSlack time.Duration // during which an older configuration may still be observed
	Recovery      time.Duration // from the end of the final fault until requests are served again
	Ack           time.Duration // within which a valid configuration change is acknowledged if no fault is active
}

// History is everything that was observed during a day.
type History struct {
	Bounds        Bounds
	TrafficEnd    time.Duration
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

// Load is the joint load of all receivers of turns at an instant.
type Load struct {
	At    time.Duration
	InUse int // running and queued
	Slots int
}

// RouteKind tells whether a route's requests may be repeated.
type RouteKind string

// The kinds of route.
const (
	Safe      RouteKind = "safe"
	Unsafe    RouteKind = "unsafe"
	Streaming RouteKind = "streaming"
)

// Request is one attempt of a client.
type Request struct {
	ID          string
	Machine     string // that the client sent it to
	Class       string // the client's kind of request, for statistics
	Kind        RouteKind
	Resumable   bool
	Retained    bool
	Authority   string
	Target      string
	Method      string
	Body        []byte        // what the client sent; a turn's new input
	Deadline    time.Duration // granted by the client, counted from Sent
	Timeout     time.Duration // of the route, as known to the client
	Retention   time.Duration
	LastEventID uint64 // the stream is resumed after this event
	MaxAttempts int    // the route's max_attempts

	Program         string
	TokenBudget     int64
	MaxTokens       int64 // that the turn may generate
	TokensPerEvent  int64
	Previous        string
	ProgramDeadline time.Duration // 0: none

	ReusedConnection bool // its connection had carried an earlier request
	Sent             time.Duration
	FullySent        time.Duration // its last byte was written; 0: it was not sent completely
	Ended            time.Duration // its answer or its connection ended
	Answer           *Answer       // nil: none arrived
	ClientAborted    bool          // the client closed the connection
	StrayBytes       bool          // the client read bytes that are not a valid answer, or an answer to no request
}

// Answer is the answer as the client read it.
type Answer struct {
	Status    int
	Stamp     string
	RequestID string // the answer's Emberquay-Request-Id header; may be empty
	Body      []byte
	Events    []Event // of a stream, those received completely
	Complete  bool    // received to its end
}

// Event is an event of a stream.
type Event struct {
	ID   uint64
	Data string
	At   time.Duration
}

// idempotent reports whether the request may run more than once.
func (r *Request) idempotent() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// succeeded reports whether the client received a complete 2xx answer.
func (r *Request) succeeded() bool {
	return r.hasCompleteAnswer() && r.Answer.Status/100 == 2
}

// hasCompleteAnswer reports whether the client received a complete answer, from a receiver or from the tier itself.
func (r *Request) hasCompleteAnswer() bool { return r.Answer != nil && r.Answer.Complete }

// status returns the answer's status, 0 without an answer.
func (r *Request) status() int {
	if r.Answer == nil {
		return 0
	}
	return r.Answer.Status
}

// Run is the execution of a request by a receiver.
type Run struct {
	RequestID    string
	Instance     string
	Service      string
	Authority    string
	Target       string
	Method       string
	Body         []byte
	Began        time.Duration
	Ended        time.Duration // 0: it did not end
	Status       int           // of the receiver's answer; 0: none
	Stamp        string
	Answer       []byte
	Events       []Event // that the receiver wrote
	ResumedAfter uint64  // the event after which the receiver was asked to resume
	Complete     bool    // its answer was written completely
	Aborted      bool    // by the receiver itself
	FinalEventID uint64  // of the complete stream
}

// Rejection is a request that reached a receiver and was rejected with a status that guarantees that it did not run.
type Rejection struct {
	RequestID string
	Instance  string
	Status    int
	At        time.Duration
}

// ConfigChange is one change of the configuration by the operator, with all attempts to send it.
type ConfigChange struct {
	Name           string
	BaseVersion    uint64
	Version        uint64
	Body           []byte // as sent
	Modify         bool
	Invalid        bool
	Routes         []Route // in force after the change; the operator knows them from what it sent
	ExpectedConfig []byte  // that should be read back; empty if only its routes are compared
	Attempts       []Attempt
}

// Attempt is one attempt to send a configuration change.
type Attempt struct {
	Sent, Ended time.Duration
	Status      int // 0: unknown outcome
}

// Route is a route of a configuration.
type Route struct {
	Authority  string
	PathPrefix string
	Services   []string      // with a weight above 0
	Timeout    time.Duration // 0: not specified
}

// ConfigRead is the operator's read of the configuration.
type ConfigRead struct {
	Sent, Ended time.Duration
	Status      int // 0: no answer
	Version     uint64
	Routes      []Route
	Last        bool // the last read, at the end of the day
}

// Departure is the acknowledged notice of a receiver that it drains or has left.
type Departure struct {
	Instance string
	AckedAt  time.Duration
	AckedBy  string // the machine that acknowledged the notice
}

// Fault is an injected fault or a planned operation on a machine.
type Fault struct {
	Machine      string
	Kind         FaultKind
	From, To     time.Duration
	Core         bool // the machine is a core or store machine
	OtherProcess bool // it hit another process than the one that accepts the clients' requests
}

// FaultKind is the kind of a fault or planned operation.
type FaultKind string

// The kinds of faults and planned operations.
const (
	Killed     FaultKind = "kill"
	Wiped      FaultKind = "wipe"
	Frozen     FaultKind = "freeze" // paused, then continued
	Terminated FaultKind = "term"   // planned: SIGTERM
	Reloaded   FaultKind = "hup"    // planned: SIGHUP, which does not end contact
	FinalFault FaultKind = "final"
)

// Crash is the end of a receiver without notice.
type Crash struct {
	Instance string
	At       time.Duration
}

// ProcessStart is the start of a new incarnation of a machine's process that accepts the clients' requests.
type ProcessStart struct {
	Machine string
	At      time.Duration
}
