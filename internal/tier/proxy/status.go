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
	switch stop := p.stop.Load(); {
	case stop == nil:
		return Serving
	case time.Now().Before(stop.noticeOver):
		return ShutdownDelayed
	}
	return Draining
}

// ErrStopped: the data plane has ended.
var ErrStopped = eris.New("proxy: stopped")

// Status looks at the data plane. Errors: the context's, or ErrStopped.
func (p *Proxy) Status(ctx context.Context) (Status, error) {
	status := Status{
		Ready:    p.takesClients(),
		InFlight: p.clients.requestsInHand(),
		Arrived:  p.admission.issued.Load(),
		Phase:    p.phase(),
	}
	if snapshot := p.snapshot.Load(); snapshot != nil {
		status.Configuration = snapshot.Version
	}
	look, err := p.admission.look(ctx)
	status.Admission, status.Dispatch = look.counts, look.stats
	for _, refused := range look.counts.Refused {
		status.Refused += refused
	}
	return status, err
}

// look is what the owner of the dispatcher tells of it.
type look struct {
	counts AdmissionCounters
	stats  dispatch.Stats
}

// look asks the owner of the dispatcher.
func (a *admission) look(ctx context.Context) (look, error) {
	answer := make(chan look, 1)
	select {
	case a.commands <- lookedAt{answer: answer}:
	case <-ctx.Done():
		return look{}, eris.Wrap(ctx.Err(), "proxy")
	case <-a.done:
		return look{}, ErrStopped
	}
	select {
	case seen := <-answer:
		return seen, nil
	case <-ctx.Done():
		return look{}, eris.Wrap(ctx.Err(), "proxy")
	case <-a.done:
		return look{}, ErrStopped
	}
}

type lookedAt struct{ answer chan<- look }

func (c lookedAt) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	c.answer <- look{counts: a.counts, stats: a.dispatcher.Stats(now)}
	return dispatch.Effects{}
}
