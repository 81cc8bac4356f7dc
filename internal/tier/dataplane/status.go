package dataplane

import (
	"context"

	"emberquay/internal/tier/nodestatus"
)

// addStatus adds what an operator is told of this plane.
func (p *Plane) addStatus(ctx context.Context, status *nodestatus.Status) error {
	now, err := p.proxy.Status(ctx)
	if err != nil {
		return err
	}
	status.Configuration = int64(now.Configuration)
	status.Proxy = &nodestatus.Proxy{
		Ready: now.Ready, InHand: now.InHand, Arrived: int64(now.Arrived), Refused: int64(now.Refused),
	}
	return nil
}
