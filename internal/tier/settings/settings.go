// Package settings reads the settings file that the platform provides to each process of the serving tier.
//
//	node, err := settings.Load()
//	if err != nil {
//		return err // names the file and the key
//	}
//	listen := node.InternalAddress(settings.Store)
//
// A Node is immutable once it is read. Unknown keys are ignored, since the file may gain new ones; if any known key is
// invalid, only an error is returned.
package settings

import (
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// PathVariable is the environment variable that holds the path of the settings file.
	PathVariable = "EMBERQUAY_NODE_FILE"
	// DefaultPath is the path that is read where PathVariable is empty: the one at which the platform puts the file.
	DefaultPath = "/etc/emberquay/boot.toml"
)

// The services of a role, as listed in Node.Serves.
const (
	ServiceFront   = "front"   // for clients
	ServiceControl = "control" // for receivers and the operator
	ServiceStore   = "store"   // stores data; not called from outside of the tier
)

// ProcessKind is a kind of process of the tier. Its number is the offset of the process's internal port from the first
// internal port.
type ProcessKind int

// The kinds of process.
const (
	Proxy ProcessKind = iota
	ControlPlane
	Store
	processKindCount // number of kinds, and so of internal ports needed
)

// String returns the name that the deploy file uses for the kind's role.
func (k ProcessKind) String() string {
	switch k {
	case Proxy:
		return "proxy"
	case ControlPlane:
		return "control-plane"
	case Store:
		return "store"
	}
	return "kind " + strconv.Itoa(int(k))
}

// Node holds the settings of a process: its machine, its role and the deployment.
type Node struct {
	Name         string
	Role         string // name of the role in the deploy file; may be empty
	MachineClass string
	IP           string // IPv4, of this machine
	Zone         string
	Region       string
	Serves       []string // of ServiceFront, ServiceControl and ServiceStore; may be empty

	InternalPorts [2]int   // first and last port of the range for calls between the tier's processes
	Seeds         []string // control addresses of a few machines, IP:port; may be empty

	Bootstrap       bool // the whole system starts for the first time, with empty disks
	CountsForQuorum bool // the machine counts for FaultTolerance.Machines

	DataDir           string            // empty where the machine has no disk
	HeartbeatInterval time.Duration     // time between two heartbeats of a receiver
	Zones             map[string]string // region by zone

	Metrics        MetricsEndpoint // zero: metrics are not served
	Listen         Listen
	Limits         Limits
	FaultTolerance FaultTolerance
	Bounds         Bounds
}

// MetricsEndpoint is the address and path at which a process serves its metrics.
type MetricsEndpoint struct {
	Address string // IP:port, of this machine
	Path    string // with a leading slash
}

// Listen holds the listening addresses, IP:port, of the services in Node.Serves. Addresses of other services may be
// empty.
type Listen struct{ Front, Readiness, Control string }

// Limits are the resources that the machine gives to the process. LinkMbps and DiskMB are 0 where the file does not set
// them; CPUShare and Cores are 1 then. MemoryMB and MaxFDs are always set.
type Limits struct {
	CPUShare float64 // share of a core, above 0
	Cores    int     // speed factor of the core
	MemoryMB int     // the process is killed when it uses more
	MaxFDs   int
	LinkMbps float64
	DiskMB   int
}

// FaultTolerance is the number of machines, zones and regions that may be lost at once while all rules hold.
type FaultTolerance struct{ Machines, Zones, Regions int }

// Bounds holds the time limits of the rules in force. The file may omit those of other rules; they have their default
// then.
type Bounds struct {
	SeedListLag        time.Duration // lag of the operator's list of control nodes
	AddressReuseDelay  time.Duration // before the address of a receiver that ended may be reused
	ContactTimeout     time.Duration // for a machine to make contact when there are no faults
	CommandRetryPeriod time.Duration // for which the operator retries commands other than configurations
	CatchUpTime        time.Duration // for which a machine that came back still counts as lost
	DrainDelay         time.Duration // within which draining takes effect once it is acknowledged
	TerminationGrace   time.Duration // between SIGTERM and SIGKILL
	LossSlack          time.Duration // within which a request may end without service after its last byte was sent
	ConfigApplyDelay   time.Duration // within which an acknowledged configuration takes effect
	RollbackSlack      time.Duration // within which an older configuration may still be observed
	MaxClockSkew       time.Duration // maximum difference between clocks
	RecoveryTime       time.Duration // after the last fault, within which requests are served again
	EventForwardDelay  time.Duration // within which an event of a stream is forwarded
	Again              time.Duration
	ProgramFinishTime  time.Duration // for programs to end after the end of traffic
	TurnSettleTime     time.Duration // within which a turn that ended no longer counts at its maximum
}

// Load reads the settings file at the path in PathVariable, or at DefaultPath where the variable is empty.
func Load() (*Node, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		path = DefaultPath
	}
	return LoadFile(path)
}

// LoadFile reads a settings file. Errors name the file and, where there is one, the key.
func LoadFile(path string) (*Node, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings") // the error names the path
	}
	node, err := Parse(raw)
	if err != nil {
		return nil, eris.Wrap(err, path)
	}
	return node, nil
}

// InternalAddress returns the address at which a process of that kind on this machine accepts calls of the tier's other
// processes.
func (n *Node) InternalAddress(kind ProcessKind) string {
	return n.InternalAddressAt(n.IP, kind)
}

// InternalAddressAt returns the InternalAddress of a process on another machine; all machines use the same ports.
func (n *Node) InternalAddressAt(ip string, kind ProcessKind) string {
	return net.JoinHostPort(ip, strconv.Itoa(n.InternalPorts[0]+int(kind)))
}

// SeedInternalAddresses returns the internal addresses of the seeds' control planes, in the order of Seeds.
func (n *Node) SeedInternalAddresses() []string {
	addresses := make([]string, 0, len(n.Seeds))
	for _, seed := range n.Seeds {
		address, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // not reached: Parse refuses such an address
		}
		addresses = append(addresses, n.InternalAddressAt(address.Addr().String(), ControlPlane))
	}
	return addresses
}

// HasService reports whether the role offers a service: ServiceFront, ServiceControl or ServiceStore.
func (n *Node) HasService(service string) bool { return slices.Contains(n.Serves, service) }

// HasDisk reports whether there is a data directory.
func (n *Node) HasDisk() bool { return n.DataDir != "" }
