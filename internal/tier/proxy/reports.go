package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/proxy/outbound"
)

const (
	reportPath = "/api/report"
	// reportLag is how old the state is that a receiver reports.
	reportLag = 300 * time.Millisecond
	// reportPatience bounds one question.
	reportPatience = 500 * time.Millisecond
	// trafficFor is how long a service counts as used after a request: reports are priced like probes.
	trafficFor = 2 * time.Second
	// calmIntervals is how many intervals lie between two reports of a receiver that has most of its slots free: its
	// allowance decides nothing then. Even so a report is renewed before the dispatcher drops it.
	calmIntervals = 2
	// maxReport bounds a report's body.
	maxReport = 64 << 10
	// reportsAtOnce bounds the questions that are out.
	reportsAtOnce = 8
)

// reporter asks receivers of model services for their reports while there is traffic for them.
type reporter struct {
	proxy *Proxy

	mu        sync.Mutex
	receivers []dispatch.Receiver
	used      map[string]time.Time // by service: its last request
	silent    map[dispatch.InstanceID]bool
	asking    map[dispatch.InstanceID]bool
	skip      map[dispatch.InstanceID]int // rounds that pass before the next question
	timer     *time.Timer
	running   bool
	stopped   atomic.Bool
}

func newReporter(p *Proxy) *reporter {
	return &reporter{
		proxy:  p,
		used:   make(map[string]time.Time),
		silent: make(map[dispatch.InstanceID]bool),
		asking: make(map[dispatch.InstanceID]bool),
		skip:   make(map[dispatch.InstanceID]int),
	}
}

// setReceivers takes the whole list.
func (r *reporter) setReceivers(receivers []dispatch.Receiver) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receivers = receivers
	listed := make(map[dispatch.InstanceID]bool, len(receivers))
	for _, receiver := range receivers {
		listed[receiver.ID] = true
	}
	for id := range r.silent {
		if !listed[id] {
			delete(r.silent, id)
		}
	}
	for id := range r.skip {
		if !listed[id] {
			delete(r.skip, id)
		}
	}
}

// touch notes a request for a model service and starts the round if none is due.
func (r *reporter) touch(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used[service] = now
	if r.running || r.stopped.Load() {
		return
	}
	r.running = true
	if r.timer == nil {
		r.timer = time.AfterFunc(r.proxy.options.ReportInterval, r.round)
		return
	}
	r.timer.Reset(r.proxy.options.ReportInterval)
}

func (r *reporter) stop() { r.stopped.Store(true) }

// round asks each receiver that is due, and goes on while there is traffic.
func (r *reporter) round() {
	now := time.Now()
	r.mu.Lock()
	for service, at := range r.used {
		if now.Sub(at) > trafficFor {
			delete(r.used, service)
		}
	}
	due := r.due()
	r.running = len(r.used) > 0 && !r.stopped.Load()
	if r.running {
		r.timer.Reset(r.proxy.options.ReportInterval)
	}
	r.mu.Unlock()
	for _, receiver := range due {
		go r.ask(receiver)
	}
}

// due lists the receivers to ask and counts them as asked. Under the lock.
func (r *reporter) due() []dispatch.Receiver {
	var due []dispatch.Receiver
	for _, receiver := range r.receivers {
		_, used := r.used[receiver.Service]
		if !used || receiver.Engine == nil || receiver.Draining || r.silent[receiver.ID] || r.asking[receiver.ID] {
			continue
		}
		if len(r.asking) >= reportsAtOnce || !r.proxy.options.PollAssigned(receiver.ID) {
			continue
		}
		if r.skip[receiver.ID] > 0 {
			r.skip[receiver.ID]--
			continue
		}
		r.asking[receiver.ID] = true
		due = append(due, receiver)
	}
	return due
}

// ask takes one report and hands it on.
func (r *reporter) ask(receiver dispatch.Receiver) {
	began := time.Now()
	report, status := r.take(receiver, began)
	r.mu.Lock()
	delete(r.asking, receiver.ID)
	if status == http.StatusNotFound {
		r.silent[receiver.ID] = true // it has none, and will have none
	}
	if status == http.StatusOK {
		r.skip[receiver.ID] = roundsToSkip(report, receiver.Slots)
	}
	r.mu.Unlock()
	if status != http.StatusOK {
		return
	}
	report.Age = reportLag + time.Since(began)/2
	r.proxy.HandleReport(receiver.ID, report)
	r.proxy.options.PublishReport(receiver.ID, report)
}

// roundsToSkip is how many rounds a receiver that reported this is left alone.
func roundsToSkip(report dispatch.Report, slots int) int {
	if 2*(report.Running+report.Queued) < slots {
		return calmIntervals - 1
	}
	return 0
}

// take gives a report, or a status other than 200; 0: no answer.
func (r *reporter) take(receiver dispatch.Receiver, began time.Time) (dispatch.Report, int) {
	request := &outbound.Request{
		Method: http.MethodGet, Target: reportPath, Host: receiver.Address,
		// Its address may have been given to another since.
		ExtraFields: []outbound.HeaderField{{Name: headerExpectInstance, Value: string(receiver.ID)}},
	}
	answer, err := r.proxy.pool.Exchange(context.Background(), receiver.Address, request, began.Add(reportPatience))
	if err != nil {
		return dispatch.Report{}, 0
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxReport))
	if err != nil {
		return dispatch.Report{}, 0
	}
	return parseReport(body, answer.Status)
}

func parseReport(body []byte, status int) (dispatch.Report, int) {
	if status != http.StatusOK {
		return dispatch.Report{}, status
	}
	if !gjson.ValidBytes(body) {
		return dispatch.Report{}, 0
	}
	values := gjson.GetManyBytes(body, "running", "queued", "kv_used", "kv_total")
	if !values[0].Exists() || !values[1].Exists() {
		return dispatch.Report{}, 0
	}
	return dispatch.Report{
		Running: int(values[0].Int()),
		Queued:  int(values[1].Int()),
		KVUsed:  int(values[2].Int()),
		KVTotal: int(values[3].Int()),
	}, status
}
