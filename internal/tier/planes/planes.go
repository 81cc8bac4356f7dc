// Package planes contains the common part of the tier's planes: the server and the client of the internal protocol, and
// the process's membership of the cluster.
//
//	base := planes.NewBase(node, settings.Store, logger)
//	... // register handlers on base.Mux
//	err := base.Join()           // joins the cluster
//	err = base.Serve(addStatus)  // listens, and serves the process's status
//	...
//	base.Leave(ctx)              // announces the planned end of the process
//	base.Disconnect()            // accepts no more calls
//	...                          // close the users of base.Client
//	base.Close()
//
// A Base is created, joined and closed by one goroutine; in between, its fields are safe for concurrent use.
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

// clusterRoles maps the kinds of process to their roles in the cluster.
var clusterRoles = map[settings.ProcessKind]cluster.Role{
	settings.Proxy:        cluster.Proxy,
	settings.ControlPlane: cluster.Control,
	settings.Store:        cluster.Store,
}

// Base is the common part of a plane.
type Base struct {
	Settings *settings.Node
	Log      log.Interface
	Address  string // internal address of the process, ip:port
	Client   *transport.Client
	Mux      *transport.Mux   // register handlers before Serve
	Cluster  *cluster.Cluster // nil before Join

	role      cluster.Role
	server    *transport.Server // nil before Serve
	metrics   *metrics.Server   // nil before Serve
	startedAt time.Time
}

// NewBase returns the base of a plane of the given kind. It starts nothing.
func NewBase(node *settings.Node, kind settings.ProcessKind, logger log.Interface) *Base {
	return &Base{
		Settings: node, Log: logger, Address: node.InternalAddress(kind), Client: transport.NewClient(),
		Mux: transport.NewMux(), role: clusterRoles[kind], startedAt: time.Now(),
	}
}

// Join joins the cluster. It returns an error if the cluster rejects the settings.
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

// Serve starts serving the calls registered on Mux, the process's status, which is the part common to all roles with what
// the function adds, and the metrics, if the settings contain an address for them. It returns an error if it cannot listen
// on an address.
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

// Uptime returns the time since NewBase, measured on the monotonic clock.
func (b *Base) Uptime() time.Duration { return time.Since(b.startedAt) }

// Leave announces the planned end of the process to the cluster, until ctx ends.
func (b *Base) Leave(ctx context.Context) {
	_ = b.Cluster.Leave(ctx) // without it the others detect the end, only later
}

// Disconnect closes the cluster membership and the server. It may be called before Join and Serve, and more than once.
func (b *Base) Disconnect() {
	if b.Cluster != nil {
		b.Cluster.Close()
	}
	if b.server != nil {
		_ = b.server.Close()
	}
}

// Close disconnects and closes the metrics server and the client; pending calls fail.
func (b *Base) Close() {
	b.Disconnect()
	b.metrics.Close()
	b.Client.Close()
}
