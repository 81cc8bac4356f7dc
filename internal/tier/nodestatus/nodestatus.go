// Package nodestatus is the call by which a process of the tier tells an operator what it is and what it knows:
//
//	nodestatus.Register(mux, func(ctx context.Context) (nodestatus.Status, error) {
//		status := nodestatus.CommonStatus(cluster, started)
//		status.Store = ...
//		return status, nil
//	})
//	status, err := nodestatus.Fetch(ctx, client, "10.1.0.38:7382")
//
// Everything is read when it is asked for; nothing is gathered ahead. The answer is one look at each part, not at all
// of them at one instant. It changes nothing.
package nodestatus

import (
	"context"
	"time"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/transport"
)

// Register has a process answer for its status by what the function collects.
func Register(mux *transport.Mux, collect func(context.Context) (Status, error)) {
	transport.Handle(mux, Method, requestCodec, statusCodec, func(ctx context.Context, _ Request) (Status, error) {
		return collect(ctx)
	})
}

// Fetch asks the process at an internal address. Errors: a *transport.RemoteError where it answers but can't tell, as one
// of an older build does; any other says that it did not answer before the context's end.
func Fetch(ctx context.Context, client *transport.Client, address string) (Status, error) {
	return transport.Call(ctx, client, address, Method, requestCodec, statusCodec, Request{})
}

// CommonStatus is what processes of all roles tell alike: all but the part of the role. Configuration is the version that has
// come here.
func CommonStatus(c *cluster.Cluster, startedAt time.Time) Status {
	self := c.Self()
	configuration, _ := c.Get(cluster.ConfigurationKey)
	return Status{
		Name: self.Name, Role: self.Role.String(), Zone: self.Zone, Address: self.Address,
		Incarnation: int64(self.Incarnation), UptimeMillis: time.Since(startedAt).Milliseconds(),
		ConfigurationVersion: int64(configuration.Stamp.Epoch),
		Nodes:                countNodes(c.Nodes()),
		Receivers:            countReceivers(c.List(cluster.ReceiverPrefix)),
	}
}

// roles are those that a process may have.
var roles = [...]cluster.Role{cluster.Proxy, cluster.Control, cluster.Store}

func countNodes(nodes []cluster.Node) []NodeCounts {
	counts := make([]NodeCounts, 0, len(roles))
	for _, role := range roles {
		count := NodeCounts{Role: role.String()}
		for _, n := range nodes {
			if n.Role != role {
				continue
			}
			count.Known++
			if n.Live() {
				count.Alive++
			}
		}
		counts = append(counts, count)
	}
	return counts
}

// countReceivers leaves out records that cannot be read, as all who work by them do.
func countReceivers(entries []cluster.Entry) ReceiverCounts {
	var counts ReceiverCounts
	for _, e := range entries {
		record, err := records.ReceiverCodec.Decode(e.Value)
		if err != nil {
			continue
		}
		switch record.State {
		case records.ReceiverReady:
			counts.Ready++
		case records.ReceiverDraining:
			counts.Draining++
		case records.ReceiverSilent:
			counts.Silent++
		case records.ReceiverGone:
			counts.Gone++
		}
	}
	return counts
}
