package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"emberquay/admission/dispatch"
)

// A shutdown has phases, timed from the signal even if Shutdown is called later:
//
//	0                              readiness fails; responses that start carry Connection: close
//	ShutdownDelay                  no new connections; idle ones are closed, others at the end of their response;
//	                               a new request is served only if its deadline is before drainEnd, else refused
//	drainEnd                       queued requests are refused; sent ones are answered without their receiver
//	drainEnd + finalResponseTime   all connections are closed
//
// So no request is forwarded that the end of the process would abort. An earlier version waited for a moment without
// requests and served new ones until then; under load there was no such moment, and it aborted requests just accepted.

const (
	// finalResponseTime is reserved at the end of a shutdown for answering requests that are still in flight.
	finalResponseTime = 200 * time.Millisecond
	// finalResponseShare and shutdownDelayShare bound finalResponseTime and the shutdown delay, as shares of the time
	// available, where the grace period is short.
	finalResponseShare = 1.0 / 24
	shutdownDelayShare = 0.6
	// stoppingRetryAfter is the Retry-After value for requests that this process has no time for: other proxies accept
	// them at once.
	stoppingRetryAfter = 20 * time.Millisecond
)

// errShuttingDown is the cancellation cause of requests still in flight at drainEnd.
var errShuttingDown = errors.New("proxy is shutting down")

// Shutdown stops the proxy: readiness fails at once, connections are accepted until the shutdown delay is over, and
// requests already read are completed. It returns when no request is in flight or when ctx ends; Run returns then. The
// schedule counts from signalledAt, the time at which the process was told to stop.
func (p *Proxy) Shutdown(ctx context.Context, signalledAt time.Time) {
	p.stopping.Store(true)
	p.schedule.Store(p.newShutdownSchedule(ctx, signalledAt))
	p.awaitShutdownDelay(ctx)
	p.frontend.stopAccepting()
	p.clients.drain()
	p.connectionLog().Info("shutdown delay over; no longer accepting connections")
	p.drain(ctx)
	p.closeAll()
}

// shutdownSchedule holds the times at which the phases of a shutdown end.
type shutdownSchedule struct {
	delayEnd time.Time
	drainEnd time.Time // requests in flight are canceled then; zero: never
}

// newShutdownSchedule computes the schedule and passes drainEnd to the dispatcher.
func (p *Proxy) newShutdownSchedule(ctx context.Context, signalledAt time.Time) *shutdownSchedule {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return &shutdownSchedule{delayEnd: signalledAt.Add(p.options.ShutdownDelay)}
	}
	total := max(0, deadline.Sub(signalledAt))
	drainEnd := deadline.Add(-min(finalResponseTime, scaled(total, finalResponseShare)))
	p.admission.enqueue(stopByCommand{end: p.admission.instant(drainEnd)})
	return &shutdownSchedule{
		delayEnd: signalledAt.Add(min(p.options.ShutdownDelay, scaled(drainEnd.Sub(signalledAt), shutdownDelayShare))),
		drainEnd: drainEnd,
	}
}

func scaled(total time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(total))
}

// awaitShutdownDelay waits until the platform has had time to see that readiness fails.
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

// endShutdownDelay moves the end of the delay to the present if it is still ahead.
func (p *Proxy) endShutdownDelay() {
	schedule := *p.schedule.Load()
	if now := time.Now(); now.Before(schedule.delayEnd) {
		schedule.delayEnd = now
		p.schedule.Store(&schedule)
	}
}

// canFinishBy reports whether a request with this deadline is sure to end before the process does. It compares times
// instead of tracking the phase: without CPU time the end of the shutdown delay may be acted on late.
func (p *Proxy) canFinishBy(deadline time.Time) bool {
	schedule := p.schedule.Load()
	return schedule == nil || schedule.drainEnd.IsZero() || time.Now().Before(schedule.delayEnd) || !deadline.After(schedule.drainEnd)
}

// drain serves the requests in flight until drainEnd and then cancels them.
func (p *Proxy) drain(ctx context.Context) {
	drainCtx, cancel := ctx, context.CancelFunc(func() {})
	if end := p.schedule.Load().drainEnd; !end.IsZero() {
		drainCtx, cancel = context.WithDeadline(ctx, end)
	}
	defer cancel()
	if p.clients.waitDrained(drainCtx) {
		p.connectionLog().Info("drained: no requests in flight")
		return
	}
	p.connectionLog().Warn("drain incomplete; canceling the requests in flight")
	p.frontend.cancelRequests(errShuttingDown)
	finalCtx, cancelFinal := context.WithTimeout(context.WithoutCancel(ctx), finalResponseTime)
	defer cancelFinal()
	p.clients.waitDrained(finalCtx)
	p.clients.stop()
}

// connectionLog returns a log entry with the open connections and requests: those that a shutdown waits for or cancels.
func (p *Proxy) connectionLog() log.Interface {
	c := p.clients.count()
	return p.options.Logger.WithFields(log.Fields{
		"requests": c.inFlight, "at_rest": c.idle, "late": c.lateRequests,
		"oldest_ms": c.oldestAge.Milliseconds(), "youngest_ms": c.youngestAge.Milliseconds(),
	})
}

// canceledByShutdown reports whether the end of a shutdown canceled the request.
func (h *requestHandler) canceledByShutdown() bool {
	return context.Cause(h.request.Context()) == errShuttingDown
}

// clientGone reports whether the client canceled the request by closing its connection.
func (h *requestHandler) clientGone() bool {
	return h.request.Context().Err() != nil && !h.canceledByShutdown()
}

// stopByCommand passes the end of the shutdown's drain phase to the dispatcher.
type stopByCommand struct{ end dispatch.Instant }

func (c stopByCommand) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	return a.dispatcher.StopBy(now, c.end)
}
