package tierlab

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierworld"
)

// maxEarlyLoss is the latest time after the sending of a change at which power is lost before its acknowledgement.
const maxEarlyLoss = 40 * time.Millisecond

// losePower ends all processes at the same moment around a change of the configuration, empties the disk of the fault's
// process, if it names one, and restarts all of them, each at a time of its own within the fault's duration.
func (l *lab) losePower(ctx context.Context, s tierworld.ScheduledTrouble) {
	if s.Kind == tierworld.LosePower {
		if l.operator.toggleAddedRoute(ctx) != http.StatusOK {
			l.note("%s: its change is not acknowledged", s)
		}
	} else {
		l.probes.Go(func() { l.operator.toggleAddedRoute(ctx) }) // sends it again after the loss
		sleep(ctx, time.Duration(rand.Int64N(int64(maxEarlyLoss))))
	}
	if ctx.Err() != nil {
		return
	}
	recordEnd := l.recordFault(l.powerLossFault(s))
	l.killAllAtOnce()
	if s.Target != "" {
		l.wipe(l.processAt(s))
	}
	var restarts sync.WaitGroup
	for _, p := range l.allProcesses() {
		restarts.Go(func() {
			sleep(ctx, time.Duration(rand.Int64N(int64(s.Duration()))))
			l.startAgain(p)
		})
	}
	restarts.Wait()
	recordEnd()
	l.snapshotTurns()
}

// powerLossFault returns the fault that the referee judges by: the last loss of all power is the final fault.
func (l *lab) powerLossFault(s tierworld.ScheduledTrouble) tierrules.Fault {
	for _, other := range l.scenario.Faults {
		if other.Kind.LosesAllProcesses() && other.From > s.From {
			return tierrules.Fault{Kind: tierrules.Killed, Core: true}
		}
	}
	return tierrules.Fault{Kind: tierrules.FinalFault, Core: true}
}

// killAllAtOnce sends SIGKILL to all processes before it waits for any to end.
func (l *lab) killAllAtOnce() {
	all := l.allProcesses()
	exits := make([]chan struct{}, 0, len(all))
	for _, p := range all {
		exits = append(exits, p.signal(syscall.SIGKILL, true))
	}
	for _, exited := range exits {
		<-exited
	}
}

// loseAcknowledger kills the control plane that has just acknowledged a change, empties its disk and restarts it.
func (l *lab) loseAcknowledger(ctx context.Context, s tierworld.ScheduledTrouble) {
	if l.operator.toggleAddedRoute(ctx) != http.StatusOK {
		l.note("%s: its change is not acknowledged", s)
		return
	}
	p := l.operator.lastAcknowledger()
	recordEnd := l.recordProcessFault(p, tierrules.Wiped)
	p.kill()
	l.wipe(p)
	sleep(ctx, s.Duration())
	l.startAgain(p)
	recordEnd()
}

// probeDelay is the time after the end of the ConfigApply bound at which probes are sent.
const probeDelay = 10 * time.Millisecond

// probeVersions requests the route of a newly acknowledged version, and that of the version before, from each proxy that
// serves, right after the bound within which the new one must be in force.
func (l *lab) probeVersions(ctx context.Context, added, removed uint64) {
	l.probes.Go(func() {
		sleep(ctx, l.bounds.ConfigApply+probeDelay)
		var sent sync.WaitGroup
		for _, front := range l.frontsInRotation() {
			for _, version := range []uint64{added, removed} {
				sent.Go(func() { l.probe(ctx, front, version) })
			}
		}
		sent.Wait()
	})
}

// probe sends one request for the route of a version.
func (l *lab) probe(ctx context.Context, front *process, version uint64) {
	if ctx.Err() != nil || version == 0 {
		return
	}
	c := l.newClient()
	defer c.close()
	k := &call{class: "probe", route: versionRoute(version), path: "x", method: http.MethodGet, deadline: plainDeadline}
	c.attempt(ctx, k, front, plainDeadline)
}
