package storeclient

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/coordination/placement"
	"emberquay/internal/tier/storewire"
)

// firstHedge is how long stores may take before the next in order is asked as well; it doubles from one to the next.
const firstHedge = 150 * time.Millisecond

// ErrUnknownRoot: a turn that continues another names no root, and the conversation is not in the cache.
var ErrUnknownRoot = eris.New("storeclient: the conversation's root is not known")

// Commit keeps a turn that has ended. It returns nil once the turn is on the disks of so many stores that losing as many
// as may be lost leaves one; it tries until the context ends. The same turn may be committed again. After an error the
// turn may be kept or not. The turn's Input and Output are kept in the cache and must not be changed.
func (c *Client) Commit(ctx context.Context, t Turn) error {
	record, err := c.recordOf(t)
	if err != nil {
		return err
	}
	confirmed := map[string]bool{}
	for {
		view := c.current.Load()
		if view.usable() && c.commitIn(ctx, view, record, confirmed) {
			c.cache.put(record)
			return nil
		}
		if !view.renewed(ctx) {
			return eris.Wrapf(ctx.Err(), "turn %s is on %d stores of %d", t.ID, len(confirmed), view.view.Copies())
		}
	}
}

// recordOf makes the record. A conversation keeps the home zone of its first turn, so that its turns stay together.
func (c *Client) recordOf(t Turn) (storewire.Turn, error) {
	home := c.zone
	root := t.Root
	if t.Previous == "" {
		root = t.ID
	} else if r, h, ok := c.cache.origin(t.Previous); ok {
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

// committing is a commit under one view.
type committing struct {
	client    *Client
	view      *snapshot
	record    storewire.Turn
	confirmed map[string]bool // ids of stores that have it on their disks
	queue     []int           // places in the view that are to be asked next
	asked     int             // calls under way
	answers   chan commitAnswer
	rested    chan int // members that failed a while ago
}

type commitAnswer struct {
	member int
	answer storewire.Acknowledgement
	err    error
}

// commitIn tries under one view. It gives false if the view has changed or the context has ended.
func (c *Client) commitIn(ctx context.Context, view *snapshot, record storewire.Turn, confirmed map[string]bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	order := view.places.AppendOrder(placement.KeyOf(record.Root), record.HomeZone, nil)
	w := &committing{
		client:    c,
		view:      view,
		record:    record,
		confirmed: confirmed,
		answers:   make(chan commitAnswer, len(order)),
		rested:    make(chan int, len(order)),
	}
	for _, at := range order {
		if !confirmed[view.view.Members[at].ID] {
			w.queue = append(w.queue, at)
		}
	}
	// Those that did not answer lately come last.
	slices.SortStableFunc(w.queue, func(a, b int) int { return w.doubt(a) - w.doubt(b) })
	return w.run(ctx)
}

func (w *committing) doubt(member int) int {
	if w.client.suspect(w.view.view.Members[member].Address) {
		return 1
	}
	return 0
}

// missing is how many stores still have to confirm.
func (w *committing) missing() int {
	missing := w.view.view.Copies()
	for _, m := range w.view.view.Members {
		if w.confirmed[m.ID] && !m.Retiring {
			missing--
		}
	}
	return missing
}

func (w *committing) run(ctx context.Context) bool {
	hedge := firstHedge
	timer := time.NewTimer(hedge)
	defer timer.Stop()
	w.ask(ctx, w.missing())
	for w.missing() > 0 {
		select {
		case a := <-w.answers:
			w.take(ctx, a)
			w.ask(ctx, w.missing()-w.asked)
		case member := <-w.rested:
			w.queue = append(w.queue, member)
			w.ask(ctx, w.missing()-w.asked)
		case <-timer.C:
			hedge *= 2
			timer.Reset(hedge)
			w.ask(ctx, 1)
		case <-w.view.changed:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// ask calls the next stores in order.
func (w *committing) ask(ctx context.Context, count int) {
	for ; count > 0 && len(w.queue) > 0; count-- {
		member := w.queue[0]
		w.queue = w.queue[1:]
		w.asked++
		go w.call(ctx, member)
	}
}

func (w *committing) call(ctx context.Context, member int) {
	address := w.view.view.Members[member].Address
	request := storewire.CommitRequest{Header: w.view.header(member), Turn: w.record}
	a, err := w.client.caller.Commit(ctx, address, request)
	select {
	case w.answers <- commitAnswer{member: member, answer: a, err: err}:
	case <-ctx.Done():
	}
}

// take counts a confirmation. A store that failed comes behind all others, after a pause: two that refuse at once must
// not be asked in a loop.
func (w *committing) take(ctx context.Context, a commitAnswer) {
	store := w.view.view.Members[a.member]
	w.client.heard(store.Address, a.err == nil)
	w.asked--
	if a.err == nil && w.client.heed(a.answer.Reply) {
		w.confirmed[store.ID] = true
		return
	}
	time.AfterFunc(retryPause, func() {
		select {
		case w.rested <- a.member:
		case <-ctx.Done():
		}
	})
}
