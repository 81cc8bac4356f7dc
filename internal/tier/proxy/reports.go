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
	// reportedStateAge is how old the state in a receiver's report is when it is sent.
	reportedStateAge = 300 * time.Millisecond
	// reportTimeout bounds one poll.
	reportTimeout = 500 * time.Millisecond
	// trafficWindow is how long a service is polled after its last request: reports are charged like probes.
	trafficWindow = 2 * time.Second
	// idlePollIntervals is the number of intervals between two polls of a receiver with most of its slots free: its
	// allowance decides nothing then. The report is still renewed before the dispatcher discards it.
	idlePollIntervals = 2
	// maxReportBytes bounds a report's body.
	maxReportBytes = 64 << 10
	// maxConcurrentPolls bounds the polls in flight.
	maxConcurrentPolls = 8
)

// reportPoller polls the receivers of model services for their reports while the services get requests.
type reportPoller struct {
	proxy *Proxy

	mu          sync.Mutex
	receivers   []dispatch.Receiver
	lastRequest map[string]time.Time // time of the last request, by service
	unsupported map[dispatch.InstanceID]bool
	polling     map[dispatch.InstanceID]bool
	skipRounds  map[dispatch.InstanceID]int // rounds to skip before the next poll
	timer       *time.Timer
	running     bool
	stopped     atomic.Bool
}

func newReportPoller(p *Proxy) *reportPoller {
	return &reportPoller{
		proxy:       p,
		lastRequest: make(map[string]time.Time),
		unsupported: make(map[dispatch.InstanceID]bool),
		polling:     make(map[dispatch.InstanceID]bool),
		skipRounds:  make(map[dispatch.InstanceID]int),
	}
}

// setReceivers replaces the list of receivers.
func (r *reportPoller) setReceivers(receivers []dispatch.Receiver) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receivers = receivers
	listed := make(map[dispatch.InstanceID]bool, len(receivers))
	for _, receiver := range receivers {
		listed[receiver.ID] = true
	}
	for id := range r.unsupported {
		if !listed[id] {
			delete(r.unsupported, id)
		}
	}
	for id := range r.skipRounds {
		if !listed[id] {
			delete(r.skipRounds, id)
		}
	}
}

// recordRequest records a request for a model service and starts the rounds of polls unless they are running.
func (r *reportPoller) recordRequest(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRequest[service] = now
	if r.running || r.stopped.Load() {
		return
	}
	r.running = true
	if r.timer == nil {
		r.timer = time.AfterFunc(r.proxy.options.ReportInterval, r.pollRound)
		return
	}
	r.timer.Reset(r.proxy.options.ReportInterval)
}

func (r *reportPoller) stop() { r.stopped.Store(true) }

// pollRound polls each receiver that is due, and schedules the next round while there is traffic.
func (r *reportPoller) pollRound() {
	now := time.Now()
	r.mu.Lock()
	for service, at := range r.lastRequest {
		if now.Sub(at) > trafficWindow {
			delete(r.lastRequest, service)
		}
	}
	due := r.due()
	r.running = len(r.lastRequest) > 0 && !r.stopped.Load()
	if r.running {
		r.timer.Reset(r.proxy.options.ReportInterval)
	}
	r.mu.Unlock()
	for _, receiver := range due {
		go r.poll(receiver)
	}
}

// due returns the receivers to poll and marks them as being polled. The caller holds mu.
func (r *reportPoller) due() []dispatch.Receiver {
	var due []dispatch.Receiver
	for _, receiver := range r.receivers {
		_, used := r.lastRequest[receiver.Service]
		if !used || receiver.Engine == nil || receiver.Draining || r.unsupported[receiver.ID] || r.polling[receiver.ID] {
			continue
		}
		if len(r.polling) >= maxConcurrentPolls || !r.proxy.options.PollAssigned(receiver.ID) {
			continue
		}
		if r.skipRounds[receiver.ID] > 0 {
			r.skipRounds[receiver.ID]--
			continue
		}
		r.polling[receiver.ID] = true
		due = append(due, receiver)
	}
	return due
}

// poll fetches a receiver's report, applies it and publishes it.
func (r *reportPoller) poll(receiver dispatch.Receiver) {
	start := time.Now()
	report, status := r.fetch(receiver, start)
	r.mu.Lock()
	delete(r.polling, receiver.ID)
	if status == http.StatusNotFound {
		r.unsupported[receiver.ID] = true // it has no reports, and will have none
	}
	if status == http.StatusOK {
		r.skipRounds[receiver.ID] = roundsToSkip(report, receiver.Slots)
	}
	r.mu.Unlock()
	if status != http.StatusOK {
		return
	}
	report.Age = reportedStateAge + time.Since(start)/2
	r.proxy.HandleReport(receiver.ID, report)
	r.proxy.options.PublishReport(receiver.ID, report)
}

// roundsToSkip returns for how many rounds a receiver is not polled after this report.
func roundsToSkip(report dispatch.Report, slots int) int {
	if 2*(report.Running+report.Queued) < slots {
		return idlePollIntervals - 1
	}
	return 0
}

// fetch requests a report. It returns the status of the response, or 0 if there is no valid one.
func (r *reportPoller) fetch(receiver dispatch.Receiver, start time.Time) (dispatch.Report, int) {
	request := &outbound.Request{
		Method: http.MethodGet, Target: reportPath, Host: receiver.Address,
		// The address may have been reassigned to another receiver.
		ExtraFields: []outbound.HeaderField{{Name: headerExpectInstance, Value: string(receiver.ID)}},
	}
	response, err := r.proxy.pool.Exchange(context.Background(), receiver.Address, request, start.Add(reportTimeout))
	if err != nil {
		return dispatch.Report{}, 0
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return dispatch.Report{}, 0
	}
	return parseReport(body, response.Status)
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
		Running:       int(values[0].Int()),
		Queued:        int(values[1].Int()),
		KVUsedTokens:  int(values[2].Int()),
		KVTotalTokens: int(values[3].Int()),
	}, status
}
