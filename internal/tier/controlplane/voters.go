package controlplane

import (
	"context"
	"time"
)

// voterCheckInterval is the time between two checks of the number of voting control nodes.
const voterCheckInterval = 5 * time.Second

// requiredVoters returns how many voters are needed so that a majority remains when as many machines as tolerated are lost
// at once, with their disks.
func requiredVoters(tolerance int) int { return 2*tolerance + 1 }

// monitorVoters logs a warning while there are fewer voters than the tolerance requires: a deployment with too few control
// nodes works without any other sign until machines are lost.
func (p *Plane) monitorVoters(ctx context.Context) {
	ticker := time.NewTicker(voterCheckInterval)
	defer ticker.Stop()
	warnedVoters := 0 // number of voters in the last warning; 0: enough voters
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			warnedVoters = p.warnMissingVoters(warnedVoters)
		}
	}
}

func (p *Plane) warnMissingVoters(warnedVoters int) int {
	voters, needed := len(p.replica.Members()), requiredVoters(p.base.Settings.FaultTolerance.Machines)
	if voters == 0 || voters >= needed {
		return 0
	}
	if voters != warnedVoters {
		p.base.Log.WithField("voters", voters).WithField("needed", needed).
			Warn("too few voting control nodes: the control state cannot survive the losses that fault_tolerance allows")
	}
	return voters
}
