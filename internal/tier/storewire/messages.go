package storewire

// Status is a store's decision on a request.
type Status int

// Possible statuses.
const (
	Served Status = iota
	// StaleView: the store has seen a newer view; the request was not executed.
	StaleView
	// WrongStore: a store with another id answers at this address; the request was not executed.
	WrongStore
	// Busy: the store cannot accept the request now: its disk is full or slow, or a limit is reached.
	Busy
)

// Header is part of every request.
type Header struct {
	Epoch   int64  `avro:"epoch"` // of the view in which the sender chose the store
	StoreID string `avro:"store"` // id of the addressed store in that view
}

// Reply is part of every answer.
type Reply struct {
	Status   Status `avro:"standing"`
	Complete bool   `avro:"complete"` // the store holds all records placed at it: its "unknown" counts
	View     View   `avro:"view"`     // the store's view if newer than the request's, otherwise empty
}

// Turn is the record of a turn. It is immutable.
type Turn struct {
	ID              string `avro:"id"`
	Root            string `avro:"root"`     // id of the first turn of its conversation
	HomeZone        string `avro:"home"`     // zone whose store comes first in the placement order
	Previous        string `avro:"previous"` // empty for the first turn
	Program         string `avro:"program"`
	Tokens          int64  `avro:"tokens"`
	RetentionMillis int64  `avro:"retention_millis"`
	Input           []byte `avro:"input"`
	Output          []byte `avro:"output"`
}

// TurnHead is a Turn without Input and Output.
type TurnHead struct {
	ID              string `avro:"id"`
	Root            string `avro:"root"`
	HomeZone        string `avro:"home"`
	Previous        string `avro:"previous"`
	Program         string `avro:"program"`
	Tokens          int64  `avro:"tokens"`
	RetentionMillis int64  `avro:"retention_millis"`
}

// ReserveRequest asks a store to hold a reservation, or with Recheck only for its current entries.
type ReserveRequest struct {
	Header       Header `avro:"header"`
	Program      string `avro:"program"`
	Turn         string `avro:"turn"`
	BudgetTokens int64  `avro:"budget"`
	MaxTokens    int64  `avro:"most"`
	Recheck      bool   `avro:"recheck"` // do not store the reservation
	Whole        bool   `avro:"whole"`   // return all entries, however many
}

// ReserveAnswer reports the program's other turns.
type ReserveAnswer struct {
	Reply         Reply  `avro:"reply"`
	Stored        bool   `avro:"kept"`   // the reservation is on disk
	TurnClosed    bool   `avro:"closed"` // the turn is already settled and must not run
	SettledTokens int64  `avro:"settled"`
	Digest        int64  `avro:"digest"`  // of the settled entries
	Whole         bool   `avro:"whole"`   // Entries includes settled entries, not only open ones
	Entries       []byte `avro:"entries"` // see budget.EncodeEntries
}

// Settlement closes a reservation; 0 used tokens withdraw it.
type Settlement struct {
	Program    string `avro:"program"`
	TurnKey    int64  `avro:"turn"` // a budget.TurnKey
	UsedTokens int64  `avro:"used"`
}

// SettleRequest closes reservations, including ones unknown to the store.
type SettleRequest struct {
	Header      Header       `avro:"header"`
	Settlements []Settlement `avro:"settlements"`
}

// Acknowledgement is the answer to requests that need only a Reply.
type Acknowledgement struct {
	Reply Reply `avro:"reply"`
}

// CommitRequest asks a store to hold a turn; the answer is sent once the turn is on disk.
type CommitRequest struct {
	Header Header `avro:"header"`
	Turn   Turn   `avro:"turn"`
}

// HistoryRequest asks for a turn and its predecessors.
type HistoryRequest struct {
	Header     Header `avro:"header"`
	Turn       string `avro:"turn"`
	WithBodies bool   `avro:"bodies"` // otherwise only whether the turn is known
}

