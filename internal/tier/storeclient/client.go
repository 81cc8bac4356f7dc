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
	// suspectDuration is how long a store that did not answer is called last.
	suspectDuration = time.Second
	// retryDelay is the delay before a call is repeated that a store refused or failed.
	retryDelay = 100 * time.Millisecond
	// defaultCacheBytes is enough for some hundred conversations.
	defaultCacheBytes = 16 << 20
)

// Options configures a Client.
type Options struct {
	Caller     storewire.Caller
	Zone       string // of this machine; its stores are preferred
	CacheBytes int    // bound of the turn cache; 0: 16 MiB
}

// Client calls the stores on behalf of a proxy.
type Client struct {
	caller  storewire.Caller
	zone    string
	cache   *cache
	settler *settler

	viewMutex sync.Mutex // held while current is replaced
	current   atomic.Pointer[snapshot]

	suspects sync.Map // address -> time.Time until which the store is suspected
}

// snapshot is a view and the placement table derived from it. It is immutable.
type snapshot struct {
	view      storewire.View
	placement *placement.Table
	changed   chan struct{} // closed when a newer snapshot is in use
}

// New returns a client that knows no stores until SetView.
func New(o Options) *Client {
	if o.CacheBytes == 0 {
		o.CacheBytes = defaultCacheBytes
	}
	c := &Client{caller: o.Caller, zone: o.Zone, cache: newCache(o.CacheBytes)}
	c.settler = newSettler(c)
	c.current.Store(newSnapshot(storewire.View{}))
	return c
}

// Close waits up to closeTimeout for pending settlements, then stops all background work.
func (c *Client) Close() { c.settler.close() }

// SetView provides the view of the stores; one that is not newer than the view in use is ignored.
func (c *Client) SetView(stores controlstate.StoreView) { c.applyView(storewire.ViewOf(stores)) }

func newSnapshot(v storewire.View) *snapshot {
	members := make([]placement.Member, 0, len(v.Members))
	for _, m := range v.Members {
		members = append(members, placement.Member{Name: m.Node, Zone: m.Zone, Retiring: m.Retiring})
	}
	return &snapshot{view: v, placement: placement.NewTable(members), changed: make(chan struct{})}
}

func (c *Client) applyView(v storewire.View) {
	c.viewMutex.Lock()
	defer c.viewMutex.Unlock()
	old := c.current.Load()
	if v.Epoch <= old.view.Epoch {
		return
	}
	c.current.Store(newSnapshot(v))
	close(old.changed)
}

// acceptReply applies a newer view carried by a reply, and reports whether the store served the request.
func (c *Client) acceptReply(r storewire.Reply) bool {
	if r.View.Epoch > 0 {
		c.applyView(r.View)
	}
	return r.Status == storewire.Served
}

// usable reports whether there are enough active stores for all copies of a record.
func (s *snapshot) usable() bool { return s.view.Epoch > 0 && s.view.ActiveCount() >= s.view.Copies() }

// waitForNewer waits for a newer view, and reports whether it arrived before the context ended.
func (s *snapshot) waitForNewer(ctx context.Context) bool {
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

// activeMembers returns the indexes of the members that are not retiring.
func (s *snapshot) activeMembers() []int {
	members := make([]int, 0, len(s.view.Members))
	for index, m := range s.view.Members {
		if !m.Retiring {
			members = append(members, index)
		}
	}
	return members
}

// isSuspect reports whether a store failed to answer within the last suspectDuration.
func (c *Client) isSuspect(address string) bool {
	until, ok := c.suspects.Load(address)
	return ok && time.Now().Before(until.(time.Time))
}

// recordAnswered records whether a store answered a call.
func (c *Client) recordAnswered(address string, answered bool) {
	if !answered {
		c.suspects.Store(address, time.Now().Add(suspectDuration))
		return
	}
	if _, ok := c.suspects.Load(address); ok {
		c.suspects.Delete(address)
	}
}

// sleep waits for d, and reports whether it elapsed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
