package storewire

// Status says what a store makes of a request.
type Status int

// The standings.
const (
	Served Status = iota
	// StaleView: the store has served a newer view; the request was not carried out.
	StaleView
	// WrongStore: another disk than the one meant answers at this address; the request was not carried out.
	WrongStore
	// Busy: the store can't take it now: its disk is full or slow, or it holds as much as it may.
	Busy
)

// Header is part of every request.
type Header struct {
	Epoch   int64  `avro:"epoch"` // of the view by which the sender chose the store
	StoreID string `avro:"store"` // id of the store in that view
}

// Reply is part of every answer.
type Reply struct {
	Status   Status `avro:"standing"`
	Complete bool   `avro:"complete"` // the store holds all that it should: its "unknown" counts
	View     View   `avro:"view"`     // the store's own where it is newer than the request's; else empty
}

// Turn is the record of a turn. It is never changed.
type Turn struct {
	ID              string `avro:"id"`
	Root            string `avro:"root"`     // id of the first turn of its conversation
	HomeZone        string `avro:"home"`     // zone whose store comes first in the order of its places
	Previous        string `avro:"previous"` // empty at the start
	Program         string `avro:"program"`
	Tokens          int64  `avro:"tokens"`
	RetentionMillis int64  `avro:"retention_millis"`
	Input           []byte `avro:"input"`
	Output          []byte `avro:"output"`
}

// TurnHead is a Turn without what was said.
type TurnHead struct {
	ID              string `avro:"id"`
	Root            string `avro:"root"`
	HomeZone        string `avro:"home"`
	Previous        string `avro:"previous"`
	Program         string `avro:"program"`
	Tokens          int64  `avro:"tokens"`
	RetentionMillis int64  `avro:"retention_millis"`
}

// ReserveRequest asks for a reservation to be kept, or (Recheck) for what the store knows by now.
type ReserveRequest struct {
	Header       Header `avro:"header"`
	Program      string `avro:"program"`
	Turn         string `avro:"turn"`
	BudgetTokens int64  `avro:"budget"`
	MaxTokens    int64  `avro:"most"`
	Recheck      bool   `avro:"recheck"` // keep nothing
	Whole        bool   `avro:"whole"`   // list all entries, however many
}

// ReserveAnswer says what the store knows of the program's other turns.
type ReserveAnswer struct {
	Reply         Reply  `avro:"reply"`
	Stored        bool   `avro:"kept"`   // the reservation is on the disk
	TurnClosed    bool   `avro:"closed"` // the turn was settled before: it must not run
	SettledTokens int64  `avro:"settled"`
	Digest        int64  `avro:"digest"`  // of the settled entries
	Whole         bool   `avro:"whole"`   // Entries holds the settled ones too, not only those that are open
	Entries       []byte `avro:"entries"` // packed, see coordination/budget
}

// Settlement closes a reservation; 0 tokens withdraw it.
type Settlement struct {
	Program    string `avro:"program"`
	TurnKey    int64  `avro:"turn"` // its key, see coordination/budget
	UsedTokens int64  `avro:"used"`
}

// SettleRequest closes reservations, known to the store or not.
type SettleRequest struct {
	Header      Header       `avro:"header"`
	Settlements []Settlement `avro:"settlements"`
}

// Acknowledgement answers what needs no more than a Reply.
type Acknowledgement struct {
	Reply Reply `avro:"reply"`
}

// CommitRequest asks for a turn to be kept; the answer comes once it is on the disk.
type CommitRequest struct {
	Header Header `avro:"header"`
	Turn   Turn   `avro:"turn"`
}

// HistoryRequest asks for a turn and those before it.
type HistoryRequest struct {
	Header     Header `avro:"header"`
	Turn       string `avro:"turn"`
	WithBodies bool   `avro:"bodies"` // else only whether the turn is known
}

// HistoryAnswer holds the turns from the one asked for towards the oldest, as far as the store holds them without a gap
// and a message has room.
type HistoryAnswer struct {
	Reply Reply    `avro:"reply"`
	Known bool     `avro:"known"`
	Turns [][]byte `avro:"turns"` // records as kept, see EncodeTurn
}

// ListRequest asks for the turns that a store holds, in the order of their keys.
type ListRequest struct {
	Header    Header `avro:"header"`
	Sender    string `avro:"sender"` // id of the store that asks
	AfterKey  int64  `avro:"after"`  // key that the page begins behind, as unsigned
	FromStart bool   `avro:"first"`  // the page begins at the lowest key
}

// ListAnswer is a page of that list.
type ListAnswer struct {
	Reply Reply  `avro:"reply"`
	Turns []byte `avro:"turns"` // packed Listed
	More  bool   `avro:"more"`
}

// FetchRequest asks for turns by key.
type FetchRequest struct {
	Header Header `avro:"header"`
	Keys   []byte `avro:"keys"` // packed
}

// TurnCopy is a record on its way to another store.
type TurnCopy struct {
	RemainingMillis int64  `avro:"remaining_millis"` // for which it is still to be kept
	Turn            []byte `avro:"turn"`
}

// FetchAnswer holds the first of the turns asked for, as many as a message has room for; those that are gone are left out.
type FetchAnswer struct {
	Reply         Reply      `avro:"reply"`
	ProcessedKeys int        `avro:"looked"` // keys that were dealt with
	Turns         []TurnCopy `avro:"parcels"`
}

// Program is what a store knows of a program's budget.
type Program struct {
	Name       string `avro:"name"`
	IdleMillis int64  `avro:"idle_millis"` // since it was last heard of
	Entries    []byte `avro:"entries"`     // packed
}

// ProgramsRequest asks for all programs that a store knows, in the order of their names.
type ProgramsRequest struct {
	Header    Header `avro:"header"`
	AfterName string `avro:"after"` // name that the page begins behind
}

// ProgramsAnswer is a page of them.
type ProgramsAnswer struct {
	Reply    Reply     `avro:"reply"`
	Programs []Program `avro:"programs"`
	More     bool      `avro:"more"`
}

// CompareRequest asks whether two stores hold the same of what both should hold.
type CompareRequest struct {
	Header         Header `avro:"header"`
	Sender         string `avro:"sender"` // id of the store that asks
	TurnsDigest    int64  `avro:"turns"`  // digest
	ProgramsDigest int64  `avro:"programs"`
}

// CompareAnswer holds the digests of the ranges where they differ.
type CompareAnswer struct {
	Reply          Reply   `avro:"reply"`
	TurnDigests    []int64 `avro:"turns"` // empty: all is alike
	ProgramDigests []int64 `avro:"programs"`
}

// ProgramDigest stands for a program and its entries.
type ProgramDigest struct {
	Name   string `avro:"name"`
	Digest int64  `avro:"digest"`
}

// OfferRequest names what the sender could push.
type OfferRequest struct {
	Header   Header          `avro:"header"`
	TurnKeys []byte          `avro:"turns"` // packed keys
	Programs []ProgramDigest `avro:"programs"`
}

// OfferAnswer says what of it is wanted; all else is on the store's disk when the answer comes.
type OfferAnswer struct {
	Reply          Reply `avro:"reply"`
	WantedTurns    []int `avro:"turns"`    // places in the request's list
	WantedPrograms []int `avro:"programs"` // likewise
}

// PushRequest brings records; the answer comes once they are on the disk.
type PushRequest struct {
	Header   Header     `avro:"header"`
	Turns    []TurnCopy `avro:"parcels"`
	Programs []Program  `avro:"programs"`
}
