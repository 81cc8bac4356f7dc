package cluster

import (
	"context"
	"slices"
	"time"

	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/transport"
)

const (
	// confirmAll is up to how many live nodes of the asked roles each is told directly. Beyond it the control
	// nodes are, and the others hear of it from their peers.
	confirmAll = 40
	// confirmRetry follows a delivery that failed.
	confirmRetry = 100 * time.Millisecond
	// relayTime is how long the first node of another zone may take before the whole value goes to all there.
	relayTime = 300 * time.Millisecond
	// relayedValue is from how many bytes on a value crosses to another zone once only.
	relayedValue = 2 << 10
)

// PublishConfirmed publishes an entry and returns once all live nodes of the roles have said that they have it
// or a newer one, or with ctx's error when ctx ends. It gives those that have said so, this node not among
// them. An entry that is known already is brought to the others all the same. No roles are all roles. A node that goes down or leaves meanwhile is not waited for. Above
// confirmAll nodes only the control nodes are waited for. A zero stamp is replaced as by Publish.
func (c *Cluster) PublishConfirmed(ctx context.Context, entry Entry, roles ...Role) (confirmed []Node, err error) {
	if len(roles) == 0 {
		roles = []Role{Proxy, Control, Store}
	}
	direct := c.coversAll(roles)
	published := make(chan Entry, 1)
	c.do(func(o *owner, now time.Time) {
		publish := o.core.Publish
		if direct {
			publish = o.core.PublishWithoutPush
		}
		stamped, _ := publish(now, entry)
		published <- stamped
	})
	select {
	case stamped := <-published:
		return c.confirm(ctx, stamped, !direct, roles...)
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.done:
		return nil, errClosed
	}
}

// targets are the live nodes that an entry is brought to directly.
func (c *Cluster) targets(roles []Role) []Node {
	live := c.live(func(n Node) bool { return slices.Contains(roles, n.Role) })
	if len(live) <= confirmAll {
		return live
	}
	return c.live(func(n Node) bool { return n.Role == Control })
}

func (c *Cluster) live(wanted func(Node) bool) []Node {
	own := membership.IDOf(c.self.Name, c.self.Role)
	var live []Node
	for _, n := range c.Nodes() {
		if n.Live() && n.ID() != own && wanted(n) {
			live = append(live, n)
		}
	}
	return live
}

// coversAll tells whether the direct deliveries reach every live node, so that nobody needs to push.
func (c *Cluster) coversAll(roles []Role) bool {
	return len(c.targets(roles)) == len(c.live(func(Node) bool { return true }))
}

// confirmation says whether a node has an entry.
type confirmation struct {
	node Node
	has  bool
}

// confirm brings an entry to the live nodes of the roles until all have it or ctx ends.
func (c *Cluster) confirm(ctx context.Context, entry Entry, forward bool, roles ...Role) ([]Node, error) {
	d := delivery{cluster: c, entry: entry, forward: forward}
	targets := c.targets(roles)
	results := make(chan confirmation, len(targets))
	for _, group := range d.groups(targets) {
		go d.bringToGroup(ctx, group, results)
	}
	var confirmed []Node
	for range targets {
		select {
		case r := <-results:
			if r.has {
				confirmed = append(confirmed, r.node)
			}
		case <-ctx.Done():
			return append(confirmed, ready(results)...), ctx.Err()
		case <-c.done:
			return confirmed, errClosed
		}
	}
	return confirmed, nil
}

// ready gives those whose confirmations came together with the end of the time.
func ready(results <-chan confirmation) []Node {
	var confirmed []Node
	for {
		select {
		case r := <-results:
			if r.has {
				confirmed = append(confirmed, r.node)
			}
		default:
			return confirmed
		}
	}
}

// delivery is one entry on its way to some nodes.
type delivery struct {
	cluster *Cluster
	entry   Entry
	forward bool
}

// groups parts the targets by zone where the value is large and the zone is another one, its control nodes
// first. All others are groups of one.
func (d delivery) groups(targets []Node) [][]Node {
	var groups [][]Node
	byZone := map[string]int{}
	for _, n := range targets {
		if len(d.entry.Value) < relayedValue || n.Zone == d.cluster.self.Zone {
			groups = append(groups, []Node{n})
			continue
		}
		index, some := byZone[n.Zone]
		if !some {
			index = len(groups)
			byZone[n.Zone] = index
			groups = append(groups, nil)
		}
		if n.Role == Control {
			groups[index] = slices.Insert(groups[index], 0, n)
		} else {
			groups[index] = append(groups[index], n)
		}
	}
	return groups
}

