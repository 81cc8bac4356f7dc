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
	// Histograms count microseconds up to ten minutes with three significant digits.
	lowestLatencyMicros      = 1
	highestLatencyMicros     = 600_000_000
	latencySignificantDigits = 3
)

// latencies is a histogram of durations in microseconds.
type latencies struct{ *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(lowestLatencyMicros, highestLatencyMicros, latencySignificantDigits)}
}

func (l latencies) add(d time.Duration) {
	_ = l.RecordValue(min(max(d.Microseconds(), lowestLatencyMicros), highestLatencyMicros)) // clamped, so it cannot fail
}

// valueAtPercentile returns the latency at a percentile from 0 to 100.
func (l latencies) valueAtPercentile(percentile float64) time.Duration {
	return time.Duration(l.ValueAtQuantile(percentile)) * time.Microsecond
}

// outcome classifies how a try ended.
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

// firstEventTime returns when the first event of a stream arrived or when a plain answer was complete. It
// returns false if that never happened.
func firstEventTime(r *tierrules.Request) (time.Duration, bool) {
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

// firstEventLatencies returns the latencies to the first event, by request class.
func firstEventLatencies(requests []*tierrules.Request) map[string]latencies {
	byClass := map[string]latencies{}
	for _, r := range requests {
		at, ok := firstEventTime(r)
		if !ok {
			continue
		}
		if byClass[r.Class].Histogram == nil {
			byClass[r.Class] = newLatencies()
		}
		byClass[r.Class].add(at - r.Sent)
	}
	return byClass
}

// programDurations returns the durations of the programs, by outcome.
func programDurations(programs []tierlab.ProgramRun) map[tierlab.Outcome]latencies {
	byOutcome := map[tierlab.Outcome]latencies{}
	for _, p := range programs {
		if byOutcome[p.Outcome].Histogram == nil {
			byOutcome[p.Outcome] = newLatencies()
		}
		byOutcome[p.Outcome].add(p.Ended - p.Started)
	}
	return byOutcome
}

// point is a value at a time, in seconds since the start of traffic.
type point struct{ atSeconds, value float64 }

// valuesPerSecond aggregates the items of each second of the traffic into one value. Seconds whose value is NaN
// are left out.
func valuesPerSecond[T any](
	rec *tierlab.Recording, items []T, at func(T) time.Duration, aggregate func([]T) float64,
) []point {
	bins := make([][]T, int((rec.To-rec.From)/time.Second)+1)
	for _, item := range items {
		if bin := int((at(item) - rec.From) / time.Second); at(item) >= rec.From && bin < len(bins) {
			bins[bin] = append(bins[bin], item)
		}
	}
	var points []point
	for bin, in := range bins {
		if value := aggregate(in); !math.IsNaN(value) {
			points = append(points, point{atSeconds: float64(bin) + 0.5, value: value})
		}
	}
	return points
}

// receiverStats holds the statistics of one receiver over the day.
type receiverStats struct {
	instance, service string
	slots             int
	samples           int
	runningSum        float64 // running requests, summed over the samples
	maxOutstanding    int     // largest number of running and queued requests
	runs              int
	abortedRuns       int
}

// receiverStatsOf returns the statistics of each receiver, sorted by service and name.
func receiverStatsOf(rec *tierlab.Recording) []receiverStats {
	byInstance := map[string]*receiverStats{}
	statsFor := func(instance, service string) *receiverStats {
		if byInstance[instance] == nil {
			byInstance[instance] = &receiverStats{instance: instance, service: service}
		}
		return byInstance[instance]
	}
	for _, load := range rec.Loads {
		stats := statsFor(load.Instance, load.Service)
		stats.samples++
		stats.slots = load.Slots
		stats.runningSum += float64(load.Running)
		stats.maxOutstanding = max(stats.maxOutstanding, load.Running+load.Queued)
	}
	for _, run := range rec.Runs {
		stats := statsFor(run.Instance, run.Service)
		stats.runs++
		if run.Aborted {
			stats.abortedRuns++
		}
	}
	var list []receiverStats
	for _, instance := range slices.Sorted(maps.Keys(byInstance)) {
		list = append(list, *byInstance[instance])
	}
	slices.SortStableFunc(list, func(a, b receiverStats) int { return cmp.Compare(a.service, b.service) })
	return list
}

// serviceLoad holds the total load of the receivers of a service at each sample; outstanding counts running and
// queued requests.
type serviceLoad struct{ slots, running, outstanding []point }

// loadsByService sums the load samples of the receivers of each service.
func loadsByService(rec *tierlab.Recording) map[string]*serviceLoad {
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
	byService := map[string]*serviceLoad{}
	for service, sumsByTime := range sums {
		l := &serviceLoad{}
		for _, at := range slices.Sorted(maps.Keys(sumsByTime)) {
			x, s := (at - rec.From).Seconds(), sumsByTime[at]
			l.slots = append(l.slots, point{x, float64(s.slots)})
			l.running = append(l.running, point{x, float64(s.running)})
			l.outstanding = append(l.outstanding, point{x, float64(s.inHand)})
		}
		byService[service] = l
	}
	return byService
}
