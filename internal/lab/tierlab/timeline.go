package tierlab

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"emberquay/internal/lab/referee/tierrules"
)

// Moment is an event of a day that explains a breach.
type Moment struct {
	At   time.Duration
	What string
}

// String returns the moment as a line.
func (m Moment) String() string { return fmt.Sprintf("%7.3fs  %s", m.At.Seconds(), m.What) }

// timeline returns the faults that the referee judged by and the acknowledgements of changes, in order.
func timeline(h *tierrules.History) []Moment {
	var moments []Moment
	for _, f := range h.Faults {
		machine := f.Machine
		if f.Core {
			machine += " (core)"
		}
		moments = append(moments, Moment{At: f.From, What: fmt.Sprintf("%s %s, until %.3fs", f.Kind, machine, f.To.Seconds())})
	}
	for _, c := range h.ConfigChanges {
		for _, attempt := range c.Attempts {
			if attempt.Status == http.StatusOK {
				moments = append(moments, Moment{At: attempt.Ended, What: fmt.Sprintf("version %d on %d acknowledged: %s", c.Version, c.BaseVersion, c.Name)})
				break
			}
		}
	}
	slices.SortStableFunc(moments, func(a, b Moment) int { return cmp.Compare(a.At, b.At) })
	return moments
}
