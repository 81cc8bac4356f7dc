package settings

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const (
	maxPort = 1<<16 - 1
	// maxSeconds limits durations to the range of time.Duration, with room for additions; it is over 30 years.
	maxSeconds = 1e9
)

// defaultBounds are used for the bounds that a file does not set.
var defaultBounds = Bounds{
	SeedListLag:        3 * time.Second,
	AddressReuseDelay:  2 * time.Second,
	ContactTimeout:     3 * time.Second,
	CommandRetryPeriod: 4 * time.Second,
	CatchUpTime:        4 * time.Second,
	DrainDelay:         2 * time.Second,
	TerminationGrace:   8 * time.Second,
	LossSlack:          200 * time.Millisecond,
	ConfigApplyDelay:   2 * time.Second,
	RollbackSlack:      250 * time.Millisecond,
	MaxClockSkew:       5 * time.Second,
	RecoveryTime:       12 * time.Second,
	EventForwardDelay:  120 * time.Millisecond,
	Again:              0,
	ProgramFinishTime:  10 * time.Second,
	TurnSettleTime:     time.Second,
}

// defaultHeartbeat is the heartbeat interval where a file does not set one.
const defaultHeartbeat = time.Second

// Parse reads the text of a settings file. Errors are of type *KeyError, or name the line and column where the text is
// not valid TOML.
func Parse(raw []byte) (*Node, error) {
	top, err := newTable(raw)
	if err != nil {
		return nil, err
	}
	node := &Node{
		Name:              top.requiredString("node_name"),
		Role:              top.optionalString("role"),
		MachineClass:      top.requiredString("machine_class"),
		IP:                top.ip("ip"),
		Zone:              top.requiredString("zone"),
		Region:            top.optionalString("region"),
		Serves:            top.requiredStrings("serves"),
		InternalPorts:     top.ports("internal_ports"),
		Seeds:             top.addresses("seed_nodes"),
		Bootstrap:         top.boolean("bootstrap"),
		CountsForQuorum:   top.boolean("counts_for_quorum"),
		DataDir:           top.optionalString("data_dir"),
		HeartbeatInterval: top.duration("heartbeat_ms", time.Millisecond, defaultHeartbeat),
		Zones:             top.table("zones").stringMap(),
	}
	if node.HeartbeatInterval == 0 {
		top.fail("heartbeat_ms", "must be above 0")
	}
	node.Metrics = top.metrics("metrics", node.IP)
	node.Listen = readListen(top.table("listen"), node)
	node.Limits = readLimits(top.table("limits"))
	node.FaultTolerance = readFaultTolerance(top.table("fault_tolerance"))
	node.Bounds = readBounds(top.table("bounds"))
	if err := top.err(); err != nil {
		return nil, err
	}
	return node, nil
}

// metrics reads the endpoint for metrics, "PORT/PATH"; it is the zero value where the key is missing or empty.
func (t *table) metrics(key, ip string) MetricsEndpoint {
	text := t.optionalString(key)
	if text == "" {
		return MetricsEndpoint{}
	}
	port, path, _ := strings.Cut(text, "/")
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 || strings.ContainsAny(path, "?# {}") {
		t.fail(key, "must be PORT/PATH; %q is not", text)
		return MetricsEndpoint{}
	}
	return MetricsEndpoint{Address: net.JoinHostPort(ip, port), Path: "/" + path}
}

// readListen requires the addresses of the services in node.Serves; the others are optional.
func readListen(t *table, node *Node) Listen {
	front := node.HasService(ServiceFront)
	return Listen{
		Front:     t.address("front", front),
		Readiness: t.address("readiness", front),
		Control:   t.address("control", node.HasService(ServiceControl)),
	}
}

