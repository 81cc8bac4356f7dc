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
	// mostReceiverBody bounds a request's body.
	mostReceiverBody = 4 << 20
)

// receiver is one incarnation of a stand-in's receiver.
type receiver struct {
	lab      *lab
	id       string
	service  string
	home     string // the service whose receiver stood at its place first, and the number there: by these it is struck
	homeNo   int
	zone     string
	address  string
	listener net.Listener
	server   *http.Server
	model    *model                   // nil: a plain service
	shape    tierworld.PlainReceivers // of a plain service

	slots    chan struct{} // of a plain service
	waiting  atomic.Int64
	draining atomic.Bool
	leaving  atomic.Bool
	over     atomic.Bool
	sequence atomic.Int64
	stamps   atomic.Int64

	target  atomic.Pointer[string] // where heartbeats go
	machine atomic.Pointer[string] // that acknowledged the last
	stop    context.CancelFunc
	work    sync.WaitGroup
}

// newReceiver makes one at a place that does not listen yet.
func (l *lab) newReceiver(place int, service string) *receiver {
	no := l.receiverCount.Add(1)
	r := &receiver{lab: l, id: fmt.Sprintf("i-%s-%d", service, no), service: service, zone: zones[place%len(zones)],
		address: l.net.receiver(place)}
	places := l.shape.Receivers.ServicePerReceiver()
	r.home = places[place]
	r.homeNo = place - slices.Index(places, r.home)
	switch service {
	case firstService:
		r.shape = l.shape.Receivers.Alfa
	case otherService:
		r.shape = l.shape.Receivers.Beta
	}
	r.slots = make(chan struct{}, r.shape.Slots)
	if service == modelService {
		r.model = newModel(r)
	}
	return r
}

// startReceiver starts one at a place.
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
	r.work.Go(func() { _ = r.server.Serve(listener) }) // it ends when the receiver does
	r.work.Go(func() { r.beat(ctx) })
	return r, nil
}

// end closes everything; requests in hand break off.
func (r *receiver) end() {
	r.over.Store(true)
	r.stop()
	_ = r.server.Close()
	r.work.Wait()
}

// ServeHTTP takes a request.
func (r *receiver) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/health":
		r.health(w)
		return
	case "/api/report":
		r.report(w)
		return
	}
	body, err := io.ReadAll(io.LimitReader(q.Body, mostReceiverBody))
	if err != nil {
		return
	}
	id := q.Header.Get("Emberquay-Request-Id")
	if id != "" {
		w.Header().Set("Emberquay-Request-Id", id)
	}
	w.Header().Set("Emberquay-Instance-Id", r.id)
	if want := q.Header.Get("Emberquay-Expect-Instance"); want != "" && want != r.id {
		r.turnAway(w, id, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		r.turnAway(w, id, http.StatusBadRequest)
		return
	}
	if r.leaving.Load() {
		r.turnAway(w, id, http.StatusServiceUnavailable)
		return
	}
	if r.model != nil {
		r.model.serve(w, q, id, body)
		return
	}
	r.plain(w, q, id, body)
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
	report := r.model.report()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}},
		"busy": false, "sequence": 0, "queued": report.Queued, "running": report.Running, "kv_used": report.UsedTokens, "kv_total": report.TotalTokens, "handles": 0})
}

// turnAway states that a request has not run.
func (r *receiver) turnAway(w http.ResponseWriter, id string, status int) {
	r.lab.record.see(func(now time.Duration, h *tierrules.History) {
		h.Rejections = append(h.Rejections, &tierrules.Rejection{RequestID: id, Instance: r.id, Status: status, At: now})
	})
	w.Header().Set("Emberquay-Not-Executed", "1")
	w.WriteHeader(status)
}

