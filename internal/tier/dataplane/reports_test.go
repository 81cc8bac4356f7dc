package dataplane

import (
	"context"
	"fmt"
	"math"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/nodestatus"
	"emberquay/internal/tier/planes"
	"emberquay/internal/tier/settings"
	"emberquay/internal/tier/transport"
)

// waitTimeout limits the time that a test waits for other goroutines.
const waitTimeout = 20 * time.Second

// freePort returns a port of the address that nobody listens on.
func freePort(t *testing.T, ip string) int {
	t.Helper()
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// startNeighbour starts a cluster member with the role of a proxy and returns the reports that it receives. It joins by
// the plane's address as its seed.
func startNeighbour(t *testing.T, plane *settings.Node) <-chan records.ReportRecord {
	t.Helper()
	port := plane.InternalPorts[0] - int(settings.ControlPlane)
	node := &settings.Node{Name: "neighbour", IP: "127.0.0.2", Zone: "a", InternalPorts: [2]int{port, port + 2}, Seeds: []string{plane.IP + ":1"}}
	base := planes.NewBase(node, settings.Proxy, &log.Logger{Handler: discard.Default})
	t.Cleanup(base.Close)
	received := make(chan records.ReportRecord, 1)
	transport.HandleOneWay(base.Mux, reportMethod, reportCodec, func(_ context.Context, r records.ReportRecord) { received <- r })
	if err := base.Join(); err != nil {
		t.Fatal(err)
	}
	if err := base.Serve(func(context.Context, *nodestatus.Status) error { return nil }); err != nil {
		t.Fatal(err)
	}
	return received
}

// waitForNeighbour waits until the plane knows that the neighbour is live.
func waitForNeighbour(t *testing.T, p *Plane) {
	t.Helper()
	found := make(chan struct{}, 1)
	p.Cluster().WatchNodes(func(n cluster.Node) {
		if n.Name == "neighbour" && n.Live() {
			select {
			case found <- struct{}{}:
			default:
			}
		}
	})
	select {
	case <-found:
	case <-time.After(waitTimeout):
		t.Fatal("the plane has not discovered the neighbour")
	}
}

// Guards against a stopping proxy that remained assigned to poll receivers but stopped publishing their reports at the
// signal, so that no proxy got them.
func TestStoppingProxyKeepsPublishingReports(t *testing.T) {
	port := freePort(t, "127.0.0.1")
	node := &settings.Node{Name: "stopping", IP: "127.0.0.1", Zone: "a", InternalPorts: [2]int{port, port + 2}}
	node.Listen.Front, node.Listen.Readiness = "127.0.0.1:0", "127.0.0.1:0"
	node.Limits.MemoryMB, node.Limits.MaxFDs = 128, 1000
	plane, err := Start(node, &log.Logger{Handler: discard.Default})
	if err != nil {
		t.Fatal(err)
	}
	reports := startNeighbour(t, node)
	waitForNeighbour(t, plane)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		plane.Shutdown(ctx, time.Now())
	}()
	<-plane.stopping.Done()
	plane.PublishReport("r1", dispatch.Report{Running: 3})
	select {
	case r := <-reports:
		if r.Instance != "r1" || r.Running != 3 {
			t.Errorf("published %+v, want instance r1 with 3 running", r)
		}
	case <-ended:
		t.Error("the proxy ended without publishing the report")
	}
	cancel()
	<-ended
}

