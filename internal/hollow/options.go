package hollow

import (
	"time"

	"github.com/rotisserie/eris"
)

// Bounds of a measurement: the machine has to bear it.
const (
	maxNodes     = 1000
	maxControls  = 9 // members of the control state's view
	maxReceivers = 2000
	maxZones     = 10
	maxWindow    = 2 * time.Minute
	maxChanges   = 200
	maxReports   = 400 // a second, of all receivers together
	// nodesPerWorker keeps a process under a usual bound of 20,000 descriptors: a connection that was opened is kept,
	// so that the ends at a node grow with the size of the fleet and the time. 100 nodes of 340 were over it.
	nodesPerWorker = 40
)

// Options of the measurement of one fleet.
type Options struct {
	Nodes, Controls, Receivers, Zones int

	Window       time.Duration // of rest, of restarts and of reports, each
	Changes      int           // of the configuration; as many receivers drain; again during the restarts
	Spacing      time.Duration // between two changes
	RestartShare float64       // of the nodes, once a window; half of them without a word
	Reports      []float64     // a second, of all receivers together: a window each

	Heartbeat          time.Duration // between two of a receiver
	ConfigurationBytes int           // at least
	StartSpacing       time.Duration // between the starts of two nodes; each start is news to all
	Patience           time.Duration // for all to know something
}

// Defaults fills what is not given.
func (o Options) Defaults() Options {
	fill(&o.Controls, 5)
	fill(&o.Zones, 5)
	fill(&o.Changes, 10)
	fill(&o.ConfigurationBytes, 20_000)
	fill(&o.Window, 20*time.Second)
	fill(&o.Spacing, time.Second)
	fill(&o.RestartShare, 0.03)
	fill(&o.Heartbeat, 1200*time.Millisecond)
	fill(&o.StartSpacing, 10*time.Millisecond)
	fill(&o.Patience, 2*time.Minute)
	return o
}

func fill[T comparable](field *T, value T) {
	var none T
	if *field == none {
		*field = value
	}
}

// workers is how many processes the proxies need.
func (o Options) workers() int { return (o.Nodes + nodesPerWorker - 1) / nodesPerWorker }

// Check refuses what the machine would not bear. Call it after Defaults.
func (o Options) Check() error {
	switch {
	case o.Nodes < 1 || o.Nodes > maxNodes:
		return eris.Errorf("nodes: %d, want 1 to %d", o.Nodes, maxNodes)
	case o.Controls < 1 || o.Controls > maxControls:
		return eris.Errorf("control planes: %d, want 1 to %d", o.Controls, maxControls)
	case o.Zones < 1 || o.Zones > maxZones:
		return eris.Errorf("zones: %d, want 1 to %d", o.Zones, maxZones)
	case o.Receivers < 0 || o.Receivers > maxReceivers:
		return eris.Errorf("receivers: %d, want up to %d", o.Receivers, maxReceivers)
	case o.Changes < 1 || o.Changes > maxChanges:
		return eris.Errorf("changes: %d, want 1 to %d", o.Changes, maxChanges)
	case 2*o.Changes > o.Receivers:
		return eris.Errorf("receivers: %d, want two for each change, to drain", o.Receivers)
	case o.Window <= 0 || o.Window > maxWindow:
		return eris.Errorf("window: %v, want up to %v", o.Window, maxWindow)
	case o.RestartShare < 0 || o.RestartShare > 0.5:
		return eris.Errorf("share of nodes that restart: %v, want up to 0.5", o.RestartShare)
	}
	for _, rate := range o.Reports {
		if rate <= 0 || rate > maxReports {
			return eris.Errorf("reports a second: %v, want up to %d", rate, maxReports)
		}
	}
	return nil
}
