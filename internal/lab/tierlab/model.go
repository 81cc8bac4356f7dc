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
	modelName       = "m"
	chunkTokens     = 3
	defaultPriority = 5
	// reportLag is the age of the state that a receiver reports.
	reportLag = 300 * time.Millisecond
)

// model runs an inference engine in wall time.
type model struct {
	receiver *receiver

	mu            sync.Mutex
	engine        *engine.Engine
	tokenChannels map[string]chan engine.Token
	wake          chan struct{}
	reports       []timedReport
}

type timedReport struct {
	at     time.Time
	report engine.Report
}

func newModel(r *receiver) *model {
	shape := r.lab.world.Receivers.Model
	ms := func(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
	config := engine.Config{Slots: shape.Slots, QueueLimit: shape.Queue, MemoryTokens: shape.MemoryTokens, PrefillChunkTokens: shape.PrefillPiece,
		BasePassTime: ms(shape.PassMs), PassTimePerRequest: ms(shape.EachMs), PassTimePer100PromptTokens: ms(shape.PrefillMs)}
	return &model{receiver: r, engine: engine.New(config), tokenChannels: map[string]chan engine.Token{}, wake: make(chan struct{}, 1)}
}

// run executes engine passes while there is work, until ctx ends.
func (m *model) run(ctx context.Context) {
	for {
		m.mu.Lock()
		idle := m.engine.Idle()
		var pass engine.Pass
		if !idle {
			pass = m.engine.Step()
			m.recordReport()
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
			m.deliver(pass.Tokens)
		case <-m.wakeIf(idle):
		}
	}
}

// wakeIf returns the wake channel only while the engine is idle; otherwise a new request would cut a pass short.
func (m *model) wakeIf(idle bool) chan struct{} {
	if idle {
		return m.wake
	}
	return nil
}

// deliver sends tokens to the handlers of their requests. It does not block: a channel has capacity for all tokens of a
// request.
func (m *model) deliver(tokens []engine.Token) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, token := range tokens {
		if out := m.tokenChannels[token.ID]; out != nil {
			out <- token
		}
	}
}

// recordReport keeps reports until they are reportLag old. The caller holds mu.
func (m *model) recordReport() {
	now := time.Now()
	m.reports = append(m.reports, timedReport{at: now, report: m.engine.Report()})
	for len(m.reports) > 1 && now.Sub(m.reports[1].at) > reportLag {
		m.reports = m.reports[1:]
	}
}

// currentReport returns the engine's current state.
func (m *model) currentReport() engine.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.engine.Report()
}

// delayedReport returns the state that the receiver reports, which lags by up to reportLag.
func (m *model) delayedReport() engine.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.reports) == 0 || time.Since(m.reports[len(m.reports)-1].at) > reportLag {
		return m.engine.Report()
	}
	return m.reports[0].report
}

// add submits a request to the engine and returns its token channel, or nil if the engine is full.
func (m *model) add(key string, req *http.Request, first int) chan engine.Token {
	prompt, out := parseUsage(req.Header.Get("Emberquay-Token-Usage"))
	request := engine.Request{ID: key, Parts: parseParts(req.Header.Get("Emberquay-Prompt-Prefix"), prompt), OutputTokens: max(1, out-first*chunkTokens), Priority: defaultPriority}
	if text := req.Header.Get("Priority"); text != "" {
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
	m.tokenChannels[key] = outlet
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
	delete(m.tokenChannels, key)
}

// serve streams a request's events. The run counts as started at its first token.
func (m *model) serve(w http.ResponseWriter, req *http.Request, id string, body []byte) {
	last, _ := strconv.ParseUint(req.Header.Get("Last-Event-Id"), 10, 64)
	key := fmt.Sprintf("%s/%d", id, m.receiver.stamps.Add(1))
	tokens := m.add(key, req, int(last))
	if tokens == nil {
		m.receiver.reject(w, id, http.StatusServiceUnavailable)
		return
	}
	defer m.remove(key)
	var run *tierrules.Run
	var faults requestFaults
	next := last
	for {
		select {
		case <-req.Context().Done():
			if run != nil {
				m.receiver.recordRunEnd(run, false)
			}
			return
		case token := <-tokens:
			if run == nil {
				faults = m.receiver.drawFaults()
				run = m.startRun(w, req, id, body, faults)
				if run.Status != http.StatusOK {
					return
				}
			}
			if token.Generated%chunkTokens != 0 && !token.Last {
				continue
			}
			next++
			if !m.writeEvent(w, run, next) {
				m.receiver.recordRunEnd(run, false)
				return
			}
			if faults.losesAnswer {
				m.receiver.abort(run)
			}
			if token.Last {
				m.receiver.recordRunEnd(run, true)
				return
			}
		}
	}
}

// startRun records a run and sends the response header; a failing run is answered completely.
func (m *model) startRun(w http.ResponseWriter, req *http.Request, id string, body []byte, faults requestFaults) *tierrules.Run {
	run := m.receiver.recordRun(req, id, body)
	_, out := parseUsage(req.Header.Get("Emberquay-Token-Usage"))
	status := http.StatusOK
	if faults.fails {
		status = http.StatusInternalServerError
	}
	m.receiver.lab.record.update(func(time.Duration, *tierrules.History) {
		run.Status = status
		run.FinalEventID = uint64((out + chunkTokens - 1) / chunkTokens)
	})
	sleep(req.Context(), faults.hang)
	w.Header().Set("Emberquay-Server-Stamp", run.Stamp)
	if status != http.StatusOK {
		w.WriteHeader(status)
		m.receiver.recordRunEnd(run, req.Context().Err() == nil)
		return run
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Versions", "1")
	w.WriteHeader(http.StatusOK)
	return run
}

// writeEvent writes one event, whose data is unique to this run.
func (m *model) writeEvent(w http.ResponseWriter, run *tierrules.Run, id uint64) bool {
	data := fmt.Sprintf("%s piece %d", run.Stamp, id)
	m.receiver.lab.record.update(func(now time.Duration, _ *tierrules.History) {
		run.Events = append(run.Events, tierrules.Event{ID: id, Data: data, At: now})
	})
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// parseUsage parses the prompt's token count and the maximum of output tokens.
func parseUsage(text string) (prompt, out int) {
	a, b, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(a)
	out, _ = strconv.Atoi(b)
	return prompt, out
}

// parseParts parses the prefix parts of a prompt; a prompt without them is a single part.
func parseParts(text string, prompt int) []engine.PromptPart {
	var list []engine.PromptPart
	for item := range strings.SplitSeq(text, ",") {
		name, tokens, ok := strings.Cut(item, ":")
		id, err := strconv.ParseUint(name, 16, 64)
		count, countErr := strconv.Atoi(tokens)
		if ok && err == nil && countErr == nil {
			list = append(list, engine.PromptPart{ID: id, Tokens: count})
		}
	}
	if len(list) == 0 {
		list = append(list, engine.PromptPart{Tokens: prompt})
	}
	return list
}
