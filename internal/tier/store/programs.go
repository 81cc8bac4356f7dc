package store

import (
	"time"

	"emberquay/coordination/budget"
	"emberquay/coordination/placement"
	"emberquay/internal/tier/storewire"
)

const (
	// programLife is for how long a program is remembered after it was last heard of: far longer than one pauses, and
	// than any turn of it may be continued.
	programLife = 2 * time.Minute
	// programFade: a program that will be forgotten so soon is not offered to others any more.
	programFade = 10 * time.Second
	// mostEntries bounds the reservations of all programs, about 20 MB.
	mostEntries = 300_000
	// mostPrograms bounds their number likewise.
	mostPrograms = 30_000
	// mostName bounds the name of a program, bytes.
	mostName = 512
)

// program is what is known of a program's budget.
type program struct {
	name    string
	ledger  budget.Ledger
	touched time.Duration
	oldest  uint64 // segment of the first record that is needed to read the ledger again
}

func (t *table) program(name string) *program {
	p := t.programs[name]
	if p == nil {
		p = &program{name: name, touched: t.now()}
		t.programs[name] = p
		t.programTree.Add(placement.KeyOf(name), 0)
	}
	return p
}

// touch notes that a program was heard of.
func (t *table) touch(p *program, at time.Duration) { p.touched = max(p.touched, at) }

// change runs a change of a ledger and keeps the digests right.
func (t *table) change(p *program, f func(*budget.Ledger)) {
	key := placement.KeyOf(p.name)
	entries := p.ledger.Len()
	t.programTree.Remove(key, p.ledger.Digest())
	f(&p.ledger)
	t.programTree.Add(key, p.ledger.Digest())
	t.entries += p.ledger.Len() - entries
}

// crowded says that no further program or reservation can be kept.
func (t *table) crowded(name string) bool {
	return t.entries >= mostEntries || len(name) > mostName ||
		t.programs[name] == nil && len(t.programs) >= mostPrograms
}

// reserve opens a reservation. It gives Crowded where it can't be kept.
func (t *table) reserve(p *program, turn budget.TurnKey, most int64) budget.Outcome {
	outcome := p.ledger.CheckReserve(turn)
	if outcome != budget.Opened {
		return outcome
	}
	entry := budget.Entry{Turn: turn, Tokens: max(0, most), Open: true}
	if t.stalled() || !t.appendProgram(p, []budget.Entry{entry}, reserveRoom) {
		return budget.LedgerFull
	}
	t.change(p, func(l *budget.Ledger) { l.Reserve(turn, most) })
	return outcome
}

// merge takes in what another knows of a program. It gives false where that can't be kept.
func (t *table) merge(p *program, entries []budget.Entry) bool {
	news := entries[:0:0]
	for _, e := range entries {
		if p.ledger.WouldChange(e) {
			news = append(news, e)
		}
	}
	if len(news) == 0 {
		return true
	}
	if !t.appendProgram(p, news, reserveRoom) {
		return false
	}
	t.change(p, func(l *budget.Ledger) {
		for _, e := range news {
			l.Merge(e)
		}
	})
	return true
}

// dropPrograms forgets those that nothing was heard of for long.
func (t *table) dropPrograms() {
	now := t.now()
	for name, p := range t.programs {
		if now-p.touched < programLife {
			continue
		}
		t.programTree.Remove(placement.KeyOf(name), p.ledger.Digest())
		t.entries -= p.ledger.Len()
		delete(t.programs, name)
	}
}

// forgetEmpty drops a program of which nothing could be kept.
func (t *table) forgetEmpty(p *program) {
	if p.ledger.Len() > 0 {
		return
	}
	t.programTree.Remove(placement.KeyOf(p.name), p.ledger.Digest())
	delete(t.programs, p.name)
}

// wire gives a program as it is told to other stores.
func (t *table) wire(p *program) storewire.Program {
	return storewire.Program{
		Name:       p.name,
		IdleMillis: (t.now() - p.touched).Milliseconds(),
		Entries:    budget.EncodeEntries(nil, p.ledger.Entries(nil)),
	}
}

// takeProgram takes in what another store told. It gives false where that can't be kept.
func (t *table) takeProgram(w storewire.Program, entries []budget.Entry) bool {
	idle := time.Duration(w.IdleMillis) * time.Millisecond
	if idle >= programLife {
		return true
	}
	if t.crowded(w.Name) {
		return false
	}
	fresh := t.programs[w.Name] == nil
	p := t.program(w.Name)
	heard := t.now() - idle
	if fresh {
		p.touched = heard
	}
	t.touch(p, heard)
	return t.merge(p, entries)
}
