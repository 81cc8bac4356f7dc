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
	// listPageTurns bounds the turns of one list, about 70 KB.
	listPageTurns = 8192
	// programsPageSize bounds the programs of one answer; their entries are bounded by answerBytes too.
	programsPageSize = 1024
)

// List gives the keys of all turns held here, page by page.
func (s *Store) List(ctx context.Context, request storewire.ListRequest) (storewire.ListAnswer, error) {
	var answer storewire.ListAnswer
	err := s.do(ctx, func(t *table) bool { return t.serveList(&request, &answer) })
	if err != nil {
		return storewire.ListAnswer{Reply: busyReply()}, nil
	}
	return answer, nil
}

func (t *table) serveList(request *storewire.ListRequest, answer *storewire.ListAnswer) bool {
	if !t.checkHeader(request.Header, &answer.Reply) {
		return false
	}
	sender := t.meta.View.Find(request.Sender)
	turns := make([]*heldTurn, 0, len(t.turns))
	for key, turn := range t.turns {
		if request.First || key > uint64(request.After) {
			turns = append(turns, turn)
		}
	}
	slices.SortFunc(turns, func(a, b *heldTurn) int { return cmp.Compare(a.key, b.key) })
	answer.More = len(turns) > listPageTurns
	for _, turn := range turns[:min(len(turns), listPageTurns)] {
		placed := sender < 0 || slices.Contains(t.placesOf(turn), sender)
		answer.Turns = storewire.AppendListed(answer.Turns, storewire.Listed{Key: turn.key, Placed: placed})
	}
	return t.fenceUnsynced()
}

// turnLocation is a turn that is to be sent.
type turnLocation struct {
	position  journal.Position
	remaining time.Duration
}

// locateTurns finds turns by key, as many as a message has room for. It tells how many keys it dealt with.
func (t *table) locateTurns(keys []uint64) (locations []turnLocation, processed int) {
	bytes := 0
	for _, key := range keys {
		if turn := t.turns[key]; turn != nil {
			bytes += int(turn.position.Length)
			if bytes > maxAnswerBytes && len(locations) > 0 {
				return locations, processed
			}
			locations = append(locations, turnLocation{position: turn.position, remaining: turn.expiresAt - t.now()})
		}
		processed++
	}
	return locations, processed
}

// readParcels reads turns for another store.
func (s *Store) readParcels(locations []turnLocation) ([]storewire.Parcel, error) {
	parcels := make([]storewire.Parcel, 0, len(locations))
	for _, location := range locations {
		record, err := s.journal.Read(location.position, nil)
		if err != nil {
			return nil, err
		}
		parcels = append(parcels, storewire.Parcel{RemainingMillis: location.remaining.Milliseconds(), Turn: record[1:]})
	}
	return parcels, nil
}

// Fetch gives turns by key.
func (s *Store) Fetch(ctx context.Context, request storewire.FetchRequest) (storewire.FetchAnswer, error) {
	keys, err := storewire.Keys(request.Keys)
	if err != nil {
		return storewire.FetchAnswer{}, err
	}
	for range maxReadAttempts {
		var answer storewire.FetchAnswer
		var locations []turnLocation
		err = s.do(ctx, func(t *table) bool {
			if !t.checkHeader(request.Header, &answer.Reply) {
				return false
			}
			locations, answer.Looked = t.locateTurns(keys)
			return t.fenceUnsynced()
		})
		if err != nil {
			return storewire.FetchAnswer{Reply: busyReply()}, nil
		}
		answer.Parcels, err = s.readParcels(locations)
		if !errors.Is(err, journal.ErrNotFound) {
			return answer, err
		}
	}
	return storewire.FetchAnswer{}, err
}

// Programs gives what is known of all programs, page by page.
func (s *Store) Programs(ctx context.Context, request storewire.ProgramsRequest) (storewire.ProgramsAnswer, error) {
	var answer storewire.ProgramsAnswer
	err := s.do(ctx, func(t *table) bool { return t.servePrograms(&request, &answer) })
	if err != nil {
		return storewire.ProgramsAnswer{Reply: busyReply()}, nil
	}
	return answer, nil
}

