package storeclient

import (
	"context"
	"sync"
	"time"

	"emberquay/coordination/budget"
	"emberquay/internal/tier/storewire"
)

const (
	// settlePause gathers the settlements of turns that end together into one message.
	settlePause = 20 * time.Millisecond
	// settleLimit is for how long a settlement is repeated. Stores learn of it from each other later on.
	settleLimit = 10 * time.Second
	// settleCall bounds one message.
	settleCall = time.Second
	// mostSettleRetry bounds the pause between two tries.
	mostSettleRetry = time.Second
	// settleBatch bounds the settlements of a message, about 20 KB.
	settleBatch = 512
	// mostUnsettled bounds those that wait for one store. One more is left out, and counts at its most there: safe.
	mostUnsettled = 8192
	// closeLimit is how long Close waits for what is under way.
	closeLimit = 300 * time.Millisecond
)

// Settle tells the stores what a turn has used: every token that its client was sent, or that it may have been sent. 0
// withdraws the reservation. It returns at once; the stores know within some 10 ms, or once they can be reached.
func (c *Client) Settle(program, turn string, used int64) {
	c.settle.add(storewire.Settlement{Program: program, TurnKey: int64(budget.TurnKeyOf(turn)), UsedTokens: used})
}

// settler repeats settlements until all stores know them.
type settler struct {
	client *Client
	ctx    context.Context
	stop   context.CancelFunc

	mutex sync.Mutex
	boxes map[string]*outbox // by store id; guarded by mutex, as is what they hold
	busy  sync.WaitGroup     // outboxes that are being emptied
	done  bool
}

// outbox holds what one store does not know yet.
type outbox struct {
	store   string
	waiting []unsettled
	sending bool
}

type unsettled struct {
	settlement storewire.Settlement
	until      time.Time
}

func newSettler(c *Client) *settler {
	ctx, stop := context.WithCancel(context.Background())
	return &settler{client: c, ctx: ctx, stop: stop, boxes: map[string]*outbox{}}
}

func (s *settler) add(settlement storewire.Settlement) {
	item := unsettled{settlement: settlement, until: time.Now().Add(settleLimit)}
	view := s.client.current.Load()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.done {
		return
	}
	for _, m := range view.view.Members {
		box := s.boxes[m.ID]
		if box == nil {
			box = &outbox{store: m.ID}
			s.boxes[m.ID] = box
		}
		if len(box.waiting) < mostUnsettled {
			box.waiting = append(box.waiting, item)
		}
		if !box.sending {
			box.sending = true
			s.busy.Add(1)
			go s.empty(box)
		}
	}
}

// empty sends what an outbox holds until it holds nothing more.
func (s *settler) empty(box *outbox) {
	defer s.busy.Done()
	wait := settlePause
	retry := retryPause
	for {
		if !pause(s.ctx, wait) {
			return
		}
		batch, ok := s.batch(box)
		if !ok {
			return
		}
		if s.send(box.store, batch) {
			s.sent(box, len(batch))
			wait, retry = 0, retryPause
			continue
		}
		wait = retry
		retry = min(2*retry, mostSettleRetry)
	}
}

// batch gives the oldest that are still to be sent. Without any, the outbox is left alone and, if the store is gone,
// forgotten.
func (s *settler) batch(box *outbox) ([]storewire.Settlement, bool) {
	view := s.client.current.Load()
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(box.waiting) > 0 && now.After(box.waiting[0].until) {
		box.waiting = box.waiting[1:]
	}
	gone := view.view.IndexOf(box.store) < 0
	if len(box.waiting) == 0 || gone {
		box.sending = false
		box.waiting = nil
		if gone {
			delete(s.boxes, box.store)
		}
		return nil, false
	}
	batch := make([]storewire.Settlement, 0, min(len(box.waiting), settleBatch))
	for _, u := range box.waiting[:cap(batch)] {
		batch = append(batch, u.settlement)
	}
	return batch, true
}

func (s *settler) send(store string, batch []storewire.Settlement) bool {
	view := s.client.current.Load()
	at := view.view.IndexOf(store)
	if at < 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, settleCall)
	defer cancel()
	address := view.view.Members[at].Address
	a, err := s.client.caller.Settle(ctx, address, storewire.SettleRequest{Header: view.header(at), Settlements: batch})
	return err == nil && s.client.heed(a.Reply)
}

// sent takes out what the store knows now; others may have been added behind.
func (s *settler) sent(box *outbox, count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	box.waiting = box.waiting[min(count, len(box.waiting)):]
	if len(box.waiting) == 0 {
		box.waiting = nil
	}
}

func (s *settler) close() {
	s.mutex.Lock()
	s.done = true
	s.mutex.Unlock()
	emptied := make(chan struct{})
	go func() {
		s.busy.Wait()
		close(emptied)
	}()
	timer := time.NewTimer(closeLimit)
	defer timer.Stop()
	select {
	case <-emptied:
	case <-timer.C:
	}
	s.stop()
}
