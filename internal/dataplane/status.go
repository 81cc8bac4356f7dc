package dataplane

import (
	"context"

	"emberquay/internal/nodestatus"
)

// status collects what an operator is told of this plane.
func (p *Plane) status(ctx context.Context) (nodestatus.Status, error) {
	status := nodestatus.Common(p.cluster, p.started)
	now, err := p.proxy.Status(ctx)
	if err != nil {
		return status, err
	}
	status.Configuration = int64(now.Configuration)
	status.Proxy = &nodestatus.Proxy{
		Ready: now.Ready, InHand: now.InHand, Arrived: int64(now.Arrived), Refused: int64(now.Refused),
	}
	return status, nil
}
