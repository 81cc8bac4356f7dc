package store

import (
	"time"

	"emberquay/coordination/merkle"
	"emberquay/coordination/placement"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/storewire"
)

const (
	// maxSyncDuration is how long a sync may run before further writes are refused, so that callers use another store.
	maxSyncDuration = 400 * time.Millisecond
	// maxWaitingCommands and maxPendingBytes bound the commands and the bytes that wait for the disk.
	maxWaitingCommands = 1024
	maxPendingBytes    = 8 << 20
)

// table is the in-memory state of the store. Only the goroutine that runs Store.runCommands uses it.
type table struct {
	journal      *journal.Journal
	segmentBytes int64
	now          func() time.Duration

	meta       meta
	placement  *placement.Table
	self       int    // index in the view's members; -1: not a member
	newerEpoch uint64 // epoch of a request that is newer than the view here; 0: none

	appendedRecords uint64 // number of records appended so far
	durableRecords  uint64 // number of those known to be on the disk
	waitingForSync  []*command
	syncRunning     bool
	syncStarted     time.Duration

	turns               map[uint64]*heldTurn // by key
	expiries            expiryQueue
	missingPredecessors map[uint64]time.Duration // key of a turn that is not here -> expiry of the turns that continue it
	tombstones          map[uint64]time.Duration // key of a turn that expired here -> when the tombstone is removed
	liveTurnBytes       map[uint64]int64         // bytes of held turns by segment
	sharedTurnTrees     []merkle.Tree            // by member: turns that belong both there and here
	misplacedTurns      map[uint64]*heldTurn     // by key: turns that do not belong here

	programs    map[string]*program
	entryCount  int // reservations of all programs
	programTree merkle.Tree
	// programsSettledEpoch is the epoch of the last view under which this store compared its programs with enough others.
	programsSettledEpoch int64
	hasAllPrograms       map[string]bool // by store id, while retiring: the member has all programs

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

// programsSettled reports whether the store holds every reservation that was acknowledged before the current view.
func (t *table) programsSettled() bool {
	return !t.meta.Unsettled || t.programsSettledEpoch == t.meta.View.Epoch
}

// hasUnsynced reports whether some appended record may not be on the disk.
func (t *table) hasUnsynced() bool { return t.appendedRecords > t.durableRecords }

// nextBatch starts a batch for the commands that wait, or returns nil if a sync runs or none is needed.
func (t *table) nextBatch() *syncBatch {
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

// stalled reports that the disk is so far behind that a write should go to another store.
func (t *table) stalled() bool {
	if t.syncRunning && t.now()-t.syncStarted > maxSyncDuration {
		return true
	}
	return len(t.waitingForSync) > maxWaitingCommands || t.journal.PendingBytes() > maxPendingBytes
}

// checkHeader checks the header of a request and fills in the reply. If it returns false, the reply is final. A command
// that passes must be durable as long as fenceUnsynced, so that the fence is on the disk before any answer relies on
// it.
func (t *table) checkHeader(header storewire.Header, reply *storewire.Reply) bool {
	// Under an older view than the request's this store doesn't know yet what it lacks.
	reply.Complete = t.meta.Complete && t.meta.View.Epoch >= header.Epoch
	if t.meta.View.Epoch > header.Epoch {
		reply.View = t.meta.View
	}
	switch {
	case header.StoreID != t.meta.ID:
		reply.Status = storewire.WrongStore
		return false
	case header.Epoch < t.meta.Fence:
		reply.Status = storewire.StaleView
		return false
	case header.Epoch > t.meta.Fence:
		meta := t.meta
		meta.Fence = header.Epoch
		if !t.appendMeta(meta) {
			reply.Status = storewire.Busy
			return false
		}
		t.newerEpoch = uint64(header.Epoch)
	}
	return true
}

// fenceUnsynced reports whether the fence has yet to be synced before an answer.
func (t *table) fenceUnsynced() bool { return t.meta.recordNumber > t.durableRecords }

// setView stores and applies a view if it is newer, and reports whether it did.
func (t *table) setView(view storewire.View) bool {
	if view.Epoch <= t.meta.View.Epoch {
		return false
	}
	meta := t.meta
	meta.Fence = max(meta.Fence, view.Epoch)
	meta.Unsettled = meta.Unsettled || view.ActiveMemberLeft(&t.meta.View)
	meta.View = view
	if !t.appendMeta(meta) {
		return false
	}
	t.recomputePlacement()
	return true
}

// recomputePlacement rebuilds the placement of all held turns from the current view.
func (t *table) recomputePlacement() {
	view := &t.meta.View
	members := make([]placement.Member, 0, len(view.Members))
	for _, m := range view.Members {
		members = append(members, placement.Member{Name: m.Node, Zone: m.Zone, Retiring: m.Retiring})
	}
	t.placement = placement.NewTable(members)
	t.self = view.IndexOf(t.meta.ID)
	t.sharedTurnTrees = make([]merkle.Tree, len(members))
	clear(t.misplacedTurns)
	clear(t.hasAllPrograms)
	for _, turn := range t.turns {
		turn.confirmedRanks = 0
		t.indexPlacement(turn)
	}
}

// retiring reports whether the view says that this store is retiring.
func (t *table) retiring() bool { return t.self >= 0 && t.meta.View.Members[t.self].Retiring }

// placesOf returns the member indexes where a turn belongs. The slice is valid until the next call.
func (t *table) placesOf(turn *heldTurn) []int {
	t.placesBuffer = t.placement.AppendOrder(turn.rootKey, turn.homeZone, t.placesBuffer[:0])
	return t.placesBuffer[:min(len(t.placesBuffer), t.meta.View.Copies())]
}
