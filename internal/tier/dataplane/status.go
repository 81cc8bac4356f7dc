package dataplane

import (
	"context"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/nodestatus"
	"emberquay/internal/tier/proxy"
)

// addStatus adds the proxy's part to the process's status.
func (p *Plane) addStatus(ctx context.Context, status *nodestatus.Status) error {
	current, err := p.proxy.Status(ctx)
	if err != nil {
		return err
	}
	status.ConfigurationVersion = int64(current.Configuration)
	status.Proxy = &nodestatus.Proxy{
		Ready: current.Ready, InFlight: current.InFlight, Arrived: int64(current.Arrived), Refused: int64(current.Refused),
		Admission: admissionStats(current),
	}
	return nil
}

func admissionStats(current proxy.Status) *nodestatus.AdmissionStats {
	stats := &nodestatus.AdmissionStats{
		Attempts: int64(current.Admission.Attempts), Queued: current.Dispatch.Queued, InFlight: current.Dispatch.InFlight,
		Allowance: current.Dispatch.Allowance, ShutdownPhase: int(current.Phase),
	}
	for reason, count := range current.Admission.Refused {
		refusals := nodestatus.RefusalCount{Reason: dispatch.Reason(reason).String(), Count: int64(count)}
		stats.Refusals = append(stats.Refusals, refusals)
	}
	return stats
}
