package controlplane

import (
	"context"
	"time"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storewire"
)

const (
	// deadStoreCheckInterval is the time between two checks for dead stores.
	deadStoreCheckInterval = 500 * time.Millisecond
	// deadStoreTimeout is how long a store must have been down before it is removed from the view. A store that is only
	// restarted is back earlier; a store that was replaced on another machine blocks the quorums until then.
	deadStoreTimeout = 2 * time.Second
)

// deadStoreDetector tracks since when stores of the view have been down. It is not safe for concurrent use.
type deadStoreDetector struct {
	downSince map[string]time.Duration // by store ID
}

// find returns a store that has been down for deadStoreTimeout, and whether it can be removed: the remaining active stores
// must still have a majority after as many losses as are tolerated. A store that is being retired is never found, as its
// data may not be on any other store.
func (d *deadStoreDetector) find(now time.Duration, view controlstate.StoreView, down func(node string) bool) (controlstate.StoreMember, bool) {
	downSince := make(map[string]time.Duration, len(d.downSince))
	active, found := 0, controlstate.StoreMember{}
	for _, m := range view.Members {
		if !m.Retiring {
			active++
		}
		if !down(m.Node) {
			continue
		}
		start, known := d.downSince[m.ID]
		if !known {
			start = now
		}
		downSince[m.ID] = start
		if !m.Retiring && now-start >= deadStoreTimeout {
			found = m
		}
	}
	d.downSince = downSince
	return found, found.ID != "" && active-1 >= 2*view.Tolerance+1
}

// removeDeadStores proposes the removal of dead stores from the view until the plane stops.
func (p *Plane) removeDeadStores(ctx context.Context) {
	ticker := time.NewTicker(deadStoreCheckInterval)
	defer ticker.Stop()
	detector := &deadStoreDetector{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if member, found := detector.find(p.now(), p.storeView(), p.storeIsDown()); found {
				p.removeStore(ctx, member)
			}
		}
	}
}

// storeIsDown returns a function that reports whether the cluster considers a machine's store down or left.
func (p *Plane) storeIsDown() func(node string) bool {
	down := map[string]bool{}
	for _, n := range p.base.Cluster.Nodes() {
		if n.Role == cluster.Store && (n.State == cluster.Down || n.State == cluster.Left) {
			down[n.Name] = true
		}
	}
	return func(node string) bool { return down[node] }
}

// storeView returns the store view published in the cluster, or the zero view if there is none.
func (p *Plane) storeView() controlstate.StoreView {
	entry, known := p.base.Cluster.Get(cluster.StoresKey)
	if !known {
		return controlstate.StoreView{}
	}
	view, err := storewire.DecodeViewEntry(entry)
	if err != nil {
		return controlstate.StoreView{}
	}
	return view
}

func (p *Plane) removeStore(ctx context.Context, member controlstate.StoreMember) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result, err := p.propose(ctx, controlstate.Command{Kind: controlstate.RemoveStore, StoreID: member.ID})
	logEntry := p.base.Log.WithField("store", member.Node)
	if err != nil {
		logEntry.WithError(err).Warn("cannot remove the dead store; trying again")
		return
	}
	logEntry.WithField("status", result.Status).Info("dead store removed")
}
