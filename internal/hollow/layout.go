package hollow

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"emberquay/internal/settings"
)

// Ports are alike on all addresses, as on the machines of a day.
const (
	internalPort  = 7380
	frontPort     = 8149
	readinessPort = 8141
	controlPort   = 8144
)

// addressesPerNet is how many nodes share the third number of an address.
const addressesPerNet = 200

// What a plane of that size is told that it has. Nothing here is held to it.
const (
	toldMemoryMB = 256
	toldDiskMB   = 64
	toldFDs      = 4100
)

// layout gives names, zones and addresses.
type layout struct {
	options Options
	net     int    // the second number of all addresses: runs at the same time must not meet
	dir     string // folders of the control planes
}

func newLayout(o Options, dir string) layout {
	return layout{options: o, net: 64 + os.Getpid()%128, dir: dir}
}

func (l layout) zone(i int) string { return fmt.Sprintf("zone-%d", 1+i%l.options.Zones) }

// region: the first three of five zones are in the first of two regions.
func (l layout) region(i int) string {
	if i%l.options.Zones < (l.options.Zones+1)/2 {
		return "region-1"
	}
	return "region-2"
}

func (l layout) zones() map[string]string {
	zones := map[string]string{}
	for i := range l.options.Zones {
		zones[l.zone(i)] = l.region(i)
	}
	return zones
}

func (l layout) controlIP(i int) string { return fmt.Sprintf("127.%d.0.%d", l.net, 1+i) }

func (l layout) controlAddress(i int) string {
	return net.JoinHostPort(l.controlIP(i), strconv.Itoa(controlPort))
}

// seeds are the control addresses of three machines, or fewer if there are fewer.
func (l layout) seeds() []string {
	var seeds []string
	for i := range min(3, l.options.Controls) {
		seeds = append(seeds, l.controlAddress(i))
	}
	return seeds
}

// control gives the settings of a control plane.
func (l layout) control(i int) settings.Node {
	node := l.node(i, fmt.Sprintf("control-%d", i), l.controlIP(i))
	node.Bootstrap, node.CountsForQuorum = true, true
	node.DataDir = filepath.Join(l.dir, node.Name)
	node.Serves = []string{settings.ServesControl}
	node.Listen.Control = l.controlAddress(i)
	node.Limits.DiskMB = toldDiskMB
	return node
}

// proxy gives the settings of a data plane.
func (l layout) proxy(i int) settings.Node {
	ip := fmt.Sprintf("127.%d.%d.%d", l.net, 1+i/addressesPerNet, 1+i%addressesPerNet)
	node := l.node(i, fmt.Sprintf("front-%d", i), ip)
	node.Bootstrap = true
	node.Serves = []string{settings.ServesFront}
	node.Listen.Front = net.JoinHostPort(ip, strconv.Itoa(frontPort))
	node.Listen.Readiness = net.JoinHostPort(ip, strconv.Itoa(readinessPort))
	return node
}

func (l layout) node(i int, name, ip string) settings.Node {
	return settings.Node{
		Name: name, IP: ip, Zone: l.zone(i), Region: l.region(i), Zones: l.zones(),
		InternalPorts: [2]int{internalPort, internalPort + 2}, Seeds: l.seeds(),
		HeartbeatInterval: l.options.Heartbeat,
		Limits:            settings.Limits{CPUShare: 1, Cores: 1, MemoryMB: toldMemoryMB, MaxFDs: toldFDs},
		Tolerance:         settings.Tolerance{Machines: 1},
	}
}
