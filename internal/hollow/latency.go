package hollow

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// mostLatency bounds what the histograms hold.
const mostLatency = 10 * time.Minute

// change is one change that the nodes have to hear of.
type change struct {
	what         string
	version      uint64 // of a configuration: a later one makes it known too
	began        time.Time
	acknowledged time.Time
}

// spread follows changes until the nodes that have to know them do.
type spread struct {
	expected map[string]bool // names of nodes
	changes  []change
	seen     map[string]map[string]time.Time // by what, by node
}

func newSpread(expected []string) *spread {
	s := &spread{expected: map[string]bool{}, seen: map[string]map[string]time.Time{}}
	for _, name := range expected {
		s.expected[name] = true
	}
	return s
}

// take notes sightings: the first of each node counts.
func (s *spread) take(list []Sighting) {
	for _, sighting := range list {
		if !s.expected[sighting.Node] {
			continue
		}
		byNode := s.seen[sighting.What]
		if byNode == nil {
			byNode = map[string]time.Time{}
			s.seen[sighting.What] = byNode
		}
		if _, known := byNode[sighting.Node]; !known {
			byNode[sighting.Node] = sighting.At
		}
	}
}

// knownAt tells when a node knew of a change.
func (s *spread) knownAt(c change, node string) (time.Time, bool) {
	at, known := s.seen[c.what][node]
	if known || c.version == 0 {
		return at, known
	}
	for _, later := range s.changes { // two that come quickly one after the other may be told as one
		if later.version > c.version {
			if at, known := s.seen[later.what][node]; known {
				return at, true
			}
		}
	}
	return time.Time{}, false
}

// complete tells whether all know all.
func (s *spread) complete() bool {
	for _, c := range s.changes {
		for name := range s.expected {
			if _, known := s.knownAt(c, name); !known {
				return false
			}
		}
	}
	return true
}

// latency sums up the changes of a kind.
func (s *spread) latency(configuration bool) Latency {
	acknowledged, byNode := newHistogram(), newHistogram()
	var l Latency
	for _, c := range s.changes {
		if c.version > 0 != configuration {
			continue
		}
		l.Changes++
		record(acknowledged, c.acknowledged.Sub(c.began))
		for name := range s.expected {
			at, known := s.knownAt(c, name)
			if !known {
				l.Missing++
				continue
			}
			l.Known++
			record(byNode, at.Sub(c.began))
		}
	}
	l.Acknowledged, l.ByNode = percentiles(acknowledged), percentiles(byNode)
	return l
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(mostLatency/time.Microsecond), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(int64(d/time.Microsecond), int64(mostLatency/time.Microsecond))))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(quantile float64) float64 {
		return milliseconds(time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond)
	}
	return Percentiles{P50: at(50), P99: at(99), Most: milliseconds(time.Duration(h.Max()) * time.Microsecond)}
}
