package settings

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const (
	mostPort = 1<<16 - 1
	// mostSeconds keeps a duration inside time.Duration with room to add: over 30 years.
	mostSeconds = 1e9
)

// defaultBounds are the usual figures; they stand for those that a file does not hold.
var defaultBounds = Bounds{
	SeedLag:       3 * time.Second,
	ReuseAfter:    2 * time.Second,
	Contact:       3 * time.Second,
	Ack:           4 * time.Second,
	CatchUp:       4 * time.Second,
	Drain:         2 * time.Second,
	Grace:         8 * time.Second,
	LossSlack:     200 * time.Millisecond,
	ConfigApply:   2 * time.Second,
	RollbackSlack: 250 * time.Millisecond,
	ClockSkew:     5 * time.Second,
	Recovery:      12 * time.Second,
	Pass:          120 * time.Millisecond,
	Again:         0,
	Finish:        10 * time.Second,
	Settle:        time.Second,
}

// defaultHeartbeat stands for an interval that a file does not hold.
const defaultHeartbeat = time.Second

// Parse reads the text of a settings file. Errors are of type *KeyError, or name a line where the text is no TOML.
func Parse(raw []byte) (*Node, error) {
	top, err := newTable(raw)
	if err != nil {
		return nil, err
	}
	node := &Node{
		Name:              top.requiredText("node_name"),
		Role:              top.text("role"),
		MachineClass:      top.requiredText("machine_class"),
		IP:                top.ip("ip"),
		Zone:              top.requiredText("zone"),
		Region:            top.text("region"),
		Serves:            top.requiredTexts("serves"),
		InternalPorts:     top.ports("internal_ports"),
		Seeds:             top.addresses("seed_nodes"),
		Bootstrap:         top.flag("bootstrap"),
		CountsForQuorum:   top.flag("counts_for_quorum"),
		DataDir:           top.text("data_dir"),
		HeartbeatInterval: top.duration("heartbeat_ms", time.Millisecond, defaultHeartbeat),
		Zones:             top.table("zones").textMap(),
	}
	if node.HeartbeatInterval == 0 {
		top.fail("heartbeat_ms", "must be above 0")
	}
	node.Metrics = top.metrics("metrics", node.IP)
	node.Listen = readListen(top.table("listen"), node)
	node.Limits = readLimits(top.table("limits"))
	node.FaultTolerance = readTolerance(top.table("fault_tolerance"))
	node.Bounds = readBounds(top.table("bounds"))
	if err := top.err(); err != nil {
		return nil, err
	}
	return node, nil
}

// metrics reads where figures are told: "PORT/PATH"; the zero value where the key is missing or empty.
func (t *table) metrics(key, ip string) MetricsEndpoint {
	text := t.text(key)
	if text == "" {
		return MetricsEndpoint{}
	}
	port, path, _ := strings.Cut(text, "/")
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 || strings.ContainsAny(path, "?# {}") {
		t.fail(key, "must be PORT/PATH, and %q is not", text)
		return MetricsEndpoint{}
	}
	return MetricsEndpoint{Address: net.JoinHostPort(ip, port), Path: "/" + path}
}

// readListen asks for the addresses of what the role serves; others may be there too.
func readListen(t *table, node *Node) Listen {
	front := node.ServesFor(ServesFront)
	return Listen{
		Front:     t.address("front", front),
		Readiness: t.address("readiness", front),
		Control:   t.address("control", node.ServesFor(ServesControl)),
	}
}

func readLimits(t *table) Limits {
	limits := Limits{
		CPUShare: t.number("cpu_share", 1),
		Cores:    t.whole("cores", 1),
		MemoryMB: t.requiredWhole("memory_mb"),
		MaxFDs:   t.requiredWhole("max_fds"),
		LinkMbps: t.number("link_mbps", 0),
		DiskMB:   t.whole("disk_mb", 0),
	}
	t.mustBePositive("cpu_share", limits.CPUShare)
	t.mustBePositive("cores", float64(limits.Cores))
	t.mustBePositive("memory_mb", float64(limits.MemoryMB))
	t.mustBePositive("max_fds", float64(limits.MaxFDs))
	return limits
}

func readTolerance(t *table) FaultTolerance {
	return FaultTolerance{
		Machines: t.requiredWhole("machines"),
		Zones:    t.whole("zones", 0),
		Regions:  t.whole("regions", 0),
	}
}

func readBounds(t *table) Bounds {
	ms, s, usual := time.Millisecond, time.Second, defaultBounds
	return Bounds{
		SeedLag:       t.duration("seed_lag_s", s, usual.SeedLag),
		ReuseAfter:    t.duration("reuse_after_s", s, usual.ReuseAfter),
		Contact:       t.duration("contact_ms", ms, usual.Contact),
		Ack:           t.duration("ack_ms", ms, usual.Ack),
		CatchUp:       t.duration("catch_up_s", s, usual.CatchUp),
		Drain:         t.duration("drain_ms", ms, usual.Drain),
		Grace:         t.duration("grace_s", s, usual.Grace),
		LossSlack:     t.duration("loss_slack_ms", ms, usual.LossSlack),
		ConfigApply:   t.duration("config_apply_ms", ms, usual.ConfigApply),
		RollbackSlack: t.duration("rollback_slack_ms", ms, usual.RollbackSlack),
		ClockSkew:     t.duration("clock_skew_ms", ms, usual.ClockSkew),
		Recovery:      t.duration("recovery_s", s, usual.Recovery),
		Pass:          t.duration("pass_ms", ms, usual.Pass),
		Again:         t.duration("again_s", s, usual.Again),
		Finish:        t.duration("finish_s", s, usual.Finish),
		Settle:        t.duration("settle_ms", ms, usual.Settle),
	}
}

// ports reads the first and the last internal port; each kind of process needs one of its own between them.
func (t *table) ports(key string) [2]int {
	values, ok := t.list(key, true)
	if !ok {
		return [2]int{}
	}
	if len(values) != 2 {
		t.fail(key, "must hold the first and the last port")
		return [2]int{}
	}
	var ports [2]int
	for i, value := range values {
		port, ok := value.(int64)
		if !ok {
			t.fail(key, "must hold whole numbers")
			return [2]int{}
		}
		if port < 1 || port > mostPort {
			t.fail(key, "%d is no port", port)
			return [2]int{}
		}
		ports[i] = int(port)
	}
	if ports[1]-ports[0]+1 < int(kinds) {
		t.fail(key, "must hold %d ports at least, %d to %d does not", kinds, ports[0], ports[1])
	}
	return ports
}

func (t *table) ip(key string) string {
	text := t.requiredText(key)
	if text == "" {
		return "" // told already
	}
	if _, err := netip.ParseAddr(text); err != nil {
		t.fail(key, "%q is no IP address", text)
	}
	return text
}

func (t *table) address(key string, required bool) string {
	text := t.text(key)
	if text == "" {
		if required {
			t.fail(key, "is missing, and the role serves it")
		}
		return ""
	}
	t.checkAddress(key, text)
	return text
}

func (t *table) addresses(key string) []string {
	texts := t.requiredTexts(key)
	for _, text := range texts {
		t.checkAddress(key, text)
	}
	return texts
}

func (t *table) checkAddress(key, text string) {
	at, err := netip.ParseAddrPort(text)
	if err != nil || at.Port() == 0 {
		t.fail(key, "%q is no address of the form IP:port", text)
	}
}
