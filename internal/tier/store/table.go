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
	// maxSyncDuration is how long a sync may run before further writes are refused, so that callers go to another store.
	maxSyncDuration = 400 * time.Millisecond
	// maxWaitingCommands and mostPending bound what waits for the disk.
	maxWaitingCommands = 1024
	maxPendingBytes    = 8 << 20
)

// table is all that the store knows. It belongs to the goroutine that runs Store.own.
type table struct {
	journal      *journal.Journal
	segmentBytes int64
	now          func() time.Duration

	meta       meta
	placement  *placement.Table
	self       int    // place in the view; -1: not a member
	newerEpoch uint64 // a view that a caller works by and that is not known here; 0: none

	appendedRecords uint64 // records so far
	durableRecords  uint64 // of them, those on the disk
	waitingForSync  []*command
	syncRunning     bool
	syncStarted     time.Duration

	turns               map[uint64]*heldTurn // by key
	expiries            expiryQueue
	missingPredecessors map[uint64]time.Duration // keys of turns that others continue and that are not here -> until when those are kept
	tombstones          map[uint64]time.Duration // keys of turns that expired here -> when that is forgotten
	liveTurnBytes       map[uint64]int64         // bytes of turns by segment
	sharedTurnTrees     []merkle.Tree            // by member: turns that belong at it and here
	misplacedTurns      map[uint64]*heldTurn     // turns that don't belong here

	programs       map[string]*program
	entryCount     int // of all programs
	programTree    merkle.Tree
	hasAllPrograms map[string]bool // ids of members that know all programs, while retiring

	placesBuffer []int
}

func newTable(options Options, segmentBytes int64) *table {
	return &table{
		segmentBytes:        segmentBytes,
		now:                 options.Now,
		placement:           placement.NewTable(nil),
		self:                -1,
		turns:               map[uint64]*heldTurn{},
		missingPredecessors: map[uint64]time.Duration{},
		tombstones:          map[uint64]time.Duration{},
		liveTurnBytes:       map[uint64]int64{},
		misplacedTurns:      map[uint64]*heldTurn{},
		programs:            map[string]*program{},
		hasAllPrograms:      map[string]bool{},
	}
}

// hasUnsynced says whether anything that was appended may not be on the disk.
func (t *table) hasUnsynced() bool { return t.appendedRecords > t.durableRecords }

// nextSync gives the sync that is due, if none runs.
func (t *table) nextSync() *syncBatch {
	if t.syncRunning || len(t.waitingForSync) == 0 {
		return nil
	}
	next := &syncBatch{commands: t.waitingForSync, lastRecord: t.appendedRecords}
	t.waitingForSync = nil
	t.syncRunning = true
	t.syncStarted = t.now()
	return next
}

func (t *table) syncEnded(batch *syncBatch) {
	t.syncRunning = false
	if batch.err == nil {
		t.durableRecords = batch.lastRecord
	}
}

// stalled says that the disk is so far behind that a write had better go elsewhere.
func (t *table) stalled() bool {
	if t.syncRunning && t.now()-t.syncStarted > maxSyncDuration {
		return true
	}
	return len(t.waitingForSync) > maxWaitingCommands || t.journal.PendingBytes() > maxPendingBytes
}

// checkHeader checks the header of a request and begins the reply. Where it gives false the reply says all there is to say.
// The command has to be durable in any case, so that the fence is on the disk before anything is answered behind it.
func (t *table) checkHeader(header storewire.Header, reply *storewire.Reply) bool {
	reply.Complete = t.meta.Complete
	if t.meta.View.Epoch > header.Epoch {
		reply.View = t.meta.View
	}
	switch {
	case header.Store != t.meta.ID:
		reply.Standing = storewire.Foreign
		return false
	case header.Epoch < t.meta.Fence:
		reply.Standing = storewire.Stale
		return false
	case header.Epoch > t.meta.Fence:
		meta := t.meta
		meta.Fence = header.Epoch
		if !t.appendMeta(meta) {
			reply.Standing = storewire.Busy
			return false
		}
		t.newerEpoch = uint64(header.Epoch)
	}
	return true
}

// fenceUnsynced says whether the fence has still to be synced before an answer.
func (t *table) fenceUnsynced() bool { return t.meta.recordNumber > t.durableRecords }

// setView takes a newer view and says whether it was one.
func (t *table) setView(view storewire.View) bool {
	if view.Epoch <= t.meta.View.Epoch {
		return false
	}
	meta := t.meta
	meta.Fence = max(meta.Fence, view.Epoch)
	meta.Unsettled = meta.Unsettled || holderRemoved(t.meta.View, view)
	meta.View = view
	if !t.appendMeta(meta) {
		return false
	}
	t.recomputePlacement()
	return true
}

// holderRemoved says whether a store of the old view is gone from the new one with what it held, so that this may be at fewer
// stores than before, and "unknown" of those that are left counts for less. One that was retiring went empty; one that
// took a lost disk's place under the view's eyes catches up itself.
func holderRemoved(old, view storewire.View) bool {
	remains := func(m storewire.Member) bool {
		return slices.ContainsFunc(view.Members, func(n storewire.Member) bool {
			return n.ID == m.ID || n.Node == m.Node && n.Replaced
		})
	}
	return slices.ContainsFunc(old.Members, func(m storewire.Member) bool { return !m.Retiring && !remains(m) })
}

// recomputePlacement works out what the view means for all that is held.
func (t *table) recomputePlacement() {
	view := &t.meta.View
	members := make([]placement.Member, 0, len(view.Members))
	for _, m := range view.Members {
		members = append(members, placement.Member{Name: m.Node, Zone: m.Zone, Retiring: m.Retiring})
	}
	t.placement = placement.NewTable(members)
	t.self = view.Find(t.meta.ID)
	t.sharedTurnTrees = make([]merkle.Tree, len(members))
	clear(t.misplacedTurns)
	clear(t.hasAllPrograms)
	for _, turn := range t.turns {
		turn.confirmedRanks = 0
		t.indexPlacement(turn)
	}
}

// retiring says whether the store is being emptied.
func (t *table) retiring() bool { return t.self >= 0 && t.meta.View.Members[t.self].Retiring }

// placesOf gives the places where a turn belongs; valid until the next call.
func (t *table) placesOf(turn *heldTurn) []int {
	t.placesBuffer = t.placement.AppendOrder(turn.rootKey, turn.homeZone, t.placesBuffer[:0])
	return t.placesBuffer[:min(len(t.placesBuffer), t.meta.View.Copies())]
}
