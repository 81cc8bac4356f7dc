package tierlab

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierlab/engine"
)

const (
	modelName     = "m"
	chunkTokens   = 3
	usualPriority = 5
	// reportLag is how old the state that a receiver reports is.
	reportLag = 300 * time.Millisecond
)

// model runs an engine in wall time.
type model struct {
	receiver *receiver

	mu      sync.Mutex
	engine  *engine.Engine
	outlets map[string]chan engine.Token
	wake    chan struct{}
	reports []datedReport
}

type datedReport struct {
	at     time.Time
	report engine.Report
}

func newModel(r *receiver) *model {
	shape := r.lab.shape.Receivers.Model
	ms := func(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
	config := engine.Config{Slots: shape.Slots, QueueLimit: shape.Queue, MemoryTokens: shape.MemoryTokens, PrefillChunkTokens: shape.PrefillPiece,
		BasePassTime: ms(shape.PassMs), PassTimePerRequest: ms(shape.EachMs), PassTimePer100PromptTokens: ms(shape.PrefillMs)}
	return &model{receiver: r, engine: engine.New(config), outlets: map[string]chan engine.Token{}, wake: make(chan struct{}, 1)}
}

// run makes passes while there is work.
func (m *model) run(ctx context.Context) {
	for {
		m.mu.Lock()
		idle := m.engine.Idle()
		var pass engine.Pass
		if !idle {
			pass = m.engine.Step()
			m.noteReport()
		}
		m.mu.Unlock()
		var done <-chan time.Time
		if !idle {
			conduct, _ := m.receiver.conduct()
			done = time.After(time.Duration(conduct.Slowdown * float64(pass.Duration)))
		}
		select {
		case <-ctx.Done():
			return
		case <-done:
			m.hand(pass.Tokens)
		case <-m.wakeIf(idle):
		}
	}
}

// wakeIf gives the channel only to a run that is idle: else a new request would cut a pass short.
func (m *model) wakeIf(idle bool) chan struct{} {
	if idle {
		return m.wake
	}
	return nil
}

// hand gives tokens to those who write them. A channel holds all that a request may make.
func (m *model) hand(tokens []engine.Token) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, token := range tokens {
		if out := m.outlets[token.ID]; out != nil {
			out <- token
		}
	}
}

// noteReport keeps states until they are old enough to be told. Under the lock.
func (m *model) noteReport() {
	now := time.Now()
	m.reports = append(m.reports, datedReport{at: now, report: m.engine.Report()})
	for len(m.reports) > 1 && now.Sub(m.reports[1].at) > reportLag {
		m.reports = m.reports[1:]
	}
}

// now is the state as it is.
func (m *model) now() engine.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.engine.Report()
}

// report is the state as the receiver tells it: somewhat old.
func (m *model) report() engine.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.reports) == 0 || time.Since(m.reports[len(m.reports)-1].at) > reportLag {
		return m.engine.Report()
	}
	return m.reports[0].report
}

// add takes a request into the engine; nil: it is full.
func (m *model) add(key string, q *http.Request, first int) chan engine.Token {
	prompt, out := usage(q.Header.Get("Emberquay-Token-Usage"))
	request := engine.Request{ID: key, Parts: parts(q.Header.Get("Emberquay-Prompt-Prefix"), prompt), OutputTokens: max(1, out-first*chunkTokens), Priority: usualPriority}
	if text := q.Header.Get("Priority"); text != "" {
		if p, err := strconv.Atoi(text); err == nil {
			request.Priority = p
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.engine.Add(request) {
		return nil
	}
	outlet := make(chan engine.Token, request.OutputTokens+1)
	m.outlets[key] = outlet
	select {
	case m.wake <- struct{}{}:
	default:
	}
	return outlet
}

func (m *model) remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engine.Remove(key)
	delete(m.outlets, key)
}

// serve streams a request's events. It runs from its first token on.
func (m *model) serve(w http.ResponseWriter, q *http.Request, id string, body []byte) {
	last, _ := strconv.ParseUint(q.Header.Get("Last-Event-Id"), 10, 64)
	key := fmt.Sprintf("%s/%d", id, m.receiver.stamps.Add(1))
	tokens := m.add(key, q, int(last))
	if tokens == nil {
		m.receiver.turnAway(w, id, http.StatusServiceUnavailable)
		return
	}
	defer m.remove(key)
	var run *tierrules.Run
	var fate fate
	next := last
	for {
		select {
		case <-q.Context().Done():
			if run != nil {
				m.receiver.ended(run, false)
			}
			return
		case token := <-tokens:
			if run == nil {
				fate = m.receiver.draw()
				run = m.begin(w, q, id, body, fate)
				if run.Status != http.StatusOK {
					return
				}
			}
			if token.Generated%chunkTokens != 0 && !token.Last {
				continue
			}
			next++
			if !m.write(w, run, next) {
				m.receiver.ended(run, false)
				return
			}
			if fate.loses {
				m.receiver.breakOff(run)
			}
			if token.Last {
				m.receiver.ended(run, true)
				return
			}
		}
	}
}

// begin notes a run and answers its head; of a run that fails it answers all.
func (m *model) begin(w http.ResponseWriter, q *http.Request, id string, body []byte, fate fate) *tierrules.Run {
	run := m.receiver.begin(q, id, body)
	_, out := usage(q.Header.Get("Emberquay-Token-Usage"))
	status := http.StatusOK
	if fate.fails {
		status = http.StatusInternalServerError
	}
	m.receiver.lab.record.see(func(time.Duration, *tierrules.History) {
		run.Status = status
		run.FinalEventID = uint64((out + chunkTokens - 1) / chunkTokens)
	})
	sleep(q.Context(), fate.hangs)
	w.Header().Set("Emberquay-Server-Stamp", run.Stamp)
	if status != http.StatusOK {
		w.WriteHeader(status)
		m.receiver.ended(run, q.Context().Err() == nil)
		return run
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Versions", "1")
	w.WriteHeader(http.StatusOK)
	return run
}

// write writes one event; its data is of this run alone.
func (m *model) write(w http.ResponseWriter, run *tierrules.Run, id uint64) bool {
	data := fmt.Sprintf("%s piece %d", run.Stamp, id)
	m.receiver.lab.record.see(func(now time.Duration, _ *tierrules.History) {
		run.Events = append(run.Events, tierrules.Event{ID: id, Data: data, At: now})
	})
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// usage reads the tokens of a prompt and the most out.
func usage(text string) (prompt, out int) {
	a, b, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(a)
	out, _ = strconv.Atoi(b)
	return prompt, out
}

// parts reads the parts of a prompt; one without them is a part of its own.
func parts(text string, prompt int) []engine.PromptPart {
	var list []engine.PromptPart
	for item := range strings.SplitSeq(text, ",") {
		name, tokens, ok := strings.Cut(item, ":")
		id, err := strconv.ParseUint(name, 16, 64)
		count, bad := strconv.Atoi(tokens)
		if ok && err == nil && bad == nil {
			list = append(list, engine.PromptPart{ID: id, Tokens: count})
		}
	}
	if len(list) == 0 {
		list = append(list, engine.PromptPart{Tokens: prompt})
	}
	return list
}
