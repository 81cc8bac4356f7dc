package tierlab

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierworld"
)

const (
	// retirementTimeout bounds how long the operator waits for a store to be drained of its data.
	retirementTimeout      = 20 * time.Second
	retirementPollInterval = 200 * time.Millisecond
)

// operatorActions maps the fault kinds that are actions of the operator.
var operatorActions = map[tierworld.TroubleKind]func(*operator, context.Context){
	tierworld.AddRoute:      (*operator).addRoute,
	tierworld.MoveRoute:     (*operator).moveRoute,
	tierworld.RemoveRoute:   (*operator).removeRoute,
	tierworld.ChangeIdle:    (*operator).changeIdleTimeout,
	tierworld.ChangeTimeout: (*operator).changeRouteTimeout,
	tierworld.Race:          (*operator).race,
	tierworld.Invalid:       (*operator).invalid,
	tierworld.Repeat:        (*operator).repeat,
}

// injectFault injects one fault of the scenario and returns when it is over.
func (l *lab) injectFault(ctx context.Context, s tierworld.ScheduledTrouble) {
	l.progressf("%s", s)
	recordEnd := l.recordInterval(s)
	defer recordEnd()
	if order := operatorActions[s.Kind]; order != nil {
		order(l.operator, ctx)
		return
	}
	switch s.Kind {
	case tierworld.Drain:
		l.replaceReceiver(ctx, s, (*receiver).drain)
	case tierworld.Crash:
		l.replaceReceiver(ctx, s, func(r *receiver, _ context.Context) { r.crash() })
	case tierworld.Kill, tierworld.Wipe:
		l.kill(ctx, s, l.processAt(s))
	case tierworld.Freeze:
		l.freeze(ctx, s, l.processAt(s))
	case tierworld.Restart:
		l.restart(ctx, s, l.processAt(s))
	case tierworld.RestartMachine:
		l.restartMachine(ctx, s)
	case tierworld.Reload:
		l.reload(l.processAt(s))
	case tierworld.Rewrite:
		l.rewrite(l.processAt(s))
	case tierworld.Retire:
		l.retire(ctx, l.processAt(s))
	case tierworld.KillAll:
		l.killAll(ctx, s)
	case tierworld.LosePower, tierworld.LosePowerEarly:
		l.losePower(ctx, s)
	case tierworld.LoseAcknowledger:
		l.loseAcknowledger(ctx, s)
	default: // receivers and arrivals look these up in the schedule themselves
		sleep(ctx, s.Duration())
	}
}

// processAt returns the process that a fault affects.
func (l *lab) processAt(s tierworld.ScheduledTrouble) *process {
	switch s.Target {
	case tierworld.ControlPlane:
		return l.controls[s.Index]
	case tierworld.Store:
		return l.stores[s.Index]
	default:
		return l.proxies[s.Index]
	}
}

// replaceReceiver ends the receiver of a place and, after the fault's duration, starts another at the same address.
func (l *lab) replaceReceiver(ctx context.Context, s tierworld.ScheduledTrouble, end func(*receiver, context.Context)) {
	place := l.world.Receivers.ReceiverIndex(s.Target, s.Index)
	l.replaceLocks[place].Lock()
	defer l.replaceLocks[place].Unlock()
	end(l.receiverAt(place), ctx)
	sleep(ctx, s.Duration())
	if ctx.Err() != nil {
		return
	}
	next, err := l.startReceiver(ctx, place, s.Next)
	if err != nil {
		l.record.recordCrash(fmt.Sprintf("a stand-in cannot listen: %v", err))
		return
	}
	l.setReceiver(place, next)
}

// recordProcessFault records the start of a process fault; the returned function records its end.
func (l *lab) recordProcessFault(p *process, what tierrules.FaultKind) (recordEnd func()) {
	return l.recordFault(tierrules.Fault{Machine: p.machine, Kind: what, Core: p.isCore(), OtherProcess: p.role != proxyRole})
}

