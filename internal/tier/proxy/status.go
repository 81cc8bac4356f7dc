package proxy

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/admission/dispatch"
)

// Status is what a data plane has to do with its clients.
type Status struct {
	Configuration uint64 // version that new requests see; 0: none
	Ready         bool   // the platform may send clients
	InFlight      int    // requests read and not answered
	Arrived       uint64 // requests that came to admission since the start
	Refused       uint64 // of them, those that admission answered
	Phase         Phase
	Admission     AdmissionCounters
	Dispatch      dispatch.Stats
}

// AdmissionCounters are what admission has done since the start.
type AdmissionCounters struct {
	Attempts uint64 // calls to receivers
	Refused  [dispatch.Reasons]uint64
}

// Phase is how far a data plane is with its stop.
type Phase int

// The phases.
const (
	Serving         Phase = iota
	ShutdownDelayed       // told to stop, and still accepting
	Draining              // no new connections; serving what has been read
)

// phase says how far the stop is.
func (p *Proxy) phase() Phase {
	switch schedule := p.schedule.Load(); {
	case schedule == nil:
		return Serving
	case time.Now().Before(schedule.delayEnd):
		return ShutdownDelayed
	}
	return Draining
}

// ErrStopped: the data plane has ended.
var ErrStopped = eris.New("proxy: stopped")

// Status looks at the data plane. Errors: the context's, or ErrStopped.
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

// admissionState is what the owner of the dispatcher tells of it.
type admissionState struct {
	counts AdmissionCounters
	stats  dispatch.Stats
}

// state asks the owner of the dispatcher.
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
