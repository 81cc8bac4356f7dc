package sim

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"emberquay/coordination/budget"
	"emberquay/coordination/merkle"
	"emberquay/coordination/placement"
	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storewire"
)

// storeRecord is one of a store's disk: one field is set.
type storeRecord struct {
	id       string
	complete bool
	program  string
	entry    budget.Entry
	turn     *storewire.Turn
	life     time.Duration // for how long the turn is kept from when the record was written
	view     *storewire.View
}

// storeDisk holds records in order.
type storeDisk struct {
	synced  []storeRecord
	pending []storeRecord
}

func (d *storeDisk) crash(w *world) {
	if len(d.pending) > 0 {
		d.synced = append(d.synced, d.pending[:w.random.IntN(len(d.pending)+1)]...)
	}
	d.pending = nil
}

// storeTable is a model of a store: what internal/tier/store does with its table, journal, repair and catch-up.
type storeTable struct {
	life     *life
	id       string
	complete bool
	view     storewire.View
	programs map[string]*budget.Ledger
	turns    map[string]storewire.Turn
	pushed   map[string]map[string]bool // while retiring: by what, where it is
	told     map[string]bool            // while retiring: ids of stores that know all programs
	expires  map[string]time.Duration   // by turn, on the store's steady clock
	written  int                        // records handed to the disk by this process
	onDisk   int                        // those of them that are synced
	fence    int                        // the record of the view, counted as in written
	syncing  bool
	began    time.Duration // of the sync that runs
	waiting  []func()
	placed   map[string][]int // places of turns under the view
	order    []string         // of turns, as they came
	names    []string         // of programs, as they came
}

const (
	repairInterval   = 500 * time.Millisecond
	registerInterval = 400 * time.Millisecond
	peerLimit        = 800 * time.Millisecond
	// stallLimit is as in internal/tier/store: how long a sync may run before turns are sent elsewhere.
	stallLimit = 400 * time.Millisecond
	// retentionSlack is shorter than in internal/tier/store, so that turns do expire within a run, and longer than a stalled disk and
	// a frozen proxy may delay the end of an answer after the first copy of its turn: 4 s each.
	retentionSlack = 8 * time.Second
)

func (l *life) startStore() {
	w, h := l.host.world, l.host
	t := &storeTable{life: l, programs: map[string]*budget.Ledger{}, turns: map[string]storewire.Turn{},
		pushed: map[string]map[string]bool{}, told: map[string]bool{}, expires: map[string]time.Duration{}}
	l.table = t
	for _, r := range h.store.synced {
		t.take(r, true)
	}
	if t.id == "" {
		t.write(storeRecord{id: fmt.Sprintf("%s#%d", h.name, h.wipes)})
		if h.bootstrap && h.starts == 1 {
			t.write(storeRecord{complete: true})
		}
	}
	t.sync(func() {})
	l.later(w.between(0, registerInterval), t.registers)
	l.later(w.between(0, repairInterval), t.repair)
}

// take applies a record; again says that it is read from the disk.
func (t *storeTable) take(r storeRecord, again bool) {
	switch {
	case r.id != "":
		t.id = r.id
	case r.complete:
		t.complete = true
	case r.turn != nil:
		if _, known := t.turns[r.turn.ID]; !known {
			t.order = append(t.order, r.turn.ID)
		}
		t.turns[r.turn.ID] = *r.turn
		life := r.life
		if again {
			life = retentionOf(*r.turn) // how long the process was away is not known
		}
		t.expires[r.turn.ID] = max(t.expires[r.turn.ID], t.retentionClock()+life)
	case r.view != nil:
		t.view = *r.view
		t.placed = map[string][]int{}
	case r.program != "":
		if again && r.entry.Open && t.life.host.world.has(reserveForgotten) {
			return
		}
		t.ledger(r.program).Merge(r.entry)
	}
}

func (t *storeTable) ledger(name string) *budget.Ledger {
	if t.programs[name] == nil {
		t.programs[name] = &budget.Ledger{}
		t.names = append(t.names, name)
	}
	return t.programs[name]
}

// write applies a record and hands it to the disk.
func (t *storeTable) write(r storeRecord) {
	t.take(r, false)
	t.written++
	h := t.life.host
	h.store.pending = append(h.store.pending, r)
}

// sync runs something once all that was written is on the disk.
func (t *storeTable) sync(then func()) {
	h := t.life.host
	if len(h.store.pending) == 0 && !t.syncing {
		then()
		return
	}
	t.waiting = append(t.waiting, then)
	t.flush()
}

