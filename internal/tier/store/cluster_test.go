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

// patience is how long something in the background may take before a test takes it for lost.
const patience = 20 * time.Second

// cluster is some stores and the network between them and their callers, in memory.
type cluster struct {
	clock atomic.Int64 // of all stores, nanoseconds
	view  controlstate.StoreView

	mutex sync.Mutex
	nodes []*node
	calls map[string]int                     // by method
	fail  func(method, address string) error // asked before a call; nil: none fails
}

// node is a machine of the cluster.
type node struct {
	cluster *cluster
	name    string
	zone    string
	address string
	disk    *memfs.Mem
	store   *store.Store
	bytes   int64
	retired atomic.Int32
	newer   atomic.Uint64
	down    atomic.Bool
}

// newCluster starts stores in the zones named, one each, founded together.
func newCluster(tolerance int, zones ...string) *cluster {
	c := &cluster{calls: map[string]int{}}
	c.view.Tolerance = tolerance
	for at, zone := range zones {
		n := c.add(fmt.Sprint("store-", at), zone)
		n.start(true)
		c.join(n)
	}
	c.spread()
	return c
}

func (c *cluster) add(name, zone string) *node {
	n := &node{cluster: c, name: name, zone: zone, address: name + ":1", disk: memfs.New(), bytes: 1} // 16 segments of the least size
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nodes = append(c.nodes, n)
	return n
}

func (n *node) start(bootstrap bool) {
	s, err := store.Start(store.Options{
		Files:          n.disk,
		Dir:            "data",
		DiskBytes:      n.bytes,
		Bootstrap:      bootstrap,
		Caller:         network{n.cluster},
		OnNewerView:    func(epoch uint64) { n.newer.Store(epoch) },
		OnRetired:      func() { n.retired.Add(1) },
		Now:            func() time.Duration { return time.Duration(n.cluster.clock.Load()) },
		RepairInterval: -1,
	})
	Expect(err).NotTo(HaveOccurred())
	n.store = s
	n.down.Store(false)
	DeferCleanup(func() { s.Close() })
}

// restart ends the process and starts it again with what the end leaves of the disk.
func (n *node) restart(mode memfs.Mode, chance *rand.Rand) {
	Expect(n.store.Close()).To(Succeed())
	n.disk = n.disk.After(mode, chance)
	n.start(false)
	n.store.SetView(n.cluster.view)
}

// wipe starts the store again with an empty disk; the view takes it in as another one.
func (n *node) wipe() {
	Expect(n.store.Close()).To(Succeed())
	n.disk = memfs.New()
	n.start(false)
	n.cluster.join(n)
}

