package store

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"emberquay/coordination/budget"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/storewire"
)

// errNotCanonical reports a record that decodes, but not to the bytes that a store would write. The Avro library
// decodes a record that is cut short as one whose last fields are empty.
var errNotCanonical = eris.New("the record is coded otherwise than a store does")

// diskReader collects what an inspection reports while it reads the records.
type diskReader struct {
	found    Inspection
	records  int
	unknown  int                     // records of unknown kinds
	kinds    map[string]*KindSummary // by name
	turns    map[string]*inspectedTurn
	order    []*inspectedTurn // in the order of their first records
	programs map[string]*budget.Ledger
}

func newDiskReader() *diskReader {
	return &diskReader{
		kinds:    map[string]*KindSummary{},
		turns:    map[string]*inspectedTurn{},
		programs: map[string]*budget.Ledger{},
	}
}

type inspectedTurn struct {
	head     storewire.TurnHead
	bytes    int64
	checksum uint64       // of the first record
	location TurnLocation // of the newest record, like position
	position journal.Position
	traced   traceResult
}

// olderThan reports whether a turn's newest record is older than that of another turn.
func (x *inspectedTurn) olderThan(other *inspectedTurn) bool {
	return cmp.Or(cmp.Compare(x.position.Segment, other.position.Segment), cmp.Compare(x.position.Offset, other.position.Offset)) < 0
}

// traceResult is how far a turn's predecessors can be followed towards the root of its conversation.
type traceResult int

const (
	untraced traceResult = iota
	tracing
	tracedToRoot
	tracedPartly  // a predecessor is not on this disk
	tracedInvalid // its predecessors form a cycle or belong to another conversation
)

// addRecord counts and decodes one record.
func (r *diskReader) addRecord(file string, position journal.Position, record []byte) {
	r.records++
	name, err := r.decodeRecord(file, position, record)
	if name == "" {
		r.unknown++
		name = "unknown"
	}
	kind := r.kinds[name]
	if kind == nil {
		kind = &KindSummary{Kind: name}
		r.kinds[name] = kind
	}
	kind.Records++
	kind.Bytes += int64(len(record))
	if err != nil {
		r.addFinding(file, position, fmt.Sprintf("%s record: %v", name, err))
	}
}

// decodeRecord decodes a record and returns the name of its kind, or "" if the kind is unknown.
func (r *diskReader) decodeRecord(file string, position journal.Position, record []byte) (kind string, err error) {
	switch body := record[1:]; record[0] {
	case metaKind:
		return "meta", r.addMeta(body)
	case turnKind:
		return "turn", r.addTurn(file, position, body)
	case programKind:
		return "program", r.addProgram(body)
	}
	return "", eris.Errorf("kind %d is not known", record[0])
}

func (r *diskReader) addMeta(body []byte) error {
	record, err := metaCodec.Decode(body)
	if err != nil {
		return err
	}
	view, err := storewire.DecodeView(record.View)
	if err != nil {
		return err
	}
	if reencoded, err := metaCodec.Encode(record); err != nil || !bytes.Equal(reencoded, body) {
		return errNotCanonical
	}
	r.found.ID, r.found.Complete, r.found.Unsettled = record.ID, record.Complete, record.Unsettled
	r.found.Fence, r.found.View = record.Fence, summarizeView(view)
	return nil
}

func (r *diskReader) addTurn(file string, position journal.Position, body []byte) error {
	turn, err := storewire.DecodeTurn(body)
	if err != nil {
		return err
	}
	if reencoded, err := storewire.EncodeTurn(turn); err != nil || !bytes.Equal(reencoded, body) {
		return errNotCanonical
	}
	head, err := storewire.DecodeTurnHead(body)
	if err != nil {
		return err
	}
	location := TurnLocation{ID: head.ID, File: file, Offset: int64(position.Offset)}
	checksum := xxhash.Sum64(body)
	r.found.Turns.Newest = &location
	known := r.turns[head.ID]
	if known == nil {
		known = &inspectedTurn{head: head, bytes: int64(len(body)), checksum: checksum}
		r.turns[head.ID] = known
		r.order = append(r.order, known)
	}
	known.location, known.position = location, position
	if known.checksum != checksum {
		return eris.Errorf("turn %s stands here with other contents than before", head.ID)
	}
	return nil
}

