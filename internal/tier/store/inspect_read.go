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

// errCoded: bytes that decode, but are not those that a store writes. The library takes a record that ends
// too early for one whose last fields are empty.
var errCoded = eris.New("the record is coded otherwise than a store does")

// diskReader adds up the records of a disk.
type diskReader struct {
	found    Inspection
	records  int
	unknown  int                     // records of no kind of a store
	kinds    map[string]*KindSummary // by name
	turns    map[string]*turnFound
	order    []*turnFound // as first found
	programs map[string]*budget.Ledger
}

func newDiskReader() *diskReader {
	return &diskReader{
		kinds:    map[string]*KindSummary{},
		turns:    map[string]*turnFound{},
		programs: map[string]*budget.Ledger{},
	}
}

type turnFound struct {
	head   storewire.TurnHead
	bytes  int64
	sum    uint64       // of the record
	place  TurnLocation // of the newest record, and its position
	at     journal.Position
	follow follow
}

// before says that a turn's record is the older one.
func (x *turnFound) before(other *turnFound) bool {
	return cmp.Or(cmp.Compare(x.at.Segment, other.at.Segment), cmp.Compare(x.at.Offset, other.at.Offset)) < 0
}

// follow says how far a turn was followed towards the root of its conversation.
type follow int

const (
	notFollowed follow = iota
	beingFollowed
	followedWhole
	followedPartly // a turn before it is not on this disk
	followedWrong  // the turns before it make no conversation
)

// take takes one record.
func (r *diskReader) take(file string, p journal.Position, record []byte) {
	r.records++
	name, err := r.decode(file, p, record)
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
		r.damage(file, p, fmt.Sprintf("%s record: %v", name, err))
	}
}

// decode reads one record whole and gives the name of its kind, or none.
func (r *diskReader) decode(file string, p journal.Position, record []byte) (kind string, err error) {
	switch body := record[1:]; record[0] {
	case metaKind:
		return "meta", r.takeMeta(body)
	case turnKind:
		return "turn", r.takeTurn(file, p, body)
	case programKind:
		return "program", r.takeProgram(body)
	}
	return "", eris.Errorf("kind %d is not known", record[0])
}

func (r *diskReader) takeMeta(body []byte) error {
	m, err := metaCodec.Decode(body)
	if err != nil {
		return err
	}
	view, err := storewire.DecodeView(m.View)
	if err != nil {
		return err
	}
	if again, err := metaCodec.Encode(m); err != nil || !bytes.Equal(again, body) {
		return errCoded
	}
	r.found.ID, r.found.Complete, r.found.Unsettled = m.ID, m.Complete, m.Unsettled
	r.found.Fence, r.found.View = m.Fence, viewOf(view)
	return nil
}

func (r *diskReader) takeTurn(file string, p journal.Position, body []byte) error {
	turn, err := storewire.DecodeTurn(body)
	if err != nil {
		return err
	}
	if again, err := storewire.EncodeTurn(turn); err != nil || !bytes.Equal(again, body) {
		return errCoded
	}
	head, err := storewire.DecodeTurnHead(body)
	if err != nil {
		return err
	}
	place := TurnLocation{ID: head.ID, File: file, Offset: int64(p.Offset)}
	sum := xxhash.Sum64(body)
	r.found.Turns.Newest = &place
	known := r.turns[head.ID]
	if known == nil {
		known = &turnFound{head: head, bytes: int64(len(body)), sum: sum}
		r.turns[head.ID] = known
		r.order = append(r.order, known)
	}
	known.place, known.at = place, p
	if known.sum != sum {
		return eris.Errorf("turn %s stands here with other contents than before", head.ID)
	}
	return nil
}

func (r *diskReader) takeProgram(body []byte) error {
	program, err := programCodec.Decode(body)
	if err != nil {
		return err
	}
	entries, err := budget.DecodeEntries(program.Entries)
	if err != nil {
		return err
	}
	if again, err := programCodec.Encode(program); err != nil || !bytes.Equal(again, body) {
		return errCoded
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

func (r *diskReader) damage(file string, p journal.Position, problem string) {
	r.found.Findings.Add(journal.Finding{File: file, Offset: int64(p.Offset), Problem: problem})
}

func (r *diskReader) sortedKinds() []KindSummary {
	var kinds []KindSummary
	for _, name := range slices.Sorted(maps.Keys(r.kinds)) {
		kinds = append(kinds, *r.kinds[name])
	}
	return kinds
}

// followTurns counts the turns, in the order of their records, and follows each towards its root.
func (r *diskReader) followTurns() {
	found := &r.found.Turns
	roots := map[string]bool{}
	missing := map[string]bool{}
	var oldest *turnFound
	for _, x := range r.order {
		found.Count++
		found.Bytes += x.bytes
		roots[x.head.Root] = true
		if oldest == nil || x.before(oldest) {
			oldest, found.Oldest = x, &x.place
		}
		switch r.follow(x) {
		case followedWhole:
			found.Whole++
		case followedPartly:
			found.Partial++
		}
		if previous := x.head.Previous; previous != "" && r.turns[previous] == nil && !missing[previous] {
			missing[previous] = true
			found.MissingCount++
			if len(found.Missing) < journal.MaxListedFindings {
				found.Missing = append(found.Missing, MissingTurn{ID: previous, Root: x.head.Root, Next: x.place})
			}
		}
	}
	found.Conversations = len(roots)
}

// follow goes from a turn to those before it, and marks all that it passes.
func (r *diskReader) follow(x *turnFound) follow {
	if x.follow != notFollowed {
		return x.follow
	}
	var passed []*turnFound
	end := notFollowed
	for end == notFollowed {
		passed = append(passed, x)
		x.follow = beingFollowed
		previous := r.turns[x.head.Previous]
		switch {
		case x.head.Previous == "":
			end = followedWhole
		case previous == nil:
			end = followedPartly
		case previous.follow == beingFollowed:
			end = followedWrong
			r.wrong(x, fmt.Sprintf("turn %s continues %s, which continues it", x.head.ID, x.head.Previous))
		case previous.head.Root != x.head.Root:
			end = followedWrong
			r.wrong(x, fmt.Sprintf("turn %s of conversation %s continues %s of conversation %s",
				x.head.ID, x.head.Root, previous.head.ID, previous.head.Root))
		default:
			end = previous.follow
			x = previous
		}
	}
	for _, p := range passed {
		p.follow = end
	}
	return end
}

func (r *diskReader) wrong(x *turnFound, problem string) {
	r.found.Findings.Add(journal.Finding{File: x.place.File, Offset: x.place.Offset, Problem: problem})
}

// countPrograms counts the programs and lists those whose open reservations may use most.
func (r *diskReader) countPrograms() {
	found := &r.found.Programs
	for _, name := range slices.Sorted(maps.Keys(r.programs)) {
		ledger := r.programs[name]
		one := ProgramSummary{Name: name, SettledTokens: ledger.SettledTokens()}
		for _, e := range ledger.Entries(nil) {
			if e.Open {
				one.OpenReservations++
				one.ReservedTokens += e.Tokens
			}
		}
		found.Count++
		found.OpenReservations += one.OpenReservations
		if one.OpenReservations > 0 {
			found.WithOpen++
			found.Listed = append(found.Listed, one)
		}
	}
	slices.SortFunc(found.Listed, func(a, b ProgramSummary) int {
		return cmp.Or(cmp.Compare(b.ReservedTokens, a.ReservedTokens), strings.Compare(a.Name, b.Name))
	})
	found.Listed = found.Listed[:min(len(found.Listed), MaxListedPrograms)]
}