// bringToGroup brings the entry to one node of a zone and lets the others fetch it there.
func (d delivery) bringToGroup(ctx context.Context, group []Node, results chan<- confirmation) {
	holder := ""
	if len(group) > 1 {
		relayCtx, cancel := context.WithTimeout(ctx, relayTime)
		if d.once(relayCtx, group[0], "") {
			holder = group[0].Address
			results <- confirmation{node: group[0], has: true}
			group = group[1:]
		}
		cancel()
	}
	for _, n := range group[1:] {
		go func() { results <- confirmation{node: n, has: d.bring(ctx, n, holder)} }()
	}
	results <- confirmation{node: group[0], has: d.bring(ctx, group[0], holder)}
}

// bring delivers the entry to a node, again and again until it has it, is not live any more, or ctx ends.
func (d delivery) bring(ctx context.Context, n Node, holder string) bool {
	for ctx.Err() == nil {
		if d.once(ctx, n, holder) {
			return true
		}
		holder = ""
		known, some := d.cluster.node(n.ID())
		if !some || !known.Live() {
			return false
		}
		n = known // it may have come back at another address
		pause(ctx, confirmRetry)
	}
	return false
}

func pause(ctx context.Context, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	<-ctx.Done()
}

// once delivers the entry, or only its stamp where the node can fetch it from a holder.
func (d delivery) once(ctx context.Context, n Node, holder string) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTime)
	defer cancel()
	c := d.cluster
	own := membership.IDOf(c.self.Name, c.self.Role)
	request := confirmRequest{From: string(own), Entry: core.EntryToWire(d.entry), Holder: holder, Forward: d.forward}
	if holder != "" {
		request.Entry.Value = nil
	}
	answer, err := transport.Call(ctx, c.client, n.Address, methodConfirm, confirmRequests, confirmAnswers, request)
	return err == nil && answer.Has
}

// confirmed handles a delivery.
func (c *Cluster) confirmed(ctx context.Context, request confirmRequest) (confirmAnswer, error) {
	entry := core.EntryFromWire(request.Entry)
	if request.Holder != "" {
		if has, err := c.deliver(ctx, request, nil); has || err != nil {
			return confirmAnswer{Has: has && c.isKept(ctx, request)}, err
		}
		answer, err := transport.Call(ctx, c.client, request.Holder, methodFetch, fetchRequests, fetchAnswers, fetchRequest{Key: entry.Key})
		if err != nil || len(answer.Entries) == 0 {
			return confirmAnswer{}, nil // the whole value comes next
		}
		entry = core.EntryFromWire(answer.Entries[0])
	}
	has, err := c.deliver(ctx, request, &entry)
	return confirmAnswer{Has: has && c.isKept(ctx, request)}, err
}

// isKept says whether an entry that is in the table is kept as SetPersistFunc asks.
func (c *Cluster) isKept(ctx context.Context, request confirmRequest) bool {
	keep := c.keep.Load()
	if keep == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, sendTime)
	defer cancel()
	return (*keep)(ctx, request.Entry.Key, core.StampFromWire(request.Entry.Stamp)) == nil
}

// deliver puts an entry, if there is one, into the table and tells whether what was asked for is there now.
func (c *Cluster) deliver(ctx context.Context, request confirmRequest, entry *Entry) (bool, error) {
	stamp := core.StampFromWire(request.Entry.Stamp)
	result := make(chan bool, 1)
	c.do(func(o *owner, now time.Time) {
		if entry != nil {
			o.core.ReceiveEntry(now, membership.ID(request.From), *entry, request.Forward)
			o.carryOut() // it must be seen here before its sender hears that it is
		}
		result <- o.core.Has(request.Entry.Key, stamp)
	})
	select {
	case has := <-result:
		return has, nil
	case <-ctx.Done():
		return false, ctx.Err()
	case <-c.done:
		return false, errClosed
	}
}

// fetched handles a request for an entry.
func (c *Cluster) fetched(_ context.Context, request fetchRequest) (fetchAnswer, error) {
	entry, some := c.Get(request.Key)
	if !some {
		return fetchAnswer{}, nil
	}
	return fetchAnswer{Entries: []core.WireEntry{core.EntryToWire(entry)}}, nil
}
