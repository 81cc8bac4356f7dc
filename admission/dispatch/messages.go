package dispatch

import "time"

// Instant is a point on a monotonic clock of the process, counted from a start that the caller chooses.
type Instant time.Duration

// Add returns the instant t+span.
func (t Instant) Add(span time.Duration) Instant { return t + Instant(span) }

// Sub returns the duration t-other.
func (t Instant) Sub(other Instant) time.Duration { return time.Duration(t - other) }

// InstanceID identifies one incarnation of a receiver.
type InstanceID string

// RequestID identifies a request within this process; it is unique among unfinished requests.
type RequestID string

// Receiver is a receiver's entry in the list.
type Receiver struct {
	ID      InstanceID
	Service string
	Address string // host:port
	Zone    string

	Slots          int // requests that it processes concurrently
	MaxConnections int // that it accepts from all callers together; 0: unknown

	Draining      bool          // gets no more calls
	Silent        bool          // its heartbeats are missing: used as a last resort
	ColdRemaining time.Duration // how much longer it stays slow after its start
	Engine        *EngineInfo   // nil for a plain service
}

// EngineInfo describes a service's model engine, as configured.
type EngineInfo struct {
	KVCapacityTokens int // memory shared by running requests and cached prompts
	ChunkTokens      int // tokens per event of a stream
}

// Report is the load that a receiver reported last.
type Report struct {
	Running, Queued             int
	KVUsedTokens, KVTotalTokens int // total 0: not reported
	// Age is how old the reported state is, including the receiver's own lag. If in doubt, overstate it: a call is
	// then briefly counted twice rather than not at all.
	Age time.Duration
	// Sequence orders the reports of one receiver if the caller numbers them; a report with a lower one is ignored.
	// 0: unknown.
	Sequence uint64
}

// Kind tells whether a request may be repeated.
type Kind int

// The kinds of requests.
const (
	Unsafe    Kind = iota // runs at most once
	Safe                  // may run more than once
	Streaming             // as Unsafe, unless it is resumable
)

// PrefixPart is one of the consecutive parts of a prompt.
type PrefixPart struct {
	ID     uint64
	Tokens int
}

// Request is a request as submitted.
type Request struct {
	ID      RequestID
	Service string // already chosen among the route's targets
	Route   string // call durations are estimated per route and size; may be empty

	Kind          Kind
	Resumable     bool // a stream that another receiver can resume
	Priority      int  // of the route; 0 is the most urgent
	Deadline      Instant
	Timeout       time.Duration // longest that the operator allows it to take; 0: no bound
	TargetLatency time.Duration // within which a response has its full value; 0: none
	MaxAttempts   int           // receivers that may run it; less than 1 counts as 1

	Prefix          []PrefixPart // retained until the request ends
	InputTokens     int
	MaxOutputTokens int

	Program, Session string
	ProgramStarted   bool          // its program is running: more is lost with it than with a new one
	ProgramTimeLeft  time.Duration // until its program's target completion; 0: none
	IsTurn           bool          // a turn of a program, not a tool call
}

// OutcomeKind tells how an attempt ended.
type OutcomeKind int

// The outcomes. Only Full, Misdirected and NotConnected prove that the receiver did not run the request.
const (
	Success        OutcomeKind = iota // the complete response went to the client
	ErrorResponse                     // the receiver's error (5xx) went to the client
	Full                              // 503 or 429 with Emberquay-Not-Executed
	Misdirected                       // 421: another instance has the address
	NotConnected                      // provably no byte of the request was sent
	TransportError                    // the connection or the response broke off: it may have run
	TimedOut                          // the attempt's timeout expired: it may have run
	Cancelled                         // aborted by this proxy: it may have run
)

// Outcome is the result of an attempt.
type Outcome struct {
	Kind            OutcomeKind
	RetryAfter      time.Duration // given with Full; 0: not given
	TimeToFirstByte time.Duration // from sending to the first byte or event of the response; 0: none came
	Duration        time.Duration // from sending to the end
}

// MayHaveRun reports whether the outcome leaves open that the request was run.
func (k OutcomeKind) MayHaveRun() bool { return k != Full && k != Misdirected && k != NotConnected }

// Send asks the caller to send a request to a receiver and to report the end of the call with AttemptEnded.
type Send struct {
	Request  RequestID
	Attempt  int // counts all sends of the request, from 1
	Instance InstanceID
	Address  string
	Timeout  time.Duration // for the whole attempt
	Priority int           // for the receiver: 0 is the most urgent, 9 the least; see DefaultPriority
}

// Refusal asks the caller to answer a request at once; the dispatcher has forgotten it. If part of a response has
// already gone to the client, the caller can only abort it.
type Refusal struct {
	Request    RequestID
	Status     int // 503 if it has not run and never will; 502 or 504 if it may have run
	RetryAfter time.Duration
	MayHaveRun bool // a receiver may have run it
	Reason     Reason
}

// Reason tells why a request was refused.
type Reason int

// The reasons of refusals.
const (
	TooLate      Reason = iota // no receiver could answer it in time
	Overloaded                 // the queue is full, or it or a more urgent request would wait longer than allowed
	NotAdmitted                // a new program beyond the admitted share
	Unrepeatable               // its last call failed, and it may not be retried
	ReasonCount                // number of reasons
)

// String returns the reason as named in metrics.
func (r Reason) String() string {
	return [...]string{"too_late", "overloaded", "not_admitted", "unrepeatable"}[r]
}

// HTTP status codes of refusals.
const (
	StatusBadGateway         = 502
	StatusServiceUnavailable = 503
	StatusGatewayTimeout     = 504
)

// Effects are the actions that an event calls for. Its slices are valid until the next call of the dispatcher.
type Effects struct {
	Sends    []Send
	Refusals []Refusal
	WakeAt   Instant // call Tick at this instant at the latest; 0: as last requested
}
