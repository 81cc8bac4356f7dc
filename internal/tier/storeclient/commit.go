package storeclient

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/coordination/placement"
	"emberquay/internal/tier/storewire"
)

// initialHedgeDelay is how long stores may take before the next one in order is called as well; it doubles each time.
const initialHedgeDelay = 150 * time.Millisecond

// ErrUnknownRoot is returned for a turn with a Previous but no Root if the preceding turn is not in the cache.
var ErrUnknownRoot = eris.New("storeclient: unknown root of the conversation")

// Commit stores a turn that has ended. It returns nil once Tolerance+1 stores have the turn on disk, so that it
// survives the loss of Tolerance stores; it retries until the context ends. Committing the same turn again is allowed.
// After an error the turn may or may not be stored. Input and Output stay in the cache and must not be modified.
func (c *Client) Commit(ctx context.Context, t Turn) error {
	record, err := c.newRecord(t)
	if err != nil {
		return err
	}
	confirmed := map[string]bool{}
	for {
		snapshot := c.current.Load()
		if snapshot.usable() && c.commitInView(ctx, snapshot, record, confirmed) {
			c.cache.put(record)
			return nil
		}
		if !snapshot.waitForNewer(ctx) {
			return eris.Wrapf(ctx.Err(), "turn %s: %d stores confirmed the commit, %d needed", t.ID, len(confirmed), snapshot.view.Copies())
		}
	}
}

// newRecord builds the record of a turn. A conversation keeps the home zone of its first turn, so that all its turns
// are placed at the same stores.
func (c *Client) newRecord(t Turn) (storewire.Turn, error) {
	home := c.zone
	root := t.Root
	if t.Previous == "" {
		root = t.ID
	} else if r, h, ok := c.cache.rootAndHomeZone(t.Previous); ok {
		root, home = r, h
	}
	if root == "" {
		return storewire.Turn{}, eris.Wrapf(ErrUnknownRoot, "turn %s", t.ID)
	}
	return storewire.Turn{
		ID:              t.ID,
		Root:            root,
		HomeZone:        home,
		Previous:        t.Previous,
		Program:         t.Program,
		Tokens:          t.Tokens,
		RetentionMillis: t.Retention.Milliseconds(),
		Input:           t.Input,
		Output:          t.Output,
	}, nil
}

// commitAttempt is a commit within one view.
type commitAttempt struct {
	client    *Client
	snapshot  *snapshot
	record    storewire.Turn
	confirmed map[string]bool // ids of stores that have the record on disk
	queue     []int           // indexes in the view of the stores to call next
	inFlight  int             // number of calls in progress
	answers   chan commitAnswer
	retries   chan int // members that failed, retryDelay later
}

type commitAnswer struct {
	member int
	answer storewire.Acknowledgement
	err    error
}

// commitInView tries to commit within one view. It returns false if the view changed or the context ended.
func (c *Client) commitInView(ctx context.Context, snapshot *snapshot, record storewire.Turn, confirmed map[string]bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	order := snapshot.placement.AppendOrder(placement.KeyOf(record.Root), record.HomeZone, nil)
	attempt := &commitAttempt{
		client:    c,
		snapshot:  snapshot,
		record:    record,
		confirmed: confirmed,
		answers:   make(chan commitAnswer, len(order)),
		retries:   make(chan int, len(order)),
	}
	for _, member := range order {
		if !confirmed[snapshot.view.Members[member].ID] {
			attempt.queue = append(attempt.queue, member)
		}
	}
	// Suspected stores come last.
	slices.SortStableFunc(attempt.queue, func(a, b int) int { return attempt.suspectRank(a) - attempt.suspectRank(b) })
	return attempt.run(ctx)
}

func (c *commitAttempt) suspectRank(member int) int {
	if c.client.isSuspect(c.snapshot.view.Members[member].Address) {
		return 1
	}
	return 0
}

// missingCopies returns how many more active stores have to confirm.
func (c *commitAttempt) missingCopies() int {
	missing := c.snapshot.view.Copies()
	for _, m := range c.snapshot.view.Members {
		if c.confirmed[m.ID] && !m.Retiring {
			missing--
		}
	}
	return missing
}

func (c *commitAttempt) run(ctx context.Context) bool {
	hedge := initialHedgeDelay
	timer := time.NewTimer(hedge)
	defer timer.Stop()
	c.askNext(ctx, c.missingCopies())
	for c.missingCopies() > 0 {
		select {
		case a := <-c.answers:
			c.handleAnswer(ctx, a)
			c.askNext(ctx, c.missingCopies()-c.inFlight)
		case member := <-c.retries:
			c.queue = append(c.queue, member)
			c.askNext(ctx, c.missingCopies()-c.inFlight)
		case <-timer.C:
			hedge *= 2
			timer.Reset(hedge)
			c.askNext(ctx, 1)
		case <-c.snapshot.changed:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// askNext calls the next count stores of the queue.
func (c *commitAttempt) askNext(ctx context.Context, count int) {
	for ; count > 0 && len(c.queue) > 0; count-- {
		member := c.queue[0]
		c.queue = c.queue[1:]
		c.inFlight++
		go c.call(ctx, member)
	}
}

func (c *commitAttempt) call(ctx context.Context, member int) {
	address := c.snapshot.view.Members[member].Address
	request := storewire.CommitRequest{Header: c.snapshot.header(member), Turn: c.record}
	a, err := c.client.caller.Commit(ctx, address, request)
	select {
	case c.answers <- commitAnswer{member: member, answer: a, err: err}:
	case <-ctx.Done():
	}
}

// handleAnswer counts a confirmation. A store that failed is queued behind all others after retryDelay: two stores that
// refuse immediately must not be called in a busy loop.
func (c *commitAttempt) handleAnswer(ctx context.Context, a commitAnswer) {
	store := c.snapshot.view.Members[a.member]
	c.client.recordAnswered(store.Address, a.err == nil)
	c.inFlight--
	if a.err == nil && c.client.acceptReply(a.answer.Reply) {
		c.confirmed[store.ID] = true
		return
	}
	time.AfterFunc(retryDelay, func() {
		select {
		case c.retries <- a.member:
		case <-ctx.Done():
		}
	})
}
