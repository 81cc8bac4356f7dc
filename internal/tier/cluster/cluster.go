// Package cluster finds the other processes of the tier, tells which of them run, and spreads small values
// among them: the configuration, the store view, receivers and their reports.
//
//	c, err := cluster.Start(cluster.Options{Self: identity, Seeds: seeds, Client: client, Mux: mux})
//	server, err := transport.Listen(identity.Address, mux)
//	c.Watch(cluster.ReceiverPrefix, func(e cluster.Entry) { ... })
//	<-c.Ready()
//	c.Publish(cluster.Entry{Key: "receiver/i-7f", Value: value}) // stamped by the cluster
//	...
//	c.Leave(ctx)
//	c.Close()
//
// One goroutine owns the node (package core) and works through a bounded queue of commands; what it sends goes
// out in goroutines whose number is bounded, and it never waits for them. What is read, Get, List and Nodes,
// comes from immutable snapshots. Watchers are called from one more goroutine.
package cluster

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/rotisserie/eris"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/transport"
)

// Entry is a value under a key; Stamp orders the values of a key.
type (
	Entry = gossip.Entry
	Stamp = gossip.Stamp
)

// Node is a process of the tier as it is known here.
type (
	Node  = membership.Node
	Role  = membership.Role
	State = membership.State
)

// The roles and states, for those who import this package only.
const (
	Proxy   = membership.Proxy
	Control = membership.Control
	Store   = membership.Store

	Alive   = membership.Alive
	Suspect = membership.Suspect
	Down    = membership.Down
	Left    = membership.Left
)

// The prefixes of keys. A receiver's record that says that it is gone, and a node's that says that it is down or has
// left, is kept for a minute.
const (
	ConfigurationKey = core.ConfigurationKey
	StoresKey        = core.StoresKey
	ReceiverPrefix   = core.ReceiverPrefix
	NodePrefix       = core.NodePrefix
)

// Identity is what a process says of itself.
type Identity struct {
	Name    string // node name of the machine
	Role    Role
	Zone    string
	Region  string
	Address string // internal address, ip:port
}

// Options of a cluster.
type Options struct {
	Self   Identity
	Seeds  []string // internal addresses of the seeds' control planes; the own one may be among them
	Client *transport.Client
	Mux    *transport.Mux // the handlers are registered here: before transport.Listen
	Log    log.Interface  // log.Log if nil
}

// Cluster is the runtime of one process. All methods may be called from any goroutine.
type Cluster struct {
	self     Identity
	client   *transport.Client
	log      log.Interface
	commands chan command
	done     chan struct{}
	stop     sync.Once
	ready    chan struct{}
	table    atomic.Pointer[iradix.Tree[Entry]]
	nodes    atomic.Pointer[[]Node]
	notify   *notifier
	senders  *senders
	keep     atomic.Pointer[keepFunc]
}

// Start registers the handlers on the mux and begins to look for the others. The caller then listens.
func Start(options Options) (*Cluster, error) {
	if options.Log == nil {
		options.Log = log.Log
	}
	if !options.Self.Role.Valid() {
		return nil, eris.Errorf("cluster: %s", options.Self.Role)
	}
	now := time.Now()
	node, err := core.New(now, core.Options{Self: selfAt(now, options.Self), Seeds: options.Seeds, Seed: rand.Uint64()})
	if err != nil {
		return nil, eris.Wrap(err, "cluster")
	}
	c := &Cluster{
		self:     options.Self,
		client:   options.Client,
		log:      options.Log,
		commands: make(chan command, commandBound),
		done:     make(chan struct{}),
		ready:    make(chan struct{}),
	}
	c.notify = newNotifier(c.Get, c.node)
	c.senders = newSenders(c)
	c.table.Store(iradix.New[Entry]())
	o := &owner{cluster: c, core: node}
	o.carryOut()
	c.handle(options.Mux)
	go o.run()
	go c.notify.run(c.done)
	return c, nil
}

// selfAt draws the incarnation: the time of day, so that a later start has a higher one. Where the clock was set
// back since an earlier start, the node meets its own higher record and goes above it.
func selfAt(now time.Time, self Identity) Node {
	return Node{Name: self.Name, Role: self.Role, Zone: self.Zone, Region: self.Region, Address: self.Address, Incarnation: uint64(now.UnixNano())}
}

