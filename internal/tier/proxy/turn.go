package proxy

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"emberquay/internal/tier/routing"
	"emberquay/internal/tier/storeclient"
)

// TurnStore keep turns and budgets.
type TurnStore interface {
	Reserve(ctx context.Context, reservation storeclient.Reservation) storeclient.Verdict
	// Settle follows each granted reservation, once.
	Settle(program, turn string, used int64)
	History(ctx context.Context, previous string) (storeclient.History, storeclient.Verdict)
	Commit(ctx context.Context, turn storeclient.Turn) error // nil once durable
}

const (
	// storesWait bounds how long a turn waits for the stores before it may run.
	storesWait = 1200 * time.Millisecond
	// commitWait is granted beyond the request's deadline: the answer is whole, only its end is missing.
	commitWait = 200 * time.Millisecond
	// undecidedRetry is told to clients while the stores cannot answer.
	undecidedRetry = 300 * time.Millisecond
	// mostOutput bounds what is kept of one turn's answer.
	mostOutput = 2 << 20
)

// turn is what a turn of a program needs beyond its request.
type turn struct {
	stores   TurnStore
	id       string
	program  string
	previous string
	root     string
	retained bool
	input    []byte
	output   []byte
	overflow bool // the output outgrew its bound

	budgeted    bool
	budget      int64
	granted     bool
	most        int64
	chunkTokens int64
	passed      int64 // events with data that were written to the client
}

// newTurn reads a turn's fields; nil: the request is no turn. A number that is missing or wrong gives false.
func (v *visit) newTurn() (*turn, bool) {
	header := v.request.Header
	t := &turn{
		stores:      v.proxy.options.Store,
		id:          v.id,
		program:     header.Get(headerProgram),
		previous:    header.Get(headerPrevious),
		root:        v.id,
		retained:    v.route.Retained,
		input:       v.body.bytes(),
		most:        int64(v.usage.out),
		chunkTokens: 1,
	}
	budget := strings.TrimSpace(header.Get(headerBudget))
	t.budgeted = budget != "" && t.program != ""
	if !t.budgeted && !t.retained {
		return nil, true
	}
	if engine := v.engine(); engine != nil {
		t.chunkTokens = int64(max(1, engine.ChunkTokens))
	}
	if !t.budgeted {
		return t, true
	}
	number, err := strconv.ParseInt(budget, 10, 64)
	t.budget = number
	return t, err == nil && number >= 0 && v.usage.known
}

// engine is how the receivers of the chosen service run models; nil: they do not.
func (v *visit) engine() *routing.Engine {
	service := v.snapshot.Services[v.service]
	if service == nil {
		return nil
	}
	return service.Engine
}

// prepare asks the stores for what the turn needs before anything is sent. A status other than 0 is the answer.
func (v *visit) prepare(t *turn) int {
	ctx, cancel := context.WithDeadline(v.request.Context(), earlier(v.deadline, time.Now().Add(storesWait)))
	defer cancel()
	continues := t.retained && t.previous != ""
	granted, found := storeclient.Granted, storeclient.Found
	var history storeclient.History
	switch {
	case continues && t.budgeted:
		reserved := make(chan storeclient.Verdict, 1)
		go func() { reserved <- t.reserve(ctx) }()
		history, found = t.stores.History(ctx, t.previous)
		granted = <-reserved
	case continues:
		history, found = t.stores.History(ctx, t.previous)
	case t.budgeted:
		granted = t.reserve(ctx)
	}
	t.granted = t.budgeted && granted == storeclient.Granted
	switch {
	case found == storeclient.Missing:
		return http.StatusNotFound
	case granted == storeclient.Spent:
		return http.StatusPaymentRequired
	case found != storeclient.Found || granted != storeclient.Granted:
		return http.StatusServiceUnavailable
	}
	if continues {
		t.root = history.Root
		return v.prepend(history.Body)
	}
	return 0
}

func (t *turn) reserve(ctx context.Context) storeclient.Verdict {
	return t.stores.Reserve(ctx, storeclient.Reservation{Program: t.program, Turn: t.id, Budget: t.budget, Most: t.most})
}

// prepend puts the history in front of the new input.
func (v *visit) prepend(history []byte) int {
	size := int64(len(history))
	if !v.proxy.memory.take(size) {
		return http.StatusServiceUnavailable
	}
	v.joined = size
	v.history = history
	v.framed = true
	return 0
}

// record keeps an event's data as part of the turn's output.
func (t *turn) record(data []byte, has bool) {
	if !has {
		return
	}
	t.passed++
	if !t.retained {
		return
	}
	if len(t.output)+len(data) > mostOutput {
		t.overflow = true
		return
	}
	t.output = append(t.output, data...)
	t.output = append(t.output, '\n')
}

// commit makes the turn durable; false: its answer must not end as complete. The input is copied, as its memory goes
// back with the request while the stores keep the turn.
func (t *turn) commit(ctx context.Context, retention time.Duration) bool {
	if t.overflow {
		return false
	}
	return t.stores.Commit(ctx, storeclient.Turn{
		ID: t.id, Root: t.root, Previous: t.previous, Program: t.program,
		Input: bytes.Clone(t.input), Output: t.output, Tokens: t.used(), Retention: retention,
	}) == nil
}

// used is what the client was sent, in tokens.
func (t *turn) used() int64 { return min(t.passed*t.chunkTokens, t.most) }

// settle tells the stores what the turn used of its budget.
func (t *turn) settle() {
	if t == nil || !t.granted {
		return
	}
	t.granted = false
	t.stores.Settle(t.program, t.id, t.used())
}
