package cluster

import (
	"context"
	"sync"
	"time"

	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/transport"
)

// The methods of the cluster. An exchange is answered with an envelope; what is told is not answered.
const (
	methodExchange transport.Method = "cluster.exchange"
	methodTell     transport.Method = "cluster.tell"
)

const (
	// sendTime bounds one exchange: a peer behind a cut says nothing.
	sendTime = 800 * time.Millisecond
	// sendsAtOnce bounds the envelopes under way, and sendsToOne those to one address: peers that don't answer
	// must not take the place of those that do. What is over them is dropped, as the network might do.
	sendsAtOnce = 128
	sendsToOne  = 8
)

// senders carry envelopes to their addresses, each in a goroutine of its own.
type senders struct {
	cluster *Cluster
	mutex   sync.Mutex
	byTo    map[string]int // envelopes under way by address; guarded by mutex
	total   int            // guarded by mutex
	dropped int            // guarded by mutex
}

func newSenders(c *Cluster) *senders { return &senders{cluster: c, byTo: map[string]int{}} }

// send sends an envelope, unless too many are under way. It doesn't wait.
func (s *senders) send(out core.Outgoing) {
	if !s.begin(out.Address) {
		return
	}
	go func() {
		defer s.end(out.Address)
		s.carry(out)
	}()
}

func (s *senders) begin(address string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.total >= sendsAtOnce || s.byTo[address] >= sendsToOne {
		s.dropped++
		return false
	}
	s.total++
	s.byTo[address]++
	return true
}

func (s *senders) end(address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.total--
	s.byTo[address]--
	if s.byTo[address] == 0 {
		delete(s.byTo, address)
	}
}

// carry sends one envelope and hands its answer to the owner. A failure is no news: silence is judged by the
// monitors.
func (s *senders) carry(out core.Outgoing) {
	c := s.cluster
	ctx, cancel := context.WithTimeout(context.Background(), sendTime)
	defer cancel()
	wire := core.EnvelopeToWire(out.Envelope)
	if !out.Envelope.ExpectsAnswer() {
		if err := transport.Send(ctx, c.client, out.Address, methodTell, core.EnvelopeCodec, wire); err != nil {
			c.log.WithError(err).Debug("cluster: not told")
		}
		return
	}
	answer, err := transport.Call(ctx, c.client, out.Address, methodExchange, core.EnvelopeCodec, core.EnvelopeCodec, wire)
	if err != nil {
		c.log.WithError(err).Debug("cluster: no answer")
		return
	}
	envelope, err := core.EnvelopeFromWire(answer)
	if err != nil {
		c.log.WithError(err).Warnf("cluster: answer of %s", out.Address)
		return
	}
	c.do(func(o *owner, now time.Time) { o.core.Receive(now, envelope, out.Address) })
}

// handle registers what other nodes call.
func (c *Cluster) handle(mux *transport.Mux) {
	transport.Handle(mux, methodExchange, core.EnvelopeCodec, core.EnvelopeCodec, c.exchanged)
	transport.Receive(mux, methodTell, core.EnvelopeCodec, c.told)
	transport.Handle(mux, methodConfirm, confirmRequests, confirmAnswers, c.confirmed)
	transport.Handle(mux, methodFetch, fetchRequests, fetchAnswers, c.fetched)
}

func (c *Cluster) exchanged(ctx context.Context, w core.WireEnvelope) (core.WireEnvelope, error) {
	envelope, err := core.EnvelopeFromWire(w)
	if err != nil {
		return core.WireEnvelope{}, err
	}
	answers := make(chan core.Envelope, 1)
	c.do(func(o *owner, now time.Time) { answers <- o.receive(now, envelope, "") })
	select {
	case answer := <-answers:
		return core.EnvelopeToWire(answer), nil
	case <-ctx.Done():
		return core.WireEnvelope{}, ctx.Err()
	case <-c.done:
		return core.WireEnvelope{}, errClosed
	}
}

func (c *Cluster) told(_ context.Context, w core.WireEnvelope) {
	envelope, err := core.EnvelopeFromWire(w)
	if err != nil {
		c.log.WithError(err).Warn("cluster: envelope")
		return
	}
	c.do(func(o *owner, now time.Time) { o.core.Receive(now, envelope, "") })
}
