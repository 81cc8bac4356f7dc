package hollow

import (
	"sync"
	"time"

	"emberquay/admission/dispatch"
	"emberquay/internal/dataplane"
)

// reportAge is that of a report that a proxy has just taken.
const reportAge = 300 * time.Millisecond

// reporter has proxies share made-up reports of receivers, as they do with those that they have asked for.
type reporter struct {
	mutex sync.Mutex
	done  chan struct{} // guarded by mutex; nil while it rests
	ended chan struct{}
}

func (r *reporter) stop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.done == nil {
		return
	}
	close(r.done)
	<-r.ended
	r.done = nil
}

func (r *reporter) start(request ReportsRequest, planes []*dataplane.Plane) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.done, r.ended = make(chan struct{}), make(chan struct{})
	go share(request, planes, r.done, r.ended)
}

func share(request ReportsRequest, planes []*dataplane.Plane, done <-chan struct{}, ended chan<- struct{}) {
	defer close(ended)
	ticker := time.NewTicker(request.Interval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		id := request.Receivers[turn%len(request.Receivers)]
		planes[turn%len(planes)].ShareReport(dispatch.InstanceID(id), dispatch.Report{
			Running: turn % 24, KVUsed: turn % 200_000, KVTotal: 220_394, Age: reportAge,
		})
	}
}

// Reports starts or stops the sharing of reports.
func (w *Worker) Reports(request ReportsRequest) error {
	w.reporter.stop()
	var planes []*dataplane.Plane
	for _, plane := range w.running() {
		planes = append(planes, plane)
	}
	if request.Interval > 0 && len(planes) > 0 && len(request.Receivers) > 0 {
		w.reporter.start(request, planes)
	}
	return nil
}