func (r *diskReader) addProgram(body []byte) error {
	program, err := programCodec.Decode(body)
	if err != nil {
		return err
	}
	entries, err := budget.DecodeEntries(program.Entries)
	if err != nil {
		return err
	}
	if reencoded, err := programCodec.Encode(program); err != nil || !bytes.Equal(reencoded, body) {
		return errNotCanonical
	}
	ledger := r.programs[program.Name]
	if ledger == nil {
		ledger = &budget.Ledger{}
		r.programs[program.Name] = ledger
	}
	for _, e := range entries {
		ledger.Merge(e)
	}
	return nil
}

func (r *diskReader) addFinding(file string, position journal.Position, problem string) {
	r.found.Findings.Add(journal.Finding{File: file, Offset: int64(position.Offset), Problem: problem})
}

func (r *diskReader) sortedKinds() []KindSummary {
	var kinds []KindSummary
	for _, name := range slices.Sorted(maps.Keys(r.kinds)) {
		kinds = append(kinds, *r.kinds[name])
	}
	return kinds
}

// summarizeTurns counts the turns, in the order of their records, and traces each to its root.
func (r *diskReader) summarizeTurns() {
	summary := &r.found.Turns
	roots := map[string]bool{}
	missing := map[string]bool{}
	var oldest *inspectedTurn
	for _, turn := range r.order {
		summary.Count++
		summary.Bytes += turn.bytes
		roots[turn.head.Root] = true
		if oldest == nil || turn.olderThan(oldest) {
			oldest, summary.Oldest = turn, &turn.location
		}
		switch r.trace(turn) {
		case tracedToRoot:
			summary.Whole++
		case tracedPartly:
			summary.Partial++
		}
		if previous := turn.head.Previous; previous != "" && r.turns[previous] == nil && !missing[previous] {
			missing[previous] = true
			summary.MissingCount++
			if len(summary.Missing) < journal.MaxListedFindings {
				summary.Missing = append(summary.Missing, MissingTurn{ID: previous, Root: turn.head.Root, Next: turn.location})
			}
		}
	}
	summary.Conversations = len(roots)
}

// trace follows a turn's predecessors and records the result for all turns that it visits.
func (r *diskReader) trace(turn *inspectedTurn) traceResult {
	if turn.traced != untraced {
		return turn.traced
	}
	var path []*inspectedTurn
	result := untraced
	for result == untraced {
		path = append(path, turn)
		turn.traced = tracing
		previous := r.turns[turn.head.Previous]
		switch {
		case turn.head.Previous == "":
			result = tracedToRoot
		case previous == nil:
			result = tracedPartly
		case previous.traced == tracing:
			result = tracedInvalid
			r.addTurnFinding(turn, fmt.Sprintf("turn %s continues %s, which continues it", turn.head.ID, turn.head.Previous))
		case previous.head.Root != turn.head.Root:
			result = tracedInvalid
			r.addTurnFinding(turn, fmt.Sprintf("turn %s of conversation %s continues %s of conversation %s",
				turn.head.ID, turn.head.Root, previous.head.ID, previous.head.Root))
		default:
			result = previous.traced
			turn = previous
		}
	}
	for _, visited := range path {
		visited.traced = result
	}
	return result
}

func (r *diskReader) addTurnFinding(turn *inspectedTurn, problem string) {
	r.found.Findings.Add(journal.Finding{File: turn.location.File, Offset: turn.location.Offset, Problem: problem})
}

// summarizePrograms counts the programs and lists those with the most reserved tokens.
func (r *diskReader) summarizePrograms() {
	summary := &r.found.Programs
	for _, name := range slices.Sorted(maps.Keys(r.programs)) {
		ledger := r.programs[name]
		program := ProgramSummary{Name: name, SettledTokens: ledger.SettledTokens()}
		for _, e := range ledger.Entries(nil) {
			if e.Open {
				program.OpenReservations++
				program.ReservedTokens += e.Tokens
			}
		}
		summary.Count++
		summary.OpenReservations += program.OpenReservations
		if program.OpenReservations > 0 {
			summary.WithOpen++
			summary.Listed = append(summary.Listed, program)
		}
	}
	slices.SortFunc(summary.Listed, func(a, b ProgramSummary) int {
		return cmp.Or(cmp.Compare(b.ReservedTokens, a.ReservedTokens), strings.Compare(a.Name, b.Name))
	})
	summary.Listed = summary.Listed[:min(len(summary.Listed), MaxListedPrograms)]
}
