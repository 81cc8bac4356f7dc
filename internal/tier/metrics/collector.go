package metrics

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"emberquay/internal/lateness"
	"emberquay/internal/tier/nodestatus"
)

const namespace = "emberquay"

// collector converts one status of the process to metrics at each scrape.
type collector struct {
	collect  Collect
	lateness *lateness.Monitor
}

func newCollector(collect Collect, monitor *lateness.Monitor) collector {
	return collector{collect: collect, lateness: monitor}
}

// newDesc returns the description of a metric; its name consists of the parts that are not empty.
func newDesc(subsystem, name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, subsystem, name), help, labels, nil)
}

// The metrics. A process exposes only the subsystem of its own role.
var (
	up                   = newDesc("", "up", "Whether the process could look at itself in time.")
	uptime               = newDesc("", "uptime_seconds", "Time since the start.")
	timerLateness        = newDesc("", "timer_lateness_seconds", "By how much the process's timers were late at the worst, over the last 10 to 20 s.")
	configurationVersion = newDesc("", "configuration_version", "Version of the operator's configuration that is in force here; 0: none yet.")
	nodes                = newDesc("", "nodes", "Processes of the tier that are known here.", "role", "state")
	receivers            = newDesc("", "receivers", "Receivers that are known here.", "state")

	controlMember      = newDesc("control", "member", "Whether this replica is a member of the view.")
	controlEpoch       = newDesc("control", "view_epoch", "Epoch of the view.")
	controlMembers     = newDesc("control", "view_members", "Members that vote.")
	controlChainLength = newDesc("control", "chain_length", "Members of the chain: the disks on which a change is before it is acknowledged.")
	controlStoreEpoch  = newDesc("control", "store_view_epoch", "Epoch of the store view as known here; 0: none.")
	controlStoreLosses = newDesc("control", "store_losses_tolerated", "Stores that may be lost now: fault_tolerance less those that have failed and whose records are being copied.")
	controlDegraded    = newDesc("control", "store_losses_degraded_seconds", "Time since fewer losses than fault_tolerance are borne; 0: they are.")

	storeComplete     = newDesc("store", "complete", "Whether the store lacks nothing that was acknowledged as far as it knows.")
	storeRetiring     = newDesc("store", "retiring", "Whether the store is being emptied.")
	storeMember       = newDesc("store", "member", "Whether the store is a member of the view by which it works.")
	storeEpoch        = newDesc("store", "view_epoch", "Epoch of that view; 0: none.")
	storeMembers      = newDesc("store", "view_members", "Stores of that view.")
	storeTurns        = newDesc("store", "turns", "Turns that are kept.")
	storeTurnBytes    = newDesc("store", "turn_bytes", "Size of the turns that are kept, on the disk.")
	storePrograms     = newDesc("store", "programs", "Programs of which budgets are kept.")
	storeReservations = newDesc("store", "reservations", "Reservations of all programs, settled ones too.")
	storeRingBytes    = newDesc("store", "ring_bytes", "Size of all segments that the ring may have.")
	storeFreeBytes    = newDesc("store", "ring_free_bytes", "Size of the segments that hold nothing.")

	proxyReady         = newDesc("proxy", "ready", "Whether clients may come.")
	proxyInFlight      = newDesc("proxy", "requests_in_hand", "Requests that were read and are not answered.")
	proxyRequests      = newDesc("proxy", "requests_total", "Requests that came to admission.")
	proxyRefusals      = newDesc("proxy", "refusals_total", "Requests that admission refused with the wait, or ended after a call that failed.", "reason")
	proxyAttempts      = newDesc("proxy", "attempts_total", "Calls to receivers that admission let go.")
	proxyQueueLength   = newDesc("proxy", "queue_length", "Requests that are held.")
	proxyCallsInFlight = newDesc("proxy", "calls_out", "Calls to receivers that are out.")
	proxyAllowance     = newDesc("proxy", "allowance", "Calls that all receivers together may get now, as learnt here.")
	proxyShutdownPhase = newDesc("proxy", "stop_phase", "0: serving; 1: told to stop and accepting; 2: serving what has been read.")
)

