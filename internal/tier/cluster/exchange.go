package cluster

import (
	"context"
	"sync"
	"time"

	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/transport"
)

// Methods that carry an envelope: methodExchange is answered with an envelope, methodTell is one-way.
const (
	methodExchange transport.Method = "cluster.exchange"
	methodTell     transport.Method = "cluster.tell"
)

const (
	// sendTimeout bounds one exchange, because a peer behind a network partition never answers.
	sendTimeout = 800 * time.Millisecond
	// maxSends bounds the envelopes in flight, and maxSendsPerAddress those to one address, so that peers that don't
	// answer cannot block sends to those that do. Envelopes beyond the bounds are dropped, as the network might do.
	maxSends           = 128
	maxSendsPerAddress = 8
)

// sender sends envelopes to their addresses, each in its own goroutine.
type sender struct {
	cluster           *Cluster
	mutex             sync.Mutex
	inFlightByAddress map[string]int // guarded by mutex
	inFlight          int            // guarded by mutex
	dropped           int            // guarded by mutex
}

func newSender(c *Cluster) *sender { return &sender{cluster: c, inFlightByAddress: map[string]int{}} }

// send sends an envelope without waiting for it, or drops it if too many are in flight.
func (s *sender) send(out core.Outgoing) {
	if !s.acquire(out.Address) {
		return
	}
	go func() {
		defer s.release(out.Address)
		s.transmit(out)
	}()
}

func (s *sender) acquire(address string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.inFlight >= maxSends || s.inFlightByAddress[address] >= maxSendsPerAddress {
		s.dropped++
		return false
	}
	s.inFlight++
	s.inFlightByAddress[address]++
	return true
}

func (s *sender) release(address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight--
	s.inFlightByAddress[address]--
	if s.inFlightByAddress[address] == 0 {
		delete(s.inFlightByAddress, address)
	}
}

// transmit sends one envelope and passes its answer to the owner. Failures are only logged: the monitors detect nodes
// that are silent.
func (s *sender) transmit(out core.Outgoing) {
	c := s.cluster
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	wire := core.EnvelopeToWire(out.Envelope)
	if !out.Envelope.ExpectsAnswer() {
		if err := transport.Send(ctx, c.client, out.Address, methodTell, core.EnvelopeCodec, wire); err != nil {
			c.log.WithError(err).Debug("cluster: one-way envelope not sent")
		}
		return
	}
	answer, err := transport.Call(ctx, c.client, out.Address, methodExchange, core.EnvelopeCodec, core.EnvelopeCodec, wire)
	if err != nil {
		c.log.WithError(err).Debug("cluster: exchange failed")
		return
	}
	envelope, err := core.EnvelopeFromWire(answer)
	if err != nil {
		c.log.WithError(err).Warnf("cluster: malformed answer from %s", out.Address)
		return
	}
	c.submit(func(o *owner, now time.Time) { o.core.Receive(now, envelope, out.Address) })
}

// registerHandlers registers the methods that other nodes call.
func (c *Cluster) registerHandlers(mux *transport.Mux) {
	transport.Handle(mux, methodExchange, core.EnvelopeCodec, core.EnvelopeCodec, c.handleExchange)
	transport.HandleOneWay(mux, methodTell, core.EnvelopeCodec, c.handleTell)
	transport.Handle(mux, methodConfirm, confirmRequestCodec, confirmAnswerCodec, c.handleConfirm)
	transport.Handle(mux, methodFetch, fetchRequestCodec, fetchAnswerCodec, c.handleFetch)
}

func (c *Cluster) handleExchange(ctx context.Context, w core.WireEnvelope) (core.WireEnvelope, error) {
	envelope, err := core.EnvelopeFromWire(w)
	if err != nil {
		return core.WireEnvelope{}, err
	}
	answers := make(chan core.Envelope, 1)
	c.submit(func(o *owner, now time.Time) { answers <- o.receiveAndAnswer(now, envelope, "") })
	select {
	case answer := <-answers:
		return core.EnvelopeToWire(answer), nil
	case <-ctx.Done():
		return core.WireEnvelope{}, ctx.Err()
	case <-c.done:
		return core.WireEnvelope{}, errClosed
	}
}

func (c *Cluster) handleTell(_ context.Context, w core.WireEnvelope) {
	envelope, err := core.EnvelopeFromWire(w)
	if err != nil {
		c.log.WithError(err).Warn("cluster: malformed one-way envelope")
		return
	}
	c.submit(func(o *owner, now time.Time) { o.core.Receive(now, envelope, "") })
}
