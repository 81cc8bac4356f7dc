// Package storeplane assembles the store of one machine: the store itself, the part that it takes in the
// cluster, and its registration with the control plane.
//
//	plane, err := storeplane.Start(node, logger)
//	...
//	plane.Shutdown(ctx)
//
// The store's disk is a member of the store view, which the control state holds; a disk that is not in it
// registers until it is. The view comes back through the cluster's table.
package storeplane

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"emberquay/internal/cluster"
	"emberquay/internal/controlstate"
	"emberquay/internal/nodestatus"
	"emberquay/internal/settings"
	"emberquay/internal/store"
	"emberquay/internal/storeregistration"
	"emberquay/internal/storeview"
	"emberquay/internal/storewire"
	"emberquay/internal/transport"
	"emberquay/internal/vfs"
)

const (
	// registerInterval is the time between two tries to get into the store view.
	registerInterval = 300 * time.Millisecond
	// controlTimeout bounds a call of a control node.
	controlTimeout = 3 * time.Second
)

// Plane is a running store plane.
type Plane struct {
	settings *settings.Node
	log      log.Interface
	client   *transport.Client
	internal *transport.Server
	cluster  *cluster.Cluster
	store    *store.Store
	stopped  context.Context
	stop     context.CancelFunc
	started  time.Time
	member   atomic.Bool // the newest view known names this disk
	turn     atomic.Uint64
	seeds    atomic.Pointer[[]string]
}

// Start opens the store's disk, joins the others and serves.
func Start(node *settings.Node, logger log.Interface) (*Plane, error) {
	stopped, stop := context.WithCancel(context.Background())
	p := &Plane{settings: node, log: logger, client: transport.NewClient(), stopped: stopped, stop: stop, started: time.Now()}
	seeds := node.SeedInternalAddresses()
	p.seeds.Store(&seeds)
	if err := p.open(); err != nil {
		p.close()
		return nil, err
	}
	p.cluster.Watch(cluster.StoresKey, p.takeView)
	go p.keepRegistered()
	return p, nil
}

func (p *Plane) open() error {
	if !p.settings.HasDisk() {
		return eris.New("data_dir: a store needs a disk")
	}
	mux := transport.NewMux()
	address := p.settings.InternalAddress(settings.Store)
	var err error
	p.store, err = store.Start(store.Options{
		Files: vfs.OS{}, Dir: p.settings.DataDir, DiskBytes: int64(p.settings.Limits.DiskMB) << 20,
		Bootstrap: p.settings.Bootstrap, Caller: storewire.NewCaller(p.client), Retired: p.reportRetired,
	})
	if err != nil {
		return err
	}
	storewire.Register(mux, p.store)
	nodestatus.Register(mux, p.status)
	p.cluster, err = cluster.Start(cluster.Options{
		Self: cluster.Identity{Name: p.settings.Name, Role: cluster.Store, Zone: p.settings.Zone,
			Region: p.settings.Region, Address: address},
		Seeds: *p.seeds.Load(), Client: p.client, Mux: mux, Log: p.log,
	})
	if err != nil {
		return err
	}
	p.internal, err = transport.Listen(address, mux)
	return err
}

func (p *Plane) takeView(entry cluster.Entry) {
	view, err := storeview.Read(entry)
	if err != nil {
		p.log.WithError(err).Error("store view cannot be read")
		return
	}
	p.member.Store(names(view, p.store.ID()))
	p.store.SetView(view)
}

func names(view controlstate.StoreView, id string) bool {
	for _, m := range view.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// keepRegistered has this disk taken into the store view whenever the newest view does not name it.
func (p *Plane) keepRegistered() {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		if !p.member.Load() && !p.register() {
			return
		}
		select {
		case <-ticker.C:
		case <-p.stopped.Done():
			return
		}
	}
}

// register asks a control node once; false: this disk was emptied and taken away, and stays out.
func (p *Plane) register() bool {
	answer, err := p.callControl(storeregistration.Register)
	switch {
	case err != nil:
		p.log.WithError(err).Debug("not registered yet")
	case answer.Status == http.StatusConflict:
		p.log.WithField("reason", answer.Reason).Warn("this disk stays out of the store view")
		return false
	case answer.Status != http.StatusOK:
		p.log.WithField("status", answer.Status).WithField("reason", answer.Reason).Error("registration refused")
	}
	return true
}

// reportRetired tells the control state that nothing is left here that is not elsewhere.
func (p *Plane) reportRetired() {
	answer, err := p.callControl(storeregistration.Retired)
	if err != nil {
		p.log.WithError(err).Warn("the end of the retirement is not told yet")
		return
	}
	p.log.WithField("status", answer.Status).Info("retirement completed")
}

func (p *Plane) callControl(method transport.Method) (storeregistration.Answer, error) {
	ctx, cancel := context.WithTimeout(p.stopped, controlTimeout)
	defer cancel()
	news := storeregistration.News{
		ID: p.store.ID(), Node: p.settings.Name, Zone: p.settings.Zone,
		Address: p.settings.InternalAddress(settings.Store), Bootstrap: p.settings.Bootstrap,
	}
	return storeregistration.Call(ctx, p.client, p.nextControl(), method, news)
}

// nextControl gives the address of a control node, another one each time: the live ones, or else the seeds.
func (p *Plane) nextControl() string {
	var addresses []string
	for _, n := range p.cluster.Nodes() {
		if n.Role == cluster.Control && n.State == cluster.Alive {
			addresses = append(addresses, n.Address)
		}
	}
	if len(addresses) == 0 {
		addresses = *p.seeds.Load()
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[p.turn.Add(1)%uint64(len(addresses))]
}

// SetSeeds tells where other machines' control planes are.
func (p *Plane) SetSeeds(addresses []string) {
	p.seeds.Store(&addresses)
	p.cluster.SetSeeds(addresses)
}

// Shutdown tells the others and ends. All that was acknowledged is on the disk.
func (p *Plane) Shutdown(ctx context.Context) {
	_ = p.cluster.Leave(ctx)
	p.close()
}

func (p *Plane) close() {
	p.stop()
	if p.internal != nil {
		_ = p.internal.Close()
	}
	if p.cluster != nil {
		p.cluster.Close()
	}
	if p.store != nil {
		_ = p.store.Close()
	}
	p.client.Close()
}