// Describe sends no descriptions: the set of metrics depends on the role.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect collects the status of the process once and sends its metrics.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	status, err := c.collect(ctx)
	out := sink{metrics}
	out.gauge(up, boolValue(err == nil))
	out.gauge(timerLateness, c.lateness.Max().Seconds())
	if err != nil {
		return
	}
	out.common(status)
	if status.Control != nil {
		out.control(*status.Control)
	}
	if status.Store != nil {
		out.store(*status.Store)
	}
	if status.Proxy != nil {
		out.proxy(*status.Proxy)
	}
}

// sink sends metrics to the channel of a scrape.
type sink struct{ metrics chan<- prometheus.Metric }

func (s sink) gauge(d *prometheus.Desc, value float64, labels ...string) {
	s.metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}

func (s sink) counter(d *prometheus.Desc, value float64, labels ...string) {
	s.metrics <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, value, labels...)
}

func boolValue(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func (s sink) common(status nodestatus.Status) {
	s.gauge(uptime, float64(status.UptimeMillis)/1000)
	s.gauge(configurationVersion, float64(status.ConfigurationVersion))
	for _, n := range status.Nodes {
		s.gauge(nodes, float64(n.Alive), n.Role, "alive")
		s.gauge(nodes, float64(n.Known-n.Alive), n.Role, "gone")
	}
	s.gauge(receivers, float64(status.Receivers.Ready), "ready")
	s.gauge(receivers, float64(status.Receivers.Draining), "draining")
	s.gauge(receivers, float64(status.Receivers.Silent), "silent")
}

func (s sink) control(c nodestatus.Control) {
	s.gauge(controlMember, boolValue(c.Member))
	s.gauge(controlEpoch, float64(c.Epoch))
	s.gauge(controlMembers, float64(len(c.Members)))
	s.gauge(controlChainLength, float64(len(c.Chain)))
	s.gauge(controlStoreEpoch, float64(c.StoreEpoch))
	if redundancy := c.StoreRedundancy; redundancy != nil {
		s.gauge(controlStoreLosses, float64(redundancy.ToleratedLosses))
		s.gauge(controlDegraded, redundancy.DegradedTime.Seconds())
	}
}

func (s sink) store(store nodestatus.Store) {
	s.gauge(storeComplete, boolValue(store.Complete))
	s.gauge(storeRetiring, boolValue(store.Retiring))
	s.gauge(storeMember, boolValue(store.Member))
	s.gauge(storeEpoch, float64(store.Epoch))
	s.gauge(storeMembers, float64(store.Members))
	s.gauge(storeTurns, float64(store.Turns))
	s.gauge(storeTurnBytes, float64(store.TurnBytes))
	s.gauge(storePrograms, float64(store.Programs))
	s.gauge(storeReservations, float64(store.Reservations))
	s.gauge(storeRingBytes, float64(store.RingBytes))
	s.gauge(storeFreeBytes, float64(store.FreeBytes))
}

func (s sink) proxy(p nodestatus.Proxy) {
	s.gauge(proxyReady, boolValue(p.Ready))
	s.gauge(proxyInFlight, float64(p.InFlight))
	s.counter(proxyRequests, float64(p.Arrived))
	admission := p.Admission
	if admission == nil {
		return
	}
	for _, refused := range admission.Refusals {
		s.counter(proxyRefusals, float64(refused.Count), refused.Reason)
	}
	s.counter(proxyAttempts, float64(admission.Attempts))
	s.gauge(proxyQueueLength, float64(admission.Queued))
	s.gauge(proxyCallsInFlight, float64(admission.InFlight))
	s.gauge(proxyAllowance, float64(admission.Allowance))
	s.gauge(proxyShutdownPhase, float64(admission.ShutdownPhase))
}
