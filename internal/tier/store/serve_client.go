package store

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"emberquay/coordination/budget"
	"emberquay/coordination/placement"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/storewire"
)

const (
	// maxAnswerBytes bounds the records of one answer or push; the first record is always sent.
	maxAnswerBytes = 512 << 10
	// maxHistoryBytes likewise bounds a history answer. It is larger because a client wants the whole conversation.
	maxHistoryBytes = 4 << 20
	// maxReadAttempts bounds the reads of records: one may be moved between its lookup and the read.
	maxReadAttempts = 3
)

// busyReply is the reply if Store.do failed. The command may have run or not, and may still be writing to the answer,
// which therefore must not be used.
func busyReply() storewire.Reply { return storewire.Reply{Status: storewire.Busy} }

// Reserve stores a reservation of a program's budget and reports on the program's other turns.
func (s *Store) Reserve(ctx context.Context, request storewire.ReserveRequest) (storewire.ReserveAnswer, error) {
	var answer storewire.ReserveAnswer
	var report budget.Report
	err := s.do(ctx, func(t *table) bool { return t.serveReserve(&request, &answer, &report) })
	if err != nil {
		return storewire.ReserveAnswer{Reply: busyReply()}, nil
	}
	answer.TurnClosed = report.TurnClosed
	answer.SettledTokens = report.SettledTokens
	answer.Digest = int64(report.Digest)
	answer.Whole = report.Whole
	answer.Entries = budget.EncodeEntries(make([]byte, 0, 10*len(report.Entries)), report.Entries)
	return answer, nil
}

func (t *table) serveReserve(request *storewire.ReserveRequest, answer *storewire.ReserveAnswer, report *budget.Report) bool {
	if !t.checkHeader(request.Header, &answer.Reply) {
		return false
	}
	// After an active member left, a quorum may consist of stores that miss reservations which that member took part in.
	answer.Reply.Complete = answer.Reply.Complete && t.programsSettled()
	key := budget.TurnKeyOf(request.Turn)
	known := t.programs[request.Program]
	if request.Recheck || known != nil && known.ledger.SettledTokens() >= request.BudgetTokens {
		// A recheck, or a budget spent by settled turns. In the latter case nothing is stored either, since a program that
		// retries in a loop would fill the table.
		if known != nil {
			*report = known.ledger.Report(key, request.Whole)
			t.touch(known, t.now())
		}
		report.Whole = report.Whole || known == nil
		return t.fenceUnsynced()
	}
	if t.limitReached(request.Program) {
		answer.Reply.Status = storewire.Busy
		return false
	}
	p := t.findOrAddProgram(request.Program)
	t.touch(p, t.now())
	switch t.reserve(p, key, request.MaxTokens) {
	case budget.LedgerFull:
		t.dropIfEmpty(p)
		answer.Reply.Status = storewire.Busy
		return false
	case budget.Opened, budget.AlreadyOpen:
		answer.Stored = true
	}
	*report = p.ledger.Report(key, request.Whole)
	return true
}

// Settle closes reservations. The answer does not wait for the disk: a reservation whose settlement is lost counts with
// the most tokens that it may use.
func (s *Store) Settle(ctx context.Context, request storewire.SettleRequest) (storewire.Acknowledgement, error) {
	var answer storewire.Acknowledgement
	err := s.do(ctx, func(t *table) bool { return t.serveSettle(&request, &answer) })
	if err != nil {
		return storewire.Acknowledgement{Reply: busyReply()}, nil
	}
	return answer, nil
}

func (t *table) serveSettle(request *storewire.SettleRequest, answer *storewire.Acknowledgement) bool {
	if !t.checkHeader(request.Header, &answer.Reply) {
		return false
	}
	for _, settlement := range request.Settlements {
		if t.limitReached(settlement.Program) && t.programs[settlement.Program] == nil {
			continue // the program is unknown here, so it has no reservation to close
		}
		p := t.findOrAddProgram(settlement.Program)
		t.touch(p, t.now())
		entry := budget.Entry{Turn: budget.TurnKey(settlement.TurnKey), Tokens: max(0, settlement.UsedTokens)}
		if !t.mergeEntries(p, []budget.Entry{entry}) {
			answer.Reply.Status = storewire.Busy
			return false
		}
	}
	return t.fenceUnsynced()
}

// Commit stores a turn.
func (s *Store) Commit(ctx context.Context, request storewire.CommitRequest) (storewire.Acknowledgement, error) {
	body, err := storewire.EncodeTurn(request.Turn)
	if err != nil {
		return storewire.Acknowledgement{}, err
	}
	record := append(append(make([]byte, 0, 1+len(body)), turnKind), body...)
	head := storewire.TurnHead{
		ID:              request.Turn.ID,
		Root:            request.Turn.Root,
		HomeZone:        request.Turn.HomeZone,
		Previous:        request.Turn.Previous,
		Program:         request.Turn.Program,
		Tokens:          request.Turn.Tokens,
		RetentionMillis: request.Turn.RetentionMillis,
	}
	var answer storewire.Acknowledgement
	err = s.do(ctx, func(t *table) bool {
		if !t.checkHeader(request.Header, &answer.Reply) {
			return false
		}
		if t.stalled() || !t.appendTurn(record, head, initialTTL(head)) {
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

// History returns a turn and its predecessors, as far as they are here.
func (s *Store) History(ctx context.Context, request storewire.HistoryRequest) (storewire.HistoryAnswer, error) {
	for range maxReadAttempts {
		var answer storewire.HistoryAnswer
		var positions []journal.Position
		err := s.do(ctx, func(t *table) bool {
			if !t.checkHeader(request.Header, &answer.Reply) {
				return false
			}
			answer.Reply.Complete = answer.Reply.Complete && !t.meta.Unsettled
			positions = t.chainPositions(request.Turn)
			return t.fenceUnsynced()
		})
		if err != nil {
			return storewire.HistoryAnswer{Reply: busyReply()}, nil
		}
		answer.Known = len(positions) > 0
		if !request.WithBodies || !answer.Known {
			return answer, nil
		}
		answer.Turns, err = s.readTurns(positions)
		if err == nil {
			return answer, nil
		}
		if !errors.Is(err, journal.ErrNotFound) {
			return storewire.HistoryAnswer{}, err
		}
	}
	return storewire.HistoryAnswer{}, eris.Errorf("turn %s can't be read", request.Turn)
}

// chainPositions returns the positions of a turn and of its predecessors.
func (t *table) chainPositions(id string) []journal.Position {
	var positions []journal.Position
	bytes := 0
	for id != "" {
		turn := t.turns[placement.KeyOf(id)]
		if turn == nil || turn.id != id {
			break
		}
		bytes += int(turn.position.Length)
		if bytes > maxHistoryBytes && len(positions) > 0 {
			break
		}
		positions = append(positions, turn.position)
		id = turn.previous
	}
	return positions
}

// readTurns reads the turns at some positions.
func (s *Store) readTurns(positions []journal.Position) ([][]byte, error) {
	turns := make([][]byte, 0, len(positions))
	for _, position := range positions {
		record, err := s.journal.Read(position, nil)
		if err != nil {
			return nil, err
		}
		turns = append(turns, record[1:])
	}
	return turns, nil
}
