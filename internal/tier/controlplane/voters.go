package controlplane

import (
	"context"
	"time"
)

// voterInterval is the time between two looks at how many control nodes vote.
const voterInterval = 5 * time.Second

// votersNeeded is how many have to vote so that a majority is left when as many machines as tolerated are lost at once,
// with their disks.
func votersNeeded(tolerance int) int { return 2*tolerance + 1 }

// watchVoters says in the log when fewer vote than the tolerance asks for: a deployment that starts too few control nodes
// works well until the day on which they are lost.
func (p *Plane) watchVoters(ctx context.Context) {
	ticker := time.NewTicker(voterInterval)
	defer ticker.Stop()
	said := 0 // voters at the last line; 0: enough
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			said = p.sayVoters(said)
		}
	}
}

func (p *Plane) sayVoters(said int) int {
	voters, needed := len(p.replica.Members()), votersNeeded(p.base.Settings.Tolerance.Machines)
	if voters == 0 || voters >= needed {
		return 0
	}
	if voters != said {
		p.base.Log.WithField("voters", voters).WithField("needed", needed).
			Warn("too few control nodes vote: the control state does not bear the losses that fault_tolerance names")
	}
	return voters
}
