package dataplane

import (
	"context"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/nodestatus"
	"emberquay/internal/tier/proxy"
)

// addStatus adds what an operator is told of this plane.
func (p *Plane) addStatus(ctx context.Context, status *nodestatus.Status) error {
	now, err := p.proxy.Status(ctx)
	if err != nil {
		return err
	}
	status.Configuration = int64(now.Configuration)
	status.Proxy = &nodestatus.Proxy{
		Ready: now.Ready, InHand: now.InFlight, Arrived: int64(now.Arrived), Refused: int64(now.Refused),
		Figures: figures(now),
	}
	return nil
}

func figures(now proxy.Status) *nodestatus.ProxyFigures {
	figures := &nodestatus.ProxyFigures{
		Attempts: int64(now.Admission.Attempts), Queued: now.Dispatch.Queued, Out: now.Dispatch.InFlight,
		Allowance: now.Dispatch.Allowance, StopPhase: int(now.Phase),
	}
	for reason, count := range now.Admission.Refused {
		refusals := nodestatus.Refusals{Reason: dispatch.Reason(reason).String(), Count: int64(count)}
		figures.Refusals = append(figures.Refusals, refusals)
	}
	return figures
}
