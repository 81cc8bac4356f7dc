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
	// maxDirectTargets is the largest number of live nodes of the requested roles that an entry is delivered to
	// directly. If there are more, it is delivered to the control nodes, and the others get it by gossip.
	maxDirectTargets = 40
	// confirmRetryDelay is the delay after a failed delivery.
	confirmRetryDelay = 100 * time.Millisecond
	// relayTimeout is how long the first node of another zone may take to confirm before the whole value is sent to all
	// nodes of that zone.
	relayTimeout = 300 * time.Millisecond
	// relayMinBytes is the size from which on a value is sent to another zone only once.
	relayMinBytes = 2 << 10
)

// PublishConfirmed publishes an entry and returns once all live nodes of the roles have confirmed that they have it or
// a newer one, or with the error of ctx. It returns the nodes that have confirmed, without this one. An entry that is
// already known here is delivered nevertheless. No roles means all roles. It does not wait for nodes that go down or
// leave meanwhile, and with more than maxDirectTargets nodes it waits only for the control nodes. A zero stamp is
// replaced as by Publish.
func (c *Cluster) PublishConfirmed(ctx context.Context, entry Entry, roles ...Role) (confirmed []Node, err error) {
	if len(roles) == 0 {
		roles = []Role{Proxy, Control, Store}
	}
	direct := c.targetsAllLive(roles)
	published := make(chan Entry, 1)
	c.submit(func(o *owner, now time.Time) {
		publish := o.core.Publish
		if direct {
			publish = o.core.PublishWithoutPush
		}
		stamped, _ := publish(now, entry)
		published <- stamped
	})
	select {
	case stamped := <-published:
		return c.deliverAndConfirm(ctx, stamped, !direct, roles...)
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.done:
		return nil, errClosed
	}
}

// targets returns the live nodes that an entry is delivered to directly.
func (c *Cluster) targets(roles []Role) []Node {
	live := c.liveNodes(func(n Node) bool { return slices.Contains(roles, n.Role) })
	if len(live) <= maxDirectTargets {
		return live
	}
	return c.liveNodes(func(n Node) bool { return n.Role == Control })
}

// liveNodes returns the live nodes that match, except this one.
func (c *Cluster) liveNodes(matches func(Node) bool) []Node {
	own := membership.IDOf(c.self.Name, c.self.Role)
	var live []Node
	for _, n := range c.Nodes() {
		if n.Live() && n.ID() != own && matches(n) {
			live = append(live, n)
		}
	}
	return live
}

// targetsAllLive reports whether direct deliveries reach every live node, so that no pushes are needed.
func (c *Cluster) targetsAllLive(roles []Role) bool {
	return len(c.targets(roles)) == len(c.liveNodes(func(Node) bool { return true }))
}

// confirmation reports whether a node has an entry.
type confirmation struct {
	node Node
	has  bool
}

// deliverAndConfirm delivers an entry to the live nodes of the roles until all have confirmed it or ctx ends. It
// returns the nodes that have confirmed.
func (c *Cluster) deliverAndConfirm(ctx context.Context, entry Entry, forward bool, roles ...Role) ([]Node, error) {
	d := delivery{cluster: c, entry: entry, forward: forward}
	targets := c.targets(roles)
	results := make(chan confirmation, len(targets))
	for _, group := range d.groupTargets(targets) {
		go d.deliverToGroup(ctx, group, results)
	}
	var confirmed []Node
	for range targets {
		select {
		case r := <-results:
			if r.has {
				confirmed = append(confirmed, r.node)
			}
		case <-ctx.Done():
			return append(confirmed, drainConfirmed(results)...), ctx.Err()
		case <-c.done:
			return confirmed, errClosed
		}
	}
	return confirmed, nil
}