func (l *lab) recordFault(t tierrules.Fault) (recordEnd func()) {
	index := 0
	l.record.update(func(now time.Duration, h *tierrules.History) {
		index = len(h.Faults)
		t.From, t.To = now, now+time.Hour
		h.Faults = append(h.Faults, t)
	})
	return func() {
		l.record.update(func(now time.Duration, h *tierrules.History) { h.Faults[index].To = now })
	}
}

// isCore reports whether a fault of the process affects all machines, since the process takes part in their agreement.
func (p *process) isCore() bool { return p.role != proxyRole }

// kill kills a process, wipes its disk if the fault says so, and restarts it after the fault's duration.
func (l *lab) kill(ctx context.Context, s tierworld.ScheduledTrouble, p *process) {
	what := tierrules.Killed
	if s.Kind == tierworld.Wipe {
		what = tierrules.Wiped
	}
	recordEnd := l.recordProcessFault(p, what)
	p.kill()
	if s.Kind == tierworld.Wipe {
		l.wipe(p)
	}
	sleep(ctx, s.Duration())
	l.startAgain(p)
	recordEnd()
}

func (l *lab) wipe(p *process) {
	if err := p.wipe(); err != nil {
		l.record.recordCrash(fmt.Sprintf("a disk cannot be wiped: %v", err))
	}
}

func (l *lab) startAgain(p *process) {
	if err := p.start(); err != nil {
		l.record.recordCrash(fmt.Sprintf("%s cannot be started again: %v", p.name(), err))
	}
}

// freeze suspends a process with SIGSTOP and resumes it after the fault's duration.
func (l *lab) freeze(ctx context.Context, s tierworld.ScheduledTrouble, p *process) {
	recordEnd := l.recordProcessFault(p, tierrules.Frozen)
	p.signal(syscall.SIGSTOP, false)
	sleep(ctx, s.Duration())
	p.signal(syscall.SIGCONT, false)
	recordEnd()
}

// restart performs a planned restart of a process. New clients use other proxies in the meantime.
func (l *lab) restart(ctx context.Context, s tierworld.ScheduledTrouble, p *process) {
	recordEnd := l.recordProcessFault(p, tierrules.Terminated)
	p.stop(ctx)
	sleep(ctx, s.Duration())
	l.startAgain(p)
	recordEnd()
}

// restartMachine restarts all processes of a proxy's machine at the same time, as the platform does.
func (l *lab) restartMachine(ctx context.Context, s tierworld.ScheduledTrouble) {
	var wg sync.WaitGroup
	for _, p := range l.allProcesses() {
		if p.machine == l.proxies[s.Index].machine {
			wg.Go(func() { l.restart(ctx, s, p) })
		}
	}
	wg.Wait()
}

// reload rewrites a process's settings file and sends SIGHUP.
func (l *lab) reload(p *process) {
	l.recordProcessFault(p, tierrules.Reloaded)()
	l.rewrite(p)
	p.reload()
}

// rewrite rewrites a process's settings file: its bytes differ, its meaning does not.
func (l *lab) rewrite(p *process) {
	if _, err := p.writeSettings(false); err != nil {
		l.record.recordCrash(fmt.Sprintf("settings cannot be written: %v", err))
	}
}

// retire has the operator retire a store and then removes its machine with its disk. No data depends on a retired store, so
// its end is not recorded as a fault.
func (l *lab) retire(ctx context.Context, p *process) {
	ctx, cancel := context.WithTimeout(ctx, retirementTimeout)
	defer cancel()
	if !l.operator.retire(ctx, p.machine) {
		l.note("%s is not emptied within %s, and stays", p.machine, retirementTimeout)
		return
	}
	p.decommission()
	l.wipe(p)
}

// killAll kills all processes at the same time and restarts them after the fault's duration: the scenario's final fault.
func (l *lab) killAll(ctx context.Context, s tierworld.ScheduledTrouble) {
	recordEnd := l.recordFault(tierrules.Fault{Kind: tierrules.FinalFault, Core: true})
	l.killAllAtOnce()
	sleep(ctx, s.Duration())
	for _, p := range l.allProcesses() {
		l.startAgain(p)
	}
	recordEnd()
	l.snapshotTurns()
}