// fenced runs something once the view by which it was decided is on the disk: after a crash the store must refuse what an
// older view allowed. It waits for nothing else, as in internal/tier/store.
func (t *storeTable) fenced(then func()) {
	if t.fence <= t.onDisk {
		then()
		return
	}
	t.sync(then)
}

// flush runs one sync at a time; what comes meanwhile waits for the next.
func (t *storeTable) flush() {
	if t.syncing || len(t.waiting) == 0 {
		return
	}
	h := t.life.host
	t.syncing, t.began = true, h.world.now
	group, count := t.waiting, len(h.store.pending)
	t.waiting = nil
	t.life.sync(func(o syncOutcome) {
		switch {
		case o == onDisk:
			t.onDisk += count
			h.store.synced = append(h.store.synced, h.store.pending[:count]...)
			h.store.pending = slices.Clone(h.store.pending[count:])
		case o == refused:
			group = nil // whoever asked hears nothing and asks again; what was written waits for the next sync
			if h.world.has(fullForgets) {
				t.onDisk += count // or the fence would wait for records that are gone
				h.store.pending = slices.Clone(h.store.pending[count:])
			}
		}
		t.syncing = false
		for _, then := range group {
			then()
		}
		t.flush()
	})
}

// learn takes a view of the stores.
func (t *storeTable) learn(e gossipEntry) {
	if e.Key != core.StoresKey {
		return
	}
	if stores, err := storewire.DecodeViewEntry(e); err == nil {
		t.adopt(storewire.ViewOf(stores))
	}
}

func (t *storeTable) adopt(v storewire.View) {
	if v.Epoch <= t.view.Epoch {
		return
	}
	t.write(storeRecord{view: &v})
	t.fence = t.written
	t.pushed, t.told = map[string]map[string]bool{}, map[string]bool{}
	t.sync(func() {})
}

func (t *storeTable) self() (storewire.Member, bool) {
	at := t.view.IndexOf(t.id)
	if at < 0 {
		return storewire.Member{}, false
	}
	return t.view.Members[at], true
}

// registers tells a control node of the store until the view has it.
func (t *storeTable) registers() {
	w, h := t.life.host.world, t.life.host
	if _, in := t.self(); !in {
		store := controlstate.StoreMember{ID: t.id, Node: h.name, Zone: h.zone, Address: h.address}
		command := controlstate.Command{Kind: controlstate.RegisterStore, Store: store, Bootstrap: h.bootstrap && h.wipes == 0, Tolerance: 1}
		t.propose(command)
	}
	t.life.later(w.between(registerInterval, 2*registerInterval), t.registers)
}

// propose proposes a command at some control node.
func (t *storeTable) propose(command controlstate.Command) {
	w := t.life.host.world
	exchange(w, t.life, pick(w, w.of(controlRole)).address, func(l *life, reply func(int)) {
		if l.replica != nil {
			l.replica.propose(command, func(result controlstate.Result, _ bool) { reply(result.Status) })
		}
	}, func(int) {}) // what became of it shows in the view
}

// admit checks the header of a request. Where it gives false the reply says all there is to say.
func (t *storeTable) admit(h storewire.Header) (storewire.Reply, bool) {
	r := storewire.Reply{Complete: t.complete || t.life.host.world.has(incompleteCounts)}
	switch {
	case h.StoreID != t.id:
		r.Status = storewire.WrongStore
	case h.Epoch < t.view.Epoch:
		r.Status, r.View = storewire.StaleView, t.view
	case h.Epoch > t.view.Epoch:
		r.Status = storewire.Busy // until the view has come here
	default:
		return r, true
	}
	if t.view.Epoch > h.Epoch {
		r.View = t.view
	}
	return r, false
}

