package hollow

import (
	"sync"
	"time"

	"emberquay/internal/cluster"
	"emberquay/internal/cluster/records"
	"emberquay/internal/dataplane"
)

// reporter publishes made-up reports of receivers, as proxies do with those that they have asked for.
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
	go publish(request, planes, r.done, r.ended)
}

func publish(request ReportsRequest, planes []*dataplane.Plane, done <-chan struct{}, ended chan<- struct{}) {
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
		value, err := records.Reports.Encode(records.ReportRecord{
			Instance: id, Running: turn % 24, KVUsed: int64(turn % 200_000), KVTotal: 220_394, AgeMillis: 300, Sequence: int64(turn),
		})
		if err == nil {
			planes[turn%len(planes)].Cluster().Publish(cluster.Entry{Key: cluster.ReportPrefix + id, Value: value})
		}
	}
}

// Reports starts or stops the publishing of reports.
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
