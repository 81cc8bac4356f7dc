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
	// retiredWithin bounds how long the operator waits for a store to be emptied.
	retiredWithin = 20 * time.Second
	retiredLook   = 200 * time.Millisecond
)

// orders are the troubles that are orders of the operator.
var orders = map[tierworld.TroubleKind]func(*operator, context.Context){
	tierworld.AddRoute:      (*operator).add,
	tierworld.MoveRoute:     (*operator).move,
	tierworld.RemoveRoute:   (*operator).remove,
	tierworld.ChangeIdle:    (*operator).otherIdle,
	tierworld.ChangeTimeout: (*operator).otherTimeout,
	tierworld.Race:          (*operator).race,
	tierworld.Invalid:       (*operator).invalid,
	tierworld.Repeat:        (*operator).repeat,
}

// strike carries out one trouble of the day, to its end.
func (l *lab) strike(ctx context.Context, s tierworld.ScheduledTrouble) {
	l.say("%s", s)
	over := l.mark(s)
	defer over()
	if order := orders[s.Kind]; order != nil {
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
	default: // what receivers and arrivals look up in the schedule themselves
		sleep(ctx, s.Duration())
	}
}

// processAt is the process that a strike is on.
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

// replaceReceiver ends the receiver of a place, and for the strike's length later starts one at its address.
func (l *lab) replaceReceiver(ctx context.Context, s tierworld.ScheduledTrouble, end func(*receiver, context.Context)) {
	place := l.shape.Receivers.ReceiverIndex(s.Target, s.Index)
	l.replacing[place].Lock()
	defer l.replacing[place].Unlock()
	end(l.receiverAt(place), ctx)
	sleep(ctx, s.Duration())
	if ctx.Err() != nil {
		return
	}
	next, err := l.startReceiver(ctx, place, s.Next)
	if err != nil {
		l.record.crashed(fmt.Sprintf("a stand-in cannot listen: %v", err))
		return
	}
	l.setReceiver(place, next)
}

// struck notes a trouble of a process that begins now; its end is told by what it gives.
func (l *lab) struck(p *process, what tierrules.FaultKind) (over func()) {
	return l.noteTrouble(tierrules.Fault{Machine: p.machine, Kind: what, Core: p.core(), OtherProcess: p.role != proxyRole})
}

func (l *lab) noteTrouble(t tierrules.Fault) (over func()) {
	at := 0
	l.record.see(func(now time.Duration, h *tierrules.History) {
		at = len(h.Faults)
		t.From, t.To = now, now+time.Hour
		h.Faults = append(h.Faults, t)
	})
	return func() {
		l.record.see(func(now time.Duration, h *tierrules.History) { h.Faults[at].To = now })
	}
}

// core says whether trouble of a process is trouble of all machines, since it takes part in what they agree
// on.
func (p *process) core() bool { return p.role != proxyRole }

// kill kills a process, wipes its disk where that is meant, and starts it again.
func (l *lab) kill(ctx context.Context, s tierworld.ScheduledTrouble, p *process) {
	what := tierrules.Killed
	if s.Kind == tierworld.Wipe {
		what = tierrules.Wiped
	}
	over := l.struck(p, what)
	p.kill()
	if s.Kind == tierworld.Wipe {
		l.wipe(p)
	}
	sleep(ctx, s.Duration())
	l.again(p)
	over()
}

func (l *lab) wipe(p *process) {
	if err := p.wipe(); err != nil {
		l.record.crashed(fmt.Sprintf("a disk cannot be wiped: %v", err))
	}
}

func (l *lab) again(p *process) {
	if err := p.start(); err != nil {
		l.record.crashed(fmt.Sprintf("%s cannot be started again: %v", p.name(), err))
	}
}

// freeze stops a process where it is, and wakes it.
func (l *lab) freeze(ctx context.Context, s tierworld.ScheduledTrouble, p *process) {
	over := l.struck(p, tierrules.Frozen)
	p.signal(syscall.SIGSTOP, false)
	sleep(ctx, s.Duration())
	p.signal(syscall.SIGCONT, false)
	over()
}

// restart stops a process as planned. Clients that come in the meantime go to other proxies.
func (l *lab) restart(ctx context.Context, s tierworld.ScheduledTrouble, p *process) {
	over := l.struck(p, tierrules.Terminated)
	p.stop(ctx)
	sleep(ctx, s.Duration())
	l.again(p)
	over()
}

// restartMachine stops all processes of a proxy's machine at the same moment, as the platform does.
func (l *lab) restartMachine(ctx context.Context, s tierworld.ScheduledTrouble) {
	var all sync.WaitGroup
	for _, p := range l.all() {
		if p.machine == l.proxies[s.Index].machine {
			all.Go(func() { l.restart(ctx, s, p) })
		}
	}
	all.Wait()
}

// reload changes a process's settings file and tells it so.
func (l *lab) reload(p *process) {
	l.struck(p, tierrules.Reloaded)()
	l.rewrite(p)
	p.reload()
}

// rewrite changes a process's settings file: its bytes differ, its meaning does not.
func (l *lab) rewrite(p *process) {
	if _, err := p.write(false); err != nil {
		l.record.crashed(fmt.Sprintf("settings cannot be written: %v", err))
	}
}

// retire has a store emptied and takes its machine away, disk and all. An emptied store is missed by nobody,
// so that its end is no trouble to the referee.
func (l *lab) retire(ctx context.Context, p *process) {
	ctx, cancel := context.WithTimeout(ctx, retiredWithin)
	defer cancel()
	if !l.operator.retire(ctx, p.machine) {
		l.note("%s is not emptied within %s, and stays", p.machine, retiredWithin)
		return
	}
	p.takeAway()
	l.wipe(p)
}

// killAll kills every process at the same moment, and starts all of them again: the day's final fault.
func (l *lab) killAll(ctx context.Context, s tierworld.ScheduledTrouble) {
	over := l.noteTrouble(tierrules.Fault{Kind: tierrules.FinalFault, Core: true})
	all := l.all()
	exits := make([]chan struct{}, 0, len(all))
	for _, p := range all {
		exits = append(exits, p.signal(syscall.SIGKILL, true))
	}
	for _, exited := range exits {
		<-exited
	}
	sleep(ctx, s.Duration())
	for _, p := range all {
		l.again(p)
	}
	over()
	l.markFinal()
}
