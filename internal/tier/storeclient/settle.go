package storeclient

import (
	"context"
	"sync"
	"time"

	"emberquay/coordination/budget"
	"emberquay/internal/tier/storewire"
)

const (
	// settleBatchDelay is how long settlements are collected into one message.
	settleBatchDelay = 20 * time.Millisecond
	// settleRetryPeriod is how long a settlement is retried. After that, stores receive it from each other by repair.
	settleRetryPeriod = 10 * time.Second
	// settleCallTimeout bounds one call.
	settleCallTimeout = time.Second
	// maxSettleRetryDelay bounds the delay between two tries.
	maxSettleRetryDelay = time.Second
	// maxSettleBatch bounds the settlements of a message to about 20 KB.
	maxSettleBatch = 512
	// maxPendingPerStore bounds the settlements pending for one store. Further ones are dropped; the store then counts the
	// full reservation as used, which is safe.
	maxPendingPerStore = 8192
	// closeTimeout is how long Close waits for pending settlements.
	closeTimeout = 300 * time.Millisecond
)

// Settle reports the tokens that a turn has used: all that were sent, or may have been sent, to its client. 0 withdraws
// the reservation. It returns at once; the stores receive it within some 10 ms, or once they can be reached.
func (c *Client) Settle(program, turn string, usedTokens int64) {
	c.settler.enqueue(storewire.Settlement{Program: program, TurnKey: int64(budget.TurnKeyOf(turn)), UsedTokens: usedTokens})
}

// settler sends settlements to all stores and retries each until it is acknowledged or settleRetryPeriod has passed.
type settler struct {
	client *Client
	ctx    context.Context
	cancel context.CancelFunc

	mutex    sync.Mutex
	outboxes map[string]*outbox // by store id; the map and the outboxes are guarded by mutex
	senders  sync.WaitGroup     // running drain goroutines
	closed   bool
}

// outbox holds the settlements that one store has not acknowledged.
type outbox struct {
	storeID string
	pending []pendingSettlement
	sending bool
}

type pendingSettlement struct {
	settlement storewire.Settlement
	deadline   time.Time
}

func newSettler(c *Client) *settler {
	ctx, cancel := context.WithCancel(context.Background())
	return &settler{client: c, ctx: ctx, cancel: cancel, outboxes: map[string]*outbox{}}
}

func (s *settler) enqueue(settlement storewire.Settlement) {
	item := pendingSettlement{settlement: settlement, deadline: time.Now().Add(settleRetryPeriod)}
	snapshot := s.client.current.Load()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return
	}
	for _, m := range snapshot.view.Members {
		box := s.outboxes[m.ID]
		if box == nil {
			box = &outbox{storeID: m.ID}
			s.outboxes[m.ID] = box
		}
		if len(box.pending) < maxPendingPerStore {
			box.pending = append(box.pending, item)
		}
		if !box.sending {
			box.sending = true
			s.senders.Add(1)
			go s.drain(box)
		}
	}
}

// drain sends the settlements of an outbox until it is empty.
func (s *settler) drain(box *outbox) {
	defer s.senders.Done()
	wait := settleBatchDelay
	retry := retryDelay
	for {
		if !sleep(s.ctx, wait) {
			return
		}
		batch, ok := s.nextBatch(box)
		if !ok {
			return
		}
		if s.send(box.storeID, batch) {
			s.removeSent(box, len(batch))
			wait, retry = 0, retryDelay
			continue
		}
		wait = retry
		retry = min(2*retry, maxSettleRetryDelay)
	}
}

// nextBatch returns the oldest pending settlements. If there are none, or the store has left the view, it marks the
// outbox as idle; the outbox of a store that left the view is deleted.
func (s *settler) nextBatch(box *outbox) ([]storewire.Settlement, bool) {
	snapshot := s.client.current.Load()
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(box.pending) > 0 && now.After(box.pending[0].deadline) {
		box.pending = box.pending[1:]
	}
	removed := snapshot.view.IndexOf(box.storeID) < 0
	if len(box.pending) == 0 || removed {
		box.sending = false
		box.pending = nil
		if removed {
			delete(s.outboxes, box.storeID)
		}
		return nil, false
	}
	batch := make([]storewire.Settlement, 0, min(len(box.pending), maxSettleBatch))
	for _, item := range box.pending[:cap(batch)] {
		batch = append(batch, item.settlement)
	}
	return batch, true
}

func (s *settler) send(storeID string, batch []storewire.Settlement) bool {
	snapshot := s.client.current.Load()
	member := snapshot.view.IndexOf(storeID)
	if member < 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, settleCallTimeout)
	defer cancel()
	address := snapshot.view.Members[member].Address
	a, err := s.client.caller.Settle(ctx, address, storewire.SettleRequest{Header: snapshot.header(member), Settlements: batch})
	return err == nil && s.client.acceptReply(a.Reply)
}

// removeSent removes the acknowledged settlements from the front; others may have been appended meanwhile.
func (s *settler) removeSent(box *outbox, count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	box.pending = box.pending[min(count, len(box.pending)):]
	if len(box.pending) == 0 {
		box.pending = nil
	}
}

func (s *settler) close() {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	drained := make(chan struct{})
	go func() {
		s.senders.Wait()
		close(drained)
	}()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-drained:
	case <-timer.C:
	}
	s.cancel()
}
