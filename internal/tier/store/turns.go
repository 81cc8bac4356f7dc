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
	// mostTurns bounds the index, about 30 MB.
	mostTurns = 120_000
	// endedKept is for how long a turn that expired here is not taken from another store again.
	endedKept = 2 * time.Minute
	// mostEnded bounds the memory for those.
	mostEnded = 100_000
)

// turn is the index's part of a record.
type turn struct {
	id, previous string
	key, root    uint64
	home         string
	position     journal.Position
	arrived      time.Duration
	expires      time.Duration
	confirmed    uint8 // bits by rank of its places, of one that doesn't belong here: it is on the disk there
}

// expiry is when a turn is to be looked at. It may have been extended since.
type expiry struct {
	at   time.Duration
	turn *turn
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

// retentionOf is for how long a turn is kept that has just ended.
func retentionOf(h storewire.TurnHead) time.Duration {
	return time.Duration(h.RetentionMillis)*time.Millisecond + retentionSlack
}

// addTurn takes a record into the index. One that is there only gets another position or a longer life.
func (t *table) addTurn(h storewire.TurnHead, position journal.Position, life time.Duration) *turn {
	key := placement.KeyOf(h.ID)
	now := t.now()
	if known := t.turns[key]; known != nil {
		t.moveTurn(known, position)
		t.extend(known, now+life)
		return known
	}
	x := &turn{
		id:       h.ID,
		previous: h.Previous,
		key:      key,
		root:     placement.KeyOf(h.Root),
		home:     h.Home,
		position: position,
		arrived:  now,
		expires:  max(now+life, t.orphans[key]),
	}
	delete(t.orphans, key)
	t.turns[key] = x
	t.live[position.Segment] += int64(position.Length)
	heap.Push(&t.expiries, expiry{at: x.expires, turn: x})
	t.extendBefore(x)
	t.place(x)
	return x
}

// moveTurn notes that the record is elsewhere in the journal now.
func (t *table) moveTurn(x *turn, position journal.Position) {
	t.release(x.position)
	x.position = position
	t.live[position.Segment] += int64(position.Length)
}

func (t *table) release(p journal.Position) {
	t.live[p.Segment] -= int64(p.Length)
	if t.live[p.Segment] <= 0 {
		delete(t.live, p.Segment)
	}
}

// extend makes a turn and all before it live at least so long.
func (t *table) extend(x *turn, until time.Duration) {
	if x.expires >= until {
		return
	}
	x.expires = until // the queue finds out when the old time comes
	t.extendBefore(x)
}

// extendBefore makes all turns before one live as long as it does.
func (t *table) extendBefore(x *turn) {
	for x.previous != "" {
		key := placement.KeyOf(x.previous)
		before := t.turns[key]
		if before == nil {
			t.orphans[key] = max(t.orphans[key], x.expires)
			return
		}
		if before.expires >= x.expires {
			return
		}
		before.expires = x.expires
		x = before
	}
}

// place enters a turn where the comparison with other stores finds it.
func (t *table) place(x *turn) {
	if t.self < 0 {
		return
	}
	places := t.placesOf(x)
	if !slices.Contains(places, t.self) {
		t.strays[x.key] = x
		return
	}
	for _, member := range places {
		if member != t.self {
			t.pairs[member].Add(x.key, 0)
		}
	}
}

func (t *table) unplace(x *turn) {
	if t.self < 0 {
		return
	}
	if _, stray := t.strays[x.key]; stray {
		delete(t.strays, x.key)
		return
	}
	for _, member := range t.placesOf(x) {
		if member != t.self {
			t.pairs[member].Remove(x.key, 0)
		}
	}
}

// expireTurns drops the turns whose time is over.
func (t *table) expireTurns() {
	now := t.now()
	for len(t.expiries) > 0 && t.expiries[0].at <= now {
		x := heap.Pop(&t.expiries).(expiry).turn
		if x.expires > now {
			heap.Push(&t.expiries, expiry{at: x.expires, turn: x})
			continue
		}
		t.removeTurn(x)
		if len(t.ended) < mostEnded {
			t.ended[x.key] = now + endedKept
		}
	}
	for key, until := range t.ended {
		if until <= now {
			delete(t.ended, key)
		}
	}
	for key, until := range t.orphans {
		if until <= now {
			delete(t.orphans, key)
		}
	}
}

func (t *table) removeTurn(x *turn) {
	t.unplace(x)
	t.release(x.position)
	delete(t.turns, x.key)
}

// holds says whether a turn of that key need not be brought here.
func (t *table) holds(key uint64) bool {
	_, ended := t.ended[key]
	return ended || t.turns[key] != nil
}

// keepTurn appends a record, whole with its kind, unless it is there. It gives false where there is no room.
func (t *table) keepTurn(record []byte, h storewire.TurnHead, life time.Duration) bool {
	if known := t.turns[placement.KeyOf(h.ID)]; known != nil {
		t.extend(known, t.now()+life)
		return true
	}
	if len(t.turns) >= mostTurns {
		return false
	}
	position, ok := t.append(record, turnRoom)
	if !ok {
		return false
	}
	t.addTurn(h, position, life)
	return true
}
