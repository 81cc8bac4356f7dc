package storeclient

import (
	"container/list"
	"sync"

	"emberquay/internal/tier/storewire"
)

// nodeBytes is roughly what a turn costs besides its texts.
const nodeBytes = 400

// cache keeps turns. Each is kept once, whatever number of conversations continue from it. Those least used give way,
// and of one conversation the latest first, so that what stays is whole from the root.
type cache struct {
	mutex  sync.Mutex
	bound  int
	bytes  int
	turns  map[string]*list.Element // of storewire.Turn
	recent *list.List               // most recently used first
}

func newCache(bound int) *cache {
	return &cache{bound: bound, turns: map[string]*list.Element{}, recent: list.New()}
}

func sizeOf(t storewire.Turn) int { return len(t.Input) + len(t.Output) + nodeBytes }

// put keeps a turn.
func (c *cache) put(t storewire.Turn) {
	if sizeOf(t) > c.bound {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.turns[t.ID] == nil {
		c.turns[t.ID] = c.recent.PushFront(t)
		c.bytes += sizeOf(t)
	}
	c.touch(t.ID)
	for c.bytes > c.bound {
		oldest := c.recent.Back()
		gone := c.recent.Remove(oldest).(storewire.Turn)
		delete(c.turns, gone.ID)
		c.bytes -= sizeOf(gone)
	}
}

// touch makes a turn and all before it the most recently used, the oldest of them most.
func (c *cache) touch(id string) {
	for element := c.turns[id]; element != nil; {
		c.recent.MoveToFront(element)
		previous := element.Value.(storewire.Turn).Previous
		if previous == "" {
			return
		}
		element = c.turns[previous]
	}
}

// origin gives root and home zone of the conversation of a turn.
func (c *cache) origin(id string) (root, home string, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	element := c.turns[id]
	if element == nil {
		return "", "", false
	}
	t := element.Value.(storewire.Turn)
	return t.Root, t.HomeZone, true
}

// conversation gives the turns up to one, from the oldest. If they are not all there, it gives none and the id of the
// latest that is missing.
func (c *cache) conversation(id string) (turns []storewire.Turn, missing string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for at := id; at != ""; count++ {
		element := c.turns[at]
		if element == nil {
			return nil, at
		}
		at = element.Value.(storewire.Turn).Previous
	}
	c.touch(id)
	turns = make([]storewire.Turn, count)
	for at := id; at != ""; {
		count--
		turns[count] = c.turns[at].Value.(storewire.Turn)
		at = turns[count].Previous
	}
	return turns, ""
}
