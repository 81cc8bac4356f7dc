package dataplane

import (
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
	got := otherProxies(nodes, "10.1.0.1:1")
	if want := []string{"10.1.0.2:1", "10.1.0.3:1"}; !slices.Equal(got, want) {
		t.Errorf("reports go to %v, not %v", got, want)
	}
}
