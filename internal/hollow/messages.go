package hollow

import (
	"time"

	"emberquay/internal/settings"
)

// Host is a worker as the measurement sees it: in this process or in a child. Times are of the machine's clock,
// which all processes share.
type Host interface {
	// Start starts planes one after the other.
	Start(StartRequest) error
	Status() (Status, error)
	Sample() (Sample, error)
	// Restart ends proxies and starts them again after a pause.
	Restart(RestartRequest) error
	// Reports has the worker's proxies share made-up reports, or stop it.
	Reports(ReportsRequest) error
	// Sightings gives what was seen since the last call.
	Sightings() ([]Sighting, error)
	Close() error
}

// StartRequest names the planes of a worker.
type StartRequest struct {
	Controls, Proxies []settings.Node
	Spacing           time.Duration
}

// RestartRequest names proxies. Abrupt ones end as their process would if it were killed.
type RestartRequest struct {
	Names  []string
	Abrupt bool
	Pause  time.Duration
}

// ReportsRequest tells which receivers' reports the worker's proxies share in turn; Interval 0 stops them.
type ReportsRequest struct {
	Receivers []string
	Interval  time.Duration // between two reports of the worker
}

// Status is the least that any of a worker's proxies knows, restarting ones apart.
type Status struct {
	Running       int    // planes
	Configuration uint64 // version
	Receivers     int    // that are not gone
	LiveNodes     int
	Unsettled     string // a plane that knows least, for messages
}

// Sample is what a worker's process has used and holds.
type Sample struct {
	At        time.Time
	CPU       time.Duration // user and system, since its start
	Resident  int64         // bytes
	Heap      int64         // bytes live after the last collection
	Threads   int           // goroutines
	Internal  Traffic       // on the tier's own ports
	API       Traffic       // on the operator's and the receivers' port
	Sockets   int           // connected ends
	Delivered int64         // reports that came to the worker's proxies from others, since these started
}

// Traffic is what went over sockets that are still open.
type Traffic struct {
	Sent, Received int64 // bytes of payload
	Packets        int64 // sent, those without payload too
}

// Sighting is the moment at which a proxy knew of a change.
type Sighting struct {
	Node string
	What string // see configurationSeen and drainSeen
	At   time.Time
}