// join takes a store into the view, in the place of the one on its machine.
func (c *cluster) join(n *node) {
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

// change makes a new view.
func (c *cluster) change(f func([]controlstate.StoreMember) []controlstate.StoreMember) {
	c.view.Members = f(append([]controlstate.StoreMember(nil), c.view.Members...))
	c.view.Epoch++
}

func (c *cluster) retire(name string) {
	c.change(func(members []controlstate.StoreMember) []controlstate.StoreMember {
		for at := range members {
			members[at].Retiring = members[at].Retiring || members[at].Node == name
		}
		return members
	})
}

func (c *cluster) remove(name string) {
	c.change(func(members []controlstate.StoreMember) []controlstate.StoreMember {
		var left []controlstate.StoreMember
		for _, m := range members {
			if m.Node != name {
				left = append(left, m)
			}
		}
		return left
	})
}

// spread tells all stores of the view.
func (c *cluster) spread() {
	for _, n := range c.nodes {
		n.store.SetView(c.view)
	}
}

// rounds lets every store repair with every other one.
func (c *cluster) rounds(count int) {
	for turn := range count {
		for _, n := range c.nodes {
			if !n.down.Load() {
				n.store.RepairRound(turn)
			}
		}
	}
}

func (c *cluster) pass(d time.Duration) { c.clock.Add(int64(d)) }

// client makes a client in a zone that knows the view.
func (c *cluster) client(zone string) *storeclient.Client {
	client := storeclient.New(storeclient.Options{Caller: network{c}, Zone: zone})
	client.SetView(c.view)
	DeferCleanup(client.Close)
	return client
}

func (c *cluster) counted(method string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.calls[method]
}

var errCut = errors.New("cut")

// reach finds who answers at an address.
func (c *cluster) reach(ctx context.Context, method, address string) (*store.Store, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls[method]++
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if c.fail != nil {
		if err := c.fail(method, address); err != nil {
			return nil, err
		}
	}
	for _, n := range c.nodes {
		if n.address == address && !n.down.Load() {
			return n.store, nil
		}
	}
	return nil, errCut
}

// failing sets what fails from now on.
func (c *cluster) failing(f func(method, address string) error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fail = f
}

// network calls the stores of a cluster.
type network struct{ cluster *cluster }

func call[Q, A any](ctx context.Context, n network, method, address string, q Q, f func(*store.Store, context.Context, Q) (A, error)) (A, error) {
	var none A
	s, err := n.cluster.reach(ctx, method, address)
	if err != nil {
		return none, err
	}
	return f(s, ctx, q)
}

func (n network) Reserve(ctx context.Context, address string, q storewire.ReserveRequest) (storewire.ReserveAnswer, error) {
	return call(ctx, n, "reserve", address, q, (*store.Store).Reserve)
}

func (n network) Settle(ctx context.Context, address string, q storewire.SettleRequest) (storewire.Acknowledgement, error) {
	return call(ctx, n, "settle", address, q, (*store.Store).Settle)
}

func (n network) Commit(ctx context.Context, address string, q storewire.CommitRequest) (storewire.Acknowledgement, error) {
	return call(ctx, n, "commit", address, q, (*store.Store).Commit)
}

func (n network) History(ctx context.Context, address string, q storewire.HistoryRequest) (storewire.HistoryAnswer, error) {
	return call(ctx, n, "history", address, q, (*store.Store).History)
}

func (n network) List(ctx context.Context, address string, q storewire.ListRequest) (storewire.ListAnswer, error) {
	return call(ctx, n, "list", address, q, (*store.Store).List)
}

func (n network) Fetch(ctx context.Context, address string, q storewire.FetchRequest) (storewire.FetchAnswer, error) {
	return call(ctx, n, "fetch", address, q, (*store.Store).Fetch)
}

func (n network) Programs(ctx context.Context, address string, q storewire.ProgramsRequest) (storewire.ProgramsAnswer, error) {
	return call(ctx, n, "programs", address, q, (*store.Store).Programs)
}

func (n network) Compare(ctx context.Context, address string, q storewire.CompareRequest) (storewire.CompareAnswer, error) {
	return call(ctx, n, "compare", address, q, (*store.Store).Compare)
}

func (n network) Offer(ctx context.Context, address string, q storewire.OfferRequest) (storewire.OfferAnswer, error) {
	return call(ctx, n, "offer", address, q, (*store.Store).Offer)
}

func (n network) Push(ctx context.Context, address string, q storewire.PushRequest) (storewire.Acknowledgement, error) {
	return call(ctx, n, "push", address, q, (*store.Store).Push)
}

// turnOf makes a turn that continues another.
func turnOf(id, root, previous string) storeclient.Turn {
	return storeclient.Turn{ID: id, Root: root, Previous: previous, Program: "p", Input: []byte("in " + id + ";"),
		Output: []byte("out " + id + "\n"), Tokens: 3, Retention: time.Minute}
}

// chain commits a conversation of so many turns and gives their ids.
func chain(c *storeclient.Client, name string, count int) []string {
	var ids []string
	previous := ""
	for at := range count {
		id := fmt.Sprintf("%s-%d", name, at)
		Expect(c.Commit(context.Background(), turnOf(id, name+"-0", previous))).To(Succeed())
		ids = append(ids, id)
		previous = id
	}
	return ids
}

// textOf is the body of a conversation made by chain.
func textOf(ids []string) string {
	body := ""
	for _, id := range ids {
		body += "in " + id + ";out " + id + "\n"
	}
	return body
}

// expectFound looks a conversation up by a client that has it not cached.
func (c *cluster) expectFound(ids []string) {
	GinkgoHelper()
	history, verdict := c.client(c.nodes[0].zone).History(context.Background(), ids[len(ids)-1])
	Expect(verdict).To(Equal(storeclient.Found))
	Expect(string(history.Body)).To(Equal(textOf(ids)))
	Expect(history.Root).To(Equal(ids[0]))
}

// lookUp gives the verdict on a turn of a client that has it not cached; unsure ones take as long as the context.
func (c *cluster) lookUp(id string) storeclient.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, verdict := c.client(c.nodes[0].zone).History(ctx, id)
	return verdict
}
