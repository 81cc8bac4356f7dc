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
	// storePrepareTimeout bounds how long a turn waits for the stores before it may run.
	storePrepareTimeout = 1200 * time.Millisecond
	// commitGrace is granted beyond the request's deadline: the answer is whole, only its end is missing.
	commitGrace = 200 * time.Millisecond
	// storeRetryAfter is told to clients while the stores cannot answer.
	storeRetryAfter = 300 * time.Millisecond
	// maxOutputBytes bounds what is kept of one turn's answer.
	maxOutputBytes = 2 << 20
)

// turn is what a turn of a program needs beyond its request.
type turn struct {
	stores         TurnStore
	id             string
	program        string
	previous       string
	root           string
	retained       bool
	input          []byte
	output         []byte
	outputOverflow bool // the output outgrew its bound

	budgeted        bool
	budget          int64
	reserved        bool
	maxOutputTokens int64
	chunkTokens     int64
	dataEvents      int64 // events with data that were written to the client
}

// newTurn reads a turn's fields; nil: the request is no turn. A number that is missing or wrong gives false.
func (h *requestHandler) newTurn() (*turn, bool) {
	header := h.request.Header
	t := &turn{
		stores:          h.proxy.options.Store,
		id:              h.id,
		program:         header.Get(headerProgram),
		previous:        header.Get(headerPrevious),
		root:            h.id,
		retained:        h.route.Retained,
		input:           h.body.bytes(),
		maxOutputTokens: int64(h.usage.maxOutputTokens),
		chunkTokens:     1,
	}
	budget := strings.TrimSpace(header.Get(headerBudget))
	t.budgeted = budget != "" && t.program != ""
	if !t.budgeted && !t.retained {
		return nil, true
	}
	if engine := h.engine(); engine != nil {
		t.chunkTokens = int64(max(1, engine.ChunkTokens))
	}
	if !t.budgeted {
		return t, true
	}
	number, err := strconv.ParseInt(budget, 10, 64)
	t.budget = number
	return t, err == nil && number >= 0 && h.usage.known
}

// engine is how the receivers of the chosen service run models; nil: they do not.
func (h *requestHandler) engine() *routing.Engine {
	service := h.snapshot.Services[h.service]
	if service == nil {
		return nil
	}
	return service.Engine
}

// prepare asks the stores for what the turn needs before anything is sent. A status other than 0 is the answer.
func (h *requestHandler) prepare(t *turn) int {
	ctx, cancel := context.WithDeadline(h.request.Context(), earlier(h.deadline, time.Now().Add(storePrepareTimeout)))
	defer cancel()
	hasPrevious := t.retained && t.previous != ""
	granted, found := storeclient.Granted, storeclient.Found
	var history storeclient.History
	switch {
	case hasPrevious && t.budgeted:
		reserved := make(chan storeclient.Verdict, 1)
		go func() { reserved <- t.reserve(ctx) }()
		history, found = t.stores.History(ctx, t.previous)
		granted = <-reserved
	case hasPrevious:
		history, found = t.stores.History(ctx, t.previous)
	case t.budgeted:
		granted = t.reserve(ctx)
	}
	t.reserved = t.budgeted && granted == storeclient.Granted
	switch {
	case found == storeclient.Missing:
		return http.StatusNotFound
	case granted == storeclient.Spent:
		return http.StatusPaymentRequired
	case found != storeclient.Found || granted != storeclient.Granted:
		return http.StatusServiceUnavailable
	}
	if hasPrevious {
		t.root = history.Root
		return h.prependHistory(history.Body)
	}
	return 0
}

func (t *turn) reserve(ctx context.Context) storeclient.Verdict {
	return t.stores.Reserve(ctx, storeclient.Reservation{Program: t.program, Turn: t.id, Budget: t.budget, Most: t.maxOutputTokens})
}

// prependHistory puts the history in front of the new input.
func (h *requestHandler) prependHistory(history []byte) int {
	size := int64(len(history))
	if !h.proxy.bodyMemory.reserve(size) {
		return http.StatusServiceUnavailable
	}
	h.historyBytes = size
	h.history = history
	h.hasBody = true
	return 0
}

// record keeps an event's data as part of the turn's output.
func (t *turn) record(data []byte, hasData bool) {
	if !hasData {
		return
	}
	t.dataEvents++
	if !t.retained {
		return
	}
	if len(t.output)+len(data) > maxOutputBytes {
		t.outputOverflow = true
		return
	}
	t.output = append(t.output, data...)
	t.output = append(t.output, '\n')
}

// commit makes the turn durable; false: its answer must not end as complete. The input is copied, as its memory goes
// back with the request while the stores keep the turn.
func (t *turn) commit(ctx context.Context, retention time.Duration) bool {
	if t.outputOverflow {
		return false
	}
	return t.stores.Commit(ctx, storeclient.Turn{
		ID: t.id, Root: t.root, Previous: t.previous, Program: t.program,
		Input: bytes.Clone(t.input), Output: t.output, Tokens: t.usedTokens(), Retention: retention,
	}) == nil
}

// usedTokens is what the client was sent, in tokens.
func (t *turn) usedTokens() int64 { return min(t.dataEvents*t.chunkTokens, t.maxOutputTokens) }

// settle tells the stores what the turn used of its budget.
func (t *turn) settle() {
	if t == nil || !t.reserved {
		return
	}
	t.reserved = false
	t.stores.Settle(t.program, t.id, t.usedTokens())
}
