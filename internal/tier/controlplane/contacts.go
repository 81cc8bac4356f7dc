package controlplane

import (
	"context"
	"slices"
	"time"

	"emberquay/internal/tier/cluster"
)

// contactInterval is the time between two exchanges of contacts.
const contactInterval = time.Second

// exchangeContacts tells the replica where the cluster knows control planes, and the cluster where the view has members.
// Each of the two finds the others by the seeds in the settings, which may all be down or have moved: a replica with an empty
// disk, or without one, knows no members, and a cluster that has just started knows no nodes.
func (p *Plane) exchangeContacts(ctx context.Context) {
	ticker := time.NewTicker(contactInterval)
	defer ticker.Stop()
	var controls, members []string
	for {
		if found := p.controlAddresses(); !slices.Equal(found, controls) {
			controls = found
			p.replica.SetContacts(controls)
		}
		if found := p.voterAddresses(); !slices.Equal(found, members) {
			members = found
			p.base.Cluster.SetContacts(members)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// controlAddresses returns the internal addresses of the other control planes that the cluster knows as live.
func (p *Plane) controlAddresses() []string {
	var addresses []string
	for _, n := range p.base.Cluster.Nodes() {
		if n.Role == cluster.Control && n.Live() && n.Address != p.base.Address {
			addresses = append(addresses, n.Address)
		}
	}
	return addresses
}
