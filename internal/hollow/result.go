package hollow

import "time"

// Result is what the measurement of one fleet came to.
type Result struct {
	Nodes              int
	Controls           int
	Receivers          int
	Zones              int
	ConfigurationBytes int
	Processes          int     // of workers
	LoadBefore         float64 // of the machine, over a minute, when it began: above its cores all times are long
	FormedSeconds      float64 // from the first start until all nodes knew all nodes, receivers and the configuration

	Rest              Usage
	ControlRest       Usage // of a control plane, receivers' heartbeats among it
	HeartbeatsASecond float64
	HeartbeatsFailed  int64

	Configuration Latency // from the operator's order until a node has it in force
	Drain         Latency // from a receiver's word until a node sends it nothing new

	Restarting              int // nodes, again and again over the window
	Restarts                int
	RestartUsage            Usage
	ConfigurationInRestarts Latency
	DrainInRestarts         Latency

	Reports []ReportUsage
}

// Usage is what one node uses, as the mean over all of a kind.
type Usage struct {
	Seconds        float64 // of the window
	KBSent         float64 // a second, payload on the tier's own ports
	KBReceived     float64
	PacketsSent    float64 // a second, without payload too
	APIKB          float64 // a second, both ways, on the operator's and receivers' port
	CoreShare      float64 // of one core of this machine
	ResidentMB     float64
	HeapMB         float64
	Goroutines     float64
	Sockets        float64 // connected ends
	ReportsASecond float64 // that came from others
}

// ReportUsage is what reports cost a node.
type ReportUsage struct {
	ASecond float64 // shared by all nodes together
	Usage   Usage
}

// Latency is how long changes took to be known: of all pairs of a change and a node.
type Latency struct {
	Changes      int
	Known        int64 // pairs
	Missing      int64 // pairs that were not known in time
	Acknowledged Percentiles
	ByNode       Percentiles
}

// Percentiles of times, in milliseconds.
type Percentiles struct{ P50, P99, Most float64 }

// usage is the mean over the nodes of some workers between two samples of each.
func usage(before, after []Sample, nodes int) Usage {
	var u Usage
	for i := range before {
		u.add(before[i], after[i])
	}
	u.divide(float64(nodes))
	return u
}

const (
	kilobyte = 1000
	megabyte = 1 << 20
)

func (u *Usage) add(before, after Sample) {
	seconds := after.At.Sub(before.At).Seconds()
	u.Seconds = max(u.Seconds, seconds)
	u.KBSent += float64(after.Internal.Sent-before.Internal.Sent) / kilobyte / seconds
	u.KBReceived += float64(after.Internal.Received-before.Internal.Received) / kilobyte / seconds
	u.PacketsSent += float64(after.Internal.Packets-before.Internal.Packets) / seconds
	u.APIKB += float64(after.API.Sent-before.API.Sent+after.API.Received-before.API.Received) / kilobyte / seconds
	u.CoreShare += (after.CPU - before.CPU).Seconds() / seconds
	u.ResidentMB += float64(after.Resident) / megabyte
	u.HeapMB += float64(after.Heap) / megabyte
	u.Goroutines += float64(after.Threads)
	u.Sockets += float64(after.Sockets)
	u.ReportsASecond += float64(after.Delivered-before.Delivered) / seconds
}

func (u *Usage) divide(n float64) {
	for _, field := range []*float64{&u.KBSent, &u.KBReceived, &u.PacketsSent, &u.APIKB, &u.CoreShare, &u.ResidentMB,
		&u.HeapMB, &u.Goroutines, &u.Sockets, &u.ReportsASecond} {
		*field /= n
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
