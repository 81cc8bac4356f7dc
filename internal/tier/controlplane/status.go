package controlplane

import (
	"context"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/nodestatus"
)

// addStatus adds what an operator is told of this plane.
func (p *Plane) addStatus(_ context.Context, status *nodestatus.Status) error {
	replica := p.replica.Status()
	stores, _ := p.base.Cluster.Get(cluster.StoresKey)
	control := &nodestatus.Control{
		ID: int64(replica.Self.ID), Member: replica.IsMember, Epoch: replica.View.Epoch,
		StoreEpoch: int64(stores.Stamp.Epoch),
	}
	for _, m := range replica.View.Members {
		member := nodestatus.Member{ID: int64(m.ID), Name: m.Name, Address: m.Address, Zone: m.Zone}
		control.Members = append(control.Members, member)
	}
	for _, id := range replica.View.Chain {
		control.Chain = append(control.Chain, int64(id))
	}
	status.Control = control
	return nil
}
