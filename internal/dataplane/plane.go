// Package dataplane assembles the data plane of one machine: the proxy, the part that it takes in the cluster,
// and the client of the stores.
//
//	plane, err := dataplane.Start(node, logger)
//	...
//	plane.Shutdown(ctx) // serves what has been read
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

	"emberquay/internal/cluster"
	"emberquay/internal/cluster/records"
	"emberquay/internal/proxy"
	"emberquay/internal/routing"
	"emberquay/internal/settings"
	"emberquay/internal/storeclient"
	"emberquay/internal/storeview"
	"emberquay/internal/storewire"
	"emberquay/internal/transport"
)

// readyPollInterval is the time between two looks whether a starting plane knows enough to serve.
const readyPollInterval = 50 * time.Millisecond

// The shares of the machine's limits that the proxy may take. What is left is for the other process of the machine,
// internal connections, files and the heap.
const (
	bodyShare     = 0.15 // of the memory, for bodies in hand
	clientShare   = 0.4  // of the descriptors, for connections of clients
	receiverShare = 0.25 // of the descriptors, for connections to receivers
)

// Plane is a running data plane.
type Plane struct {
	settings *settings.Node
	log      log.Interface
	client   *transport.Client
	internal *transport.Server
	cluster  *cluster.Cluster
	stores   *storeclient.Client
	proxy    *proxy.Proxy
	reports  *reportSpreader
	stop     context.CancelFunc
	stopped  context.Context

	receivers  *receiverList
	assignment *assignment
	snapshot   atomic.Pointer[routing.Snapshot] // written by the watchers' goroutine; nil until one is known
	feed       *feed                            // of receivers to the proxy

	reportsReceived atomic.Int64
}

// Start joins the others and serves; the plane is ready once it knows the configuration and the receivers.
func Start(node *settings.Node, logger log.Interface) (*Plane, error) {
	stopped, stop := context.WithCancel(context.Background())
	p := &Plane{settings: node, log: logger, client: transport.NewClient(), stop: stop, stopped: stopped,
		receivers: newReceiverList(), assignment: newAssignment(node.Name)}
	p.feed = newFeed(p.feedReceivers)
	if err := p.open(); err != nil {
		p.close()
		return nil, err
	}
	go p.feed.run()
	p.watch()
	go func() {
		if err := p.proxy.Run(); err != nil {
			p.log.WithError(err).Error("the proxy ended")
		}
	}()
	go p.becomeReady()
	return p, nil
}

func (p *Plane) open() error {
	mux := transport.NewMux()
	address := p.settings.InternalAddress(settings.Proxy)
	var err error
	p.cluster, err = cluster.Start(cluster.Options{
		Self: cluster.Identity{Name: p.settings.Name, Role: cluster.Proxy, Zone: p.settings.Zone,
			Region: p.settings.Region, Address: address},
		Seeds: p.settings.SeedInternalAddresses(), Client: p.client, Mux: mux, Log: p.log,
	})
	if err != nil {
		return err
	}
	p.stores = storeclient.New(storeclient.Options{Caller: storewire.NewCaller(p.client), Zone: p.settings.Zone})
	p.reports = newReportSpreader(p.client, p.cluster, p.stopped)
	p.proxy, err = proxy.New(proxy.Options{
		Front: p.settings.Listen.Front, Readiness: p.settings.Listen.Readiness,
		Stores: p.stores, Logger: p.log, Zone: p.settings.Zone,
		Seed:          maphash.Comparable(maphash.MakeSeed(), p.settings.Name),
		LiveProxies:   func() int { return max(1, p.assignment.live()) },
		Assigned:      p.assignment.assigned,
		PublishReport: p.reports.spread,
		BodyMemory:    int64(bodyShare * float64(p.settings.Limits.MemoryMB<<20)),
		MaxClients:    int(clientShare * float64(p.settings.Limits.MaxFDs)),
		MaxReceivers:  int(receiverShare * float64(p.settings.Limits.MaxFDs)),
	})
	if err != nil {
		return err
	}
	transport.Receive(mux, reportMethod, reportCodec, func(_ context.Context, r records.ReportRecord) { p.takeReport(r) })
	p.internal, err = transport.Listen(address, mux)
	return err
}

