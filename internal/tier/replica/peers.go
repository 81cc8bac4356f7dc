package replica

import (
	"context"
	"time"

	"github.com/apex/log"

	"emberquay/internal/tier/transport"
)

const (
	// peerQueueCapacity is the number of messages queued per peer; further ones are dropped, which the protocol tolerates.
	peerQueueCapacity = 64
	// maxPeerQueues limits the peers with a queue: members, joining nodes and forwarders.
	maxPeerQueues = 64
	// sendTimeout limits the sending of one message; an older message is of no use.
	sendTimeout = time.Second
)

// peerSender sends messages in the background, in order for each peer. Only the owner goroutine may use it.
type peerSender struct {
	client *transport.Client
	log    log.Interface
	queues map[string]chan wireEnvelope // by address
	ctx    context.Context
	cancel context.CancelFunc
}

func newPeerSender(client *transport.Client, logger log.Interface) *peerSender {
	ctx, cancel := context.WithCancel(context.Background())
	return &peerSender{client: client, log: logger, queues: map[string]chan wireEnvelope{}, ctx: ctx, cancel: cancel}
}

func (p *peerSender) send(address string, w wireEnvelope) {
	queue := p.queues[address]
	if queue == nil {
		p.evictOne()
		queue = make(chan wireEnvelope, peerQueueCapacity)
		p.queues[address] = queue
		go p.sendQueued(address, queue)
	}
	select {
	case queue <- w:
	default:
	}
}

// evictOne drops the queue of an arbitrary peer to make room for another; the next message to that peer starts it again.
func (p *peerSender) evictOne() {
	if len(p.queues) < maxPeerQueues {
		return
	}
	for address, queue := range p.queues {
		close(queue)
		delete(p.queues, address)
		return
	}
}

func (p *peerSender) sendQueued(address string, queue <-chan wireEnvelope) {
	for {
		select {
		case w, open := <-queue:
			if !open {
				return
			}
			p.sendOne(address, w)
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *peerSender) sendOne(address string, w wireEnvelope) {
	ctx, cancel := context.WithTimeout(p.ctx, sendTimeout)
	defer cancel()
	if err := transport.Send(ctx, p.client, address, messageMethod, envelopeCodec, w); err != nil {
		p.log.WithError(err).WithField("peer", address).Debug("replica: sending a message failed")
	}
}

func (p *peerSender) close() { p.cancel() }
