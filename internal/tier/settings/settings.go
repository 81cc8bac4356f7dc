// Package settings reads the settings file that the platform gives to a process of the serving tier.
//
//	node, err := settings.Load()
//	if err != nil {
//		return err // names the file and the key
//	}
//	listen := node.InternalAddress(settings.Store)
//
// A Node does not change once it was read. Fields that are not known are skipped, since the file may gain new ones; what
// is known has to make sense as a whole, or nothing is returned.
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
	// FileVariable is the environment variable that holds the path of the settings file.
	FileVariable = "EMBERQUAY_NODE_FILE"
	// DefaultFile is read where FileVariable is empty: the platform's own place for the file.
	DefaultFile = "/etc/emberquay/boot.toml"
)

// What a role may be called for from outside, as in Node.Serves.
const (
	ServesFront   = "front"   // clients
	ServesControl = "control" // receivers and the operator
	ServesStore   = "store"   // nobody outside: it keeps data
)

// ProcessKind is one of the tier's processes. Its number is the distance of its internal port from the first one.
type ProcessKind int

// The kinds of process.
const (
	Proxy ProcessKind = iota
	ControlPlane
	Store
	kinds // their number: the internal ports that have to be there
)

// String names a kind as the deploy file names its role.
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

// Node is what a process is told of itself and of the deployment.
type Node struct {
	Name         string
	Role         string // the role's name in the deploy file; may be empty
	MachineClass string // class of machine
	IP           string // IPv4, of this machine
	Zone         string
	Region       string
	Serves       []string // see ServesFront and the others; may be empty

	InternalPorts [2]int   // first and last port that are free for calls between the tier's processes
	Seeds         []string // control addresses of a few machines, IP:port; may be empty

	Bootstrap       bool // the whole system starts for the first time, on empty disks
	CountsForQuorum bool // the machine counts for FaultTolerance.Machines

	DataDir           string        // empty where the machine has no disk
	HeartbeatInterval time.Duration // between two heartbeats of a receiver
	Zones             map[string]string

	Metrics        MetricsEndpoint // zero: not told
	Listen         Listen
	Limits         Limits
	FaultTolerance FaultTolerance
	Bounds         Bounds
}

// MetricsEndpoint is where a process tells its figures.
type MetricsEndpoint struct {
	Address string // IP:port, of this machine
	Path    string // with its leading slash
}

// Listen are the addresses, IP:port, for what the role serves. Those of what it does not serve may be empty.
type Listen struct{ Front, Readiness, Control string }

// Limits are what the machine gives to the process. 0 says that the file does not tell, but for MemoryMB and MaxFDs,
// which are always there.
type Limits struct {
	CPUShare float64 // of a core, above 0
	Cores    int     // by how much the core is faster
	MemoryMB int     // the process is killed above it
	MaxFDs   int
	LinkMbps float64
	DiskMB   int
}

// FaultTolerance is what may be lost at once while all rules hold.
type FaultTolerance struct{ Machines, Zones, Regions int }

// Bounds are the figures of the rules in force. A rule that is not in force may lack its figure; the default then
// stands for it.
type Bounds struct {
	SeedLag       time.Duration // by how much the operator's list of control nodes lags
	ReuseAfter    time.Duration // before the address of a receiver that ended may be another's
	Contact       time.Duration // without trouble, for a machine to be in touch
	Ack           time.Duration // for which the operator repeats orders other than configurations
	CatchUp       time.Duration // for which a machine that is back still counts as lost
	Drain         time.Duration // within which draining is heeded once it is acknowledged
	Grace         time.Duration // between SIGTERM and SIGKILL
	LossSlack     time.Duration // within which a request may end unserved after its last byte was sent
	ConfigApply   time.Duration // within which an acknowledged configuration is in force
	RollbackSlack time.Duration // within which an older configuration may still show
	ClockSkew     time.Duration // by how much clocks may differ
	Recovery      time.Duration // after a final fault, within which requests are served again
	Pass          time.Duration // within which an event of a stream is passed on
	Again         time.Duration
	Finish        time.Duration // after the end of traffic, for programs to end
	Settle        time.Duration // within which a turn that ended counts no more at its most
}

// Load reads the file that FileVariable names, or DefaultFile where that is empty.
func Load() (*Node, error) {
	path := os.Getenv(FileVariable)
	if path == "" {
		path = DefaultFile
	}
	return LoadFile(path)
}

// LoadFile reads a settings file. Errors name the file and, where there is one, the key.
func LoadFile(path string) (*Node, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings") // it names the path
	}
	node, err := Parse(raw)
	if err != nil {
		return nil, eris.Wrap(err, path)
	}
	return node, nil
}

// InternalAddress is where a process of that kind listens on this machine for the tier's own calls.
func (n *Node) InternalAddress(kind ProcessKind) string {
	return n.InternalAddressAt(n.IP, kind)
}

// InternalAddressAt is where a process of that kind listens on another machine: ports are alike on all machines.
func (n *Node) InternalAddressAt(ip string, kind ProcessKind) string {
	return net.JoinHostPort(ip, strconv.Itoa(n.InternalPorts[0]+int(kind)))
}

// SeedInternalAddresses are where the seeds' control planes listen for the tier's own calls, in the order of Seeds.
func (n *Node) SeedInternalAddresses() []string {
	addresses := make([]string, 0, len(n.Seeds))
	for _, seed := range n.Seeds {
		at, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // Parse refuses such a file
		}
		addresses = append(addresses, n.InternalAddressAt(at.Addr().String(), ControlPlane))
	}
	return addresses
}

// ServesFor says whether the role may be called for that from outside: ServesFront, ServesControl or ServesStore.
func (n *Node) ServesFor(what string) bool { return slices.Contains(n.Serves, what) }

// HasDisk says whether there is a folder for data.
func (n *Node) HasDisk() bool { return n.DataDir != "" }
