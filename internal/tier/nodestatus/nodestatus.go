// Package nodestatus defines the call that returns the status of a process of the tier to an operator:
//
//	nodestatus.Register(mux, func(ctx context.Context) (nodestatus.Status, error) {
//		status := nodestatus.CommonStatus(cluster, started)
//		status.Store = ...
//		return status, nil
//	})
//	status, err := nodestatus.Fetch(ctx, client, "10.1.0.38:7382")
//
// Everything is read when it is requested; nothing is collected in advance. The parts of a status are read one after the
// other, so it is not a consistent snapshot. Reading it changes nothing.
package nodestatus

import (
	"context"
	"time"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/transport"
)

// Register registers the status call on a mux; the function collects the status.
func Register(mux *transport.Mux, collect func(context.Context) (Status, error)) {
	transport.Handle(mux, Method, requestCodec, statusCodec, func(ctx context.Context, _ Request) (Status, error) {
		return collect(ctx)
	})
}

// Fetch requests the status of the process at an internal address. It returns a *transport.RemoteError if the process
// responds but has no status, like one of an older build; any other error means that no response came before the context's
// end.
func Fetch(ctx context.Context, client *transport.Client, address string) (Status, error) {
	return transport.Call(ctx, client, address, Method, requestCodec, statusCodec, Request{})
}

// CommonStatus returns the part of the status that is common to all roles. Its ConfigurationVersion is that of the
// configuration that the process has received.
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

// roles lists the roles of processes, in the order of Status.Nodes.
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

// countReceivers skips records that cannot be decoded, as all other readers of these records do.
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
