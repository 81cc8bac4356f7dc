package proxy

import (
	"time"

	"github.com/apex/log"

	"emberquay/admission/dispatch"
)

// Options configures a Proxy. ClientAddress, ReadinessAddress, Store and Logger are required.
type Options struct {
	ClientAddress    string // host:port on which clients are accepted
	ReadinessAddress string // host:port of the platform's readiness check

	Store  TurnStore
	Logger log.Interface
	Zone   string // receivers in this zone are preferred
	Seed   uint64 // of the random choices of route targets and of the dispatcher

	// LiveProxyCount returns how many proxies share the receivers' connections, including this one; nil: one.
	LiveProxyCount func() int
	// PollAssigned reports whether this proxy polls the receiver for its report; nil: always.
	PollAssigned func(dispatch.InstanceID) bool
	// PublishReport sends a report polled by this proxy to other proxies; nil: none. It must not block.
	PublishReport func(dispatch.InstanceID, dispatch.Report)

	ReportInterval   time.Duration   // between two polls of a receiver; default 250 ms
	ShutdownDelay    time.Duration   // how long a stopping proxy still accepts connections; default 2.3 s
	endShutdownDelay <-chan struct{} // ends the delay early; for tests
	// configurationWait bounds the wait for the first configuration; default 200 ms. Set by tests.
	configurationWait time.Duration

	MaxBodyMemoryBytes     int64 // memory for buffered bodies; default 32 MiB
	MaxClientConnections   int   // default 2048
	MaxReceiverConnections int   // to all receivers together; default 1024
}

const (
	defaultReportInterval = 250 * time.Millisecond
	// defaultShutdownDelay leaves time for the platform, which checks readiness every second and stops sending connections
	// after two failures.
	defaultShutdownDelay = 2300 * time.Millisecond
	// defaultConfigurationWait exceeds the 100 ms or so that a starting process needs to learn the configuration. A refusal
	// in that time would use up an attempt of clients that found no other proxy.
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
