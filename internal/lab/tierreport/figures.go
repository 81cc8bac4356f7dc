package tierreport

import (
	"cmp"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierlab"
)

const (
	// Latencies are counted in microseconds up to ten minutes, to three digits.
	lowestLatency  = 1
	highestLatency = 600_000_000
	latencyDigits  = 3
)

// latencies is a histogram of spans.
type latencies struct{ *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

func (l latencies) add(d time.Duration) {
	_ = l.RecordValue(min(max(d.Microseconds(), lowestLatency), highestLatency)) // within the range
}

// at is the latency that a share of all, in percent, does not exceed.
func (l latencies) at(percent float64) time.Duration {
	return time.Duration(l.ValueAtQuantile(percent)) * time.Microsecond
}

// outcome is what became of a try.
type outcome int

const (
	failed outcome = iota
	refused
	served
)

func outcomeOf(r *tierrules.Request) outcome {
	switch {
	case r.Answer == nil:
		return failed
	case r.Answer.Complete && r.Answer.Status/100 == 2:
		return served
	case r.Answer.Status == http.StatusServiceUnavailable, r.Answer.Status == http.StatusTooManyRequests:
		return refused
	}
	return failed
}

// firstEvent is when a request's first event came, of an answer that is no stream when it had come whole;
// false: never.
func firstEvent(r *tierrules.Request) (time.Duration, bool) {
	if r.Answer == nil || r.Answer.Status/100 != 2 {
		return 0, false
	}
	if r.Kind != tierrules.Streaming {
		return r.Ended, r.Answer.Complete
	}
	if len(r.Answer.Events) == 0 {
		return 0, false
	}
	return r.Answer.Events[0].At, true
}

// firstEvents are the latencies to the first event, by class.
func firstEvents(requests []*tierrules.Request) map[string]latencies {
	by := map[string]latencies{}
	for _, r := range requests {
		at, came := firstEvent(r)
		if !came {
			continue
		}
		if by[r.Class].Histogram == nil {
			by[r.Class] = newLatencies()
		}
		by[r.Class].add(at - r.Sent)
	}
	return by
}

// programTimes are the programs' times, by outcome.
func programTimes(programs []tierlab.ProgramRun) map[tierlab.Outcome]latencies {
	by := map[tierlab.Outcome]latencies{}
	for _, p := range programs {
		if by[p.Outcome].Histogram == nil {
			by[p.Outcome] = newLatencies()
		}
		by[p.Outcome].add(p.Ended - p.Began)
	}
	return by
}

// point is a figure at an instant, seconds since traffic began.
type point struct{ at, value float64 }

// binned gives for each second of the traffic a figure of what falls into it; seconds of which there is none,
// NaN, are left out.
func binned[T any](
	rec *tierlab.Recording, items []T, at func(T) time.Duration, figure func([]T) float64,
) []point {
	bins := make([][]T, int((rec.To-rec.From)/time.Second)+1)
	for _, item := range items {
		if bin := int((at(item) - rec.From) / time.Second); at(item) >= rec.From && bin < len(bins) {
			bins[bin] = append(bins[bin], item)
		}
	}
	var points []point
	for bin, in := range bins {
		if value := figure(in); !math.IsNaN(value) {
			points = append(points, point{at: float64(bin) + 0.5, value: value})
		}
	}
	return points
}

// receiverFigures are those of one receiver over the day.
type receiverFigures struct {
	instance, service string
	slots             int
	looks             int
	busy              float64 // running requests, sum over the looks
	most              int     // running and queued
	runs              int
	brokeOff          int
}

// receivers gives the figures of each receiver, in the order of service and name.
func receivers(rec *tierlab.Recording) []receiverFigures {
	by := map[string]*receiverFigures{}
	of := func(instance, service string) *receiverFigures {
		if by[instance] == nil {
			by[instance] = &receiverFigures{instance: instance, service: service}
		}
		return by[instance]
	}
	for _, load := range rec.Loads {
		f := of(load.Instance, load.Service)
		f.looks++
		f.slots = load.Slots
		f.busy += float64(load.Running)
		f.most = max(f.most, load.Running+load.Queued)
	}
	for _, run := range rec.Runs {
		f := of(run.Instance, run.Service)
		f.runs++
		if run.Aborted {
			f.brokeOff++
		}
	}
	var list []receiverFigures
	for _, instance := range slices.Sorted(maps.Keys(by)) {
		list = append(list, *by[instance])
	}
	slices.SortStableFunc(list, func(a, b receiverFigures) int { return cmp.Compare(a.service, b.service) })
	return list
}

// serviceLoad is what the receivers of a service have in hand together, at each look.
type serviceLoad struct{ slots, running, inHand []point }

// loads sums up the looks at receivers by service.
func loads(rec *tierlab.Recording) map[string]*serviceLoad {
	type sum struct{ slots, running, inHand int }
	sums := map[string]map[time.Duration]*sum{}
	for _, load := range rec.Loads {
		if sums[load.Service] == nil {
			sums[load.Service] = map[time.Duration]*sum{}
		}
		s := sums[load.Service][load.At]
		if s == nil {
			s = &sum{}
			sums[load.Service][load.At] = s
		}
		s.slots += load.Slots
		s.running += load.Running
		s.inHand += load.Running + load.Queued
	}
	by := map[string]*serviceLoad{}
	for service, looks := range sums {
		l := &serviceLoad{}
		for _, at := range slices.Sorted(maps.Keys(looks)) {
			x, s := (at - rec.From).Seconds(), looks[at]
			l.slots = append(l.slots, point{x, float64(s.slots)})
			l.running = append(l.running, point{x, float64(s.running)})
			l.inHand = append(l.inHand, point{x, float64(s.inHand)})
		}
		by[service] = l
	}
	return by
}
