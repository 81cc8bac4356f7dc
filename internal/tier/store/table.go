package store

import (
	"slices"
	"time"

	"emberquay/coordination/merkle"
	"emberquay/coordination/placement"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/storewire"
)

const (
	// stallLimit is how long a sync may run before further writes are refused, so that callers go to another store.
	stallLimit = 400 * time.Millisecond
	// mostWaiting and mostPending bound what waits for the disk.
	mostWaiting = 1024
	mostPending = 8 << 20
)

// table is all that the store knows. It belongs to the goroutine that runs Store.own.
type table struct {
	journal      *journal.Journal
	segmentBytes int64
	now          func() time.Duration

	meta   meta
	places *placement.Table
	self   int    // place in the view; -1: not a member
	newer  uint64 // a view that a caller works by and that is not known here; 0: none

	appended    uint64 // records so far
	durable     uint64 // of them, those on the disk
	waiting     []*command
	syncRuns    bool
	syncStarted time.Duration

	turns    map[uint64]*turn // by key
	expiries expiryQueue
	orphans  map[uint64]time.Duration // keys of turns that others continue and that are not here -> until when those are kept
	ended    map[uint64]time.Duration // keys of turns that expired here -> when that is forgotten
	live     map[uint64]int64         // bytes of turns by segment
	pairs    []merkle.Tree            // by member: turns that belong at it and here
	strays   map[uint64]*turn         // turns that don't belong here

	programs     map[string]*program
	entries      int // of all programs
	programTree  merkle.Tree
	programsTold map[string]bool // ids of members that know all programs, while retiring

	scratch []int
}

func newTable(o Options, segmentBytes int64) *table {
	return &table{
		segmentBytes: segmentBytes,
		now:          o.Now,
		places:       placement.NewTable(nil),
		self:         -1,
		turns:        map[uint64]*turn{},
		orphans:      map[uint64]time.Duration{},
		ended:        map[uint64]time.Duration{},
		live:         map[uint64]int64{},
		strays:       map[uint64]*turn{},
		programs:     map[string]*program{},
		programsTold: map[string]bool{},
	}
}

// unsynced says whether anything that was appended may not be on the disk.
func (t *table) unsynced() bool { return t.appended > t.durable }

// nextSync gives the sync that is due, if none runs.
func (t *table) nextSync() *syncing {
	if t.syncRuns || len(t.waiting) == 0 {
		return nil
	}
	next := &syncing{group: t.waiting, through: t.appended}
	t.waiting = nil
	t.syncRuns = true
	t.syncStarted = t.now()
	return next
}

func (t *table) syncEnded(s *syncing) {
	t.syncRuns = false
	if s.err == nil {
		t.durable = s.through
	}
}

// stalled says that the disk is so far behind that a write had better go elsewhere.
func (t *table) stalled() bool {
	if t.syncRuns && t.now()-t.syncStarted > stallLimit {
		return true
	}
	return len(t.waiting) > mostWaiting || t.journal.PendingBytes() > mostPending
}

// admit checks the header of a request and begins the reply. Where it gives false the reply says all there is to say.
// The command has to be durable in any case, so that the fence is on the disk before anything is answered behind it.
func (t *table) admit(h storewire.Header, r *storewire.Reply) bool {
	r.Complete = t.meta.Complete
	if t.meta.View.Epoch > h.Epoch {
		r.View = t.meta.View
	}
	switch {
	case h.Store != t.meta.ID:
		r.Standing = storewire.Foreign
		return false
	case h.Epoch < t.meta.Fence:
		r.Standing = storewire.Stale
		return false
	case h.Epoch > t.meta.Fence:
		meta := t.meta
		meta.Fence = h.Epoch
		if !t.keepMeta(meta) {
			r.Standing = storewire.Busy
			return false
		}
		t.newer = uint64(h.Epoch)
	}
	return true
}

// fenced says whether the fence has still to be synced before an answer.
func (t *table) fenced() bool { return t.meta.sequence > t.durable }

// setView takes a newer view and says whether it was one.
func (t *table) setView(v storewire.View) bool {
	if v.Epoch <= t.meta.View.Epoch {
		return false
	}
	meta := t.meta
	meta.Fence = max(meta.Fence, v.Epoch)
	meta.Unsettled = meta.Unsettled || removed(t.meta.View, v)
	meta.View = v
	if !t.keepMeta(meta) {
		return false
	}
	t.useView()
	return true
}

// removed says whether a store of the old view is gone from the new one with what it held, so that this may be at fewer
// stores than before, and "unknown" of those that are left counts for less. One that was retiring went empty; one that
// took a lost disk's place under the view's eyes catches up itself.
func removed(old, view storewire.View) bool {
	stays := func(m storewire.Member) bool {
		return slices.ContainsFunc(view.Members, func(n storewire.Member) bool {
			return n.ID == m.ID || n.Node == m.Node && n.Replaced
		})
	}
	return slices.ContainsFunc(old.Members, func(m storewire.Member) bool { return !m.Retiring && !stays(m) })
}

// useView works out what the view means for all that is held.
func (t *table) useView() {
	view := &t.meta.View
	members := make([]placement.Member, 0, len(view.Members))
	for _, m := range view.Members {
		members = append(members, placement.Member{Name: m.Node, Zone: m.Zone, Retiring: m.Retiring})
	}
	t.places = placement.NewTable(members)
	t.self = view.Find(t.meta.ID)
	t.pairs = make([]merkle.Tree, len(members))
	clear(t.strays)
	clear(t.programsTold)
	for _, turn := range t.turns {
		turn.confirmed = 0
		t.place(turn)
	}
}

// retiring says whether the store is being emptied.
func (t *table) retiring() bool { return t.self >= 0 && t.meta.View.Members[t.self].Retiring }

// placesOf gives the places where a turn belongs; valid until the next call.
func (t *table) placesOf(x *turn) []int {
	t.scratch = t.places.AppendOrder(x.root, x.home, t.scratch[:0])
	return t.scratch[:min(len(t.scratch), t.meta.View.Copies())]
}
