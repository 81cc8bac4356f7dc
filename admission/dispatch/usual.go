package dispatch

import (
	"cmp"
	"math/bits"
	"time"

	"emberquay/admission"
)

const (
	// maxEstimates bounds the call classes with an estimate; beyond it the least recently used is evicted.
	maxEstimates = 1024
	// outputTokenWeight is the number of prompt tokens that take about as long to read as one output token to
	// generate.
	outputTokenWeight = 10
	// defaultDuration is the expected duration before the first response of a service if there is no target latency.
	defaultDuration = 100 * time.Millisecond
)

// callClass identifies calls with a common estimate: those of a route, by power of two of their size.
type callClass struct {
	service, route string
	size           int
}

// callEstimate holds the expected times of a class of calls, as weighted means in nanoseconds.
type callEstimate struct {
	class           callClass
	duration        float64 // to the end of the response; 0: no call has ended
	timeToFirstByte float64 // 0: unknown
	lastUsed        uint64  // sequence number of the last submitted request
}

// total is the expected time to the end of the response.
func (e *callEstimate) total() time.Duration { return time.Duration(e.duration) }

// firstByte is the expected time to the first byte, which the objective of a stream bounds.
func (e *callEstimate) firstByte() time.Duration {
	return time.Duration(cmp.Or(e.timeToFirstByte, e.duration))
}

// estimate returns the expected times of a request's call. Before the first response of its class they are those of
// the service, or else half of the target latency.
func (d *Dispatcher) estimate(s *service, q *request) *callEstimate {
	if e := d.estimates[q.class]; e != nil {
		return e
	}
	guess := cmp.Or(s.meanDuration, float64(q.TargetLatency/2), float64(defaultDuration))
	d.defaultEstimate = callEstimate{duration: guess, timeToFirstByte: guess}
	return &d.defaultEstimate
}

// updateEstimate records the times of a successful call.
func (d *Dispatcher) updateEstimate(s *service, q *request, o Outcome) {
	estimate := d.estimates[q.class]
	if estimate == nil {
		d.evictEstimate()
		estimate = &callEstimate{class: q.class}
		d.estimates[estimate.class] = estimate
	}
	estimate.lastUsed = d.submitted
	admission.UpdateEWMA(&estimate.duration, float64(o.Duration))
	if o.TimeToFirstByte > 0 {
		admission.UpdateEWMA(&estimate.timeToFirstByte, float64(o.TimeToFirstByte))
	}
	admission.UpdateEWMA(&s.meanDuration, float64(o.Duration))
}

func (d *Dispatcher) evictEstimate() {
	if len(d.estimates) < maxEstimates {
		return
	}
	var oldest *callEstimate
	for _, e := range d.estimates {
		if oldest == nil || e.lastUsed < oldest.lastUsed || e.lastUsed == oldest.lastUsed && e.class.less(oldest.class) {
			oldest = e
		}
	}
	delete(d.estimates, oldest.class)
}

// less orders classes, so that evictions do not depend on map order.
func (k callClass) less(other callClass) bool {
	return cmp.Or(cmp.Compare(k.service, other.service), cmp.Compare(k.route, other.route), k.size-other.size) < 0
}

func classOf(r *Request) callClass {
	return callClass{r.Service, r.Route, bits.Len(uint(max(0, r.InputTokens+outputTokenWeight*r.MaxOutputTokens)))}
}
