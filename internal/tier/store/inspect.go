package store

import (
	"slices"

	"github.com/rotisserie/eris"

	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/vfs"
)

// MaxListedPrograms bounds the programs that an inspection lists; it counts all.
const MaxListedPrograms = 50

// Errors of Inspect.
var (
	// ErrNoRecords reports a journal without any record or damage.
	ErrNoRecords = eris.New("nothing is kept in it yet")
	// ErrNotStore reports a journal whose records are all of unknown kinds.
	ErrNotStore = eris.New("its records are not those of a store")
)

// Inspection describes the contents of a store's disk, as Start would find them. Records carry no time, so only their
// order tells their age.
type Inspection struct {
	Ring *journal.Inspection `json:"ring"`

	ID        string      `json:"id"`
	Complete  bool        `json:"complete"`
	Unsettled bool        `json:"unsettled"` // a store was removed since, and data that it held may be missing here
	Fence     int64       `json:"fence"`     // newest epoch of a served request or an applied view; older requests are rejected
	View      ViewSummary `json:"view"`

	Records []KindSummary `json:"records"` // by kind
	Turns   TurnsSummary  `json:"turns"`

	Programs ProgramsSummary `json:"programs"`

	// Findings lists damage to the journal and to the records in it.
	Findings journal.Findings `json:"findings"`
}

// ViewSummary is the newest store view on the disk.
type ViewSummary struct {
	Epoch     int64           `json:"epoch"` // 0: none
	Tolerance int             `json:"tolerance"`
	Members   []MemberSummary `json:"members"`
}

// MemberSummary describes a store of the view.
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

// KindSummary counts the records of a kind, including those that newer ones supersede.
type KindSummary struct {
	Kind    string `json:"kind"`
	Records int    `json:"records"`
	Bytes   int64  `json:"bytes"`
}

// TurnLocation is the place of a turn's record on the disk.
type TurnLocation struct {
	ID     string `json:"id"`
	File   string `json:"file"`
	Offset int64  `json:"offset"`
}

// MissingTurn is a turn that others continue and that is not on this disk: other stores hold it, or it has expired.
type MissingTurn struct {
	ID   string       `json:"id"`
	Root string       `json:"root"` // of the conversation
	Next TurnLocation `json:"next"` // the turn that continues it
}

// TurnsSummary summarizes the turns on the disk.
type TurnsSummary struct {
	Count         int           `json:"count"`
	Bytes         int64         `json:"bytes"`
	Conversations int           `json:"conversations"`
	Oldest        *TurnLocation `json:"oldest,omitempty"` // by the order of the records
	Newest        *TurnLocation `json:"newest,omitempty"`
	Whole         int           `json:"whole"`   // turns that can be followed to their root on this disk
	Partial       int           `json:"partial"` // turns with a predecessor that is not on this disk
	MissingCount  int           `json:"missing_count"`
	Missing       []MissingTurn `json:"missing"` // the first journal.MaxListedFindings of them
}

// ProgramSummary summarizes the budget of a program.
type ProgramSummary struct {
	Name             string `json:"name"`
	OpenReservations int    `json:"open"`
	ReservedTokens   int64  `json:"most"` // most tokens that the open reservations may use
	SettledTokens    int64  `json:"settled"`
}

// ProgramsSummary summarizes the budgets on the disk.
type ProgramsSummary struct {
	Count            int              `json:"count"`
	WithOpen         int              `json:"with_open"` // programs with open reservations
	OpenReservations int              `json:"open"`      // of all programs
	Listed           []ProgramSummary `json:"listed"`    // the MaxListedPrograms with the most reserved tokens, then by name
}

// Inspect reads the disk of a store without writing to it. Errors: journal.ErrNoRing, ErrNoRecords, ErrNotStore, or the
// disk's; everything else that is wrong is in the findings.
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
