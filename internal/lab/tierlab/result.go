package tierlab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"emberquay/internal/lab/referee/tierrules"
)

// Served is what became of the tries of one kind of request.
type Served struct {
	Class    string
	Tries    int
	Whole    int // served whole
	Refused  int // with a promise that nothing ran
	Failed   int // any other end
	Median   time.Duration
	Slowest1 time.Duration // the 99th of a hundred
}

const (
	// Latencies are counted from a microsecond to a minute, to three digits.
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
	if l.late > lateAtMost {
		l.notes = append(l.notes, fmt.Sprintf("the machine was busy: for %s this program did not run; take the figures with care",
			l.late.Round(10*time.Millisecond)))
	}
	seen := l.seen
	seen.From, seen.To, seen.Requests, seen.Runs = time.Duration(l.trafficFrom.Load()), h.TrafficEnd, h.Requests, h.Runs
	return &Result{Verdict: tierrules.Judge(h), Served: byClass(h.Requests), Programs: l.count.outcomes,
		Crashes: l.record.crashes, Notes: l.notes, Took: took, Recording: &seen}
}

// byClass counts what became of requests.
func byClass(requests []*tierrules.Request) []Served {
	classes := map[string]*Served{}
	latencies := map[string]*hdrhistogram.Histogram{}
	for _, r := range requests {
		s := classes[r.Class]
		if s == nil {
			s = &Served{Class: r.Class}
			classes[r.Class] = s
			latencies[r.Class] = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
		}
		s.Tries++
		switch {
		case r.Answer != nil && r.Answer.Complete && r.Answer.Status/100 == 2:
			s.Whole++
			_ = latencies[r.Class].RecordValue((r.Ended - r.Sent).Microseconds()) // beyond the range: not counted
		case r.Answer != nil && (r.Answer.Status == 503 || r.Answer.Status == 429):
			s.Refused++
		default:
			s.Failed++
		}
	}
	var list []Served
	for name, s := range classes {
		s.Median = time.Duration(latencies[name].ValueAtQuantile(50)) * time.Microsecond
		s.Slowest1 = time.Duration(latencies[name].ValueAtQuantile(99)) * time.Microsecond
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Served) int { return cmp.Compare(a.Class, b.Class) })
	return list
}