func (t *table) servePrograms(request *storewire.ProgramsRequest, answer *storewire.ProgramsAnswer) bool {
	if !t.checkHeader(request.Header, &answer.Reply) {
		return false
	}
	var names []string
	for name := range t.programs {
		if name > request.After {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	bytes := 0
	for i, name := range names {
		if i == programsPageSize || bytes > maxAnswerBytes {
			answer.More = true
			break
		}
		program := t.toWire(t.programs[name])
		bytes += len(program.Entries)
		answer.Programs = append(answer.Programs, program)
	}
	return t.fenceUnsynced()
}

// Compare says where this store and the one that asks differ in what both should hold.
func (s *Store) Compare(ctx context.Context, request storewire.CompareRequest) (storewire.CompareAnswer, error) {
	var answer storewire.CompareAnswer
	err := s.do(ctx, func(t *table) bool { return t.serveCompare(&request, &answer) })
	if err != nil {
		return storewire.CompareAnswer{Reply: busyReply()}, nil
	}
	return answer, nil
}

func (t *table) serveCompare(request *storewire.CompareRequest, answer *storewire.CompareAnswer) bool {
	if !t.checkHeader(request.Header, &answer.Reply) {
		return false
	}
	sender := t.meta.View.Find(request.Sender)
	if request.Header.Epoch != t.meta.View.Epoch || sender < 0 {
		return t.fenceUnsynced() // by another view other turns belong at both: a comparison would say nothing
	}
	if t.sharedTurnTrees[sender].Root() != uint64(request.Turns) {
		answer.Turns = toSigned(t.sharedTurnTrees[sender].Leaves())
	}
	if t.programTree.Root() != uint64(request.Programs) {
		answer.Programs = toSigned(t.programTree.Leaves())
	}
	return t.fenceUnsynced()
}

// toSigned and unsigned convert digests for avro, which has signed numbers only.
func toSigned(values []uint64) []int64 {
	converted := make([]int64, len(values))
	for i, value := range values {
		converted[i] = int64(value)
	}
	return converted
}

func toUnsigned(values []int64) []uint64 {
	converted := make([]uint64, len(values))
	for i, value := range values {
		converted[i] = uint64(value)
	}
	return converted
}

// Offer says which of the records that another store could push are lacking here. All others are on the disk when it
// answers.
func (s *Store) Offer(ctx context.Context, request storewire.OfferRequest) (storewire.OfferAnswer, error) {
	keys, err := storewire.Keys(request.Turns)
	if err != nil {
		return storewire.OfferAnswer{}, err
	}
	var answer storewire.OfferAnswer
	err = s.do(ctx, func(t *table) bool {
		if !t.checkHeader(request.Header, &answer.Reply) {
			return false
		}
		for i, key := range keys {
			if !t.heldOrExpired(key) {
				answer.Turns = append(answer.Turns, i)
			}
		}
		for i, digest := range request.Programs {
			if p := t.programs[digest.Name]; p == nil || p.ledger.Digest() != uint64(digest.Digest) {
				answer.Programs = append(answer.Programs, i)
			}
		}
		return true
	})
	if err != nil {
		return storewire.OfferAnswer{Reply: busyReply()}, nil
	}
	return answer, nil
}

// Push takes in records of another store.
func (s *Store) Push(ctx context.Context, request storewire.PushRequest) (storewire.Acknowledgement, error) {
	records, err := decodeReceived(request.Parcels, request.Programs)
	if err != nil {
		return storewire.Acknowledgement{}, err
	}
	var answer storewire.Acknowledgement
	err = s.do(ctx, func(t *table) bool {
		if !t.checkHeader(request.Header, &answer.Reply) {
			return false
		}
		if !t.storeReceived(records) {
			answer.Reply.Standing = storewire.Busy
			return false
		}
		return true
	})
	if err != nil {
		return storewire.Acknowledgement{Reply: busyReply()}, nil
	}
	return answer, nil
}

// received is what came from another store, read.
type received struct {
	turns    []receivedTurn
	programs []receivedProgram
}

type receivedTurn struct {
	record []byte // with its kind
	head   storewire.TurnHead
	ttl    time.Duration
}

type receivedProgram struct {
	program storewire.Program
	entries []budget.Entry
}

// decodeReceived checks what came. Errors: bytes that hold no such record.
func decodeReceived(parcels []storewire.Parcel, programs []storewire.Program) (*received, error) {
	records := &received{}
	for _, p := range parcels {
		head, err := storewire.DecodeTurnHead(p.Turn)
		if err != nil {
			return nil, err
		}
		record := append(append(make([]byte, 0, 1+len(p.Turn)), turnKind), p.Turn...)
		ttl := min(time.Duration(p.RemainingMillis)*time.Millisecond, initialTTL(head)+maxChainExtension)
		records.turns = append(records.turns, receivedTurn{record: record, head: head, ttl: ttl})
	}
	for _, p := range programs {
		entries, err := budget.DecodeEntries(p.Entries)
		if err != nil {
			return nil, err
		}
		records.programs = append(records.programs, receivedProgram{program: p, entries: entries})
	}
	return records, nil
}

// maxChainExtension bounds by how much turns that continue one may extend its life.
const maxChainExtension = 24 * time.Hour

// storeReceived keeps what came. It gives false where there is no room for all of it.
func (t *table) storeReceived(records *received) bool {
	for _, turn := range records.turns {
		if turn.ttl <= 0 || t.turns[placement.KeyOf(turn.head.ID)] == nil && t.heldOrExpired(placement.KeyOf(turn.head.ID)) {
			continue // its time is over here
		}
		if !t.appendTurn(turn.record, turn.head, turn.ttl) {
			return false
		}
	}
	for _, turn := range records.programs {
		if !t.mergeProgram(turn.program, turn.entries) {
			return false
		}
	}
	return true
}
