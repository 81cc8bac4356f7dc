// Package cluster discovers the other processes of the tier, reports which of them are running, and replicates small
// values among them: the configuration, the store view and the receivers.
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
// One goroutine owns the node (package core) and executes commands from a bounded queue. Messages are sent by a
// bounded number of other goroutines, for which it never waits. Get, List and Nodes read immutable snapshots. One more
// goroutine calls the watchers.
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

// Entry is a key with its value and version; Stamp is the version.
type (
	Entry = gossip.Entry
	Stamp = gossip.Stamp
)

// Node is a process of the tier as known to this process.
type (
	Node  = membership.Node
	Role  = membership.Role
	State = membership.State
)

// Roles and states of nodes, for importers that don't import package membership.
const (
	Proxy   = membership.Proxy
	Control = membership.Control
	Store   = membership.Store

	Alive   = membership.Alive
	Suspect = membership.Suspect
	Down    = membership.Down
	Left    = membership.Left
)

// Keys of single entries and prefixes of keys. The records of receivers that are gone, and of nodes that are down or
// have left, are kept for a minute.
const (
	ConfigurationKey = core.ConfigurationKey
	StoresKey        = core.StoresKey
	ReceiverPrefix   = core.ReceiverPrefix
	NodePrefix       = core.NodePrefix
)

// Identity describes a process to the others.
type Identity struct {
	Name    string // name of the machine
	Role    Role
	Zone    string
	Region  string
	Address string // internal address, ip:port
}

// Options configure a Cluster.
type Options struct {
	Self   Identity
	Seeds  []string // internal addresses of control nodes; may include the own address
	Client *transport.Client
	Mux    *transport.Mux // Start registers the handlers here; call transport.Listen after it
	Log    log.Interface  // log.Log if nil
}

// Cluster runs the node of one process. Its methods are safe for concurrent use.
type Cluster struct {
	self      Identity
	client    *transport.Client
	log       log.Interface
	commands  chan command
	done      chan struct{}
	closeOnce sync.Once
	ready     chan struct{}
	table     atomic.Pointer[iradix.Tree[Entry]]
	nodes     atomic.Pointer[[]Node]
	notifier  *notifier
	sender    *sender
	persist   atomic.Pointer[persistFunc]
}

// Start registers the handlers on the mux and starts to discover other nodes. The caller must then call
// transport.Listen.
func Start(options Options) (*Cluster, error) {
	if options.Log == nil {
		options.Log = log.Log
	}
	if !options.Self.Role.Valid() {
		return nil, eris.Errorf("cluster: invalid role %s", options.Self.Role)
	}
	now := time.Now()
	node, err := core.New(now, core.Options{Self: newSelfNode(now, options.Self), Seeds: options.Seeds, Seed: rand.Uint64()})
	if err != nil {
		return nil, eris.Wrap(err, "cluster")
	}
	c := &Cluster{
		self:     options.Self,
		client:   options.Client,
		log:      options.Log,
		commands: make(chan command, commandQueueCapacity),
		done:     make(chan struct{}),
		ready:    make(chan struct{}),
	}
	c.notifier = newNotifier(c.Get, c.node)
	c.sender = newSender(c)
	c.table.Store(iradix.New[Entry]())
	o := &owner{cluster: c, core: node}
	o.applyPendingEffects()
	c.registerHandlers(options.Mux)
	go o.run()
	go c.notifier.run(c.done)
	return c, nil
}

// newSelfNode returns this node with the current time as its incarnation, so that a later start has a higher one. If
// the clock was set back since an earlier start, the node receives its own higher record and exceeds it.
func newSelfNode(now time.Time, self Identity) Node {
	return Node{Name: self.Name, Role: self.Role, Zone: self.Zone, Region: self.Region, Address: self.Address, Incarnation: uint64(now.UnixNano())}
}

// Self returns this node as it declares itself.
func (c *Cluster) Self() Node {
	n, _ := c.node(membership.IDOf(c.self.Name, c.self.Role))
	return n
}

// persistFunc returns nil once an entry of the table is stored as durably as a confirmation by this node promises.
type persistFunc func(ctx context.Context, key string, stamp Stamp) error

