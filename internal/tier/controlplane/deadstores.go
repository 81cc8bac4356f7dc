package controlplane

import (
	"context"
	"time"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storewire"
)

const (
	// deadStoreInterval is the time between two looks for dead stores.
	deadStoreInterval = 500 * time.Millisecond
	// deadStoreAfter is how long a store must have been down before it is taken out of the view. A store that is
	// only restarted is back before; one that was replaced on another machine blocks the quorums until then.
	deadStoreAfter = 2 * time.Second
)

// deadStores notes since when the stores of the view have been down. One goroutine owns it.
type deadStores struct {
	since map[string]time.Duration // by store id
}

// find gives a store that has been down for long enough and that the others can do without: of two losses on
// top of it, as many as are tolerated, a majority has to remain. One that is being emptied stays: what it holds
// may be nowhere else.
func (d *deadStores) find(now time.Duration, view controlstate.StoreView, down func(node string) bool) (controlstate.StoreMember, bool) {
	since := make(map[string]time.Duration, len(d.since))
	active, found := 0, controlstate.StoreMember{}
	for _, m := range view.Members {
		if !m.Retiring {
			active++
		}
		if !down(m.Node) {
			continue
		}
		began, noted := d.since[m.ID]
		if !noted {
			began = now
		}
		since[m.ID] = began
		if !m.Retiring && now-began >= deadStoreAfter {
			found = m
		}
	}
	d.since = since
	return found, found.ID != "" && active-1 >= 2*view.Tolerance+1
}

// watchStores takes dead stores out of the view until the plane ends.
func (p *Plane) watchStores(ctx context.Context) {
	ticker := time.NewTicker(deadStoreInterval)
	defer ticker.Stop()
	dead := &deadStores{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if member, found := dead.find(p.now(), p.storeView(), p.downStores()); found {
				p.removeStore(ctx, member)
			}
		}
	}
}

// downStores says which machines' stores the cluster holds for down.
func (p *Plane) downStores() func(node string) bool {
	down := map[string]bool{}
	for _, n := range p.base.Cluster.Nodes() {
		if n.Role == cluster.Store && (n.State == cluster.Down || n.State == cluster.Left) {
			down[n.Name] = true
		}
	}
	return func(node string) bool { return down[node] }
}

// storeView gives the view that the cluster has of the stores; the zero view if there is none.
func (p *Plane) storeView() controlstate.StoreView {
	entry, known := p.base.Cluster.Get(cluster.StoresKey)
	if !known {
		return controlstate.StoreView{}
	}
	view, err := storewire.ReadViewEntry(entry)
	if err != nil {
		return controlstate.StoreView{}
	}
	return view
}

func (p *Plane) removeStore(ctx context.Context, member controlstate.StoreMember) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := p.propose(ctx, controlstate.Command{Kind: controlstate.RemoveStore, StoreID: member.ID})
	entry := p.base.Log.WithField("store", member.Node)
	if err != nil {
		entry.WithError(err).Warn("dead store not removed yet")
		return
	}
	entry.WithField("status", result.Status).Info("dead store removed")
}
