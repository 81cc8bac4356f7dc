package store

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"emberquay/coordination/budget"
	"emberquay/coordination/placement"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/storewire"
)

const (
	// listPage bounds the turns of one list, about 70 KB.
	listPage = 8192
	// programsPage bounds the programs of one answer; their entries are bounded by answerBytes too.
	programsPage = 1024
)

// List gives the keys of all turns held here, page by page.
func (s *Store) List(ctx context.Context, q storewire.ListRequest) (storewire.ListAnswer, error) {
	var a storewire.ListAnswer
	err := s.do(ctx, func(t *table) bool { return t.serveList(&q, &a) })
	if err != nil {
		return storewire.ListAnswer{Reply: busy()}, nil
	}
	return a, nil
}

func (t *table) serveList(q *storewire.ListRequest, a *storewire.ListAnswer) bool {
	if !t.admit(q.Header, &a.Reply) {
		return false
	}
	sender := t.meta.View.Find(q.Sender)
	list := make([]*turn, 0, len(t.turns))
	for key, x := range t.turns {
		if q.First || key > uint64(q.After) {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b *turn) int { return cmp.Compare(a.key, b.key) })
	a.More = len(list) > listPage
	for _, x := range list[:min(len(list), listPage)] {
		placed := sender < 0 || slices.Contains(t.placesOf(x), sender)
		a.Turns = storewire.AppendListed(a.Turns, storewire.Listed{Key: x.key, Placed: placed})
	}
	return t.fenced()
}

// located is a turn that is to be sent.
type located struct {
	position  journal.Position
	remaining time.Duration
}

// locate finds turns by key, as many as a message has room for. It tells how many keys it dealt with.
func (t *table) locate(keys []uint64) (found []located, looked int) {
	size := 0
	for _, key := range keys {
		if x := t.turns[key]; x != nil {
			size += int(x.position.Length)
			if size > answerBytes && len(found) > 0 {
				return found, looked
			}
			found = append(found, located{position: x.position, remaining: x.expires - t.now()})
		}
		looked++
	}
	return found, looked
}

// parcels reads turns for another store.
func (s *Store) parcels(found []located) ([]storewire.Parcel, error) {
	parcels := make([]storewire.Parcel, 0, len(found))
	for _, f := range found {
		record, err := s.journal.Read(f.position, nil)
		if err != nil {
			return nil, err
		}
		parcels = append(parcels, storewire.Parcel{RemainingMillis: f.remaining.Milliseconds(), Turn: record[1:]})
	}
	return parcels, nil
}

// Fetch gives turns by key.
func (s *Store) Fetch(ctx context.Context, q storewire.FetchRequest) (storewire.FetchAnswer, error) {
	keys, err := storewire.Keys(q.Keys)
	if err != nil {
		return storewire.FetchAnswer{}, err
	}
	for range readTries {
		var a storewire.FetchAnswer
		var found []located
		err = s.do(ctx, func(t *table) bool {
			if !t.admit(q.Header, &a.Reply) {
				return false
			}
			found, a.Looked = t.locate(keys)
			return t.fenced()
		})
		if err != nil {
			return storewire.FetchAnswer{Reply: busy()}, nil
		}
		a.Parcels, err = s.parcels(found)
		if !errors.Is(err, journal.ErrNotFound) {
			return a, err
		}
	}
	return storewire.FetchAnswer{}, err
}

// Programs gives what is known of all programs, page by page.
func (s *Store) Programs(ctx context.Context, q storewire.ProgramsRequest) (storewire.ProgramsAnswer, error) {
	var a storewire.ProgramsAnswer
	err := s.do(ctx, func(t *table) bool { return t.servePrograms(&q, &a) })
	if err != nil {
		return storewire.ProgramsAnswer{Reply: busy()}, nil
	}
	return a, nil
}

