package store

import (
	"time"

	"emberquay/coordination/budget"
	"emberquay/coordination/placement"
	"emberquay/internal/tier/storewire"
)

const (
	// programRetention is how long a program is kept after its last activity: far longer than a program pauses, or than
	// any of its turns may be continued.
	programRetention = 2 * time.Minute
	// programOfferMargin is the remaining time below which an idle program is not offered to other stores any more.
	programOfferMargin = 10 * time.Second
	// maxEntries bounds the budget entries of all programs to about 20 MB.
	maxEntries = 300_000
	// maxPrograms bounds the number of programs, likewise to limit memory.
	maxPrograms = 30_000
	// maxNameBytes bounds the name of a program.
	maxNameBytes = 512
)

// program is the budget ledger of a program.
type program struct {
	name          string
	ledger        budget.Ledger
	lastActivity  time.Duration
	oldestSegment uint64 // segment of the oldest record that a replay of the ledger needs
}

func (t *table) findOrAddProgram(name string) *program {
	p := t.programs[name]
	if p == nil {
		p = &program{name: name, lastActivity: t.now()}
		t.programs[name] = p
		t.programTree.Add(placement.KeyOf(name), 0)
	}
	return p
}

// touch records activity of a program.
func (t *table) touch(p *program, at time.Duration) { p.lastActivity = max(p.lastActivity, at) }

// updateLedger changes a ledger and updates the program tree and the entry count.
func (t *table) updateLedger(p *program, update func(*budget.Ledger)) {
	key := placement.KeyOf(p.name)
	entriesBefore := p.ledger.Len()
	t.programTree.Remove(key, p.ledger.Digest())
	update(&p.ledger)
	t.programTree.Add(key, p.ledger.Digest())
	t.entryCount += p.ledger.Len() - entriesBefore
}

// limitReached reports that no further reservation, or no further program, can be stored.
func (t *table) limitReached(name string) bool {
	return t.entryCount >= maxEntries || len(name) > maxNameBytes ||
		t.programs[name] == nil && len(t.programs) >= maxPrograms
}

// reserve opens a reservation. It returns budget.LedgerFull if the reservation cannot be stored.
func (t *table) reserve(p *program, turn budget.TurnKey, maxTokens int64) budget.Outcome {
	outcome := p.ledger.CheckReserve(turn)
	if outcome != budget.Opened {
		return outcome
	}
	entry := budget.Entry{Turn: turn, Tokens: max(0, maxTokens), Open: true}
	if t.stalled() || !t.appendProgram(p, []budget.Entry{entry}, minFreeForReservation) {
		return budget.LedgerFull
	}
	t.updateLedger(p, func(ledger *budget.Ledger) { ledger.Reserve(turn, maxTokens) })
	return outcome
}

// mergeEntries merges budget entries into a program's ledger. It returns false if they cannot be stored.
func (t *table) mergeEntries(p *program, entries []budget.Entry) bool {
	changed := entries[:0:0]
	for _, e := range entries {
		if p.ledger.WouldChange(e) {
			changed = append(changed, e)
		}
	}
	if len(changed) == 0 {
		return true
	}
	if !t.appendProgram(p, changed, minFreeForReservation) {
		return false
	}
	t.updateLedger(p, func(ledger *budget.Ledger) {
		for _, e := range changed {
			ledger.Merge(e)
		}
	})
	return true
}

// expirePrograms removes programs without recent activity.
func (t *table) expirePrograms() {
	now := t.now()
	for name, p := range t.programs {
		if now-p.lastActivity < programRetention {
			continue
		}
		t.programTree.Remove(placement.KeyOf(name), p.ledger.Digest())
		t.entryCount -= p.ledger.Len()
		delete(t.programs, name)
	}
}

// dropIfEmpty removes a program for which no entry could be stored.
func (t *table) dropIfEmpty(p *program) {
	if p.ledger.Len() > 0 {
		return
	}
	t.programTree.Remove(placement.KeyOf(p.name), p.ledger.Digest())
	delete(t.programs, p.name)
}

// toWire returns a program as it is sent to other stores.
func (t *table) toWire(p *program) storewire.Program {
	return storewire.Program{
		Name:       p.name,
		IdleMillis: (t.now() - p.lastActivity).Milliseconds(),
		Entries:    budget.EncodeEntries(nil, p.ledger.Entries(nil)),
	}
}

// mergeProgram merges a program received from another store. It returns false if that cannot be stored.
func (t *table) mergeProgram(message storewire.Program, entries []budget.Entry) bool {
	idle := time.Duration(message.IdleMillis) * time.Millisecond
	if idle >= programRetention {
		return true
	}
	if t.limitReached(message.Name) {
		return false
	}
	isNew := t.programs[message.Name] == nil
	p := t.findOrAddProgram(message.Name)
	lastActivity := t.now() - idle
	if isNew {
		p.lastActivity = lastActivity
	}
	t.touch(p, lastActivity)
	return t.mergeEntries(p, entries)
}
