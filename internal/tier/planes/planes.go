// Package planes is what the planes of the tier have in common: the server and the client of the internal protocol, and
// the part that the process takes in the cluster.
//
//	base := planes.NewBase(node, settings.Store, logger)
//	... // handlers are registered on base.Mux
//	err := base.Join()           // finds the others
//	err = base.Serve(addStatus)  // listens, and answers for the process's status
//	...
//	base.Leave(ctx)              // tells the others that it ends as planned
//	base.Disconnect()            // no call comes in any more
//	...                          // what made calls is closed
//	base.Close()
//
// A Base is made, joined and closed by one goroutine; in between, its parts may be used by any.
package planes

import (
	"context"
	"time"

	"github.com/apex/log"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/metrics"
	"emberquay/internal/tier/nodestatus"
	"emberquay/internal/tier/settings"
	"emberquay/internal/tier/transport"
)

// clusterRoles are the kinds of process as the cluster has them.
var clusterRoles = map[settings.ProcessKind]cluster.Role{
	settings.Proxy:        cluster.Proxy,
	settings.ControlPlane: cluster.Control,
	settings.Store:        cluster.Store,
}

// Base is the common part of a plane.
type Base struct {
	Settings *settings.Node
	Log      log.Interface
	Address  string // where the process is called by others of the tier, ip:port
	Client   *transport.Client
	Mux      *transport.Mux   // handlers are registered before Serve
	Cluster  *cluster.Cluster // nil before Join

	role      cluster.Role
	server    *transport.Server // nil before Serve
	metrics   *metrics.Server   // nil before Serve
	startedAt time.Time
}

// NewBase makes the base of a plane of that kind. It starts nothing.
func NewBase(node *settings.Node, kind settings.ProcessKind, logger log.Interface) *Base {
	return &Base{
		Settings: node, Log: logger, Address: node.InternalAddress(kind), Client: transport.NewClient(),
		Mux: transport.NewMux(), role: clusterRoles[kind], startedAt: time.Now(),
	}
}

// Join begins to look for the other processes. Errors: settings that make no sense to the cluster.
func (b *Base) Join() error {
	joined, err := cluster.Start(cluster.Options{
		Self: cluster.Identity{Name: b.Settings.Name, Role: b.role, Zone: b.Settings.Zone,
			Region: b.Settings.Region, Address: b.Address},
		Seeds: b.Settings.SeedInternalAddresses(), Client: b.Client, Mux: b.Mux, Log: b.Log,
	})
	if err != nil {
		return err
	}
	b.Cluster = joined
	return nil
}

// Serve answers the calls of others: those registered on Mux, and the question for the status, by what the function
// adds to the part that all roles tell alike; and tells the process's metrics where the settings name an address for them.
// Errors: an address cannot be listened on.
func (b *Base) Serve(addStatus func(context.Context, *nodestatus.Status) error) error {
	collect := func(ctx context.Context) (nodestatus.Status, error) {
		status := nodestatus.CommonStatus(b.Cluster, b.startedAt)
		err := addStatus(ctx, &status)
		return status, err
	}
	nodestatus.Register(b.Mux, collect)
	metricsServer, err := metrics.Serve(b.Settings.Metrics, collect, b.Log)
	if err != nil {
		return err
	}
	b.metrics = metricsServer
	server, err := transport.Listen(b.Address, b.Mux)
	if err != nil {
		return err
	}
	b.server = server
	return nil
}

// Uptime is the time since the base was made, by a clock that never steps.
func (b *Base) Uptime() time.Duration { return time.Since(b.startedAt) }

// Leave tells the others that the process ends as planned, until ctx ends.
func (b *Base) Leave(ctx context.Context) {
	_ = b.Cluster.Leave(ctx) // they notice without it, only later
}

// Disconnect ends the part in the cluster and the calls of others. It may come before Join and Serve, and again.
func (b *Base) Disconnect() {
	if b.Cluster != nil {
		b.Cluster.Close()
	}
	if b.server != nil {
		_ = b.server.Close()
	}
}

// Close ends all, the own calls too.
func (b *Base) Close() {
	b.Disconnect()
	b.metrics.Close()
	b.Client.Close()
}
