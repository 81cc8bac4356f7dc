package store

import (
	"container/heap"
	"slices"
	"time"

	"emberquay/coordination/placement"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/storewire"
)

const (
	// retentionSlack is added to the retention of a turn: it leaves time for the next turn to end and be stored, and
	// allows for clocks that restart with the process.
	retentionSlack = 30 * time.Second
	// maxTurns bounds the index to about 30 MB.
	maxTurns = 120_000
	// tombstoneRetention is how long a turn that expired here is not accepted from another store again.
	tombstoneRetention = 2 * time.Minute
	// maxTombstones bounds the memory for tombstones.
	maxTombstones = 100_000
)

// heldTurn is the index entry of a turn's record in the journal.
type heldTurn struct {
	id, previous   string
	key, rootKey   uint64
	homeZone       string
	position       journal.Position
	receivedAt     time.Duration
	expiresAt      time.Duration
	confirmedRanks uint8 // of a misplaced turn, a bit per rank in its places: that store has it on its disk
}

// expiry is the time at which a turn is checked for expiry; the turn may have been extended since.
type expiry struct {
	at   time.Duration
	turn *heldTurn
}

// expiryQueue is a heap of expiries, earliest first.
type expiryQueue []expiry

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q expiryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends an expiry, for container/heap.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiry)) }

// Pop removes the last expiry, for container/heap.
func (q *expiryQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// initialTTL returns how long a turn is kept after it has ended.
func initialTTL(head storewire.TurnHead) time.Duration {
	return time.Duration(head.RetentionMillis)*time.Millisecond + retentionSlack
}

// addTurn adds a turn to the index. If it is indexed already, addTurn sets its position and extends its expiry.
func (t *table) addTurn(head storewire.TurnHead, position journal.Position, ttl time.Duration) *heldTurn {
	key := placement.KeyOf(head.ID)
	now := t.now()
	if known := t.turns[key]; known != nil {
		t.setTurnPosition(known, position)
		t.extendExpiry(known, now+ttl)
		return known
	}
	turn := &heldTurn{
		id:         head.ID,
		previous:   head.Previous,
		key:        key,
		rootKey:    placement.KeyOf(head.Root),
		homeZone:   head.HomeZone,
		position:   position,
		receivedAt: now,
		expiresAt:  max(now+ttl, t.missingPredecessors[key]),
	}
	delete(t.missingPredecessors, key)
	t.turns[key] = turn
	t.liveTurnBytes[position.Segment] += int64(position.Length)
	heap.Push(&t.expiries, expiry{at: turn.expiresAt, turn: turn})
	t.extendPredecessors(turn)
	t.indexPlacement(turn)
	return turn
}

// setTurnPosition updates the index after a turn's record was written to another journal position.
func (t *table) setTurnPosition(turn *heldTurn, position journal.Position) {
	t.subtractLiveBytes(turn.position)
	turn.position = position
	t.liveTurnBytes[position.Segment] += int64(position.Length)
}

func (t *table) subtractLiveBytes(position journal.Position) {
	t.liveTurnBytes[position.Segment] -= int64(position.Length)
	if t.liveTurnBytes[position.Segment] <= 0 {
		delete(t.liveTurnBytes, position.Segment)
	}
}

// extendExpiry keeps a turn and all its predecessors at least until the given time.
func (t *table) extendExpiry(turn *heldTurn, until time.Duration) {
	if turn.expiresAt >= until {
		return
	}
	turn.expiresAt = until // expireTurns requeues it when the old time comes
	t.extendPredecessors(turn)
}

// extendPredecessors keeps all predecessors of a turn at least as long as the turn itself.
func (t *table) extendPredecessors(turn *heldTurn) {
	for turn.previous != "" {
		key := placement.KeyOf(turn.previous)
		predecessor := t.turns[key]
		if predecessor == nil {
			t.missingPredecessors[key] = max(t.missingPredecessors[key], turn.expiresAt)
			return
		}
		if predecessor.expiresAt >= turn.expiresAt {
			return
		}
		predecessor.expiresAt = turn.expiresAt
		turn = predecessor
	}
}

// indexPlacement adds a turn to the trees shared with the other members of its places, or to the misplaced turns.
func (t *table) indexPlacement(turn *heldTurn) {
	if t.self < 0 {
		return
	}
	places := t.placesOf(turn)
	if !slices.Contains(places, t.self) {
		t.misplacedTurns[turn.key] = turn
		return
	}
	for _, member := range places {
		if member != t.self {
			t.sharedTurnTrees[member].Add(turn.key, 0)
		}
	}
}

func (t *table) unindexPlacement(turn *heldTurn) {
	if t.self < 0 {
		return
	}
	if _, misplaced := t.misplacedTurns[turn.key]; misplaced {
		delete(t.misplacedTurns, turn.key)
		return
	}
	for _, member := range t.placesOf(turn) {
		if member != t.self {
			t.sharedTurnTrees[member].Remove(turn.key, 0)
		}
	}
}

// expireTurns removes expired turns and leaves tombstones for them.
func (t *table) expireTurns() {
	now := t.now()
	for len(t.expiries) > 0 && t.expiries[0].at <= now {
		turn := heap.Pop(&t.expiries).(expiry).turn
		if turn.expiresAt > now {
			heap.Push(&t.expiries, expiry{at: turn.expiresAt, turn: turn})
			continue
		}
		t.removeTurn(turn)
		if len(t.tombstones) < maxTombstones {
			t.tombstones[turn.key] = now + tombstoneRetention
		}
	}
	for key, until := range t.tombstones {
		if until <= now {
			delete(t.tombstones, key)
		}
	}
	for key, until := range t.missingPredecessors {
		if until <= now {
			delete(t.missingPredecessors, key)
		}
	}
}

func (t *table) removeTurn(turn *heldTurn) {
	t.unindexPlacement(turn)
	t.subtractLiveBytes(turn.position)
	delete(t.turns, turn.key)
}

// heldOrExpired reports whether the turn with this key is here, or has expired here; it need not be copied here then.
func (t *table) heldOrExpired(key uint64) bool {
	_, expired := t.tombstones[key]
	return expired || t.turns[key] != nil
}

// appendTurn appends a turn's record, kind byte included. If the turn is held already it only extends its expiry. It
// returns false if there is no room.
func (t *table) appendTurn(record []byte, head storewire.TurnHead, ttl time.Duration) bool {
	if known := t.turns[placement.KeyOf(head.ID)]; known != nil {
		t.extendExpiry(known, t.now()+ttl)
		return true
	}
	if len(t.turns) >= maxTurns {
		return false
	}
	position, ok := t.append(record, minFreeForTurn)
	if !ok {
		return false
	}
	t.addTurn(head, position, ttl)
	return true
}
