// Package storeplane assembles the store of one machine: the store itself, its cluster membership, and its registration
// with the control plane.
//
//	plane, err := storeplane.Start(node, logger)
//	...
//	plane.Shutdown(ctx, signalledAt)
//
// The store's disk is a member of the store view, which the control state holds. A disk that is not in the view
// registers until it is. The view is distributed through the cluster's table.
package storeplane

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/planes"
	"emberquay/internal/tier/settings"
	"emberquay/internal/tier/store"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/tier/transport"
	"emberquay/internal/vfs"
)

const (
	// registerInterval is the time between two attempts to register in the store view.
	registerInterval = 300 * time.Millisecond
	// controlTimeout bounds a call to a control node.
	controlTimeout = 3 * time.Second
)

// Plane is a running store plane.
type Plane struct {
	base         *planes.Base
	store        *store.Store
	ctx          context.Context
	stop         context.CancelFunc
	inView       atomic.Bool // the newest known view contains this disk
	controlCalls atomic.Uint64
	seeds        atomic.Pointer[[]string]
}

// Start opens the store's disk, joins the cluster and serves requests.
func Start(node *settings.Node, logger log.Interface) (*Plane, error) {
	ctx, stop := context.WithCancel(context.Background())
	p := &Plane{base: planes.NewBase(node, settings.Store, logger), ctx: ctx, stop: stop}
	seeds := node.SeedInternalAddresses()
	p.seeds.Store(&seeds)
	if err := p.open(); err != nil {
		p.close()
		return nil, err
	}
	p.base.Cluster.Watch(cluster.StoresKey, p.applyView)
	go p.keepRegistered()
	return p, nil
}

func (p *Plane) open() error {
	if !p.base.Settings.HasDisk() {
		return eris.New("data_dir: a store needs a disk")
	}
	var err error
	p.store, err = store.Start(store.Options{
		Files: vfs.OS{}, Dir: p.base.Settings.DataDir, DiskBytes: int64(p.base.Settings.Limits.DiskMB) << 20,
		Bootstrap: p.base.Settings.Bootstrap, Caller: storewire.NewCaller(p.base.Client), OnRetired: p.reportRetired,
	})
	if err != nil {
		return err
	}
	storewire.Register(p.base.Mux, p.store)
	if err := p.base.Join(); err != nil {
		return err
	}
	return p.base.Serve(p.addStatus)
}

func (p *Plane) applyView(entry cluster.Entry) {
	view, err := storewire.DecodeViewEntry(entry)
	if err != nil {
		p.base.Log.WithError(err).Error("cannot decode the store view")
		return
	}
	p.inView.Store(viewContains(view, p.store.ID()))
	p.store.SetView(view)
}

func viewContains(view controlstate.StoreView, id string) bool {
	for _, m := range view.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// keepRegistered registers this disk whenever the newest store view does not contain it.
func (p *Plane) keepRegistered() {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		if !p.inView.Load() && !p.register() {
			return
		}
		select {
		case <-ticker.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// register asks one control node to add this disk to the store view. It returns false if the disk is refused for good
// (status 409), as one that was retired is.
func (p *Plane) register() bool {
	answer, err := p.callControlPlane(storewire.RegisterStore)
	switch {
	case err != nil:
		p.base.Log.WithError(err).Debug("registration failed; will retry")
	case answer.Status == http.StatusConflict:
		p.base.Log.WithField("reason", answer.Reason).Warn("registration refused for good; this disk will not join the store view")
		return false
	case answer.Status != http.StatusOK:
		p.base.Log.WithField("status", answer.Status).WithField("reason", answer.Reason).Error("registration refused")
	}
	return true
}

// reportRetired tells a control node that all data of this disk is on other stores. It has no effect if the store was
// marked as failed and no retirement of its machine is running.
func (p *Plane) reportRetired() {
	answer, err := p.callControlPlane(storewire.StoreRetired)
	if err != nil {
		p.base.Log.WithError(err).Warn("completed retirement not reported; will retry")
		return
	}
	if answer.Status != http.StatusOK {
		p.base.Log.WithField("status", answer.Status).WithField("reason", answer.Reason).Debug("no retirement to complete")
		return
	}
	p.base.Log.WithField("status", answer.Status).Info("retirement completed")
}

func (p *Plane) callControlPlane(method transport.Method) (storewire.StoreNotificationAnswer, error) {
	ctx, cancel := context.WithTimeout(p.ctx, controlTimeout)
	defer cancel()
	news := storewire.StoreNotification{
		ID: p.store.ID(), Node: p.base.Settings.Name, Zone: p.base.Settings.Zone,
		Address: p.base.Address, Bootstrap: p.base.Settings.Bootstrap,
	}
	return storewire.NotifyControlPlane(ctx, p.base.Client, p.nextControlAddress(), method, news)
}

// nextControlAddress returns the address of a control node, in rotation: of the live ones, or of the seeds if none is
// live.
func (p *Plane) nextControlAddress() string {
	var addresses []string
	for _, n := range p.base.Cluster.Nodes() {
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
	return addresses[p.controlCalls.Add(1)%uint64(len(addresses))]
}

// Failed returns nil: the plane goes on whatever happens.
func (p *Plane) Failed() <-chan struct{} { return nil }

// SetSeeds sets the addresses of other machines' control planes.
func (p *Plane) SetSeeds(addresses []string) {
	p.seeds.Store(&addresses)
	p.base.Cluster.SetSeeds(addresses)
}

// Shutdown leaves the cluster and stops the plane. Acknowledged data is on the disk.
func (p *Plane) Shutdown(ctx context.Context, _ time.Time) {
	p.base.Leave(ctx)
	p.close()
}

func (p *Plane) close() {
	p.stop()
	p.base.Disconnect()
	if p.store != nil {
		_ = p.store.Close()
	}
	p.base.Close()
}
