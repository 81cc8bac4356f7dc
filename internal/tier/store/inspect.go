package store

import (
	"slices"

	"github.com/rotisserie/eris"

	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/vfs"
)

// MaxListedPrograms bounds the programs that an inspection lists; all are counted.
const MaxListedPrograms = 50

// Errors of Inspect.
var (
	// ErrNoRecords: the ring holds no record, nor anything that is damaged.
	ErrNoRecords = eris.New("nothing is kept in it yet")
	// ErrNotStore: the records are not those of a store.
	ErrNotStore = eris.New("its records are not those of a store")
)

// Inspection is what the disk of a store holds, as a start would find it. Records bear no time, so their age
// is told by their order.
type Inspection struct {
	Ring *journal.Inspection `json:"ring"`

	ID        string      `json:"id"`
	Complete  bool        `json:"complete"`
	Unsettled bool        `json:"unsettled"` // a store was removed since, what it held may not be here
	Fence     int64       `json:"fence"`     // epoch of the newest view by which a request was served
	View      ViewSummary `json:"view"`

	Records []KindSummary `json:"records"` // by kind
	Turns   TurnsSummary  `json:"turns"`

	Programs ProgramsSummary `json:"programs"`

	// Findings are those of the ring and of the records in it.
	Findings journal.Findings `json:"findings"`
}

// ViewSummary is the newest view of the stores that the disk knows.
type ViewSummary struct {
	Epoch     int64           `json:"epoch"` // 0: none
	Tolerance int             `json:"tolerance"`
	Members   []MemberSummary `json:"members"`
}

// MemberSummary is a store of that view.
type MemberSummary struct {
	ID       string `json:"id"`
	Node     string `json:"node"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	Retiring bool   `json:"retiring"`
	Replaced bool   `json:"replaced"`
}

func summarizeView(view storewire.View) ViewSummary {
	summary := ViewSummary{Epoch: view.Epoch, Tolerance: view.Tolerance}
	for _, m := range view.Members {
		summary.Members = append(summary.Members, MemberSummary(m))
	}
	return summary
}

// KindSummary counts the records of a kind, those included that newer ones replace.
type KindSummary struct {
	Kind    string `json:"kind"`
	Records int    `json:"records"`
	Bytes   int64  `json:"bytes"`
}

// TurnLocation is where a turn stands.
type TurnLocation struct {
	ID     string `json:"id"`
	File   string `json:"file"`
	Offset int64  `json:"offset"`
}

// MissingTurn is a turn that others continue and that is not on this disk: other stores hold it, or it has
// expired.
type MissingTurn struct {
	ID   string       `json:"id"`
	Root string       `json:"root"` // of the conversation
	Next TurnLocation `json:"next"` // the turn that names it
}

// TurnsSummary is what the disk holds of conversations.
type TurnsSummary struct {
	Count         int           `json:"count"`
	Bytes         int64         `json:"bytes"`
	Conversations int           `json:"conversations"`
	Oldest        *TurnLocation `json:"oldest,omitempty"` // record
	Newest        *TurnLocation `json:"newest,omitempty"`
	Whole         int           `json:"whole"`   // turns that can be followed to their root on this disk
	Partial       int           `json:"partial"` // turns of which a turn before is elsewhere
	MissingCount  int           `json:"missing_count"`
	Missing       []MissingTurn `json:"missing"` // the first journal.MaxListedFindings of them
}

// ProgramSummary is what the disk knows of a program's budget.
type ProgramSummary struct {
	Name             string `json:"name"`
	OpenReservations int    `json:"open"`    // reservations
	ReservedTokens   int64  `json:"most"`    // tokens that these may use
	SettledTokens    int64  `json:"settled"` // tokens
}

// ProgramsSummary is what the disk holds of budgets.
type ProgramsSummary struct {
	Count            int              `json:"count"`
	WithOpen         int              `json:"with_open"` // programs with open reservations
	OpenReservations int              `json:"open"`      // reservations of all programs
	Listed           []ProgramSummary `json:"listed"`    // the MaxListedPrograms that may use most, then by name
}

// Inspect reads the disk of a store without writing anything. Errors: journal.ErrNoRing, ErrNoRecords,
// ErrNotStore, or the disk's; all else that is wrong is in the findings.
func Inspect(files vfs.FS, dir string) (*Inspection, error) {
	r := newDiskReader()
	ring, err := journal.Inspect(files, dir, r.addRecord)
	switch {
	case err != nil:
		return nil, err
	case r.records > 0 && r.unknown == r.records:
		return nil, ErrNotStore
	case r.records == 0 && ring.Findings.Count == 0:
		return nil, ErrNoRecords
	}
	r.found.Ring = ring
	if r.records > 0 && r.found.ID == "" {
		problem := "no record says which store this is: a start begins anew under another id"
		r.addFinding(ring.Segments[0].File, journal.Position{}, problem)
	}
	r.found.Records = r.sortedKinds()
	r.summarizeTurns()
	r.summarizePrograms()
	findings := ring.Findings
	findings.Listed = slices.Clone(findings.Listed)
	findings.Merge(r.found.Findings)
	r.found.Findings = findings
	return &r.found, nil
}
