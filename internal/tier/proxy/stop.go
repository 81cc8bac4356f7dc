package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"emberquay/admission/dispatch"
)

// A stop has a timetable, counted from the signal, also where the stop is begun later:
//
//	0                       not ready; answers that begin tell their clients to close
//	ShutdownDelay           no new connection; those at rest are closed, others with the end of their answer;
//	                        what still comes is taken only if its deadline lies before the end, else refused
//	end                     what is held is refused, what is out is answered without its receiver
//	end + lastAnswersTime   all connections are closed
//
// So nothing is passed on that the end of the process would cut. A stop that waited for a moment without requests and
// served what came until then had no such moment under load, and cut what it had just taken.

const (
	// finalResponseTime is what remains of a stop's time for answers to what has not ended by itself.
	finalResponseTime = 200 * time.Millisecond
	// finalResponseShare and noticeShare are the most of a stop's time that the last answers and the notice take where the
	// grace is short.
	finalResponseShare = 1.0 / 24
	shutdownDelayShare = 0.6
	// stoppingRetryAfter is told to clients whose request this process has no time for: others take them at once.
	stoppingRetryAfter = 20 * time.Millisecond
)

// errShuttingDown is the cause with which requests are given up at the end of a stop.
var errShuttingDown = errors.New("the proxy stops")

// Shutdown stops the data plane: it is not ready at once, goes on accepting until the platform has noticed, and serves
// what has been read. It returns when nothing is left in hand, or when ctx ends; Run returns then. The process was told to
// stop at the instant signalled.
func (p *Proxy) Shutdown(ctx context.Context, signalled time.Time) {
	p.stopping.Store(true)
	p.schedule.Store(p.newShutdownSchedule(ctx, signalled))
	p.awaitShutdownDelay(ctx)
	p.frontend.stopAccepting()
	p.clients.drain()
	p.connectionLog().Info("the notice is over")
	p.drain(ctx)
	p.closeAll()
}

// shutdownSchedule are the instants of a stop.
type shutdownSchedule struct {
	delayEnd time.Time
	drainEnd time.Time // when what is in hand has to have ended; the zero time: never
}

// newShutdownSchedule fixes the instants of a stop, and tells the dispatcher of its end.
func (p *Proxy) newShutdownSchedule(ctx context.Context, signalled time.Time) *shutdownSchedule {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return &shutdownSchedule{delayEnd: signalled.Add(p.options.ShutdownDelay)}
	}
	total := max(0, deadline.Sub(signalled))
	drainEnd := deadline.Add(-min(finalResponseTime, scaled(total, finalResponseShare)))
	p.admission.enqueue(endByCommand{end: p.admission.instant(drainEnd)})
	return &shutdownSchedule{delayEnd: signalled.Add(min(p.options.ShutdownDelay, scaled(drainEnd.Sub(signalled), shutdownDelayShare))), drainEnd: drainEnd}
}

func scaled(total time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(total))
}

// awaitShutdownDelay waits until the platform has noticed that no clients should come.
func (p *Proxy) awaitShutdownDelay(ctx context.Context) {
	timer := time.NewTimer(time.Until(p.schedule.Load().delayEnd))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.options.endShutdownDelay:
	case <-ctx.Done():
	}
	p.endShutdownDelay()
}

// endShutdownDelay has the notice over by now.
func (p *Proxy) endShutdownDelay() {
	schedule := *p.schedule.Load()
	if now := time.Now(); now.Before(schedule.delayEnd) {
		schedule.delayEnd = now
		p.schedule.Store(&schedule)
	}
}

// canFinishBy says whether a request with that deadline is sure to have ended before the process does. It looks at the
// clock: on a machine without processor time the end of the notice may be late to be acted on.
func (p *Proxy) canFinishBy(deadline time.Time) bool {
	schedule := p.schedule.Load()
	return schedule == nil || schedule.drainEnd.IsZero() || time.Now().Before(schedule.delayEnd) || !deadline.After(schedule.drainEnd)
}

// drain serves what is in hand until the end, and then gives it up.
func (p *Proxy) drain(ctx context.Context) {
	drainCtx, cancel := ctx, context.CancelFunc(func() {})
	if end := p.schedule.Load().drainEnd; !end.IsZero() {
		drainCtx, cancel = context.WithDeadline(ctx, end)
	}
	defer cancel()
	if p.clients.waitDrained(drainCtx) {
		p.connectionLog().Info("stopped with nothing in hand")
		return
	}
	p.connectionLog().Warn("stopped with requests in hand")
	p.frontend.cancelRequests(errShuttingDown)
	finalCtx, cancelFinal := context.WithTimeout(context.WithoutCancel(ctx), finalResponseTime)
	defer cancelFinal()
	p.clients.waitDrained(finalCtx)
	p.clients.stop()
}

// connectionLog has what is open to clients: what a stop waits for, and what it gives up.
func (p *Proxy) connectionLog() log.Interface {
	c := p.clients.count()
	return p.options.Logger.WithFields(log.Fields{
		"requests": c.inFlight, "at_rest": c.idle, "late": c.lateRequests,
		"oldest_ms": c.oldestAge.Milliseconds(), "youngest_ms": c.youngestAge.Milliseconds(),
	})
}

// canceledByShutdown says whether the end of the process has ended the visit.
func (h *requestHandler) canceledByShutdown() bool {
	return context.Cause(h.request.Context()) == errShuttingDown
}

// clientGone says whether its client has ended the visit.
func (h *requestHandler) clientGone() bool {
	return h.request.Context().Err() != nil && !h.canceledByShutdown()
}

// endByCommand tells the dispatcher when the process ends.
type endByCommand struct{ end dispatch.Instant }

func (c endByCommand) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	return a.dispatcher.EndBy(now, c.end)
}
