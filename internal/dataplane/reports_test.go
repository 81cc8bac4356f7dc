package dataplane

import (
	"fmt"
	"slices"
	"testing"

	"emberquay/internal/cluster"
)

func TestReportsGoToTheOtherLiveProxiesOnly(t *testing.T) {
	nodes := []cluster.Node{
		{Name: "self", Role: cluster.Proxy, Address: "10.1.0.1:1", State: cluster.Alive},
		{Name: "near", Role: cluster.Proxy, Address: "10.1.0.2:1", State: cluster.Alive},
		{Name: "suspect", Role: cluster.Proxy, Address: "10.1.0.3:1", State: cluster.Suspect},
		{Name: "down", Role: cluster.Proxy, Address: "10.1.0.4:1", State: cluster.Down},
		{Name: "left", Role: cluster.Proxy, Address: "10.1.0.5:1", State: cluster.Left},
		{Name: "store", Role: cluster.Store, Address: "10.1.0.6:1", State: cluster.Alive},
		{Name: "core", Role: cluster.Control, Address: "10.1.0.2:2", State: cluster.Alive},
	}
	got, direct := reportAddresses(nodes, cluster.Node{Address: "10.1.0.1:1"})
	if want := []string{"10.1.0.2:1", "10.1.0.3:1"}; !slices.Equal(got, want) || !direct {
		t.Errorf("reports go to %v (%v), not %v", got, direct, want)
	}
}

// Where there are many proxies each report costs its asker as many messages as its zone has, and no node any more.
func TestReportsStayInTheZoneOfALargeFleet(t *testing.T) {
	self := cluster.Node{Address: "10.1.0.0:1", Zone: "zone-0"}
	for _, c := range []struct {
		zones, each int
		sent        int
		direct      bool
	}{
		{1, directReports + 1, directReports, true},
		{2, directReports/2 + 1, directReports / 2, true},
		{4, 10, 39, true},
		{5, 16, 15, true},
		{2, directReports + 2, directReports + 1, false},
	} {
		var nodes []cluster.Node
		for zone := range c.zones {
			for i := range c.each {
				nodes = append(nodes, cluster.Node{Role: cluster.Proxy, Zone: fmt.Sprint("zone-", zone),
					Address: fmt.Sprintf("10.1.%d.%d:1", zone, i), State: cluster.Alive})
			}
		}
		nodes[0].Address = self.Address
		got, direct := reportAddresses(nodes, self)
		if len(got) != c.sent || direct != c.direct {
			t.Errorf("%d zones of %d: sent to %d, direct %v, not %d, %v", c.zones, c.each, len(got), direct, c.sent, c.direct)
		}
	}
}
