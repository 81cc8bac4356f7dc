package controlplane

import (
	"context"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/nodestatus"
)

// addStatus adds the status of this control plane to the node's status.
func (p *Plane) addStatus(_ context.Context, status *nodestatus.Status) error {
	replica := p.replica.Status()
	stores, _ := p.base.Cluster.Get(cluster.StoresKey)
	controlStatus := &nodestatus.Control{
		ID: int64(replica.Self.ID), Member: replica.IsMember, Epoch: replica.View.Epoch,
		StoreEpoch: int64(stores.Stamp.Epoch),
	}
	for _, m := range replica.View.Members {
		member := nodestatus.Member{ID: int64(m.ID), Name: m.Name, Address: m.Address, Zone: m.Zone}
		controlStatus.Members = append(controlStatus.Members, member)
	}
	for _, id := range replica.View.Chain {
		controlStatus.Chain = append(controlStatus.Chain, int64(id))
	}
	if state := p.committed.Load(); state != nil {
		controlStatus.StoreRedundancy = state.redundancy(p.now())
	}
	status.Control = controlStatus
	return nil
}
