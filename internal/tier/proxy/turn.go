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

// TurnStore keeps turns and accounts for the budgets of programs.
type TurnStore interface {
	Reserve(ctx context.Context, reservation storeclient.Reservation) storeclient.Verdict
	// Settle is called once for each granted reservation.
	Settle(program, turn string, used int64)
	History(ctx context.Context, previous string) (storeclient.History, storeclient.Verdict)
	Commit(ctx context.Context, turn storeclient.Turn) error // nil once durable
}

const (
	// storePrepareTimeout bounds how long a turn waits for its reservation and history before it is sent.
	storePrepareTimeout = 1200 * time.Millisecond
	// commitGrace extends the request's deadline for the commit: only the end of the response is still missing.
	commitGrace = 200 * time.Millisecond
	// storeRetryAfter is the Retry-After value sent while the stores do not answer.
	storeRetryAfter = 300 * time.Millisecond
	// maxOutputBytes bounds the stored output of a turn.
	maxOutputBytes = 2 << 20
)

// turn is the state of a request that is a turn of a program with a budget or with retained output.
type turn struct {
	store          TurnStore
	id             string
	program        string
	previous       string
	root           string
	retained       bool
	input          []byte
	output         []byte
	outputOverflow bool // the output exceeded maxOutputBytes

	budgeted        bool
	budget          int64
	reserved        bool
	maxOutputTokens int64
	chunkTokens     int64
	dataEvents      int64 // events with data that were written to the client
}

// newTurn parses a turn's header fields. It returns nil if the request has neither a budget nor a retained route, and
// false if a number is missing or invalid.
func (h *requestHandler) newTurn() (*turn, bool) {
	header := h.request.Header
	t := &turn{
		store:           h.proxy.options.Store,
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

// engine returns the model engine of the chosen service, or nil if the service has none.
func (h *requestHandler) engine() *routing.Engine {
	service := h.snapshot.Services[h.service]
	if service == nil {
		return nil
	}
	return service.Engine
}

// prepare reserves the turn's budget and reads its history before anything is sent. If it returns a status other than 0,
// the request is answered with it.
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
		history, found = t.store.History(ctx, t.previous)
		granted = <-reserved
	case hasPrevious:
		history, found = t.store.History(ctx, t.previous)
	case t.budgeted:
		granted = t.reserve(ctx)
	}
	t.reserved = t.budgeted && granted == storeclient.Granted
	switch {
	case found == storeclient.Missing:
		return http.StatusNotFound
	case granted == storeclient.Exhausted:
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
	return t.store.Reserve(ctx, storeclient.Reservation{Program: t.program, Turn: t.id, BudgetTokens: t.budget, MaxTokens: t.maxOutputTokens})
}

// prependHistory sets the history to be sent in front of the new input. It returns 503 if the memory budget is used up.
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

// record counts an event with data, and appends the data to the output of a retained turn.
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

// commit makes the turn durable. If it returns false, the response must not be completed. The input is copied, as its
// buffer is reused once the request ends while the store may still hold the turn.
func (t *turn) commit(ctx context.Context, retention time.Duration) bool {
	if t.outputOverflow {
		return false
	}
	return t.store.Commit(ctx, storeclient.Turn{
		ID: t.id, Root: t.root, Previous: t.previous, Program: t.program,
		Input: bytes.Clone(t.input), Output: t.output, Tokens: t.usedTokens(), Retention: retention,
	}) == nil
}

// usedTokens returns the number of tokens sent to the client.
func (t *turn) usedTokens() int64 { return min(t.dataEvents*t.chunkTokens, t.maxOutputTokens) }

// settle reports to the store, once, the tokens used of a granted reservation.
func (t *turn) settle() {
	if t == nil || !t.reserved {
		return
	}
	t.reserved = false
	t.store.Settle(t.program, t.id, t.usedTokens())
}
