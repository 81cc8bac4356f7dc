package store_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/store"
	"emberquay/internal/tier/storeclient"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/vfs/memfs"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

// eventuallyTimeout bounds how long tests wait for background work.
const eventuallyTimeout = 20 * time.Second

// cluster simulates stores and their network in memory.
type cluster struct {
	clock atomic.Int64 // time of all stores, in nanoseconds
	view  controlstate.StoreView

	mutex sync.Mutex
	nodes []*node
	calls map[string]int                     // number of calls by method
	fault func(method, address string) error // returns the error of a call; nil: no call fails
}

// node is a machine of the cluster with its store.
type node struct {
	cluster      *cluster
	name         string
	zone         string
	address      string
	disk         *memfs.FS
	store        *store.Store
	diskBytes    int64
	retiredCalls atomic.Int32
	newerEpoch   atomic.Uint64
	down         atomic.Bool
}

// newCluster starts a bootstrapped store in each of the zones and publishes their view.
func newCluster(tolerance int, zones ...string) *cluster {
	c := &cluster{calls: map[string]int{}}
	c.view.Tolerance = tolerance
	for i, zone := range zones {
		n := c.add(fmt.Sprint("store-", i), zone)
		n.start(true)
		c.joinView(n)
	}
	c.publishView()
	return c
}

func (c *cluster) add(name, zone string) *node {
	// A disk of 1 byte gets 16 segments of the minimum size.
	n := &node{cluster: c, name: name, zone: zone, address: name + ":1", disk: memfs.New(), diskBytes: 1}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nodes = append(c.nodes, n)
	return n
}

func (n *node) start(bootstrap bool) {
	s, err := store.Start(store.Options{
		Files:          n.disk,
		Dir:            "data",
		DiskBytes:      n.diskBytes,
		Bootstrap:      bootstrap,
		Caller:         network{n.cluster},
		OnNewerView:    func(epoch uint64) { n.newerEpoch.Store(epoch) },
		OnRetired:      func() { n.retiredCalls.Add(1) },
		Now:            func() time.Duration { return time.Duration(n.cluster.clock.Load()) },
		RepairInterval: -1,
	})
	Expect(err).NotTo(HaveOccurred())
	n.store = s
	n.down.Store(false)
	DeferCleanup(func() { s.Close() })
}

// restart stops the store and starts it again with the disk contents that survive a stop of this mode.
func (n *node) restart(mode memfs.CrashMode, rng *rand.Rand) {
	Expect(n.store.Close()).To(Succeed())
	n.disk = n.disk.AfterCrash(mode, rng)
	n.start(false)
	n.store.SetView(n.cluster.view)
}

// wipe restarts the store with an empty disk, which joins the view as another member.
func (n *node) wipe() {
	Expect(n.store.Close()).To(Succeed())
	n.disk = memfs.New()
	n.start(false)
	n.cluster.joinView(n)
}

// joinView adds a store to the view, in place of the former one on its node.
func (c *cluster) joinView(n *node) {
	member := controlstate.StoreMember{ID: n.store.ID(), Node: n.name, Zone: n.zone, Address: n.address}
	members := make([]controlstate.StoreMember, 0, len(c.view.Members)+1)
	for _, m := range c.view.Members {
		if m.Node != n.name {
			members = append(members, m)
		} else {
			member.Replaced = true
		}
	}
	c.view.Members = append(members, member)
	c.view.Epoch++
}

// changeView replaces the members of the view and increments its epoch.
func (c *cluster) changeView(f func([]controlstate.StoreMember) []controlstate.StoreMember) {
	c.view.Members = f(append([]controlstate.StoreMember(nil), c.view.Members...))
	c.view.Epoch++
}

func (c *cluster) retire(name string) {
	c.changeView(func(members []controlstate.StoreMember) []controlstate.StoreMember {
		for i := range members {
			members[i].Retiring = members[i].Retiring || members[i].Node == name
		}
		return members
	})
}

// fail marks a store as failed.
func (c *cluster) fail(name string) { c.retire(name) }

// restore makes a failed store active again.
func (c *cluster) restore(name string) {
	c.changeView(func(members []controlstate.StoreMember) []controlstate.StoreMember {
		for i := range members {
			members[i].Retiring = members[i].Retiring && members[i].Node != name
		}
		return members
	})
}

func (c *cluster) remove(name string) {
	c.changeView(func(members []controlstate.StoreMember) []controlstate.StoreMember {
		var left []controlstate.StoreMember
		for _, m := range members {
			if m.Node != name {
				left = append(left, m)
			}
		}
		return left
	})
}

// publishView sets the current view on all stores.
func (c *cluster) publishView() {
	for _, n := range c.nodes {
		n.store.SetView(c.view)
	}
}

// repairRounds runs repair rounds on every store that is up.
func (c *cluster) repairRounds(count int) {
	for roundNumber := range count {
		for _, n := range c.nodes {
			if !n.down.Load() {
				n.store.RepairRound(roundNumber)
			}
		}
	}
}

func (c *cluster) advanceClock(d time.Duration) { c.clock.Add(int64(d)) }

// client returns a client in a zone, with the current view.
func (c *cluster) client(zone string) *storeclient.Client {
	client := storeclient.New(storeclient.Options{Caller: network{c}, Zone: zone})
	client.SetView(c.view)
	DeferCleanup(client.Close)
	return client
}

