package dispatch

import "time"

// Instant is a moment on the process's monotonic clock, counted from its start.
type Instant time.Duration

// Add gives the instant a span later.
func (t Instant) Add(span time.Duration) Instant { return t + Instant(span) }

// Sub gives the span since another instant.
func (t Instant) Sub(other Instant) time.Duration { return time.Duration(t - other) }

// InstanceID names one incarnation of a receiver.
type InstanceID string

// RequestID names a request within this process; no two that are unfinished share one.
type RequestID string

// Receiver is what is listed of a receiver.
type Receiver struct {
	ID      InstanceID
	Service string
	Address string // host:port
	Zone    string

	Slots          int // requests that it works on at once
	MaxConnections int // that it accepts from all callers together; 0: not known

	Draining      bool          // nothing goes there any more
	Silent        bool          // its heartbeats stay away: last choice
	ColdRemaining time.Duration // how much longer it stays slow from its start
	Engine        *EngineInfo   // nil for a plain service
}

// EngineInfo is what a service's configuration tells of its model engine.
type EngineInfo struct {
	KVCapacityTokens int // memory that running requests and cached parts share
	ChunkTokens      int // tokens in one event of a stream
}

// Report is what a receiver last told of itself.
type Report struct {
	Running, Queued             int
	KVUsedTokens, KVTotalTokens int // tokens; total 0: not told
	// Age is how old the told state is, with the receiver's own lag. When unsure tell it too old: a call is then
	// counted twice for a moment rather than not at all.
	Age time.Duration
	// Sequence orders the reports of one receiver where the caller numbers them; a lower one is old news. 0:
	// unknown.
	Sequence uint64
}

// Kind says what may be repeated.
type Kind int

// The kinds.
const (
	Unsafe    Kind = iota // runs at most once
	Safe                  // may run more than once
	Streaming             // as Unsafe, unless it is resumable
)

// PrefixPart is one part of a prompt, in order.
type PrefixPart struct {
	ID     uint64
	Tokens int
}

// Request is a request as it arrives.
type Request struct {
	ID      RequestID
	Service string // already chosen among the route's targets
	Route   string // usual calls are learnt for each route and size; may be empty

	Kind          Kind
	Resumable     bool // a stream that another receiver may take up
	Priority      int  // of the route; 0 is the most urgent
	Deadline      Instant
	Timeout       time.Duration // longest that the operator wants it held; 0: no bound
	TargetLatency time.Duration // within which an answer earns its full worth; 0: none
	MaxAttempts   int           // receivers that may run it; less than 1 counts as 1

	Prefix          []PrefixPart // kept until the request ends
	InputTokens     int
	MaxOutputTokens int // at most

	Program, Session string
	ProgramStarted   bool          // its program is under way: more is lost with it than with one that begins
	ProgramTimeLeft  time.Duration // left of the program's objective; 0: none
	IsTurn           bool          // a turn of a program, not a call of a tool
}

// OutcomeKind says how an attempt ended.
type OutcomeKind int

// The outcomes. Only Full, Elsewhere and NotConnected prove that the receiver did not run the request.
const (
	Success        OutcomeKind = iota // the whole answer went to the client
	ErrorResponse                     // the receiver's own failure (5xx) went to the client
	Full                              // 503 or 429 with Emberquay-Not-Executed
	Misdirected                       // 421: another instance has the address
	NotConnected                      // certain that no byte of the request was sent
	TransportError                    // the connection or the answer broke: it may have run
	TimedOut                          // the attempt's timeout passed: it may have run
	Cancelled                         // called off by this side: it may have run
)

// Outcome is the end of an attempt.
type Outcome struct {
	Kind            OutcomeKind
	RetryAfter      time.Duration // told with Full; 0: untold
	TimeToFirstByte time.Duration // from sending to the first byte or event of the answer; 0: none came
	Duration        time.Duration // from sending to the end
}

// MayHaveRun: the outcome does not prove that the request was not run.
func (k OutcomeKind) MayHaveRun() bool { return k != Full && k != Misdirected && k != NotConnected }

// Send asks to pass a request on to a receiver. Report its end with AttemptEnded.
type Send struct {
	Request  RequestID
	Attempt  int // counts all sends of the request, from 1
	Instance InstanceID
	Address  string
	Timeout  time.Duration // for the whole attempt
	Priority int           // for the receiver: 0 first, 9 last, DefaultPriority if nothing is to be gained
}

// Refusal asks to answer a request at once; the dispatcher has forgotten it. Where part of an answer has gone
// to the client, only the cut of it is left.
type Refusal struct {
	Request    RequestID
	Status     int // 503 where it has not run and never will; 502 or 504 where it may have run
	RetryAfter time.Duration
	MayHaveRun bool // it may have run
	Reason     Reason
}

// Reason says why a request was refused.
type Reason int

// The reasons.
const (
	TooLate      Reason = iota // no receiver could answer it within its time
	Overloaded                 // its kind, or a more urgent one, would wait longer than its objective bears
	NotAdmitted                // a program that begins, beyond the share that is admitted
	Unrepeatable               // its last call failed, and it may not go again
	ReasonCount                // their number
)

// String is the reason as metrics have it.
func (r Reason) String() string {
	return [...]string{"too_late", "overloaded", "not_admitted", "unrepeatable"}[r]
}

// The statuses of refusals.
const (
	StatusBadGateway         = 502
	StatusServiceUnavailable = 503
	StatusGatewayTimeout     = 504
)

// Effects is what an event calls for. Its slices are valid until the dispatcher is next called.
type Effects struct {
	Sends    []Send
	Refusals []Refusal
	WakeAt   Instant // call Tick at this instant at the latest; 0: as asked before
}