// SetPersistFunc sets the function that persists entries delivered to this node by PublishConfirmed: the node confirms
// an entry only after persist has returned nil for it. Without one, an entry in memory is confirmed.
func (c *Cluster) SetPersistFunc(persist func(ctx context.Context, key string, stamp Stamp) error) {
	f := persistFunc(persist)
	c.persist.Store(&f)
}

// Publish adds an entry to the table and spreads it. It replaces a zero stamp by one newer than the stamp known here
// of the key. It drops an entry that is not newer than the known one. The value must not be modified afterwards.
func (c *Cluster) Publish(entry Entry) {
	c.submit(func(o *owner, now time.Time) { o.core.Publish(now, entry) })
}

// Get returns the newest entry of a key.
func (c *Cluster) Get(key string) (Entry, bool) { return c.table.Load().Get([]byte(key)) }

// List returns the entries whose keys begin with prefix, sorted by key.
func (c *Cluster) List(prefix string) []Entry {
	var found []Entry
	c.table.Load().Root().WalkPrefix([]byte(prefix), func(_ []byte, e Entry) bool {
		found = append(found, e)
		return false
	})
	return found
}

// Nodes returns the known nodes including this one, sorted by id. The slice must not be modified.
func (c *Cluster) Nodes() []Node { return *c.nodes.Load() }

// node returns the node with an id, if it is known.
func (c *Cluster) node(id membership.ID) (Node, bool) {
	nodes := c.Nodes()
	i, found := slices.BinarySearchFunc(nodes, id, func(n Node, id membership.ID) int { return cmp.Compare(n.ID(), id) })
	if !found {
		return Node{}, false
	}
	return nodes[i], true
}

// Watch calls f with the current entries whose keys have a prefix, and then with each newer one. All calls come in
// order from one goroutine. If a key changes several times in quick succession, f may get only the newest entry; f may
// get the same entry twice. f must return quickly.
func (c *Cluster) Watch(prefix string, f func(Entry)) {
	replay := func() {
		for _, e := range c.List(prefix) {
			f(e)
		}
	}
	c.notifier.register(watcher{prefix: prefix, onEntry: f, replay: replay})
}

// WatchNodes calls f with the known nodes and then with each change of a node, from the same goroutine as Watch. The
// removal of a node is not reported; the node was Down or Left before.
func (c *Cluster) WatchNodes(f func(Node)) {
	replay := func() {
		for _, n := range c.Nodes() {
			f(n)
		}
	}
	c.notifier.register(watcher{onNode: f, replay: replay})
}

// Ready returns a channel that is closed once this process has compared its table with a majority of the control
// nodes, so that it has the entries that they had when it started. After 1.5 s one control node suffices, after 3 s any
// other machine.
func (c *Cluster) Ready() <-chan struct{} { return c.ready }

// SetSeeds replaces the addresses of the seeds.
func (c *Cluster) SetSeeds(seeds []string) {
	c.submit(func(o *owner, _ time.Time) { o.core.SetSeeds(seeds) })
}

// SetContacts replaces the addresses of nodes that are contacted beside the seeds while no live node is known there.
func (c *Cluster) SetContacts(addresses []string) {
	c.submit(func(o *owner, _ time.Time) { o.core.SetContacts(addresses) })
}

// Leave declares that this process shuts down as planned. It returns once the live control nodes have confirmed this,
// or with the error of ctx. The process continues to compare tables until Close, but other nodes no longer push entries
// to it or count it as live. Therefore Leave is the last step of a planned shutdown, after the last request.
func (c *Cluster) Leave(ctx context.Context) error {
	ownEntry := make(chan Entry, 1)
	c.submit(func(o *owner, now time.Time) {
		o.core.Leave(now)
		if entry, known := o.core.Get(core.NodeKey(o.core.Self().ID())); known {
			ownEntry <- entry
		}
		close(ownEntry)
	})
	select {
	case entry, found := <-ownEntry:
		if !found {
			return eris.New("cluster: the table has no record of this node")
		}
		_, err := c.deliverAndConfirm(ctx, entry, false, Control)
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errClosed
	}
}

// Close stops the node without informing the others, which Leave does.
func (c *Cluster) Close() { c.closeOnce.Do(func() { close(c.done) }) }

// errClosed is returned by calls that Close has interrupted.
var errClosed = eris.New("cluster: closed")
