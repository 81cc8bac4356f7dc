package store

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"emberquay/coordination/budget"
	"emberquay/coordination/placement"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/storewire"
)

const (
	// listPageTurns bounds the turns of one list answer to about 70 KB.
	listPageTurns = 8192
	// programsPageSize bounds the programs of one answer; maxAnswerBytes bounds their entries.
	programsPageSize = 1024
)

// List returns the keys of all held turns, page by page.
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
	if t.meta.View.Epoch < request.Header.Epoch {
		answer.Reply.Status = storewire.Busy // what belongs at the sender is known only under its view
		return t.fenceUnsynced()
	}
	sender := t.meta.View.IndexOf(request.Sender)
	first := uint64(0)
	if !request.FromStart {
		first = uint64(request.AfterKey) + 1
	}
	var turns []*heldTurn
	if request.FromStart || first > 0 {
		turns, answer.More = t.listPage(first)
	}
	for _, turn := range turns {
		placed := sender < 0 || slices.Contains(t.placesOf(turn), sender)
		answer.Turns = storewire.AppendListedTurn(answer.Turns, storewire.ListedTurn{Key: turn.key, PlacedAtSender: placed})
	}
	return t.fenceUnsynced()
}

// listPage returns the held turns of the lowest keys from first on, listPageTurns at most, and whether more follow. Keys are
// hashes, so it sorts only those of a range that holds about a page: sorting all for each page would stall the store.
func (t *table) listPage(first uint64) (turns []*heldTurn, more bool) {
	rangeSize := uint64(math.MaxUint64)
	if pages := uint64(len(t.turns) / listPageTurns); pages > 0 {
		rangeSize /= pages
	}
	for {
		last := first + min(rangeSize, math.MaxUint64-first)
		for key, turn := range t.turns {
			switch {
			case key > last:
				more = true
			case key >= first:
				turns = append(turns, turn)
			}
		}
		if len(turns) > 0 || !more {
			break
		}
		rangeSize, more = 2*min(rangeSize, math.MaxUint64/2), false
	}
	slices.SortFunc(turns, func(a, b *heldTurn) int { return cmp.Compare(a.key, b.key) })
	if len(turns) > listPageTurns {
		return turns[:listPageTurns], true
	}
	return turns, more
}

// turnLocation is the position and the remaining retention of a turn to be sent.
type turnLocation struct {
	position  journal.Position
	remaining time.Duration
}

// locateTurns looks turns up by key, as many as fit into a message. It returns how many keys it processed.
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

// readTurnCopies reads turns to be sent to another store.
func (s *Store) readTurnCopies(locations []turnLocation) ([]storewire.TurnCopy, error) {
	copies := make([]storewire.TurnCopy, 0, len(locations))
	for _, location := range locations {
		record, err := s.journal.Read(location.position, nil)
		if err != nil {
			return nil, err
		}
		copies = append(copies, storewire.TurnCopy{RemainingMillis: location.remaining.Milliseconds(), Turn: record[1:]})
	}
	return copies, nil
}

// Fetch returns turns by key.
func (s *Store) Fetch(ctx context.Context, request storewire.FetchRequest) (storewire.FetchAnswer, error) {
	keys, err := storewire.DecodeKeys(request.Keys)
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
			locations, answer.ProcessedKeys = t.locateTurns(keys)
			return t.fenceUnsynced()
		})
		if err != nil {
			return storewire.FetchAnswer{Reply: busyReply()}, nil
		}
		answer.Turns, err = s.readTurnCopies(locations)
		if !errors.Is(err, journal.ErrNotFound) {
			return answer, err
		}
	}
	return storewire.FetchAnswer{}, err
}

// Programs returns the budgets of all programs, page by page.
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
		if name > request.AfterName {
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

// Compare returns the digests of this store if they differ from those of the store that asks, for the data that both
// should hold.
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
	sender := t.meta.View.IndexOf(request.Sender)
	if request.Header.Epoch != t.meta.View.Epoch || sender < 0 {
		return t.fenceUnsynced() // under another view other turns belong at both, so a comparison is meaningless
	}
	if t.sharedTurnTrees[sender].Root() != uint64(request.TurnsDigest) {
		answer.TurnDigests = toSigned(t.sharedTurnTrees[sender].Leaves())
	}
	if t.programTree.Root() != uint64(request.ProgramsDigest) {
		answer.ProgramDigests = toSigned(t.programTree.Leaves())
	}
	return t.fenceUnsynced()
}

// toSigned and toUnsigned convert digests for Avro, which has signed numbers only.
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

// Offer returns which of the offered records are missing here. All others are on the disk when it answers.
func (s *Store) Offer(ctx context.Context, request storewire.OfferRequest) (storewire.OfferAnswer, error) {
	keys, err := storewire.DecodeKeys(request.TurnKeys)
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
				answer.WantedTurns = append(answer.WantedTurns, i)
			}
		}
		for i, digest := range request.Programs {
			if p := t.programs[digest.Name]; p == nil || p.ledger.Digest() != uint64(digest.Digest) {
				answer.WantedPrograms = append(answer.WantedPrograms, i)
			}
		}
		return true
	})
	if err != nil {
		return storewire.OfferAnswer{Reply: busyReply()}, nil
	}
	return answer, nil
}

// Push stores records from another store.
func (s *Store) Push(ctx context.Context, request storewire.PushRequest) (storewire.Acknowledgement, error) {
	records, err := decodeReceived(request.Turns, request.Programs)
	if err != nil {
		return storewire.Acknowledgement{}, err
	}
	var answer storewire.Acknowledgement
	err = s.do(ctx, func(t *table) bool {
		if !t.checkHeader(request.Header, &answer.Reply) {
			return false
		}
		if !t.storeReceived(records) {
			answer.Reply.Status = storewire.Busy
			return false
		}
		return true
	})
	if err != nil {
		return storewire.Acknowledgement{Reply: busyReply()}, nil
	}
	return answer, nil
}

// received holds decoded records from another store.
type received struct {
	turns    []receivedTurn
	programs []receivedProgram
}

type receivedTurn struct {
	record []byte // including its kind byte
	head   storewire.TurnHead
	ttl    time.Duration
}

type receivedProgram struct {
	program storewire.Program
	entries []budget.Entry
}

// decodeReceived decodes records from another store. Errors: a record is malformed.
func decodeReceived(copies []storewire.TurnCopy, programs []storewire.Program) (*received, error) {
	records := &received{}
	for _, p := range copies {
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

// maxChainExtension bounds how far turns that continue a received turn may have extended its retention.
const maxChainExtension = 24 * time.Hour

// storeReceived stores received records. It returns false if there is no room for all of them.
func (t *table) storeReceived(records *received) bool {
	for _, turn := range records.turns {
		if turn.ttl <= 0 || t.turns[placement.KeyOf(turn.head.ID)] == nil && t.heldOrExpired(placement.KeyOf(turn.head.ID)) {
			continue // it has expired
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
