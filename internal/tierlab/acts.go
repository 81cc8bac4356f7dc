package tierlab

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"emberquay/internal/referee/tierrules"
)

const (
	// downFor is how long a killed process stays down.
	downFor = 500 * time.Millisecond
	// reuseAfter is when the address of a receiver that ended is another's.
	reuseAfter = 2200 * time.Millisecond
)

// act carries out one act of the day.
func (l *lab) act(ctx context.Context, what What) {
	l.say("%s", what)
	switch what {
	case AddRoute:
		l.operator.add(ctx)
	case MoveRoute:
		l.operator.move(ctx)
	case RemoveRoute:
		l.operator.remove(ctx)
	case RaceOperators:
		l.operator.race(ctx)
	case SendInvalid:
		l.operator.invalid(ctx)
	case RepeatAccepted:
		l.operator.repeat(ctx)
	case DrainReceiver:
		l.replaceReceiver(ctx, 0, otherService, (*receiver).drain)
	case CrashReceiver:
		l.replaceReceiver(ctx, crashPlace, modelService, func(r *receiver, _ context.Context) { r.crash() })
	case KillCore:
		l.trouble(ctx, tierrules.Killed, l.controls[0])
	case WipeStore:
		l.trouble(ctx, tierrules.Wiped, l.stores[0])
	case StopProxy:
		l.stopProxy(ctx, l.proxies[1])
	case ReloadProxy:
		l.reloadProxy(l.proxies[0])
	case KillAll:
		l.killAll(ctx)
	}
}

// replaceReceiver ends the receiver of a place, and after the bound starts one of a service at its address.
func (l *lab) replaceReceiver(ctx context.Context, place int, service string, end func(*receiver, context.Context)) {
	old := l.receiverAt(place)
	if old == nil {
		return
	}
	end(old, ctx)
	sleep(ctx, reuseAfter)
	if ctx.Err() != nil {
		return
	}
	next, err := l.startReceiver(ctx, place, service)
	if err != nil {
		l.record.crashed(fmt.Sprintf("a stand-in cannot listen: %v", err))
		return
	}
	l.setReceiver(place, next)
}

// struck notes a trouble that begins now; its end is told by what it gives.
func (l *lab) struck(machine string, what tierrules.What, core bool) (over func()) {
	at := 0
	l.record.see(func(now time.Duration, h *tierrules.History) {
		at = len(h.Troubles)
		h.Troubles = append(h.Troubles, tierrules.Trouble{Machine: machine, What: what, From: now, To: now + time.Hour, Core: core})
	})
	return func() {
		l.record.see(func(now time.Duration, h *tierrules.History) { h.Troubles[at].To = now })
	}
}

// trouble kills a process of the core or a store, wipes its disk where that is meant, and starts it again.
func (l *lab) trouble(ctx context.Context, what tierrules.What, p *process) {
	over := l.struck(p.machine, what, true)
	p.kill()
	if what == tierrules.Wiped {
		if err := p.wipe(); err != nil {
			l.record.crashed(fmt.Sprintf("a disk cannot be wiped: %v", err))
		}
	}
	sleep(ctx, downFor)
	l.again(p)
	over()
}

func (l *lab) again(p *process) {
	if err := p.start(); err != nil {
		l.record.crashed(fmt.Sprintf("%s cannot be started again: %v", p.name(), err))
	}
}

// stopProxy stops a proxy as planned. Clients that come in the meantime go to the other.
func (l *lab) stopProxy(ctx context.Context, p *process) {
	over := l.struck(p.machine, tierrules.Terminated, false)
	p.stop(ctx)
	sleep(ctx, downFor)
	l.again(p)
	over()
}

// reloadProxy changes a proxy's settings file: its bytes differ, its meaning does not.
func (l *lab) reloadProxy(p *process) {
	l.struck(p.machine, tierrules.Reloaded, false)()
	if _, err := p.write(false); err != nil {
		l.record.crashed(fmt.Sprintf("settings cannot be written: %v", err))
	}
	p.signal(syscall.SIGHUP, false)
}

// killAll kills every process at the same moment, and starts all of them again: the day's final fault.
func (l *lab) killAll(ctx context.Context) {
	over := l.struck("", tierrules.Final, true)
	all := l.all()
	exits := make([]chan struct{}, 0, len(all))
	for _, p := range all {
		exits = append(exits, p.signal(syscall.SIGKILL, true))
	}
	for _, exited := range exits {
		<-exited
	}
	sleep(ctx, downFor)
	for _, p := range all {
		l.again(p)
	}
	over()
	l.markFinal()
}
