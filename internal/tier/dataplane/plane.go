// Package dataplane assembles the data plane of one machine: the proxy, its membership of the cluster, and the client
// of the stores.
//
//	plane, err := dataplane.Start(node, logger)
//	...
//	plane.Shutdown(ctx, signalledAt) // completes the requests that have been read
//
// It holds no state of its own: the configuration, the receivers and the stores' view come from the cluster's table
// and are passed on to the components that use them, by the single goroutine in which the cluster calls its watchers.
package dataplane

import (
	"context"
	"hash/maphash"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/planes"
	"emberquay/internal/tier/proxy"
	"emberquay/internal/tier/routing"
	"emberquay/internal/tier/settings"
	"emberquay/internal/tier/storeclient"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/tier/transport"
)

// readyPollInterval is the time between two checks whether a starting plane has a configuration.
const readyPollInterval = 50 * time.Millisecond

// The shares of the machine's limits that the proxy may use. The rest is left to the other process of the machine,
// internal connections, files and the heap.
const (
	bodyMemoryShare         = 0.15 // of the memory, for buffered bodies
	clientConnectionShare   = 0.4  // of the file descriptors, for client connections
	receiverConnectionShare = 0.25 // of the file descriptors, for connections to receivers
)

// Plane is a running data plane.
type Plane struct {
	base       *planes.Base
	stores     *storeclient.Client
	proxy      *proxy.Proxy
	reports    *reportPublisher
	beginStop  context.CancelFunc
	stopping   context.Context // done once Shutdown or close is called
	markClosed context.CancelFunc
	closed     context.Context // done once nothing is served any more: ends the sending of reports

	receivers      *receiverList
	assignment     *assignment
	snapshot       atomic.Pointer[routing.Snapshot] // written by the watchers' goroutine; nil without a configuration
	receiverUpdate *throttledUpdate                 // passes the receivers to the proxy

	reportsReceived atomic.Int64
}

// Start joins the cluster and starts serving; the plane is ready once it has the configuration and the receivers.
func Start(node *settings.Node, logger log.Interface) (*Plane, error) {
	stopping, beginStop := context.WithCancel(context.Background())
	closed, markClosed := context.WithCancel(context.Background())
	p := &Plane{base: planes.NewBase(node, settings.Proxy, logger), beginStop: beginStop, stopping: stopping, markClosed: markClosed, closed: closed,
		receivers: newReceiverList(), assignment: newAssignment(node.Name)}
	p.receiverUpdate = newThrottledUpdate(p.updateReceivers)
	if err := p.open(); err != nil {
		p.close()
		return nil, err
	}
	go p.receiverUpdate.run()
	p.watch()
	go func() {
		if err := p.proxy.Run(); err != nil {
			p.base.Log.WithError(err).Error("proxy failed")
		}
	}()
	go p.becomeReady()
	return p, nil
}

func (p *Plane) open() error {
	if err := p.base.Join(); err != nil {
		return err
	}
	node := p.base.Settings
	p.stores = storeclient.New(storeclient.Options{Caller: storewire.NewCaller(p.base.Client), Zone: node.Zone})
	var err error
	p.reports = newReportPublisher(p.base.Client, p.base.Cluster, p.closed)
	p.proxy, err = proxy.New(proxy.Options{
		ClientAddress: node.Listen.Front, ReadinessAddress: node.Listen.Readiness,
		Store: p.stores, Logger: p.base.Log, Zone: node.Zone,
		Seed:                   maphash.Comparable(maphash.MakeSeed(), node.Name),
		LiveProxyCount:         func() int { return max(1, p.assignment.liveCount()) },
		PollAssigned:           p.assignment.assigned,
		PublishReport:          p.reports.publish,
		MaxBodyMemoryBytes:     int64(bodyMemoryShare * float64(node.Limits.MemoryMB<<20)),
		MaxClientConnections:   int(clientConnectionShare * float64(node.Limits.MaxFDs)),
		MaxReceiverConnections: int(receiverConnectionShare * float64(node.Limits.MaxFDs)),
	})
	if err != nil {
		return err
	}
	transport.HandleOneWay(p.base.Mux, reportMethod, reportCodec, func(_ context.Context, r records.ReportRecord) { p.handleReport(r) })
	return p.base.Serve(p.addStatus)
}

