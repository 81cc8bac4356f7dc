package dataplane

import (
	"context"
	"math/rand/v2"
	"time"

	"emberquay/admission/dispatch"
	"emberquay/internal/cluster"
	"emberquay/internal/cluster/records"
	"emberquay/internal/transport"
)

const (
	failingMethod transport.Method = "proxy.failing"
	// failingTimeout bounds the sending of a suspicion: one that comes later finds that its receiver has proven itself.
	failingTimeout = 500 * time.Millisecond
	// failingSends bounds the sends under way; those beyond are dropped, as each proxy finds out by itself at last.
	failingSends = 2 * zoneReports
)

var failingCodec = transport.MustCodec[records.FailingRecord](records.FailingSchema)

// failingSpreader tells the other proxies of receivers whose calls fail here.
type failingSpreader struct {
	client  *transport.Client
	cluster *cluster.Cluster
	slots   chan struct{}
	closed  context.Context
}

func newFailingSpreader(client *transport.Client, c *cluster.Cluster, closed context.Context) *failingSpreader {
	return &failingSpreader{client: client, cluster: c, slots: make(chan struct{}, failingSends), closed: closed}
}

// spread sends a suspicion to those that a report would go to. It does not wait for them.
func (s *failingSpreader) spread(id dispatch.InstanceID) {
	record := records.FailingRecord{Instance: string(id)}
	for _, address := range reportAddresses(s.cluster.Nodes(), s.cluster.Self(), rand.Uint64()) {
		s.send(address, record)
	}
}

func (s *failingSpreader) send(address string, record records.FailingRecord) {
	select {
	case s.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.slots }()
		ctx, cancel := context.WithTimeout(s.closed, failingTimeout)
		defer cancel()
		_ = transport.Send(ctx, s.client, address, failingMethod, failingCodec, record)
	}()
}

// takeFailing hands another proxy's suspicion to the dispatcher.
func (p *Plane) takeFailing(record records.FailingRecord) {
	if record.Check() == nil {
		p.proxy.Suspect(dispatch.InstanceID(record.Instance))
	}
}
