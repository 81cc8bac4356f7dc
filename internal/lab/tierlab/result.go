package tierlab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"emberquay/internal/lab/referee/tierrules"
)

// ClassSummary counts the attempts of one class of requests by result.
type ClassSummary struct {
	Class     string
	Attempts  int
	Completed int // answered completely with a 2xx
	Refused   int // 429 or 503, which promise that nothing was executed
	Failed    int // any other result
	Median    time.Duration
	P99       time.Duration
}

const (
	// Latencies are recorded from a microsecond to a minute, to three significant digits.
	lowestLatency  = 1
	highestLatency = 60_000_000
	latencyDigits  = 3
)

func (l *lab) result(took time.Duration) *Result {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	h := &l.record.history
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxSampleDelay > maxTolerableDelay {
		l.notes = append(l.notes, fmt.Sprintf("the machine was busy: for %s this program did not run; take the figures with care",
			l.maxSampleDelay.Round(10*time.Millisecond)))
	}
	seen := l.recording
	seen.From, seen.To, seen.Requests, seen.Runs = time.Duration(l.trafficStart.Load()), h.TrafficEnd, h.Requests, h.Runs
	return &Result{Verdict: tierrules.Judge(h), Classes: summarizeByClass(h.Requests), ProgramOutcomes: l.programCounts.outcomes,
		Crashes: l.record.crashes, Notes: l.notes, Timeline: timeline(h), Elapsed: took, Recording: &seen}
}

// summarizeByClass counts requests by class and result.
func summarizeByClass(requests []*tierrules.Request) []ClassSummary {
	classes := map[string]*ClassSummary{}
	latencies := map[string]*hdrhistogram.Histogram{}
	for _, r := range requests {
		s := classes[r.Class]
		if s == nil {
			s = &ClassSummary{Class: r.Class}
			classes[r.Class] = s
			latencies[r.Class] = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
		}
		s.Attempts++
		switch {
		case r.Answer != nil && r.Answer.Complete && r.Answer.Status/100 == 2:
			s.Completed++
			_ = latencies[r.Class].RecordValue((r.Ended - r.Sent).Microseconds()) // values beyond the range are not counted
		case r.Answer != nil && (r.Answer.Status == 503 || r.Answer.Status == 429):
			s.Refused++
		default:
			s.Failed++
		}
	}
	var list []ClassSummary
	for name, s := range classes {
		s.Median = time.Duration(latencies[name].ValueAtQuantile(50)) * time.Microsecond
		s.P99 = time.Duration(latencies[name].ValueAtQuantile(99)) * time.Microsecond
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b ClassSummary) int { return cmp.Compare(a.Class, b.Class) })
	return list
}