// Self is this node as it tells of itself.
func (c *Cluster) Self() Node {
	n, _ := c.node(membership.IDOf(c.self.Name, c.self.Role))
	return n
}

// keepFunc returns nil once an entry of the table is kept as its node promises.
type keepFunc func(ctx context.Context, key string, stamp Stamp) error

// SetPersistFunc has this node say that it has an entry which PublishConfirmed brings here only once keep has returned nil
// for it. Without it, having the entry in memory is enough.
func (c *Cluster) SetPersistFunc(keep func(ctx context.Context, key string, stamp Stamp) error) {
	f := keepFunc(keep)
	c.keep.Store(&f)
}

// Publish puts an entry into the table and spreads it. A zero stamp is replaced by one above what is known
// here of the key. An entry that is not above what is known is dropped. The value must not be changed after.
func (c *Cluster) Publish(entry Entry) {
	c.do(func(o *owner, now time.Time) { o.core.Publish(now, entry) })
}

// Get gives the newest entry of a key.
func (c *Cluster) Get(key string) (Entry, bool) { return c.table.Load().Get([]byte(key)) }

// List gives the entries whose keys begin with prefix, in the order of their keys.
func (c *Cluster) List(prefix string) []Entry {
	var found []Entry
	c.table.Load().Root().WalkPrefix([]byte(prefix), func(_ []byte, e Entry) bool {
		found = append(found, e)
		return false
	})
	return found
}

// Nodes gives the known nodes, this one among them, in the order of their ids. It must not be changed.
func (c *Cluster) Nodes() []Node { return *c.nodes.Load() }

// node gives a known node.
func (c *Cluster) node(id membership.ID) (Node, bool) {
	nodes := c.Nodes()
	i, found := slices.BinarySearchFunc(nodes, id, func(n Node, id membership.ID) int { return cmp.Compare(n.ID(), id) })
	if !found {
		return Node{}, false
	}
	return nodes[i], true
}

// Watch calls f with the present entries of a prefix and then with each newer one. All calls come in order
// from one goroutine; of several values of a key that come quickly one after the other, f may see only the
// newest, and the same entry may come twice. f must be quick.
func (c *Cluster) Watch(prefix string, f func(Entry)) {
	present := func() {
		for _, e := range c.List(prefix) {
			f(e)
		}
	}
	c.notify.register(watcher{prefix: prefix, entry: f, present: present})
}

// WatchNodes calls f with the known nodes and then with each change of one, from the goroutine of Watch. A
// node that is forgotten was Down or Left before and is not told again.
func (c *Cluster) WatchNodes(f func(Node)) {
	present := func() {
		for _, n := range c.Nodes() {
			f(n)
		}
	}
	c.notify.register(watcher{node: f, present: present})
}

// Ready is closed once this process has compared its table with a majority of the control nodes, so that it
// has what they had when it started. After 1.5 s one control node is enough, after 3 s any other machine.
func (c *Cluster) Ready() <-chan struct{} { return c.ready }

// SetSeeds replaces the seeds' addresses.
func (c *Cluster) SetSeeds(seeds []string) {
	c.do(func(o *owner, _ time.Time) { o.core.SetSeeds(seeds) })
}

// Leave tells the others that this process ends as planned. It returns once the live control nodes have it, or
// with ctx's error. The process goes on to compare tables until Close, but the others push nothing to it any
// more and don't count it as live: it is the last step of a planned stop, after the last request.
func (c *Cluster) Leave(ctx context.Context) error {
	left := make(chan Entry, 1)
	c.do(func(o *owner, now time.Time) {
		o.core.Leave(now)
		if entry, known := o.core.Get(core.NodeKey(o.core.Self().ID())); known {
			left <- entry
		}
		close(left)
	})
	select {
	case entry, told := <-left:
		if !told {
			return eris.New("cluster: this node is not in its own table")
		}
		_, err := c.confirm(ctx, entry, false, Control)
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errClosed
	}
}

// Close stops the runtime. Nothing is told to the others: Leave does that.
func (c *Cluster) Close() { c.stop.Do(func() { close(c.done) }) }

// errClosed tells that the cluster was closed meanwhile.
var errClosed = eris.New("cluster: closed")