func (t *table) servePrograms(q *storewire.ProgramsRequest, a *storewire.ProgramsAnswer) bool {
	if !t.admit(q.Header, &a.Reply) {
		return false
	}
	var names []string
	for name := range t.programs {
		if name > q.After {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	size := 0
	for at, name := range names {
		if at == programsPage || size > answerBytes {
			a.More = true
			break
		}
		w := t.wire(t.programs[name])
		size += len(w.Entries)
		a.Programs = append(a.Programs, w)
	}
	return t.fenced()
}

// Compare says where this store and the one that asks differ in what both should hold.
func (s *Store) Compare(ctx context.Context, q storewire.CompareRequest) (storewire.CompareAnswer, error) {
	var a storewire.CompareAnswer
	err := s.do(ctx, func(t *table) bool { return t.serveCompare(&q, &a) })
	if err != nil {
		return storewire.CompareAnswer{Reply: busy()}, nil
	}
	return a, nil
}

func (t *table) serveCompare(q *storewire.CompareRequest, a *storewire.CompareAnswer) bool {
	if !t.admit(q.Header, &a.Reply) {
		return false
	}
	sender := t.meta.View.Find(q.Sender)
	if q.Header.Epoch != t.meta.View.Epoch || sender < 0 {
		return t.fenced() // by another view other turns belong at both: a comparison would say nothing
	}
	if t.pairs[sender].Root() != uint64(q.Turns) {
		a.Turns = signed(t.pairs[sender].Leaves())
	}
	if t.programTree.Root() != uint64(q.Programs) {
		a.Programs = signed(t.programTree.Leaves())
	}
	return t.fenced()
}

// signed and unsigned convert digests for avro, which has signed numbers only.
func signed(list []uint64) []int64 {
	converted := make([]int64, len(list))
	for at, x := range list {
		converted[at] = int64(x)
	}
	return converted
}

func unsigned(list []int64) []uint64 {
	converted := make([]uint64, len(list))
	for at, x := range list {
		converted[at] = uint64(x)
	}
	return converted
}

// Offer says which of the records that another store could push are lacking here. All others are on the disk when it
// answers.
func (s *Store) Offer(ctx context.Context, q storewire.OfferRequest) (storewire.OfferAnswer, error) {
	keys, err := storewire.Keys(q.Turns)
	if err != nil {
		return storewire.OfferAnswer{}, err
	}
	var a storewire.OfferAnswer
	err = s.do(ctx, func(t *table) bool {
		if !t.admit(q.Header, &a.Reply) {
			return false
		}
		for at, key := range keys {
			if !t.holds(key) {
				a.Turns = append(a.Turns, at)
			}
		}
		for at, d := range q.Programs {
			if p := t.programs[d.Name]; p == nil || p.ledger.Digest() != uint64(d.Digest) {
				a.Programs = append(a.Programs, at)
			}
		}
		return true
	})
	if err != nil {
		return storewire.OfferAnswer{Reply: busy()}, nil
	}
	return a, nil
}

// Push takes in records of another store.
func (s *Store) Push(ctx context.Context, q storewire.PushRequest) (storewire.Acknowledgement, error) {
	in, err := read(q.Parcels, q.Programs)
	if err != nil {
		return storewire.Acknowledgement{}, err
	}
	var a storewire.Acknowledgement
	err = s.do(ctx, func(t *table) bool {
		if !t.admit(q.Header, &a.Reply) {
			return false
		}
		if !t.take(in) {
			a.Reply.Standing = storewire.Busy
			return false
		}
		return true
	})
	if err != nil {
		return storewire.Acknowledgement{Reply: busy()}, nil
	}
	return a, nil
}

// intake is what came from another store, read.
type intake struct {
	turns    []intakeTurn
	programs []intakeProgram
}

type intakeTurn struct {
	record []byte // with its kind
	head   storewire.TurnHead
	life   time.Duration
}

type intakeProgram struct {
	program storewire.Program
	entries []budget.Entry
}

// read checks what came. Errors: bytes that hold no such record.
func read(parcels []storewire.Parcel, programs []storewire.Program) (*intake, error) {
	in := &intake{}
	for _, p := range parcels {
		head, err := storewire.DecodeTurnHead(p.Turn)
		if err != nil {
			return nil, err
		}
		record := append(append(make([]byte, 0, 1+len(p.Turn)), turnKind), p.Turn...)
		life := min(time.Duration(p.RemainingMillis)*time.Millisecond, retentionOf(head)+maxChain)
		in.turns = append(in.turns, intakeTurn{record: record, head: head, life: life})
	}
	for _, p := range programs {
		entries, err := budget.DecodeEntries(p.Entries)
		if err != nil {
			return nil, err
		}
		in.programs = append(in.programs, intakeProgram{program: p, entries: entries})
	}
	return in, nil
}

// maxChain bounds by how much turns that continue one may extend its life.
const maxChain = 24 * time.Hour

// take keeps what came. It gives false where there is no room for all of it.
func (t *table) take(in *intake) bool {
	for _, x := range in.turns {
		if x.life <= 0 || t.turns[placement.KeyOf(x.head.ID)] == nil && t.holds(placement.KeyOf(x.head.ID)) {
			continue // its time is over here
		}
		if !t.keepTurn(x.record, x.head, x.life) {
			return false
		}
	}
	for _, x := range in.programs {
		if !t.takeProgram(x.program, x.entries) {
			return false
		}
	}
	return true
}
