package tierlab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierworld"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// maxReceiverBodyBytes bounds a request's body.
	maxReceiverBodyBytes = 4 << 20
)

// receiver is one incarnation of a simulated receiver.
type receiver struct {
	lab          *lab
	id           string
	service      string
	faultService string // service of the first receiver at this place; with faultNo it selects the faults that apply
	faultNo      int
	zone         string
	address      string
	listener     net.Listener
	server       *http.Server
	model        *model                   // nil: a plain service
	plainConfig  tierworld.PlainReceivers // of a plain service

	slots    chan struct{} // of a plain service
	waiting  atomic.Int64
	draining atomic.Bool
	leaving  atomic.Bool
	closed   atomic.Bool
	sequence atomic.Int64
	stamps   atomic.Int64

	target  atomic.Pointer[string] // address for heartbeats
	machine atomic.Pointer[string] // machine that sent the last acknowledgement
	stop    context.CancelFunc
	work    sync.WaitGroup
}

// newReceiver returns a receiver for a place; it does not listen yet.
func (l *lab) newReceiver(place int, service string) *receiver {
	no := l.receiverCount.Add(1)
	r := &receiver{lab: l, id: fmt.Sprintf("i-%s-%d", service, no), service: service, zone: zones[place%len(zones)],
		address: l.net.receiver(place)}
	places := l.world.Receivers.ServicePerReceiver()
	r.faultService = places[place]
	r.faultNo = place - slices.Index(places, r.faultService)
	switch service {
	case firstService:
		r.plainConfig = l.world.Receivers.Alfa
	case otherService:
		r.plainConfig = l.world.Receivers.Beta
	}
	r.slots = make(chan struct{}, r.plainConfig.Slots)
	if service == modelService {
		r.model = newModel(r)
	}
	return r
}

// startReceiver starts a receiver at a place.
func (l *lab) startReceiver(ctx context.Context, place int, service string) (*receiver, error) {
	r := l.newReceiver(place, service)
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return nil, err
	}
	r.listener = listener
	ctx, r.stop = context.WithCancel(ctx)
	if r.model != nil {
		r.work.Go(func() { r.model.run(ctx) })
	}
	r.server = &http.Server{Handler: r}
	r.work.Go(func() { _ = r.server.Serve(listener) }) // returns once the receiver is closed
	r.work.Go(func() { r.sendHeartbeats(ctx) })
	return r, nil
}

// close shuts the receiver down; requests in progress are aborted.
func (r *receiver) close() {
	r.closed.Store(true)
	r.stop()
	_ = r.server.Close()
	r.work.Wait()
}

// ServeHTTP handles a request.
func (r *receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/health":
		r.health(w)
		return
	case "/api/report":
		r.report(w)
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxReceiverBodyBytes))
	if err != nil {
		return
	}
	id := req.Header.Get("Emberquay-Request-Id")
	if id != "" {
		w.Header().Set("Emberquay-Request-Id", id)
	}
	w.Header().Set("Emberquay-Instance-Id", r.id)
	if want := req.Header.Get("Emberquay-Expect-Instance"); want != "" && want != r.id {
		r.reject(w, id, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		r.reject(w, id, http.StatusBadRequest)
		return
	}
	if r.leaving.Load() {
		r.reject(w, id, http.StatusServiceUnavailable)
		return
	}
	if r.model != nil {
		r.model.serve(w, req, id, body)
		return
	}
	r.servePlain(w, req, id, body)
}

func (r *receiver) health(w http.ResponseWriter) {
	w.Header().Set("Emberquay-Instance-Id", r.id)
	if r.draining.Load() || r.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (r *receiver) report(w http.ResponseWriter) {
	if r.model == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	report := r.model.delayedReport()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}},
		"busy": false, "sequence": 0, "queued": report.Queued, "running": report.Running, "kv_used": report.UsedTokens, "kv_total": report.TotalTokens, "handles": 0})
}

// reject answers that a request was not executed.
func (r *receiver) reject(w http.ResponseWriter, id string, status int) {
	r.lab.record.update(func(now time.Duration, h *tierrules.History) {
		h.Rejections = append(h.Rejections, &tierrules.Rejection{RequestID: id, Instance: r.id, Status: status, At: now})
	})
	w.Header().Set("Emberquay-Not-Executed", "1")
	w.WriteHeader(status)
}