// reserve keeps a reservation and tells what is known.
func (t *storeTable) reserve(q storewire.ReserveRequest, reply func(storewire.ReserveAnswer)) {
	r, ok := t.admit(q.Header)
	if !ok {
		reply(storewire.ReserveAnswer{Reply: r})
		return
	}
	key := budget.TurnKeyOf(q.Turn)
	kept := q.Recheck
	if !q.Recheck {
		switch t.ledger(q.Program).CheckReserve(key) {
		case budget.Opened:
			t.write(storeRecord{program: q.Program, entry: budget.Entry{Turn: key, Tokens: q.MaxTokens, Open: true}})
			kept = true
		case budget.AlreadyOpen:
			kept = true
		}
	}
	// The report is of now, as in internal/tier/store: what comes while the sync runs is not in it.
	report := t.ledger(q.Program).Report(key, q.Whole)
	slices.SortFunc(report.Entries, func(a, b budget.Entry) int { return cmp.Compare(a.Turn, b.Turn) })
	answer := func() {
		reply(storewire.ReserveAnswer{Reply: r, Stored: kept, TurnClosed: report.TurnClosed, SettledTokens: report.SettledTokens, Digest: int64(report.Digest),
			Whole: report.Whole, Entries: budget.EncodeEntries(nil, report.Entries)})
	}
	if q.Recheck {
		t.fenced(answer)
		return
	}
	if t.life.host.world.has(reserveUnsynced) {
		answer()
		t.sync(func() {})
		return
	}
	t.sync(answer)
}

func (t *storeTable) settle(q storewire.SettleRequest, reply func(storewire.Reply)) {
	r, ok := t.admit(q.Header)
	if !ok {
		reply(r)
		return
	}
	for _, s := range q.Settlements {
		t.write(storeRecord{program: s.Program, entry: budget.Entry{Turn: budget.TurnKey(s.TurnKey), Tokens: s.UsedTokens}})
	}
	// As in internal/tier/store the answer does not wait for the disk: what is lost counts at its most.
	t.fenced(func() { reply(r) })
	t.sync(func() {})
}

func (t *storeTable) commit(q storewire.CommitRequest, reply func(storewire.Reply)) {
	r, ok := t.admit(q.Header)
	if !ok {
		reply(r)
		return
	}
	if t.stalled() {
		r.Status = storewire.Busy
		reply(r)
		return
	}
	if _, known := t.turns[q.Turn.ID]; !known {
		t.write(storeRecord{turn: &q.Turn, life: retentionOf(q.Turn)})
	}
	if t.life.host.world.has(commitUnsynced) {
		reply(r)
		t.sync(func() {})
		return
	}
	t.sync(func() { reply(r) })
}

func (t *storeTable) history(q storewire.HistoryRequest, reply func(storewire.HistoryAnswer)) {
	r, ok := t.admit(q.Header)
	if !ok {
		reply(storewire.HistoryAnswer{Reply: r})
		return
	}
	_, known := t.turns[q.Turn]
	t.fenced(func() { reply(storewire.HistoryAnswer{Reply: r, Known: known}) })
}

// stalled says that the disk is so far behind that a turn had better go elsewhere.
func (t *storeTable) stalled() bool { return t.syncing && t.life.host.world.now-t.began > stallLimit }

func retentionOf(x storewire.Turn) time.Duration {
	return time.Duration(x.RetentionMillis)*time.Millisecond + retentionSlack
}

// retentionClock is what the age of turns is counted by.
func (t *storeTable) retentionClock() time.Duration {
	h := t.life.host
	if h.world.has(expiryByTimeOfDay) {
		return h.timeOfDay().Sub(epoch)
	}
	return h.steadyNow()
}

// expire drops the turns whose time is over.
func (t *storeTable) expire() {
	now := t.retentionClock()
	t.order = slices.DeleteFunc(t.order, func(id string) bool {
		if t.expires[id] > now {
			return false
		}
		delete(t.turns, id)
		delete(t.expires, id)
		return true
	})
}

// places says where a turn belongs, by places in the view.
func (t *storeTable) places(x storewire.Turn) []int {
	if known, ok := t.placed[x.ID]; ok {
		return known
	}
	order := placesOf(t.view).AppendOrder(placement.KeyOf(x.Root), x.HomeZone, nil)
	order = order[:min(len(order), t.view.Copies())]
	t.placed[x.ID] = order
	return order
}

// digest stands for all budgets, and all turns that belong at a member.
func (t *storeTable) digest(member int) uint64 {
	var sum uint64
	for _, name := range t.names {
		sum += merkle.EntryDigest(placement.KeyOf(name), t.programs[name].Digest())
	}
	for _, id := range t.order {
		if t.life.host.world.has(storesMissTurns) && placement.KeyOf(id)%4 == 0 {
			continue
		}
		if slices.Contains(t.places(t.turns[id]), member) {
			sum += merkle.EntryDigest(placement.KeyOf(id), 1)
		}
	}
	return sum
}
