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
	status.ConfigurationVersion = int64(now.Configuration)
	status.Proxy = &nodestatus.Proxy{
		Ready: now.Ready, InFlight: now.InFlight, Arrived: int64(now.Arrived), Refused: int64(now.Refused),
		Admission: figures(now),
	}
	return nil
}

func figures(now proxy.Status) *nodestatus.AdmissionStats {
	figures := &nodestatus.AdmissionStats{
		Attempts: int64(now.Admission.Attempts), Queued: now.Dispatch.Queued, InFlight: now.Dispatch.InFlight,
		Allowance: now.Dispatch.Allowance, ShutdownPhase: int(now.Phase),
	}
	for reason, count := range now.Admission.Refused {
		refusals := nodestatus.RefusalCount{Reason: dispatch.Reason(reason).String(), Count: int64(count)}
		figures.Refusals = append(figures.Refusals, refusals)
	}
	return figures
}
