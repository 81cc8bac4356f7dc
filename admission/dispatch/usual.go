package dispatch

import (
	"cmp"
	"math/bits"
	"time"

	"emberquay/admission"
)

const (
	// maxEstimates bounds the kinds of calls whose usual time is kept; past it the least recently used goes.
	maxEstimates = 1024
	// outputTokenWeight: a token that is generated takes about as long as so many that are read.
	outputTokenWeight = 10
	// defaultDuration is what a usual call takes until the first answer where the route tells no objective.
	defaultDuration = 100 * time.Millisecond
)

// callClass names a kind of call: those of a route, by doubling size.
type callClass struct {
	service, route string
	size           int
}

// callEstimate is what a call of a kind takes as a rule.
type callEstimate struct {
	class           callClass
	duration        float64 // nanoseconds to the end; 0: none has ended
	timeToFirstByte float64 // to the first byte
	lastUsed        uint64
}

// total is the time to the end of the answer.
func (e *callEstimate) total() time.Duration { return time.Duration(e.duration) }

// firstByte is the time to the first byte, which a stream's objective bounds.
func (e *callEstimate) firstByte() time.Duration {
	return time.Duration(cmp.Or(e.timeToFirstByte, e.duration))
}

// estimate finds what a call for the request takes as a rule; until the first answer that of the service, or a
// guess: half of the objective.
func (d *Dispatcher) estimate(s *service, q *request) *callEstimate {
	if e := d.estimates[q.class]; e != nil {
		return e
	}
	guess := cmp.Or(s.meanDuration, float64(q.TargetLatency/2), float64(defaultDuration))
	d.defaultEstimate = callEstimate{duration: guess, timeToFirstByte: guess}
	return &d.defaultEstimate
}

// updateEstimate takes the times of a call that was answered.
func (d *Dispatcher) updateEstimate(s *service, q *request, o Outcome) {
	estimate := d.estimates[q.class]
	if estimate == nil {
		d.evictEstimate()
		estimate = &callEstimate{class: q.class}
		d.estimates[estimate.class] = estimate
	}
	estimate.lastUsed = d.submitted
	admission.Smooth(&estimate.duration, float64(o.Duration))
	if o.TimeToFirstByte > 0 {
		admission.Smooth(&estimate.timeToFirstByte, float64(o.TimeToFirstByte))
	}
	admission.Smooth(&s.meanDuration, float64(o.Duration))
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

// less orders keys, so that what is forgotten does not hang on the order of a map.
func (k callClass) less(other callClass) bool {
	return cmp.Or(cmp.Compare(k.service, other.service), cmp.Compare(k.route, other.route), k.size-other.size) < 0
}

func classOf(r *Request) callClass {
	return callClass{r.Service, r.Route, bits.Len(uint(max(0, r.InputTokens+outputTokenWeight*r.MaxOutputTokens)))}
}
