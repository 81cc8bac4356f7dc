// Package hollow measures what it costs to keep a fleet together: hundreds of data planes without clients, control
// planes with their replicas on real files, and receivers that only send heartbeats, all on loopback addresses.
//
//	result, err := hollow.Measure(ctx, hollow.Options{Nodes: 340, Controls: 5, Receivers: 620, Zones: 5}, launch)
//
// The planes are those that run in service. Configurations go through the operator's API, heartbeats and drains
// through the receivers' API. When a node knows of a change is noted by a watcher that its cluster calls after
// the plane's own. Bytes are those that the kernel counts on the sockets of each process, without headers.
//
// Nodes live in workers: one process for the control planes, one for up to nodesPerWorker proxies. Launch says
// how a worker comes to be: in this process (Within), or as a child of it (Children).
package hollow
