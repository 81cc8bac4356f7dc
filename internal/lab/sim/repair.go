package sim

import (
	"cmp"
	"slices"
	"time"

	"emberquay/coordination/budget"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storewire"
)

// parcel is what a store tells another: what it holds of turns and budgets.
type parcel struct {
	header   storewire.Header
	turns    []lastingTurn
	programs []programEntries
}

// lastingTurn is a turn and for how long it is still kept.
type lastingTurn struct {
	turn      storewire.Turn
	remaining time.Duration
}

type programEntries struct {
	name    string
	entries []budget.Entry
}

// repair does what is due between stores: catch up, be emptied, or bring a peer what belongs there.
func (t *storeTable) repair() {
	w := t.life.host.world
	t.expire()
	self, in := t.self()
	switch {
	case !in:
	case !t.complete:
		t.catchUp(self)
	case self.Retiring:
		t.empty()
	default:
		t.push()
	}
	t.life.later(w.between(repairInterval*3/4, repairInterval*5/4), t.repair)
}

// catchUp compares with others until enough of them have told all that they hold.
func (t *storeTable) catchUp(self storewire.Member) {
	if !self.Replaced {
		t.write(storeRecord{complete: true})
		t.sync(func() {})
		return
	}
	view := t.view
	told := 0
	for _, m := range view.Members {
		if m.ID == t.id {
			continue
		}
		header := storewire.Header{Epoch: view.Epoch, StoreID: m.ID}
		exchange(t.life.host.world, t.life, m.Address, func(l *life, reply func(parcel)) {
			if l.table == nil {
				return
			}
			if r, ok := l.table.admit(header); ok && r.Complete {
				l.table.sync(func() { reply(l.table.all()) })
			}
		}, func(p parcel) {
			if t.complete || t.view.Epoch != view.Epoch {
				return
			}
			t.takeParcel(p)
			told++
			if told == view.CatchUpQuorum() {
				t.write(storeRecord{complete: true})
				t.sync(func() {})
			}
		})
	}
}

// all is everything that is held.
func (t *storeTable) all() parcel {
	var p parcel
	for _, id := range t.order {
		p.turns = append(p.turns, lastingTurn{t.turns[id], t.expires[id] - t.retentionClock()})
	}
	for _, name := range t.names {
		entries := t.programs[name].Entries(nil)
		slices.SortFunc(entries, func(a, b budget.Entry) int { return cmp.Compare(a.Turn, b.Turn) })
		p.programs = append(p.programs, programEntries{name, entries})
	}
	return p
}

// takeParcel keeps what is news.
func (t *storeTable) takeParcel(p parcel) {
	for _, x := range p.turns {
		if _, known := t.turns[x.turn.ID]; !known && x.remaining > 0 {
			t.write(storeRecord{turn: &x.turn, life: min(x.remaining, retentionOf(x.turn))})
		}
	}
	for _, program := range p.programs {
		for _, e := range program.entries {
			if t.ledger(program.name).WouldChange(e) {
				t.write(storeRecord{program: program.name, entry: e})
			}
		}
	}
}

// deliver brings a parcel to a member and says once it is on its disk.
func (t *storeTable) deliver(m storewire.Member, p parcel, done func()) {
	epoch := t.view.Epoch
	p.header = storewire.Header{Epoch: epoch, StoreID: m.ID}
	exchange(t.life.host.world, t.life, m.Address, func(l *life, reply func(bool)) {
		if l.table == nil {
			return
		}
		if _, ok := l.table.admit(p.header); ok {
			l.table.takeParcel(p)
			if l.host.world.has(retireUnsynced) {
				reply(true)
			}
			l.table.sync(func() { reply(true) })
		}
	}, func(bool) {
		if t.view.Epoch == epoch {
			done()
		}
	})
}

// push brings one other store what belongs there, and all budgets.
func (t *storeTable) push() {
	w := t.life.host.world
	others := slices.DeleteFunc(slices.Clone(t.view.Members), func(m storewire.Member) bool { return m.ID == t.id })
	if len(others) == 0 {
		return
	}
	m := pick(w, others)
	at, header, digest := t.view.IndexOf(m.ID), storewire.Header{Epoch: t.view.Epoch, StoreID: m.ID}, uint64(0)
	digest = t.digest(at)
	exchange(w, t.life, m.Address, func(l *life, reply func(bool)) {
		if l.table == nil {
			return
		}
		if _, ok := l.table.admit(header); ok {
			reply(l.table.digest(at) == digest)
		}
	}, func(alike bool) {
		if alike || t.view.Epoch != header.Epoch {
			return
		}
		p := t.all()
		p.turns = slices.DeleteFunc(p.turns, func(x lastingTurn) bool { return !slices.Contains(t.places(x.turn), at) })
		t.deliver(m, p, func() {})
	})
}

// empty brings all that is held to the stores that stay, and tells the control state once it is there.
func (t *storeTable) empty() {
	if t.emptied() {
		t.propose(controlstate.Command{Kind: controlstate.RetireCompleted, Node: t.life.host.name, StoreID: t.id})
		return
	}
	for at, m := range t.view.Members {
		if m.ID == t.id || m.Retiring {
			continue
		}
		p := t.all()
		p.turns = slices.DeleteFunc(p.turns, func(x lastingTurn) bool { return !slices.Contains(t.places(x.turn), at) })
		if t.life.host.world.has(retireForgets) && len(p.turns) > 0 {
			p.turns = p.turns[1:]
		}
		t.deliver(m, p, func() {
			t.told[m.ID] = true
			for _, x := range p.turns {
				if t.pushed[x.turn.ID] == nil {
					t.pushed[x.turn.ID] = map[string]bool{}
				}
				t.pushed[x.turn.ID][m.ID] = true
			}
		})
	}
}

// emptied says whether all that is held is on the disks of others.
func (t *storeTable) emptied() bool {
	if t.view.ActiveCount() < t.view.Copies() {
		return false
	}
	for _, m := range t.view.Members {
		if !m.Retiring && !t.told[m.ID] {
			return false
		}
	}
	if t.life.host.world.has(retireForgets) {
		return true
	}
	for _, id := range t.order {
		for _, at := range t.places(t.turns[id]) {
			if !t.pushed[id][t.view.Members[at].ID] {
				return false
			}
		}
	}
	return true
}

// removeStore takes an emptied machine away, with its disk.
func (w *world) removeStore(h *host) {
	if h.gone {
		return
	}
	w.trace("%s is taken away", h.name)
	h.stop()
	h.gone = true
	hooks := w.judge.onRemoval
	w.judge.onRemoval = nil
	for _, do := range hooks {
		do()
	}
}
