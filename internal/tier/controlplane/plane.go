// Package controlplane assembles the control plane of one machine: its replica of the control state, the
// operator's and the receivers' API, and the part it takes in the cluster.
//
//	plane, err := controlplane.Start(node, logger)
//	...
//	plane.Shutdown(ctx, signalled)
//
// It owns the table of the receivers whose heartbeats come here; the control state is owned by the replica, what
// is spread by the cluster.
package controlplane

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"emberquay/coordination/chain"
	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/planes"
	"emberquay/internal/tier/registration"
	"emberquay/internal/tier/replica"
	"emberquay/internal/tier/settings"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/vfs"
)

const (
	// commandBound is how many commands may wait for the owner of the receivers.
	commandBound = 256
	// headerTimeout bounds the head of a call: callers are machines, not people.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeaderSize = 16 << 10
	// replicaDiskShare is the part of the disk that the replica's journal may take.
	replicaDiskShare = 0.6
)

// Plane is a running control plane.
type Plane struct {
	base    *planes.Base
	replica *replica.Replica
	server  *http.Server
	keeper  *keeper // nil without a disk

	receiverCommands chan func(*registration.Table)
	done             chan struct{}
	stop             context.CancelFunc

	mutex sync.Mutex
	ended bool // guarded by mutex
}

// Start opens the replica on the machine's disk, joins the others and serves.
func Start(node *settings.Node, logger log.Interface) (*Plane, error) {
	ctx, stop := context.WithCancel(context.Background())
	p := &Plane{
		base: planes.NewBase(node, settings.ControlPlane, logger), stop: stop,
		receiverCommands: make(chan func(*registration.Table), commandBound),
		done:             make(chan struct{}),
	}
	if err := p.open(ctx); err != nil {
		p.close()
		return nil, err
	}
	go p.ownReceivers(ctx)
	go p.watchStores(ctx)
	go p.watchVoters(ctx)
	return p, p.listen()
}

// open starts what other nodes call.
func (p *Plane) open(ctx context.Context) error {
	if err := p.base.Join(); err != nil {
		return err
	}
	var err error
	if p.replica, err = p.openReplica(); err != nil {
		return err
	}
	p.recall()
	p.keepKnown(ctx)
	p.registerStores(p.base.Mux)
	return p.base.Serve(p.addStatus)
}

// listen serves the operator and the receivers.
func (p *Plane) listen() error {
	listener, err := net.Listen("tcp4", p.base.Settings.Listen.Control)
	if err != nil {
		p.close()
		return eris.Wrapf(err, "listen.control")
	}
	mux := http.NewServeMux()
	p.registerOperator(mux)
	p.registerReceivers(mux)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderSize}
	go func() {
		if err := p.server.Serve(listener); err != http.ErrServerClosed {
			p.base.Log.WithError(err).Error("the control listener ended")
		}
	}()
	return nil
}

// openReplica takes up the control state that the disk holds. Only machines that count vote: any number of the
// others may be gone at once. Where none of the core has a disk, what its members hold is lost with their processes.
func (p *Plane) openReplica() (*replica.Replica, error) {
	node := p.base.Settings
	options := replica.Options{
		Name: node.Name, Address: p.base.Address, Zone: node.Zone,
		Seeds: node.SeedInternalAddresses(), Bootstrap: node.Bootstrap, Voter: node.CountsForQuorum,
		NewStateMachine: func() chain.StateMachine { return controlstate.New() },
		OnCommit:        p.committed, Client: p.base.Client, Mux: p.base.Mux, Log: p.base.Log,
	}
	if node.HasDisk() {
		options.Files, options.Dir = vfs.OS{}, node.DataDir
		options.JournalBytes = int64(replicaDiskShare * float64(node.Limits.DiskMB<<20))
	}
	return replica.Open(options)
}

// committed spreads a newly committed control state. Every member does; the same entry twice is one.
func (p *Plane) committed(_, _ uint64, snapshot []byte) {
	state := controlstate.New()
	if err := state.Restore(snapshot); err != nil {
		p.base.Log.WithError(err).Error("committed state cannot be read")
		return
	}
	if version, body := state.Configuration(); version > 0 {
		p.publishConfiguration(version, body)
	}
	p.publishStores(state.Stores())
}

func (p *Plane) publishConfiguration(version uint64, body []byte) {
	if known, ok := p.base.Cluster.Get(cluster.ConfigurationKey); ok && known.Stamp.Epoch >= version {
		return
	}
	value, err := records.ConfigurationCodec.Encode(records.ConfigurationRecord{Version: version, Body: body})
	if err != nil {
		p.base.Log.WithError(err).Error("configuration not spread")
		return
	}
	p.base.Cluster.Publish(cluster.Entry{Key: cluster.ConfigurationKey, Value: value, Stamp: cluster.Stamp{Epoch: version, Sequence: 1}})
}

func (p *Plane) publishStores(view controlstate.StoreView) {
	if known, ok := p.base.Cluster.Get(cluster.StoresKey); view.Epoch == 0 || ok && known.Stamp.Epoch >= view.Epoch {
		return
	}
	entry, err := storewire.ViewEntry(view)
	if err != nil {
		p.base.Log.WithError(err).Error("store view not spread")
		return
	}
	p.base.Cluster.Publish(entry)
}

// heartbeatTarget is where receivers are asked to send their next heartbeats; empty while the plane ends.
func (p *Plane) heartbeatTarget() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended {
		return ""
	}
	return p.base.Settings.Listen.Control
}

// now is the plane's monotonic clock.
func (p *Plane) now() time.Duration { return p.base.Uptime() }

// Shutdown tells the others, answers what has been asked, and ends. It returns when all is done or ctx ends.
func (p *Plane) Shutdown(ctx context.Context, _ time.Time) {
	p.mutex.Lock()
	p.ended = true
	p.mutex.Unlock()
	p.resign(ctx)
	if err := p.server.Shutdown(ctx); err != nil {
		p.base.Log.WithError(err).Warn("calls were cut off by the stop")
	}
	p.base.Leave(ctx)
	p.close()
}

// resignTimeout bounds the wait until the others go on without this member.
const resignTimeout = time.Second

func (p *Plane) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	p.replica.LeaveChain(ctx)
}

func (p *Plane) close() {
	p.stop()
	close(p.done)
	if p.replica != nil {
		_ = p.replica.Close()
	}
	p.base.Close()
}

// SetSeeds tells where other machines' control planes are.
func (p *Plane) SetSeeds(addresses []string) {
	p.base.Cluster.SetSeeds(addresses)
	p.replica.SetSeeds(addresses)
}
