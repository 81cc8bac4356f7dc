package storeclient

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"emberquay/coordination/placement"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storewire"
)

const (
	// suspicion is for how long a store that did not answer is asked last.
	suspicion = time.Second
	// retryPause lies between two tries of the same call to a store that refused or failed it.
	retryPause = 100 * time.Millisecond
	// defaultCacheBytes holds some hundred conversations.
	defaultCacheBytes = 16 << 20
)

// Options of a client.
type Options struct {
	Caller     storewire.Caller
	Zone       string // of this machine: its stores are preferred
	CacheBytes int    // of turns that are kept; 0: 16 MiB
}

// Client is the proxy's side of the stores.
type Client struct {
	caller storewire.Caller
	zone   string
	cache  *cache
	settle *settler

	adopting sync.Mutex // held to change current
	current  atomic.Pointer[snapshot]

	suspects sync.Map // address -> time.Time until which it is one
}

// snapshot is a view with what follows from it. It is not changed.
type snapshot struct {
	view    storewire.View
	places  *placement.Table
	changed chan struct{} // closed when there is a newer one
}

// New makes a client that knows no store yet.
func New(o Options) *Client {
	if o.CacheBytes == 0 {
		o.CacheBytes = defaultCacheBytes
	}
	c := &Client{caller: o.Caller, zone: o.Zone, cache: newCache(o.CacheBytes)}
	c.settle = newSettler(c)
	c.current.Store(newSnapshot(storewire.View{}))
	return c
}

// Close gives settlements under way a moment and ends all work in the background.
func (c *Client) Close() { c.settle.close() }

// SetView tells of the stores; a view older than the one in use is ignored.
func (c *Client) SetView(stores controlstate.StoreView) { c.adopt(storewire.ViewOf(stores)) }

func newSnapshot(v storewire.View) *snapshot {
	members := make([]placement.Member, 0, len(v.Members))
	for _, m := range v.Members {
		members = append(members, placement.Member{Name: m.Node, Zone: m.Zone, Retiring: m.Retiring})
	}
	return &snapshot{view: v, places: placement.NewTable(members), changed: make(chan struct{})}
}

func (c *Client) adopt(v storewire.View) {
	c.adopting.Lock()
	defer c.adopting.Unlock()
	old := c.current.Load()
	if v.Epoch <= old.view.Epoch {
		return
	}
	c.current.Store(newSnapshot(v))
	close(old.changed)
}

// heed takes from a reply what it says of the view, and tells whether the rest of the answer counts.
func (c *Client) heed(r storewire.Reply) bool {
	if r.View.Epoch > 0 {
		c.adopt(r.View)
	}
	return r.Status == storewire.Served
}

// usable says whether there are stores enough to keep anything.
func (s *snapshot) usable() bool { return s.view.Epoch > 0 && s.view.ActiveCount() >= s.view.Copies() }

// renewed waits for a newer view, and says whether it came before the context ended.
func (s *snapshot) renewed(ctx context.Context) bool {
	select {
	case <-s.changed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *snapshot) header(member int) storewire.Header {
	return storewire.Header{Epoch: s.view.Epoch, StoreID: s.view.Members[member].ID}
}

// active lists the members that are not retiring.
func (s *snapshot) active() []int {
	list := make([]int, 0, len(s.view.Members))
	for at, m := range s.view.Members {
		if !m.Retiring {
			list = append(list, at)
		}
	}
	return list
}

// suspect says whether a store did not answer lately.
func (c *Client) suspect(address string) bool {
	until, ok := c.suspects.Load(address)
	return ok && time.Now().Before(until.(time.Time))
}

// heard notes whether a store answered.
func (c *Client) heard(address string, answered bool) {
	if !answered {
		c.suspects.Store(address, time.Now().Add(suspicion))
		return
	}
	if _, ok := c.suspects.Load(address); ok {
		c.suspects.Delete(address)
	}
}

// pause waits, and says whether the context still runs then.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