func TestReportsGoToOtherLiveProxiesOnly(t *testing.T) {
	nodes := []cluster.Node{
		{Name: "self", Role: cluster.Proxy, Address: "10.1.0.1:1", State: cluster.Alive},
		{Name: "near", Role: cluster.Proxy, Address: "10.1.0.2:1", State: cluster.Alive},
		{Name: "suspect", Role: cluster.Proxy, Address: "10.1.0.3:1", State: cluster.Suspect},
		{Name: "down", Role: cluster.Proxy, Address: "10.1.0.4:1", State: cluster.Down},
		{Name: "left", Role: cluster.Proxy, Address: "10.1.0.5:1", State: cluster.Left},
		{Name: "store", Role: cluster.Store, Address: "10.1.0.6:1", State: cluster.Alive},
		{Name: "core", Role: cluster.Control, Address: "10.1.0.2:2", State: cluster.Alive},
	}
	got := reportAddresses(nodes, cluster.Node{Address: "10.1.0.1:1"}, 0)
	if want := []string{"10.1.0.2:1", "10.1.0.3:1"}; !slices.Equal(got, want) {
		t.Errorf("reports go to %v, want %v", got, want)
	}
}

// proxiesInZones returns live proxies, perZone of them in each zone.
func proxiesInZones(zones, perZone int) []cluster.Node {
	var nodes []cluster.Node
	for zone := range zones {
		for i := range perZone {
			nodes = append(nodes, cluster.Node{Role: cluster.Proxy, Zone: fmt.Sprint("zone-", zone),
				Address: fmt.Sprintf("10.1.%d.%d:1", zone, i), State: cluster.Alive})
		}
	}
	return nodes
}

// In a fleet of more than fleetFanoutLimit other proxies a report is sent within the sender's zone only, to at most
// zoneFanoutLimit proxies.
func TestReportsStayInTheZoneOfALargeFleet(t *testing.T) {
	for _, c := range []struct {
		zones, perZone int
		wantSends      int
	}{
		{1, 1, 0},
		{1, fleetFanoutLimit + 1, fleetFanoutLimit},
		{2, fleetFanoutLimit/2 + 1, fleetFanoutLimit / 2},
		{4, 10, 39},
		{5, 16, 15},
		{50, 1, 0},
		{2, fleetFanoutLimit + 2, fleetFanoutLimit + 1},
		{5, 68, 67},
		{1, zoneFanoutLimit + 1, zoneFanoutLimit},
		{1, zoneFanoutLimit + 2, zoneFanoutLimit},
		{2, 3 * zoneFanoutLimit, zoneFanoutLimit},
	} {
		nodes := proxiesInZones(c.zones, c.perZone)
		for _, offset := range []uint64{0, 1, zoneFanoutLimit, math.MaxUint64} {
			got := reportAddresses(nodes, nodes[0], offset)
			if len(got) != c.wantSends {
				t.Errorf("%d zones of %d: sent to %d proxies, want %d", c.zones, c.perZone, len(got), c.wantSends)
			}
			slices.Sort(got)
			if distinct := slices.Compact(slices.Clone(got)); len(distinct) != len(got) || slices.Contains(got, nodes[0].Address) {
				t.Errorf("%d zones of %d: sent twice to one proxy, or to itself: %v", c.zones, c.perZone, got)
			}
			reachesOtherZone := slices.ContainsFunc(nodes[c.perZone:], func(n cluster.Node) bool { return slices.Contains(got, n.Address) })
			if reachesOtherZone && c.zones*c.perZone > fleetFanoutLimit+1 {
				t.Errorf("%d zones of %d: sent to other zones: %v", c.zones, c.perZone, got)
			}
		}
	}
}

// Over all offsets each proxy of a zone gets the same number of reports.
func TestReportsReachEveryProxyOfALargeZone(t *testing.T) {
	const others = 2*zoneFanoutLimit + 17
	nodes := proxiesInZones(1, others+1)
	sends := map[string]int{}
	for offset := range uint64(others) {
		for _, address := range reportAddresses(nodes, nodes[0], offset) {
			sends[address]++
		}
	}
	if len(sends) != others {
		t.Errorf("reports sent to %d of %d proxies", len(sends), others)
	}
	for address, count := range sends {
		if count != zoneFanoutLimit {
			t.Errorf("%s: got %d of %d reports, want %d", address, count, others, zoneFanoutLimit)
		}
	}
}