func readLimits(t *table) Limits {
	limits := Limits{
		CPUShare: t.number("cpu_share", 1),
		Cores:    t.integer("cores", 1),
		MemoryMB: t.requiredInteger("memory_mb"),
		MaxFDs:   t.requiredInteger("max_fds"),
		LinkMbps: t.number("link_mbps", 0),
		DiskMB:   t.integer("disk_mb", 0),
	}
	t.requirePositive("cpu_share", limits.CPUShare)
	t.requirePositive("cores", float64(limits.Cores))
	t.requirePositive("memory_mb", float64(limits.MemoryMB))
	t.requirePositive("max_fds", float64(limits.MaxFDs))
	return limits
}

func readFaultTolerance(t *table) FaultTolerance {
	return FaultTolerance{
		Machines: t.requiredInteger("machines"),
		Zones:    t.integer("zones", 0),
		Regions:  t.integer("regions", 0),
	}
}

func readBounds(t *table) Bounds {
	ms, s, defaults := time.Millisecond, time.Second, defaultBounds
	return Bounds{
		SeedListLag:        t.duration("seed_lag_s", s, defaults.SeedListLag),
		AddressReuseDelay:  t.duration("reuse_after_s", s, defaults.AddressReuseDelay),
		ContactTimeout:     t.duration("contact_ms", ms, defaults.ContactTimeout),
		CommandRetryPeriod: t.duration("ack_ms", ms, defaults.CommandRetryPeriod),
		CatchUpTime:        t.duration("catch_up_s", s, defaults.CatchUpTime),
		DrainDelay:         t.duration("drain_ms", ms, defaults.DrainDelay),
		TerminationGrace:   t.duration("grace_s", s, defaults.TerminationGrace),
		LossSlack:          t.duration("loss_slack_ms", ms, defaults.LossSlack),
		ConfigApplyDelay:   t.duration("config_apply_ms", ms, defaults.ConfigApplyDelay),
		RollbackSlack:      t.duration("rollback_slack_ms", ms, defaults.RollbackSlack),
		MaxClockSkew:       t.duration("clock_skew_ms", ms, defaults.MaxClockSkew),
		RecoveryTime:       t.duration("recovery_s", s, defaults.RecoveryTime),
		EventForwardDelay:  t.duration("pass_ms", ms, defaults.EventForwardDelay),
		Again:              t.duration("again_s", s, defaults.Again),
		ProgramFinishTime:  t.duration("finish_s", s, defaults.ProgramFinishTime),
		TurnSettleTime:     t.duration("settle_ms", ms, defaults.TurnSettleTime),
	}
}

// ports reads the first and the last internal port; the range must have a port for each kind of process.
func (t *table) ports(key string) [2]int {
	values, ok := t.list(key, true)
	if !ok {
		return [2]int{}
	}
	if len(values) != 2 {
		t.fail(key, "must be a list of the first and the last port")
		return [2]int{}
	}
	var ports [2]int
	for i, value := range values {
		port, ok := value.(int64)
		if !ok {
			t.fail(key, "must be a list of whole numbers")
			return [2]int{}
		}
		if port < 1 || port > maxPort {
			t.fail(key, "%d is not a port number", port)
			return [2]int{}
		}
		ports[i] = int(port)
	}
	if ports[1]-ports[0]+1 < int(processKindCount) {
		t.fail(key, "must span at least %d ports; %d to %d does not", processKindCount, ports[0], ports[1])
	}
	return ports
}

func (t *table) ip(key string) string {
	text := t.requiredString(key)
	if text == "" {
		return "" // already reported
	}
	if _, err := netip.ParseAddr(text); err != nil {
		t.fail(key, "%q is not an IP address", text)
	}
	return text
}

func (t *table) address(key string, required bool) string {
	text := t.optionalString(key)
	if text == "" {
		if required {
			t.fail(key, "is missing, but the role serves it")
		}
		return ""
	}
	t.checkAddress(key, text)
	return text
}

func (t *table) addresses(key string) []string {
	texts := t.requiredStrings(key)
	for _, text := range texts {
		t.checkAddress(key, text)
	}
	return texts
}

func (t *table) checkAddress(key, text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		t.fail(key, "%q is not an address of the form IP:port", text)
	}
}