// begin notes that a request runs.
func (r *receiver) begin(q *http.Request, id string, body []byte) *tierrules.Run {
	run := &tierrules.Run{RequestID: id, Instance: r.id, Service: r.service, Authority: q.Host, Target: q.RequestURI, Method: q.Method,
		Body: body, Stamp: fmt.Sprintf("%s.%d", r.id, r.stamps.Add(1))}
	run.ResumedAfter, _ = strconv.ParseUint(q.Header.Get("Last-Event-Id"), 10, 64)
	r.lab.record.see(func(now time.Duration, h *tierrules.History) {
		run.Began = now
		h.Runs = append(h.Runs, run)
	})
	return run
}

// ended notes how it ended. What a receiver that ends has not finished it breaks off itself.
func (r *receiver) ended(run *tierrules.Run, complete bool) {
	r.lab.record.see(func(now time.Duration, _ *tierrules.History) {
		run.Ended, run.Complete = now, complete
		run.Aborted = run.Aborted || !complete && r.over.Load()
	})
}

// fate is what becomes of a request by the day's strikes on its receiver.
type fate struct {
	fails bool          // with a 500
	loses bool          // its answer
	hangs time.Duration // before anything is answered
	slow  float64       // its work takes so many times as long
}

// conduct is how the receiver is told to treat requests now, and the instant on the clock of the strikes.
func (r *receiver) conduct() (tierworld.ReceiverBehavior, time.Duration) {
	at := r.lab.sinceTraffic()
	return r.lab.day.Strikes.ReceiverBehavior(r.home, r.homeNo, at), at
}

// draw draws a request's fate.
func (r *receiver) draw() fate {
	c, at := r.conduct()
	f := fate{fails: rand.Float64() < c.ErrorShare, loses: rand.Float64() < c.LoseShare, slow: c.Slowdown}
	if rand.Float64() < c.HangShare {
		f.hangs = c.HangEnd - at
	}
	return f
}

// takes is how long a request of a plain service is worked on.
func (r *receiver) takes() time.Duration {
	least, most := r.shape.WorkMs[0], r.shape.WorkMs[1]
	return time.Duration((least + rand.Float64()*(most-least)) * float64(time.Millisecond))
}

// breakOff cuts the connection in place of an answer, or of the rest of one. It does not return.
func (r *receiver) breakOff(run *tierrules.Run) {
	r.lab.record.see(func(now time.Duration, _ *tierrules.History) { run.Ended, run.Aborted = now, true })
	panic(http.ErrAbortHandler)
}

func (r *receiver) slotCount() int {
	if r.model != nil {
		return r.lab.shape.Receivers.Model.Slots
	}
	return r.shape.Slots
}

// plain serves a request of a plain service: it waits for a slot, works for some time and answers bytes that only this
// run gives.
func (r *receiver) plain(w http.ResponseWriter, q *http.Request, id string, body []byte) {
	if r.waiting.Add(1) > int64(r.shape.Slots+r.shape.Queue) {
		r.waiting.Add(-1)
		r.turnAway(w, id, http.StatusServiceUnavailable)
		return
	}
	defer r.waiting.Add(-1)
	select {
	case r.slots <- struct{}{}:
	case <-q.Context().Done():
		return
	}
	defer func() { <-r.slots }()
	run := r.begin(q, id, body)
	fate := r.draw()
	status := http.StatusOK
	if fate.fails || rand.Float64() < r.shape.Errors {
		status = http.StatusInternalServerError
	}
	answer := fmt.Appendf(nil, "%s %s %d %x", run.Stamp, id, len(body), make([]byte, rand.IntN(600)))
	r.lab.record.see(func(time.Duration, *tierrules.History) { run.Status, run.Answer = status, answer })
	sleep(q.Context(), fate.hangs+time.Duration(fate.slow*float64(r.takes())))
	if q.Context().Err() != nil {
		r.ended(run, false)
		return
	}
	if fate.loses {
		r.breakOff(run)
	}
	w.Header().Set("Emberquay-Server-Stamp", run.Stamp)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, err := w.Write(answer)
	r.ended(run, err == nil)
}
