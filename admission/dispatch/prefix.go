package dispatch

import "time"

const (
	// maxCachedParts bounds the remembered prompt parts per receiver, whatever its memory.
	maxCachedParts = 1024
	// cachedPartLifetime is how long a part sent by this proxy is assumed to stay cached: prompts of other proxies,
	// which it does not see, evict it meanwhile.
	cachedPartLifetime = 30 * time.Second
)

// prefixCache is this proxy's estimate of the prompts that a receiver has cached: the parts sent to it recently,
// evicted in least recently used order. A part is cached only behind the same preceding parts, so its key is a hash
// of itself and all parts before it.
type prefixCache struct {
	parts    map[uint64]*cachedPart
	newest   *cachedPart // of a ring, linked by age
	tokens   int
	capacity int // tokens
}

type cachedPart struct {
	key          uint64
	tokens       int
	lastUsed     Instant
	newer, older *cachedPart
}

// chainedHash adds a part's id to the hash of the parts before it (a step of FNV-1a over words, mixed once).
func chainedHash(key, id uint64) uint64 {
	key = (key ^ id) * 0x9e3779b97f4a7c15
	return key ^ key>>29
}

// cachedTokens estimates how many tokens at the start of a prompt are cached.
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

// add records that a prompt was sent. Earlier parts become the more recently used ones, as later parts are worth
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

// link inserts a part as the newest; the newest part's newer neighbour is the oldest.
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