// drainConfirmed returns the nodes whose confirmations are already in the channel.
func drainConfirmed(results <-chan confirmation) []Node {
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

// delivery is the direct delivery of one entry to some nodes.
type delivery struct {
	cluster *Cluster
	entry   Entry
	forward bool
}

// groupTargets groups the targets in other zones by zone if the value is large, with control nodes first. Each other
// target is a group of its own.
func (d delivery) groupTargets(targets []Node) [][]Node {
	var groups [][]Node
	byZone := map[string]int{}
	for _, n := range targets {
		if len(d.entry.Value) < relayMinBytes || n.Zone == d.cluster.self.Zone {
			groups = append(groups, []Node{n})
			continue
		}
		index, found := byZone[n.Zone]
		if !found {
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

// deliverToGroup delivers the entry to the first node of a group and has the others fetch the value from that node.
func (d delivery) deliverToGroup(ctx context.Context, group []Node, results chan<- confirmation) {
	holder := ""
	if len(group) > 1 {
		relayCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		if d.deliverOnce(relayCtx, group[0], "") {
			holder = group[0].Address
			results <- confirmation{node: group[0], has: true}
			group = group[1:]
		}
		cancel()
	}
	for _, n := range group[1:] {
		go func() { results <- confirmation{node: n, has: d.deliver(ctx, n, holder)} }()
	}
	results <- confirmation{node: group[0], has: d.deliver(ctx, group[0], holder)}
}

// deliver delivers the entry to a node and retries until the node confirms, is no longer live, or ctx ends. It reports
// whether the node has confirmed.
func (d delivery) deliver(ctx context.Context, n Node, holder string) bool {
	for ctx.Err() == nil {
		if d.deliverOnce(ctx, n, holder) {
			return true
		}
		holder = ""
		known, found := d.cluster.node(n.ID())
		if !found || !known.Live() {
			return false
		}
		n = known // its address may have changed
		sleep(ctx, confirmRetryDelay)
	}
	return false
}

func sleep(ctx context.Context, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	<-ctx.Done()
}

// deliverOnce sends the entry to a node, without its value if the node can fetch it from a holder. It reports whether
// the node has confirmed.
func (d delivery) deliverOnce(ctx context.Context, n Node, holder string) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	c := d.cluster
	own := membership.IDOf(c.self.Name, c.self.Role)
	request := confirmRequest{From: string(own), Entry: core.EntryToWire(d.entry), Holder: holder, Forward: d.forward}
	if holder != "" {
		request.Entry.Value = nil
	}
	answer, err := transport.Call(ctx, c.client, n.Address, methodConfirm, confirmRequestCodec, confirmAnswerCodec, request)
	return err == nil && answer.Has
}

// handleConfirm handles the delivery of an entry by another node.
func (c *Cluster) handleConfirm(ctx context.Context, request confirmRequest) (confirmAnswer, error) {
	entry := core.EntryFromWire(request.Entry)
	if request.Holder != "" {
		if has, err := c.receiveDelivery(ctx, request, nil); has || err != nil {
			return confirmAnswer{Has: has && c.isPersisted(ctx, request)}, err
		}
		answer, err := transport.Call(ctx, c.client, request.Holder, methodFetch, fetchRequestCodec, fetchAnswerCodec, fetchRequest{Key: entry.Key})
		if err != nil || len(answer.Entries) == 0 {
			return confirmAnswer{}, nil // the sender retries with the value
		}
		entry = core.EntryFromWire(answer.Entries[0])
	}
	has, err := c.receiveDelivery(ctx, request, &entry)
	return confirmAnswer{Has: has && c.isPersisted(ctx, request)}, err
}

// isPersisted reports whether the function of SetPersistFunc has persisted an entry that is in the table.
func (c *Cluster) isPersisted(ctx context.Context, request confirmRequest) bool {
	persist := c.persist.Load()
	if persist == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return (*persist)(ctx, request.Entry.Key, core.StampFromWire(request.Entry.Stamp)) == nil
}

// receiveDelivery adds an entry to the table unless it is nil, and reports whether the table now has the requested
// version or a newer one.
func (c *Cluster) receiveDelivery(ctx context.Context, request confirmRequest, entry *Entry) (bool, error) {
	stamp := core.StampFromWire(request.Entry.Stamp)
	result := make(chan bool, 1)
	c.submit(func(o *owner, now time.Time) {
		if entry != nil {
			o.core.ReceiveEntry(now, membership.ID(request.From), *entry, request.Forward)
			o.applyPendingEffects() // the entry must be visible here before its sender gets the confirmation
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

// handleFetch handles a request for an entry.
func (c *Cluster) handleFetch(_ context.Context, request fetchRequest) (fetchAnswer, error) {
	entry, found := c.Get(request.Key)
	if !found {
		return fetchAnswer{}, nil
	}
	return fetchAnswer{Entries: []core.WireEntry{core.EntryToWire(entry)}}, nil
}
