package proxy

import (
	"context"

	"github.com/rotisserie/eris"

	"emberquay/admission/dispatch"
)

// Status is what a data plane has to do with its clients.
type Status struct {
	Configuration uint64 // version that new requests see; 0: none
	Ready         bool   // the platform may send clients
	InHand        int    // requests read and not answered
	Arrived       uint64 // requests that came to admission since the start
	Refused       uint64 // of them, those that admission answered
}

// ErrStopped: the data plane has ended.
var ErrStopped = eris.New("proxy: stopped")

// Status looks at the data plane. Errors: the context's, or ErrStopped.
func (p *Proxy) Status(ctx context.Context) (Status, error) {
	status := Status{
		Ready:   p.takesClients(),
		InHand:  p.clients.requestsInHand(),
		Arrived: p.admission.issued.Load(),
	}
	if snapshot := p.snapshot.Load(); snapshot != nil {
		status.Configuration = snapshot.Version
	}
	var err error
	status.Refused, err = p.admission.countRefused(ctx)
	return status, err
}

// countRefused asks the owner of the dispatcher.
func (a *admission) countRefused(ctx context.Context) (uint64, error) {
	answer := make(chan uint64, 1)
	select {
	case a.commands <- refusedAsked{answer: answer}:
	case <-ctx.Done():
		return 0, eris.Wrap(ctx.Err(), "proxy")
	case <-a.done:
		return 0, ErrStopped
	}
	select {
	case count := <-answer:
		return count, nil
	case <-ctx.Done():
		return 0, eris.Wrap(ctx.Err(), "proxy")
	case <-a.done:
		return 0, ErrStopped
	}
}

type refusedAsked struct{ answer chan<- uint64 }

func (c refusedAsked) apply(a *admission, _ dispatch.Instant) dispatch.Effects {
	c.answer <- a.refused
	return dispatch.Effects{}
}
