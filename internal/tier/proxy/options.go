package proxy

import (
	"time"

	"github.com/apex/log"

	"emberquay/admission/dispatch"
)

// Options say how a data plane runs. Front, Readiness, Stores and Logger must be given.
type Options struct {
	Front     string // address for clients, host:port
	Readiness string // address for the platform's question

	Stores Stores
	Logger log.Interface
	Zone   string // receivers of the own zone are preferred
	Seed   uint64 // of chance: the choice among targets, the dispatcher

	// LiveProxies is how many proxies share the receivers' connections, this one among them; nil: one.
	LiveProxies func() int
	// Assigned says whether this proxy is the one that asks a receiver for its report; nil: always.
	Assigned func(dispatch.InstanceID) bool
	// PublishReport spreads a report that this proxy took; nil: nobody else wants it. It must not block.
	PublishReport func(dispatch.InstanceID, dispatch.Report)

	ReportInterval time.Duration   // between two reports of a receiver; default 250 ms
	Notice         time.Duration   // how long a stopping process goes on accepting; default 2.3 s
	notice         <-chan struct{} // ends the notice early; for tests
	// configurationWait is how long a request that comes before any configuration is held for one; default 200 ms. For tests.
	configurationWait time.Duration

	BodyMemory   int64 // bytes of bodies in hand; default 32 MiB
	MaxClients   int   // connections of clients; default 2048
	MaxReceivers int   // connections to all receivers; default 1024
}

const (
	defaultReportInterval = 250 * time.Millisecond
	// defaultNotice: the platform asks every second and stops sending connections after two misses.
	defaultNotice = 2300 * time.Millisecond
	// defaultConfigurationWait: a process that starts knows the configuration after some 100 ms. A refusal in that time would
	// use up a try of clients that have found nobody else.
	defaultConfigurationWait = 200 * time.Millisecond
	defaultBodyMemory        = 32 << 20
	defaultMaxClients        = 2048
	defaultMaxReceivers      = 1024
)

func (o *Options) fill() {
	if o.LiveProxies == nil {
		o.LiveProxies = func() int { return 1 }
	}
	if o.Assigned == nil {
		o.Assigned = func(dispatch.InstanceID) bool { return true }
	}
	if o.PublishReport == nil {
		o.PublishReport = func(dispatch.InstanceID, dispatch.Report) {}
	}
	if o.ReportInterval <= 0 {
		o.ReportInterval = defaultReportInterval
	}
	if o.Notice <= 0 {
		o.Notice = defaultNotice
	}
	if o.configurationWait <= 0 {
		o.configurationWait = defaultConfigurationWait
	}
	if o.BodyMemory <= 0 {
		o.BodyMemory = defaultBodyMemory
	}
	if o.MaxClients <= 0 {
		o.MaxClients = defaultMaxClients
	}
	if o.MaxReceivers <= 0 {
		o.MaxReceivers = defaultMaxReceivers
	}
}