// watch hands what the cluster tells to those who work by it.
func (p *Plane) watch() {
	p.cluster.Watch(cluster.ConfigurationKey, p.takeConfiguration)
	p.cluster.Watch(cluster.StoresKey, p.takeStores)
	p.cluster.Watch(cluster.ReceiverPrefix, p.takeReceiver)
	p.cluster.WatchNodes(p.takeNode)
}

func (p *Plane) takeConfiguration(entry cluster.Entry) {
	record, err := records.Configurations.Decode(entry.Value)
	if err != nil {
		p.log.WithError(err).Error("configuration cannot be read")
		return
	}
	snapshot, err := routing.Parse(record.Body)
	if err != nil {
		p.log.WithError(err).WithField("version", record.Version).Error("configuration is not valid")
		return
	}
	if present := p.snapshot.Load(); present != nil && present.Version >= snapshot.Version {
		return
	}
	p.snapshot.Store(snapshot)
	p.proxy.SetConfiguration(snapshot)
	p.feed.changed()
	p.log.WithField("version", snapshot.Version).Info("configuration in force")
}

func (p *Plane) takeStores(entry cluster.Entry) {
	view, err := storeview.Read(entry)
	if err != nil {
		p.log.WithError(err).Error("store view cannot be read")
		return
	}
	p.stores.SetView(view)
}

func (p *Plane) takeReceiver(entry cluster.Entry) {
	record, err := records.Receivers.Decode(entry.Value)
	if err != nil {
		p.log.WithError(err).Error("receiver's record cannot be read")
		return
	}
	p.receivers.take(record)
	p.assignment.setReceiver(record.ID, record.Zone, record.State == records.ReceiverGone)
	p.feed.changed()
}

// feedReceivers hands the proxy what is known of the receivers.
func (p *Plane) feedReceivers() { p.proxy.SetReceivers(p.receivers.dispatchable(p.snapshot.Load())) }

// takeNode counts the live proxies and shares the receivers' reports out among them.
func (p *Plane) takeNode(n cluster.Node) {
	if n.Role == cluster.Proxy {
		p.assignment.setProxy(n.Name, n.Zone, n.Live())
		p.feed.changed() // each proxy's part of the receivers' connections is another one now
	}
}

// becomeReady tells the platform that clients may come, once this plane has compared what it knows with others
// and has a configuration: before, it could refuse routes that are there, or send to receivers that drain.
func (p *Plane) becomeReady() {
	select {
	case <-p.cluster.Ready():
	case <-p.stopped.Done():
		return
	}
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !p.knowsEnough() {
		select {
		case <-ticker.C:
		case <-p.stopped.Done():
			return
		}
	}
	p.feed.now()
	p.proxy.SetReady(true)
	p.log.Info("ready")
}

func (p *Plane) knowsEnough() bool {
	_, known := p.cluster.Get(cluster.ConfigurationKey)
	return known
}

// Shutdown lets the platform notice, serves what has been read and ends, when ctx ends at the latest.
func (p *Plane) Shutdown(ctx context.Context) {
	p.stop()
	p.proxy.Shutdown(ctx)
	_ = p.cluster.Leave(ctx)
	p.close()
}

// Abort ends the plane at once and tells nobody, as the end of its process would.
func (p *Plane) Abort() {
	now, end := context.WithCancel(context.Background())
	end()
	p.proxy.Shutdown(now)
	p.close()
}

// Cluster is the plane's part in the cluster, for those who look on. Who watches it after Start is told of a
// change after the plane itself has taken it.
func (p *Plane) Cluster() *cluster.Cluster { return p.cluster }

func (p *Plane) close() {
	p.stop()
	p.feed.close()
	if p.stores != nil {
		p.stores.Close()
	}
	if p.cluster != nil {
		p.cluster.Close()
	}
	if p.internal != nil {
		_ = p.internal.Close()
	}
	p.client.Close()
}

// SetSeeds tells where other machines' control planes are.
func (p *Plane) SetSeeds(addresses []string) { p.cluster.SetSeeds(addresses) }
