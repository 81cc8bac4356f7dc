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
	// answerBytes bounds the records of one answer or push, except that one is always sent.
	answerBytes = 512 << 10
	// historyBytes bounds the turns of one answer likewise: a conversation is wanted whole.
	historyBytes = 4 << 20
	// readTries: a record may be moved between the look-up and the reading.
	readTries = 3
)

// busy is the reply where a command did not end well: it may have run or not. The command may still be writing its own
// answer then.
func busy() storewire.Reply { return storewire.Reply{Standing: storewire.Busy} }

// Reserve keeps a reservation of a program's budget, and tells of the program's other turns.
func (s *Store) Reserve(ctx context.Context, q storewire.ReserveRequest) (storewire.ReserveAnswer, error) {
	var a storewire.ReserveAnswer
	var report budget.Report
	err := s.do(ctx, func(t *table) bool { return t.serveReserve(&q, &a, &report) })
	if err != nil {
		return storewire.ReserveAnswer{Reply: busy()}, nil
	}
	a.Closed = report.TurnClosed
	a.Settled = report.SettledTokens
	a.Digest = int64(report.Digest)
	a.Whole = report.Whole
	a.Entries = budget.EncodeEntries(make([]byte, 0, 10*len(report.Entries)), report.Entries)
	return a, nil
}

func (t *table) serveReserve(q *storewire.ReserveRequest, a *storewire.ReserveAnswer, r *budget.Report) bool {
	if !t.admit(q.Header, &a.Reply) {
		return false
	}
	// With a machine less a quorum may be made of stores that never heard of what it took part in.
	a.Reply.Complete = a.Reply.Complete && !t.meta.Unsettled
	key := budget.TurnKeyOf(q.Turn)
	known := t.programs[q.Program]
	if q.Recheck || known != nil && known.ledger.SettledTokens() >= q.Budget {
		// Spent by what is settled: nothing is kept, or a program that loops would fill the table.
		if known != nil {
			*r = known.ledger.Report(key, q.Whole)
			t.touch(known, t.now())
		}
		r.Whole = r.Whole || known == nil
		return t.fenced()
	}
	if t.crowded(q.Program) {
		a.Reply.Standing = storewire.Busy
		return false
	}
	p := t.program(q.Program)
	t.touch(p, t.now())
	switch t.reserve(p, key, q.Most) {
	case budget.LedgerFull:
		t.forgetEmpty(p)
		a.Reply.Standing = storewire.Busy
		return false
	case budget.Opened, budget.AlreadyOpen:
		a.Kept = true
	}
	*r = p.ledger.Report(key, q.Whole)
	return true
}

// Settle closes reservations. The answer does not wait for the disk: an entry that is lost counts at its most.
func (s *Store) Settle(ctx context.Context, q storewire.SettleRequest) (storewire.Acknowledgement, error) {
	var a storewire.Acknowledgement
	err := s.do(ctx, func(t *table) bool { return t.serveSettle(&q, &a) })
	if err != nil {
		return storewire.Acknowledgement{Reply: busy()}, nil
	}
	return a, nil
}

func (t *table) serveSettle(q *storewire.SettleRequest, a *storewire.Acknowledgement) bool {
	if !t.admit(q.Header, &a.Reply) {
		return false
	}
	for _, settlement := range q.Settlements {
		if t.crowded(settlement.Program) && t.programs[settlement.Program] == nil {
			continue // it is not known here, and counts nothing
		}
		p := t.program(settlement.Program)
		t.touch(p, t.now())
		entry := budget.Entry{Turn: budget.TurnKey(settlement.Turn), Tokens: max(0, settlement.Used)}
		if !t.merge(p, []budget.Entry{entry}) {
			a.Reply.Standing = storewire.Busy
			return false
		}
	}
	return t.fenced()
}

// Commit keeps a turn.
func (s *Store) Commit(ctx context.Context, q storewire.CommitRequest) (storewire.Acknowledgement, error) {
	body, err := storewire.EncodeTurn(q.Turn)
	if err != nil {
		return storewire.Acknowledgement{}, err
	}
	record := append(append(make([]byte, 0, 1+len(body)), turnKind), body...)
	head := storewire.TurnHead{
		ID:              q.Turn.ID,
		Root:            q.Turn.Root,
		Home:            q.Turn.Home,
		Previous:        q.Turn.Previous,
		Program:         q.Turn.Program,
		Tokens:          q.Turn.Tokens,
		RetentionMillis: q.Turn.RetentionMillis,
	}
	var a storewire.Acknowledgement
	err = s.do(ctx, func(t *table) bool {
		if !t.admit(q.Header, &a.Reply) {
			return false
		}
		if t.stalled() || !t.keepTurn(record, head, retentionOf(head)) {
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

// History gives a turn and those before it, as far as they are here.
func (s *Store) History(ctx context.Context, q storewire.HistoryRequest) (storewire.HistoryAnswer, error) {
	for range readTries {
		var a storewire.HistoryAnswer
		var positions []journal.Position
		err := s.do(ctx, func(t *table) bool {
			if !t.admit(q.Header, &a.Reply) {
				return false
			}
			a.Reply.Complete = a.Reply.Complete && !t.meta.Unsettled
			positions = t.chain(q.Turn)
			return t.fenced()
		})
		if err != nil {
			return storewire.HistoryAnswer{Reply: busy()}, nil
		}
		a.Known = len(positions) > 0
		if !q.Bodies || !a.Known {
			return a, nil
		}
		a.Turns, err = s.read(positions)
		if err == nil {
			return a, nil
		}
		if !errors.Is(err, journal.ErrNotFound) {
			return storewire.HistoryAnswer{}, err
		}
	}
	return storewire.HistoryAnswer{}, eris.Errorf("turn %s can't be read", q.Turn)
}

// chain gives the positions of a turn and of those before it.
func (t *table) chain(id string) []journal.Position {
	var positions []journal.Position
	size := 0
	for id != "" {
		x := t.turns[placement.KeyOf(id)]
		if x == nil || x.id != id {
			break
		}
		size += int(x.position.Length)
		if size > historyBytes && len(positions) > 0 {
			break
		}
		positions = append(positions, x.position)
		id = x.previous
	}
	return positions
}

// read gives the turns at positions.
func (s *Store) read(positions []journal.Position) ([][]byte, error) {
	turns := make([][]byte, 0, len(positions))
	for _, p := range positions {
		record, err := s.journal.Read(p, nil)
		if err != nil {
			return nil, err
		}
		turns = append(turns, record[1:])
	}
	return turns, nil
}
