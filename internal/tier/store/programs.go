package store

import (
	"time"

	"emberquay/coordination/budget"
	"emberquay/coordination/placement"
	"emberquay/internal/tier/storewire"
)

const (
	// programRetention is for how long a program is remembered after it was last heard of: far longer than one pauses, and
	// than any turn of it may be continued.
	programRetention = 2 * time.Minute
	// programOfferMargin: a program that will be forgotten so soon is not offered to others any more.
	programOfferMargin = 10 * time.Second
	// maxEntries bounds the reservations of all programs, about 20 MB.
	maxEntries = 300_000
	// maxPrograms bounds their number likewise.
	maxPrograms = 30_000
	// maxNameBytes bounds the name of a program, bytes.
	maxNameBytes = 512
)

// program is what is known of a program's budget.
type program struct {
	name          string
	ledger        budget.Ledger
	lastActivity  time.Duration
	oldestSegment uint64 // segment of the first record that is needed to read the ledger again
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

// touch notes that a program was heard of.
func (t *table) touch(p *program, at time.Duration) { p.lastActivity = max(p.lastActivity, at) }

// updateLedger runs a change of a ledger and keeps the digests right.
func (t *table) updateLedger(p *program, update func(*budget.Ledger)) {
	key := placement.KeyOf(p.name)
	entriesBefore := p.ledger.Len()
	t.programTree.Remove(key, p.ledger.Digest())
	update(&p.ledger)
	t.programTree.Add(key, p.ledger.Digest())
	t.entryCount += p.ledger.Len() - entriesBefore
}

// limitReached says that no further program or reservation can be kept.
func (t *table) limitReached(name string) bool {
	return t.entryCount >= maxEntries || len(name) > maxNameBytes ||
		t.programs[name] == nil && len(t.programs) >= maxPrograms
}

// reserve opens a reservation. It gives Crowded where it can't be kept.
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

// mergeEntries takes in what another knows of a program. It gives false where that can't be kept.
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

// expirePrograms forgets those that nothing was heard of for long.
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

// dropIfEmpty drops a program of which nothing could be kept.
func (t *table) dropIfEmpty(p *program) {
	if p.ledger.Len() > 0 {
		return
	}
	t.programTree.Remove(placement.KeyOf(p.name), p.ledger.Digest())
	delete(t.programs, p.name)
}

// toWire gives a program as it is told to other stores.
func (t *table) toWire(p *program) storewire.Program {
	return storewire.Program{
		Name:       p.name,
		IdleMillis: (t.now() - p.lastActivity).Milliseconds(),
		Entries:    budget.EncodeEntries(nil, p.ledger.Entries(nil)),
	}
}

// mergeProgram takes in what another store told. It gives false where that can't be kept.
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
