package dispatch

import "time"

const (
	// maxCachedParts bounds the parts of prompts that are remembered of one receiver, whatever its memory.
	maxCachedParts = 1024
	// cachedPartLifetime is how long a part that this sender sent is taken to be kept: other senders' prompts, which it
	// does not see, push it out meanwhile.
	cachedPartLifetime = 30 * time.Second
)

// prefixCache is this sender's guess of what a receiver keeps of prompts: the parts that it was sent lately,
// least recently used first to go. A part counts only after the same parts as when it was sent, so each is
// kept under a hash of itself and all before it.
type prefixCache struct {
	parts    map[uint64]*cachedPart
	newest   *cachedPart // of a ring
	tokens   int
	capacity int // tokens
}

type cachedPart struct {
	key          uint64
	tokens       int
	lastUsed     Instant
	newer, older *cachedPart
}

// chainedHash adds a part's id to the hash of those before it (a step of FNV-1a over words, mixed once).
func chainedHash(key, id uint64) uint64 {
	key = (key ^ id) * 0x9e3779b97f4a7c15
	return key ^ key>>29
}

// cachedTokens gives how many tokens of a prompt's beginning are thought to be kept.
func (c *prefixCache) cachedTokens(now Instant, prefix []PrefixPart) int {
	tokens, key := 0, uint64(0)
	for _, p := range prefix {
		key = chainedHash(key, p.ID)
		part := c.parts[key]
		if part == nil || now.Sub(part.lastUsed) > cachedPartLifetime {
			break
		}
		tokens += min(p.Tokens, part.tokens) // a session's part grows from turn to turn
		if part.tokens < p.Tokens {
			break
		}
	}
	return tokens
}

// add notes that a prompt was sent. Parts that come first are noted as used last, as the others are worth
// nothing without them.
func (c *prefixCache) add(now Instant, prefix []PrefixPart, capacity int) {
	if len(prefix) == 0 || capacity <= 0 {
		return
	}
	if c.parts == nil {
		c.parts = map[uint64]*cachedPart{}
	}
	c.capacity = capacity
	c.addFrom(now, prefix, 0)
	for len(c.parts) > maxCachedParts || c.tokens > c.capacity {
		c.evict(c.newest.newer)
	}
}

func (c *prefixCache) addFrom(now Instant, prefix []PrefixPart, parentKey uint64) {
	if len(prefix) == 0 {
		return
	}
	key := chainedHash(parentKey, prefix[0].ID)
	c.addFrom(now, prefix[1:], key)
	part := c.parts[key]
	if part == nil {
		part = &cachedPart{key: key}
		c.parts[key] = part
	} else {
		c.unlink(part)
	}
	c.tokens += prefix[0].Tokens - part.tokens
	part.tokens = prefix[0].Tokens
	part.lastUsed = now
	c.link(part)
}

// link puts a part in as the newest; the newest's newer neighbour is the oldest.
func (c *prefixCache) link(p *cachedPart) {
	if c.newest == nil {
		p.newer, p.older = p, p
	} else {
		p.older, p.newer = c.newest, c.newest.newer
		p.older.newer, p.newer.older = p, p
	}
	c.newest = p
}

func (c *prefixCache) unlink(p *cachedPart) {
	if p.newer == p {
		c.newest = nil
		return
	}
	p.newer.older, p.older.newer = p.older, p.newer
	if c.newest == p {
		c.newest = p.older
	}
}

func (c *prefixCache) evict(p *cachedPart) {
	c.unlink(p)
	delete(c.parts, p.key)
	c.tokens -= p.tokens
}
