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
	// lastAnswersTime is what remains of a stop's time for answers to what has not ended by itself.
	lastAnswersTime = 200 * time.Millisecond
	// lastAnswersShare and noticeShare are the most of a stop's time that the last answers and the notice take where the
	// grace is short.
	lastAnswersShare = 1.0 / 24
	noticeShare      = 0.6
	// leavingRetry is told to clients whose request this process has no time for: others take them at once.
	leavingRetry = 20 * time.Millisecond
)

// errStopping is the cause with which requests are given up at the end of a stop.
var errStopping = errors.New("the proxy stops")

// Shutdown stops the data plane: it is not ready at once, goes on accepting until the platform has noticed, and serves
// what has been read. It returns when nothing is left in hand, or when ctx ends; Run returns then. The process was told to
// stop at the instant signalled.
func (p *Proxy) Shutdown(ctx context.Context, signalled time.Time) {
	p.draining.Store(true)
	p.stop.Store(p.timetable(ctx, signalled))
	p.awaitNotice(ctx)
	p.front.stopAccepting()
	p.clients.retire()
	p.clientsLog().Info("the notice is over")
	p.drain(ctx)
	p.finish()
}

// stopTimes are the instants of a stop.
type stopTimes struct {
	noticeOver time.Time
	end        time.Time // when what is in hand has to have ended; the zero time: never
}

// timetable fixes the instants of a stop, and tells the dispatcher of its end.
func (p *Proxy) timetable(ctx context.Context, signalled time.Time) *stopTimes {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return &stopTimes{noticeOver: signalled.Add(p.options.ShutdownDelay)}
	}
	whole := max(0, deadline.Sub(signalled))
	end := deadline.Add(-min(lastAnswersTime, share(whole, lastAnswersShare)))
	p.admission.tell(stopBegun{end: p.admission.instant(end)})
	return &stopTimes{noticeOver: signalled.Add(min(p.options.ShutdownDelay, share(end.Sub(signalled), noticeShare))), end: end}
}

func share(whole time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(whole))
}

// awaitNotice waits until the platform has noticed that no clients should come.
func (p *Proxy) awaitNotice(ctx context.Context) {
	notice := time.NewTimer(time.Until(p.stop.Load().noticeOver))
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-p.options.notice:
	case <-ctx.Done():
	}
	p.endNotice()
}

// endNotice has the notice over by now.
func (p *Proxy) endNotice() {
	stop := *p.stop.Load()
	if now := time.Now(); now.Before(stop.noticeOver) {
		stop.noticeOver = now
		p.stop.Store(&stop)
	}
}

// hasTimeFor says whether a request with that deadline is sure to have ended before the process does. It looks at the
// clock: on a machine without processor time the end of the notice may be late to be acted on.
func (p *Proxy) hasTimeFor(deadline time.Time) bool {
	stop := p.stop.Load()
	return stop == nil || stop.end.IsZero() || time.Now().Before(stop.noticeOver) || !deadline.After(stop.end)
}

// drain serves what is in hand until the end, and then gives it up.
func (p *Proxy) drain(ctx context.Context) {
	serving, cancel := ctx, context.CancelFunc(func() {})
	if end := p.stop.Load().end; !end.IsZero() {
		serving, cancel = context.WithDeadline(ctx, end)
	}
	defer cancel()
	if p.clients.drained(serving) {
		p.clientsLog().Info("stopped with nothing in hand")
		return
	}
	p.clientsLog().Warn("stopped with requests in hand")
	p.front.giveUp(errStopping)
	answers, done := context.WithTimeout(context.WithoutCancel(ctx), lastAnswersTime)
	defer done()
	p.clients.drained(answers)
	p.clients.stop()
}

// clientsLog has what is open to clients: what a stop waits for, and what it gives up.
func (p *Proxy) clientsLog() log.Interface {
	c := p.clients.count()
	return p.options.Logger.WithFields(log.Fields{
		"requests": c.inHand, "at_rest": c.atRest, "late": c.late,
		"oldest_ms": c.oldest.Milliseconds(), "youngest_ms": c.youngest.Milliseconds(),
	})
}

// givenUp says whether the end of the process has ended the visit.
func (v *visit) givenUp() bool { return context.Cause(v.request.Context()) == errStopping }

// clientGone says whether its client has ended the visit.
func (v *visit) clientGone() bool { return v.request.Context().Err() != nil && !v.givenUp() }

// stopBegun tells the dispatcher when the process ends.
type stopBegun struct{ end dispatch.Instant }

func (c stopBegun) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	return a.dispatcher.EndBy(now, c.end)
}
