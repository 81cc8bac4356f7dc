package storeplane

import (
	"context"

	"emberquay/internal/nodestatus"
)

// status collects what an operator is told of this plane.
func (p *Plane) status(ctx context.Context) (nodestatus.Status, error) {
	status := nodestatus.Common(p.cluster, p.started)
	now, err := p.store.Status(ctx)
	if err != nil {
		return status, err
	}
	status.Store = &nodestatus.Store{
		ID: p.store.ID(), Complete: now.Complete, Retiring: now.Retiring, Member: now.Member, Epoch: now.Epoch,
		Members: now.Members, Turns: now.Turns, TurnBytes: now.TurnBytes, Programs: now.Programs, Entries: now.Entries,
		RingBytes: now.RingBytes, FreeBytes: now.FreeBytes,
	}
	return status, nil
}