func (c *cluster) callCount(method string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.calls[method]
}

var errUnreachable = errors.New("unreachable")

// connect counts a call and returns the store at an address, or the error of the call.
func (c *cluster) connect(ctx context.Context, method, address string) (*store.Store, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls[method]++
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if c.fault != nil {
		if err := c.fault(method, address); err != nil {
			return nil, err
		}
	}
	for _, n := range c.nodes {
		if n.address == address && !n.down.Load() {
			return n.store, nil
		}
	}
	return nil, errUnreachable
}

// setFault sets which calls fail from now on.
func (c *cluster) setFault(f func(method, address string) error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fault = f
}

// network implements storewire.Caller for the stores of a cluster.
type network struct{ cluster *cluster }

func call[Q, A any](ctx context.Context, n network, method, address string, request Q,
	f func(*store.Store, context.Context, Q) (A, error)) (A, error) {
	var zero A
	s, err := n.cluster.connect(ctx, method, address)
	if err != nil {
		return zero, err
	}
	return f(s, ctx, request)
}

func (n network) Reserve(ctx context.Context, address string, request storewire.ReserveRequest) (storewire.ReserveAnswer, error) {
	return call(ctx, n, "reserve", address, request, (*store.Store).Reserve)
}

func (n network) Settle(ctx context.Context, address string, request storewire.SettleRequest) (storewire.Acknowledgement, error) {
	return call(ctx, n, "settle", address, request, (*store.Store).Settle)
}

func (n network) Commit(ctx context.Context, address string, request storewire.CommitRequest) (storewire.Acknowledgement, error) {
	return call(ctx, n, "commit", address, request, (*store.Store).Commit)
}

func (n network) History(ctx context.Context, address string, request storewire.HistoryRequest) (storewire.HistoryAnswer, error) {
	return call(ctx, n, "history", address, request, (*store.Store).History)
}

func (n network) List(ctx context.Context, address string, request storewire.ListRequest) (storewire.ListAnswer, error) {
	return call(ctx, n, "list", address, request, (*store.Store).List)
}

func (n network) Fetch(ctx context.Context, address string, request storewire.FetchRequest) (storewire.FetchAnswer, error) {
	return call(ctx, n, "fetch", address, request, (*store.Store).Fetch)
}

func (n network) Programs(ctx context.Context, address string, request storewire.ProgramsRequest) (storewire.ProgramsAnswer, error) {
	return call(ctx, n, "programs", address, request, (*store.Store).Programs)
}

func (n network) Compare(ctx context.Context, address string, request storewire.CompareRequest) (storewire.CompareAnswer, error) {
	return call(ctx, n, "compare", address, request, (*store.Store).Compare)
}

func (n network) Offer(ctx context.Context, address string, request storewire.OfferRequest) (storewire.OfferAnswer, error) {
	return call(ctx, n, "offer", address, request, (*store.Store).Offer)
}

func (n network) Push(ctx context.Context, address string, request storewire.PushRequest) (storewire.Acknowledgement, error) {
	return call(ctx, n, "push", address, request, (*store.Store).Push)
}

// turnOf returns a turn that continues another.
func turnOf(id, root, previous string) storeclient.Turn {
	return storeclient.Turn{ID: id, Root: root, Previous: previous, Program: "p", Input: []byte("in " + id + ";"),
		Output: []byte("out " + id + "\n"), Tokens: 3, Retention: time.Minute}
}

// commitChain commits a conversation of count turns and returns their ids.
func commitChain(c *storeclient.Client, name string, count int) []string {
	var ids []string
	previous := ""
	for i := range count {
		id := fmt.Sprintf("%s-%d", name, i)
		Expect(c.Commit(context.Background(), turnOf(id, name+"-0", previous))).To(Succeed())
		ids = append(ids, id)
		previous = id
	}
	return ids
}

// bodyOf returns the body of a conversation that commitChain committed.
func bodyOf(ids []string) string {
	body := ""
	for _, id := range ids {
		body += "in " + id + ";out " + id + "\n"
	}
	return body
}

// expectFound reads a conversation with a new client, whose cache is empty.
func (c *cluster) expectFound(ids []string) {
	GinkgoHelper()
	history, verdict := c.client(c.nodes[0].zone).History(context.Background(), ids[len(ids)-1])
	Expect(verdict).To(Equal(storeclient.Found))
	Expect(string(history.Body)).To(Equal(bodyOf(ids)))
	Expect(history.Root).To(Equal(ids[0]))
}

// expectTwoCopies expects that each turn can be read while any one store is down.
func (c *cluster) expectTwoCopies(ids []string) {
	GinkgoHelper()
	for _, n := range c.nodes {
		n.down.Store(true)
		for _, id := range ids {
			Expect(c.lookUp(id)).To(Equal(storeclient.Found), "each turn is on two stores")
		}
		n.down.Store(false)
	}
}

// lookUp returns the verdict of a new client on a turn; an Unsure verdict takes until the context ends.
func (c *cluster) lookUp(id string) storeclient.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, verdict := c.client(c.nodes[0].zone).History(ctx, id)
	return verdict
}
