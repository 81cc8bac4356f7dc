package storeclient

import (
	"container/list"
	"sync"

	"emberquay/internal/tier/storewire"
)

// turnOverheadBytes approximates the memory of a cached turn besides its input and output.
const turnOverheadBytes = 400

// cache is an LRU cache of turns. A turn is held once, however many conversations continue from it. The latest turns of
// a conversation are evicted first, so that the remaining ones form a chain from the root.
type cache struct {
	mutex    sync.Mutex
	maxBytes int
	bytes    int
	turns    map[string]*list.Element // of storewire.Turn
	recent   *list.List               // most recently used first
}

func newCache(maxBytes int) *cache {
	return &cache{maxBytes: maxBytes, turns: map[string]*list.Element{}, recent: list.New()}
}

func sizeOf(t storewire.Turn) int { return len(t.Input) + len(t.Output) + turnOverheadBytes }

// put adds a turn and evicts the least recently used turns beyond maxBytes.
func (c *cache) put(t storewire.Turn) {
	if sizeOf(t) > c.maxBytes {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.turns[t.ID] == nil {
		c.turns[t.ID] = c.recent.PushFront(t)
		c.bytes += sizeOf(t)
	}
	c.markUsed(t.ID)
	for c.bytes > c.maxBytes {
		leastRecent := c.recent.Back()
		evicted := c.recent.Remove(leastRecent).(storewire.Turn)
		delete(c.turns, evicted.ID)
		c.bytes -= sizeOf(evicted)
	}
}

// markUsed makes a turn and its predecessors the most recently used, the oldest of them first.
func (c *cache) markUsed(id string) {
	for element := c.turns[id]; element != nil; {
		c.recent.MoveToFront(element)
		previous := element.Value.(storewire.Turn).Previous
		if previous == "" {
			return
		}
		element = c.turns[previous]
	}
}

// rootAndHomeZone returns the root and the home zone of a turn's conversation.
func (c *cache) rootAndHomeZone(id string) (root, home string, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	element := c.turns[id]
	if element == nil {
		return "", "", false
	}
	t := element.Value.(storewire.Turn)
	return t.Root, t.HomeZone, true
}

// conversation returns the turns up to the given one, oldest first. If some are not cached, it returns none of them and
// the id of the latest missing turn.
func (c *cache) conversation(id string) (turns []storewire.Turn, missing string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for current := id; current != ""; count++ {
		element := c.turns[current]
		if element == nil {
			return nil, current
		}
		current = element.Value.(storewire.Turn).Previous
	}
	c.markUsed(id)
	turns = make([]storewire.Turn, count)
	for current := id; current != ""; {
		count--
		turns[count] = c.turns[current].Value.(storewire.Turn)
		current = turns[count].Previous
	}
	return turns, ""
}