// recordRun records the start of a request's execution.
func (r *receiver) recordRun(req *http.Request, id string, body []byte) *tierrules.Run {
	run := &tierrules.Run{RequestID: id, Instance: r.id, Service: r.service, Authority: req.Host, Target: req.RequestURI, Method: req.Method,
		Body: body, Stamp: fmt.Sprintf("%s.%d", r.id, r.stamps.Add(1))}
	run.ResumedAfter, _ = strconv.ParseUint(req.Header.Get("Last-Event-Id"), 10, 64)
	r.lab.record.update(func(now time.Duration, h *tierrules.History) {
		run.Began = now
		h.Runs = append(h.Runs, run)
	})
	return run
}

// recordRunEnd records how a run ended. A run that is incomplete because the receiver closes counts as aborted by it.
func (r *receiver) recordRunEnd(run *tierrules.Run, complete bool) {
	r.lab.record.update(func(now time.Duration, _ *tierrules.History) {
		run.Ended, run.Complete = now, complete
		run.Aborted = run.Aborted || !complete && r.closed.Load()
	})
}

// requestFaults holds the effects of the scheduled faults on one request.
type requestFaults struct {
	fails       bool          // answers with a 500
	losesAnswer bool          // drops the connection in place of the answer
	hang        time.Duration // delay before any part of the answer
	slowdown    float64       // factor of the work time
}

// conduct returns how the scheduled faults tell the receiver to treat requests now, and the time on the schedule's clock.
func (r *receiver) conduct() (tierworld.ReceiverBehavior, time.Duration) {
	at := r.lab.trafficTime()
	return r.lab.scenario.Faults.ReceiverBehavior(r.faultService, r.faultNo, at), at
}

// drawFaults draws the faults of a request.
func (r *receiver) drawFaults() requestFaults {
	c, at := r.conduct()
	f := requestFaults{fails: rand.Float64() < c.ErrorShare, losesAnswer: rand.Float64() < c.LoseShare, slowdown: c.Slowdown}
	if rand.Float64() < c.HangShare {
		f.hang = c.HangEnd - at
	}
	return f
}

// drawWorkTime draws the work time of a request to a plain service.
func (r *receiver) drawWorkTime() time.Duration {
	minMs, maxMs := r.plainConfig.WorkMs[0], r.plainConfig.WorkMs[1]
	return time.Duration((minMs + rand.Float64()*(maxMs-minMs)) * float64(time.Millisecond))
}

// abort closes the connection in place of an answer, or of the rest of one. It does not return.
func (r *receiver) abort(run *tierrules.Run) {
	r.lab.record.update(func(now time.Duration, _ *tierrules.History) { run.Ended, run.Aborted = now, true })
	panic(http.ErrAbortHandler)
}

func (r *receiver) slotCount() int {
	if r.model != nil {
		return r.lab.world.Receivers.Model.Slots
	}
	return r.plainConfig.Slots
}

// servePlain serves a request to a plain service: it waits for a slot, works for some time and answers bytes that are unique
// to this run.
func (r *receiver) servePlain(w http.ResponseWriter, req *http.Request, id string, body []byte) {
	if r.waiting.Add(1) > int64(r.plainConfig.Slots+r.plainConfig.Queue) {
		r.waiting.Add(-1)
		r.reject(w, id, http.StatusServiceUnavailable)
		return
	}
	defer r.waiting.Add(-1)
	select {
	case r.slots <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() { <-r.slots }()
	run := r.recordRun(req, id, body)
	faults := r.drawFaults()
	status := http.StatusOK
	if faults.fails || rand.Float64() < r.plainConfig.Errors {
		status = http.StatusInternalServerError
	}
	answer := fmt.Appendf(nil, "%s %s %d %x", run.Stamp, id, len(body), make([]byte, rand.IntN(600)))
	r.lab.record.update(func(time.Duration, *tierrules.History) { run.Status, run.Answer = status, answer })
	sleep(req.Context(), faults.hang+time.Duration(faults.slowdown*float64(r.drawWorkTime())))
	if req.Context().Err() != nil {
		r.recordRunEnd(run, false)
		return
	}
	if faults.losesAnswer {
		r.abort(run)
	}
	w.Header().Set("Emberquay-Server-Stamp", run.Stamp)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, err := w.Write(answer)
	r.recordRunEnd(run, err == nil)
}
