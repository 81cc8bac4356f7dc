package proxy

import (
	"time"

	"github.com/apex/log"

	"emberquay/admission/dispatch"
)

// Options configures a Proxy. ClientAddress, ReadinessAddress, Store and Logger are required.
type Options struct {
	ClientAddress    string // address for clients, host:port
	ReadinessAddress string // address for the platform's question

	Store  TurnStore
	Logger log.Interface
	Zone   string // receivers of the own zone are preferred
	Seed   uint64 // of chance: the choice among targets, the dispatcher

	// LiveProxyCount is how many proxies share the receivers' connections, this one among them; nil: one.
	LiveProxyCount func() int
	// PollAssigned says whether this proxy is the one that asks a receiver for its report; nil: always.
	PollAssigned func(dispatch.InstanceID) bool
	// PublishReport spreads a report that this proxy took; nil: nobody else wants it. It must not block.
	PublishReport func(dispatch.InstanceID, dispatch.Report)

	ReportInterval   time.Duration   // between two reports of a receiver; default 250 ms
	ShutdownDelay    time.Duration   // how long a stopping process goes on accepting; default 2.3 s
	endShutdownDelay <-chan struct{} // ends the notice early; for tests
	// configurationWait is how long a request that comes before any configuration is held for one; default 200 ms. For tests.
	configurationWait time.Duration

	MaxBodyMemoryBytes     int64 // bytes of bodies in hand; default 32 MiB
	MaxClientConnections   int   // connections of clients; default 2048
	MaxReceiverConnections int   // connections to all receivers; default 1024
}

const (
	defaultReportInterval = 250 * time.Millisecond
	// defaultShutdownDelay: the platform asks every second and stops sending connections after two misses.
	defaultShutdownDelay = 2300 * time.Millisecond
	// defaultConfigurationWait: a process that starts knows the configuration after some 100 ms. A refusal in that time would
	// use up a try of clients that have found nobody else.
	defaultConfigurationWait      = 200 * time.Millisecond
	defaultMaxBodyMemoryBytes     = 32 << 20
	defaultMaxClientConnections   = 2048
	defaultMaxReceiverConnections = 1024
)

func (o *Options) setDefaults() {
	if o.LiveProxyCount == nil {
		o.LiveProxyCount = func() int { return 1 }
	}
	if o.PollAssigned == nil {
		o.PollAssigned = func(dispatch.InstanceID) bool { return true }
	}
	if o.PublishReport == nil {
		o.PublishReport = func(dispatch.InstanceID, dispatch.Report) {}
	}
	if o.ReportInterval <= 0 {
		o.ReportInterval = defaultReportInterval
	}
	if o.ShutdownDelay <= 0 {
		o.ShutdownDelay = defaultShutdownDelay
	}
	if o.configurationWait <= 0 {
		o.configurationWait = defaultConfigurationWait
	}
	if o.MaxBodyMemoryBytes <= 0 {
		o.MaxBodyMemoryBytes = defaultMaxBodyMemoryBytes
	}
	if o.MaxClientConnections <= 0 {
		o.MaxClientConnections = defaultMaxClientConnections
	}
	if o.MaxReceiverConnections <= 0 {
		o.MaxReceiverConnections = defaultMaxReceiverConnections
	}
}