// watch registers the handlers of the cluster's entries and nodes.
func (p *Plane) watch() {
	p.base.Cluster.Watch(cluster.ConfigurationKey, p.applyConfiguration)
	p.base.Cluster.Watch(cluster.StoresKey, p.applyStoreView)
	p.base.Cluster.Watch(cluster.ReceiverPrefix, p.applyReceiver)
	p.base.Cluster.WatchNodes(p.applyNode)
}

func (p *Plane) applyConfiguration(entry cluster.Entry) {
	startedAt := time.Now()
	record, err := records.ConfigurationCodec.Decode(entry.Value)
	if err != nil {
		p.base.Log.WithError(err).Error("cannot decode the configuration")
		return
	}
	snapshot, err := routing.ParseAfter(p.snapshot.Load(), record.Body)
	if err != nil {
		p.base.Log.WithError(err).WithField("version", record.Version).Error("configuration is not valid")
		return
	}
	if current := p.snapshot.Load(); current != nil && current.Version >= snapshot.Version {
		return
	}
	p.snapshot.Store(snapshot)
	p.proxy.SetConfiguration(snapshot)
	p.receiverUpdate.trigger()
	p.base.Log.WithField("version", snapshot.Version).WithField("bytes", len(snapshot.Body)).
		WithField("took_ms", time.Since(startedAt).Milliseconds()).Info("configuration in force")
}

func (p *Plane) applyStoreView(entry cluster.Entry) {
	view, err := storewire.DecodeViewEntry(entry)
	if err != nil {
		p.base.Log.WithError(err).Error("cannot decode the store view")
		return
	}
	p.stores.SetView(view)
}

func (p *Plane) applyReceiver(entry cluster.Entry) {
	record, err := records.ReceiverCodec.Decode(entry.Value)
	if err != nil {
		p.base.Log.WithError(err).Error("cannot decode a receiver's record")
		return
	}
	p.receivers.apply(record)
	p.assignment.setReceiver(record.ID, record.Zone, record.State == records.ReceiverGone)
	p.receiverUpdate.trigger()
}

// updateReceivers passes the known receivers to the proxy.
func (p *Plane) updateReceivers() {
	p.proxy.SetReceivers(p.receivers.dispatchReceivers(p.snapshot.Load()))
}

// applyNode updates the set of live proxies, among which the polling of the receivers' reports is divided.
func (p *Plane) applyNode(n cluster.Node) {
	if n.Role == cluster.Proxy {
		p.assignment.setProxy(n.Name, n.Zone, n.Live())
		p.receiverUpdate.trigger() // each proxy's share of the receivers' connections has changed
	}
}

// becomeReady reports readiness to the platform once this plane has synchronized with other nodes and has a
// configuration: before that it could refuse configured routes, or send to receivers that are draining.
func (p *Plane) becomeReady() {
	select {
	case <-p.base.Cluster.Ready():
	case <-p.stopping.Done():
		return
	}
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !p.hasConfiguration() {
		select {
		case <-ticker.C:
		case <-p.stopping.Done():
			return
		}
	}
	p.receiverUpdate.updateNow()
	p.proxy.SetReady(true)
	p.base.Log.Info("ready")
}

func (p *Plane) hasConfiguration() bool {
	_, known := p.base.Cluster.Get(cluster.ConfigurationKey)
	return known
}

// Shutdown stops the proxy gracefully and closes the plane, at the latest when ctx ends: the platform has time to see that
// it is not ready, and requests already read are completed. Until the other proxies know that this one leaves, it remains
// the one that polls some receivers, and so it keeps publishing their reports.
func (p *Plane) Shutdown(ctx context.Context, signalledAt time.Time) {
	p.beginStop()
	p.proxy.Shutdown(ctx, signalledAt)
	p.base.Leave(ctx)
	p.close()
}

// Cluster returns the plane's cluster membership, for observers. Watchers registered after Start are called after the
// plane itself has applied a change.
func (p *Plane) Cluster() *cluster.Cluster { return p.base.Cluster }

func (p *Plane) close() {
	p.beginStop()
	p.markClosed()
	p.receiverUpdate.close()
	if p.stores != nil {
		p.stores.Close()
	}
	p.base.Close()
}

// Failed returns nil: the plane goes on whatever happens.
func (p *Plane) Failed() <-chan struct{} { return nil }

// SetSeeds sets the internal addresses of other machines' control planes.
func (p *Plane) SetSeeds(addresses []string) { p.base.Cluster.SetSeeds(addresses) }
