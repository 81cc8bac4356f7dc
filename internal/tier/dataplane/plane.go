// Package dataplane assembles the data plane of one machine: the proxy, the part that it takes in the cluster,
// and the client of the stores.
//
//	plane, err := dataplane.Start(node, logger)
//	...
//	plane.Shutdown(ctx, signalled) // serves what has been read
//
// It owns nothing itself: the configuration, the receivers and the stores' view come from the cluster's table
// and are handed to those who work by them, from the one goroutine in which the cluster calls its watchers.
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

// readyPollInterval is the time between two looks whether a starting plane knows enough to serve.
const readyPollInterval = 50 * time.Millisecond

// The shares of the machine's limits that the proxy may take. What is left is for the other process of the machine,
// internal connections, files and the heap.
const (
	bodyMemoryShare         = 0.15 // of the memory, for bodies in hand
	clientConnectionShare   = 0.4  // of the descriptors, for connections of clients
	receiverConnectionShare = 0.25 // of the descriptors, for connections to receivers
)

// Plane is a running data plane.
type Plane struct {
	base       *planes.Base
	stores     *storeclient.Client
	proxy      *proxy.Proxy
	reports    *reportPublisher
	beginStop  context.CancelFunc
	stopping   context.Context // done once the process is told to stop
	markClosed context.CancelFunc
	closed     context.Context // done once nothing is served any more

	receivers      *receiverList
	assignment     *assignment
	snapshot       atomic.Pointer[routing.Snapshot] // written by the watchers' goroutine; nil until one is known
	receiverUpdate *throttledUpdate                 // of receivers to the proxy

	reportsReceived atomic.Int64
}

// Start joins the others and serves; the plane is ready once it knows the configuration and the receivers.
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
			p.base.Log.WithError(err).Error("the proxy ended")
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

// watch hands what the cluster tells to those who work by it.
func (p *Plane) watch() {
	p.base.Cluster.Watch(cluster.ConfigurationKey, p.applyConfiguration)
	p.base.Cluster.Watch(cluster.StoresKey, p.applyStoreView)
	p.base.Cluster.Watch(cluster.ReceiverPrefix, p.applyReceiver)
	p.base.Cluster.WatchNodes(p.applyNode)
}

func (p *Plane) applyConfiguration(entry cluster.Entry) {
	record, err := records.ConfigurationCodec.Decode(entry.Value)
	if err != nil {
		p.base.Log.WithError(err).Error("configuration cannot be read")
		return
	}
	snapshot, err := routing.Parse(record.Body)
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
	p.base.Log.WithField("version", snapshot.Version).Info("configuration in force")
}

func (p *Plane) applyStoreView(entry cluster.Entry) {
	view, err := storewire.DecodeViewEntry(entry)
	if err != nil {
		p.base.Log.WithError(err).Error("store view cannot be read")
		return
	}
	p.stores.SetView(view)
}

func (p *Plane) applyReceiver(entry cluster.Entry) {
	record, err := records.ReceiverCodec.Decode(entry.Value)
	if err != nil {
		p.base.Log.WithError(err).Error("receiver's record cannot be read")
		return
	}
	p.receivers.apply(record)
	p.assignment.setReceiver(record.ID, record.Zone, record.State == records.ReceiverGone)
	p.receiverUpdate.trigger()
}

// updateReceivers hands the proxy what is known of the receivers.
func (p *Plane) updateReceivers() {
	p.proxy.SetReceivers(p.receivers.dispatchReceivers(p.snapshot.Load()))
}

// applyNode counts the live proxies and shares the receivers' reports out among them.
func (p *Plane) applyNode(n cluster.Node) {
	if n.Role == cluster.Proxy {
		p.assignment.setProxy(n.Name, n.Zone, n.Live())
		p.receiverUpdate.trigger() // each proxy's part of the receivers' connections is another one now
	}
}

// becomeReady tells the platform that clients may come, once this plane has compared what it knows with others
// and has a configuration: before, it could refuse routes that are there, or send to receivers that drain.
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

// Shutdown lets the platform notice, serves what has been read and ends, when ctx ends at the latest. Until the others know
// that this proxy leaves, it is the one that asks some receivers for their reports, and goes on telling them.
func (p *Plane) Shutdown(ctx context.Context, signalledAt time.Time) {
	p.beginStop()
	p.proxy.Shutdown(ctx, signalledAt)
	p.base.Leave(ctx)
	p.close()
}

// Cluster is the plane's part in the cluster, for those who look on. Who watches it after Start is told of a
// change after the plane itself has taken it.
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

// SetSeeds tells where other machines' control planes are.
func (p *Plane) SetSeeds(addresses []string) { p.base.Cluster.SetSeeds(addresses) }
