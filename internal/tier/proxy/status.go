package proxy

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/admission/dispatch"
)

// Status is a snapshot of a proxy's state and counters.
type Status struct {
	Configuration uint64 // version used for new requests; 0: none
	Ready         bool   // the readiness check succeeds
	InFlight      int    // requests read and not completely answered
	Arrived       uint64 // requests submitted to admission since the start
	Refused       uint64 // of these, requests refused by admission
	Phase         Phase
	Admission     AdmissionCounters
	Dispatch      dispatch.Stats
}

// AdmissionCounters count what admission has done since the start.
type AdmissionCounters struct {
	Attempts uint64 // sends to receivers
	Refused  [dispatch.ReasonCount]uint64
}

// Phase is the phase of a proxy's shutdown.
type Phase int

// The phases in their order.
const (
	Serving         Phase = iota
	ShutdownDelayed       // readiness fails; connections are still accepted
	Draining              // no new connections; requests already read are completed
)

// phase returns the current phase of the shutdown.
func (p *Proxy) phase() Phase {
	switch schedule := p.schedule.Load(); {
	case schedule == nil:
		return Serving
	case time.Now().Before(schedule.delayEnd):
		return ShutdownDelayed
	}
	return Draining
}

// ErrStopped is returned once the proxy has stopped.
var ErrStopped = eris.New("proxy: stopped")

// Status returns the current status. Its error is that of the context, or ErrStopped.
func (p *Proxy) Status(ctx context.Context) (Status, error) {
	status := Status{
		Ready:    p.isReady(),
		InFlight: p.clients.inFlightRequests(),
		Arrived:  p.admission.requestCount.Load(),
		Phase:    p.phase(),
	}
	if snapshot := p.snapshot.Load(); snapshot != nil {
		status.Configuration = snapshot.Version
	}
	look, err := p.admission.state(ctx)
	status.Admission, status.Dispatch = look.counts, look.stats
	for _, refused := range look.counts.Refused {
		status.Refused += refused
	}
	return status, err
}

// admissionState holds the counters of admission and of the dispatcher.
type admissionState struct {
	counts AdmissionCounters
	stats  dispatch.Stats
}

// state requests the counters from the goroutine that owns the dispatcher.
func (a *admission) state(ctx context.Context) (admissionState, error) {
	reply := make(chan admissionState, 1)
	select {
	case a.commands <- stateCommand{reply: reply}:
	case <-ctx.Done():
		return admissionState{}, eris.Wrap(ctx.Err(), "proxy")
	case <-a.done:
		return admissionState{}, ErrStopped
	}
	select {
	case state := <-reply:
		return state, nil
	case <-ctx.Done():
		return admissionState{}, eris.Wrap(ctx.Err(), "proxy")
	case <-a.done:
		return admissionState{}, ErrStopped
	}
}

type stateCommand struct{ reply chan<- admissionState }

func (c stateCommand) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	c.reply <- admissionState{counts: a.counts, stats: a.dispatcher.Stats(now)}
	return dispatch.Effects{}
}