// HistoryAnswer holds the requested turn and its predecessors, newest first, up to the first one that the store lacks
// or that does not fit into the message.
type HistoryAnswer struct {
	Reply Reply    `avro:"reply"`
	Known bool     `avro:"known"`
	Turns [][]byte `avro:"turns"` // each encoded by EncodeTurn
}

// ListRequest asks for a page of the turns that a store holds, in the order of their keys.
type ListRequest struct {
	Header    Header `avro:"header"`
	Sender    string `avro:"sender"` // id of the store that asks
	AfterKey  int64  `avro:"after"`  // key after which the page begins, to be read as unsigned
	FromStart bool   `avro:"first"`  // the page begins at the lowest key, AfterKey is ignored
}

// ListAnswer is a page of turns.
type ListAnswer struct {
	Reply Reply  `avro:"reply"`
	Turns []byte `avro:"turns"` // packed ListedTurn elements
	More  bool   `avro:"more"`
}

// FetchRequest asks for turns by key.
type FetchRequest struct {
	Header Header `avro:"header"`
	Keys   []byte `avro:"keys"` // packed, see AppendKey
}

// TurnCopy is a turn that is transferred to another store.
type TurnCopy struct {
	RemainingMillis int64  `avro:"remaining_millis"` // until the turn expires
	Turn            []byte `avro:"turn"`
}

// FetchAnswer holds the first of the requested turns, as many as fit into a message; turns no longer held are left out.
type FetchAnswer struct {
	Reply         Reply      `avro:"reply"`
	ProcessedKeys int        `avro:"looked"` // number of the request's keys that this answer covers
	Turns         []TurnCopy `avro:"parcels"`
}

// Program holds a store's budget entries of a program.
type Program struct {
	Name       string `avro:"name"`
	IdleMillis int64  `avro:"idle_millis"` // since the last activity
	Entries    []byte `avro:"entries"`     // see budget.EncodeEntries
}

// ProgramsRequest asks for a page of all programs that a store knows, in the order of their names.
type ProgramsRequest struct {
	Header    Header `avro:"header"`
	AfterName string `avro:"after"` // name after which the page begins
}

// ProgramsAnswer is a page of programs.
type ProgramsAnswer struct {
	Reply    Reply     `avro:"reply"`
	Programs []Program `avro:"programs"`
	More     bool      `avro:"more"`
}

// CompareRequest asks whether two stores agree on the records that are placed at both.
type CompareRequest struct {
	Header         Header `avro:"header"`
	Sender         string `avro:"sender"` // id of the store that asks
	TurnsDigest    int64  `avro:"turns"`  // digest over all shared turns
	ProgramsDigest int64  `avro:"programs"`
}

// CompareAnswer holds the digests by range if the digests of the request differ.
type CompareAnswer struct {
	Reply          Reply   `avro:"reply"`
	TurnDigests    []int64 `avro:"turns"` // empty: no difference
	ProgramDigests []int64 `avro:"programs"`
}

// ProgramDigest is the digest of a program's entries.
type ProgramDigest struct {
	Name   string `avro:"name"`
	Digest int64  `avro:"digest"`
}

// OfferRequest lists the records that the sender can push.
type OfferRequest struct {
	Header   Header          `avro:"header"`
	TurnKeys []byte          `avro:"turns"` // packed keys
	Programs []ProgramDigest `avro:"programs"`
}

// OfferAnswer selects the offered records to push; all others are on the store's disk when the answer is sent.
type OfferAnswer struct {
	Reply          Reply `avro:"reply"`
	WantedTurns    []int `avro:"turns"`    // indexes in the request's list
	WantedPrograms []int `avro:"programs"` // indexes in the request's list
}

// PushRequest transfers records; the answer is sent once they are on disk.
type PushRequest struct {
	Header   Header     `avro:"header"`
	Turns    []TurnCopy `avro:"parcels"`
	Programs []Program  `avro:"programs"`
}
