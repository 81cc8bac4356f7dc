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
	// retentionSlack is added to the retention of a turn: time for the turn that continues it to end and to be kept,
	// and for clocks that start anew.
	retentionSlack = 30 * time.Second
	// maxTurns bounds the index, about 30 MB.
	maxTurns = 120_000
	// tombstoneRetention is for how long a turn that expired here is not taken from another store again.
	tombstoneRetention = 2 * time.Minute
	// maxTombstones bounds the memory for those.
	maxTombstones = 100_000
)

// heldTurn is the index's part of a record.
type heldTurn struct {
	id, previous   string
	key, rootKey   uint64
	homeZone       string
	position       journal.Position
	receivedAt     time.Duration
	expiresAt      time.Duration
	confirmedRanks uint8 // bits by rank of its places, of one that doesn't belong here: it is on the disk there
}

// expiry is when a turn is to be looked at. It may have been extended since.
type expiry struct {
	at   time.Duration
	turn *heldTurn
}

// expiryQueue is a heap, the earliest first.
type expiryQueue []expiry

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q expiryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push adds an expiry, for package heap.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiry)) }

// Pop takes the last one, for package heap.
func (q *expiryQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// initialTTL is for how long a turn is kept that has just ended.
func initialTTL(head storewire.TurnHead) time.Duration {
	return time.Duration(head.RetentionMillis)*time.Millisecond + retentionSlack
}

// addTurn takes a record into the index. One that is there only gets another position or a longer life.
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
		homeZone:   head.Home,
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

// setTurnPosition notes that the record is elsewhere in the journal now.
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

// extendExpiry makes a turn and all before it live at least so long.
func (t *table) extendExpiry(turn *heldTurn, until time.Duration) {
	if turn.expiresAt >= until {
		return
	}
	turn.expiresAt = until // the queue finds out when the old time comes
	t.extendPredecessors(turn)
}

// extendPredecessors makes all turns before one live as long as it does.
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

// indexPlacement enters a turn where the comparison with other stores finds it.
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

// expireTurns drops the turns whose time is over.
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

// heldOrExpired says whether a turn of that key need not be brought here.
func (t *table) heldOrExpired(key uint64) bool {
	_, ended := t.tombstones[key]
	return ended || t.turns[key] != nil
}

// appendTurn appends a record, whole with its kind, unless it is there. It gives false where there is no room.
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
