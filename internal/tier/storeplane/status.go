package storeplane

import (
	"context"

	"emberquay/internal/tier/nodestatus"
)

// addStatus adds the store's status to the node status for operators.
func (p *Plane) addStatus(ctx context.Context, status *nodestatus.Status) error {
	current, err := p.store.Status(ctx)
	if err != nil {
		return err
	}
	status.Store = &nodestatus.Store{
		ID: p.store.ID(), Complete: current.Complete, Retiring: current.Retiring, Member: current.Member, Epoch: current.Epoch,
		Members: current.Members, Turns: current.Turns, TurnBytes: current.TurnBytes, Programs: current.Programs,
		Reservations: current.Entries, RingBytes: current.RingBytes, FreeBytes: current.FreeBytes,
	}
	return nil
}
