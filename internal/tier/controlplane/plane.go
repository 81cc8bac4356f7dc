// Package controlplane runs the control plane of one machine: its replica of the control state, the HTTP API for the
// operator and the receivers, and its membership of the cluster.
//
//	plane, err := controlplane.Start(node, logger)
//	...
//	plane.Shutdown(ctx, signalledAt)
//
// A Plane owns the table of the receivers that send their heartbeats to this machine. The control state is owned by the
// replica, and the published entries by the cluster.
package controlplane

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"emberquay/coordination/chain"
	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/nodestatus"
	"emberquay/internal/tier/planes"
	"emberquay/internal/tier/registration"
	"emberquay/internal/tier/replica"
	"emberquay/internal/tier/settings"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/vfs"
)

const (
	// commandQueueCapacity is the number of commands that may be queued for the goroutine that owns the receiver table.
	commandQueueCapacity = 256
	// headerTimeout bounds the reading of a request's header. It is short because all clients are programs.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// replicaDiskShare is the fraction of the disk that the replica's journal may use.
	replicaDiskShare = 0.6
)

// Plane is a running control plane.
type Plane struct {
	base    *planes.Base
	replica *replica.Replica
	server  *http.Server
	saver   *entrySaver // of the receivers and the stores; nil without a disk

	committed atomic.Pointer[committedState] // nil: no committed state is known yet

	receiverQueue chan func(*registration.Table)
	closed        chan struct{}
	stop          context.CancelFunc

	mutex    sync.Mutex
	stopping bool // guarded by mutex
}

// Start opens the replica on the machine's disk, joins the cluster and serves.
func Start(node *settings.Node, logger log.Interface) (*Plane, error) {
	ctx, stop := context.WithCancel(context.Background())
	p := &Plane{
		base: planes.NewBase(node, settings.ControlPlane, logger), stop: stop,
		receiverQueue: make(chan func(*registration.Table), commandQueueCapacity),
		closed:        make(chan struct{}),
	}
	if err := p.startInternal(ctx); err != nil {
		p.close()
		return nil, err
	}
	go p.runReceivers(ctx)
	go p.monitorStores(ctx)
	go p.monitorVoters(ctx)
	go p.exchangeContacts(ctx)
	return p, p.startAPI()
}

// startInternal joins the cluster, opens the replica and serves the internal calls of other nodes.
func (p *Plane) startInternal(ctx context.Context) error {
	if err := p.base.Join(); err != nil {
		return err
	}
	var err error
	if p.replica, err = p.openReplica(); err != nil {
		return err
	}
	p.loadSavedEntries()
	p.startEntrySaver(ctx)
	p.registerStoreHandlers(p.base.Mux)
	return p.base.Serve(p.addStatus)
}

// startAPI serves the HTTP API for the operator and the receivers.
func (p *Plane) startAPI() error {
	listener, err := net.Listen("tcp4", p.base.Settings.Listen.Control)
	if err != nil {
		p.close()
		return eris.Wrapf(err, "listen.control")
	}
	mux := http.NewServeMux()
	p.registerOperatorHandlers(mux)
	p.registerReceiverHandlers(mux)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() {
		if err := p.server.Serve(listener); err != http.ErrServerClosed {
			p.base.Log.WithError(err).Error("control API server failed")
		}
	}()
	return nil
}

// openReplica opens the replica with the control state on the disk. Only machines that count for the quorum vote, as any
// number of the others may be lost at once. Without a disk a member's state is lost with its process.
func (p *Plane) openReplica() (*replica.Replica, error) {
	node := p.base.Settings
	options := replica.Options{
		Name: node.Name, Address: p.base.Address, Zone: node.Zone,
		Seeds: node.SeedInternalAddresses(), Bootstrap: node.Bootstrap, Voter: node.CountsForQuorum,
		NewStateMachine: func() chain.StateMachine { return controlstate.New() },
		OnCommit:        p.publishCommitted, Client: p.base.Client, Mux: p.base.Mux, Log: p.base.Log,
	}
	if node.HasDisk() {
		options.Files, options.Dir = vfs.OS{}, node.DataDir
		options.JournalBytes = int64(replicaDiskShare * float64(node.Limits.DiskMB<<20))
	}
	return replica.Open(options)
}

// committedState is what the plane itself needs of the newest committed control state.
type committedState struct {
	stores        controlstate.StoreView
	failed        []controlstate.StoreMember
	version       uint64        // of the configuration; 0: there is none yet
	degradedSince time.Duration // when a store failed while none had; of interest only while some have
	bodyBytes     int           // length of the configuration
	overheadBytes int           // length of the rest of the snapshot
}

// redundancy returns how many losses the stores bear.
func (c *committedState) redundancy(now time.Duration) *nodestatus.StoreRedundancy {
	redundancy := &nodestatus.StoreRedundancy{ToleratedLosses: max(0, c.stores.Tolerance-len(c.failed))}
	if len(c.failed) > 0 {
		redundancy.DegradedTime = now - c.degradedSince
	}
	return redundancy
}

// publishCommitted publishes a newly committed control state to the cluster. Every member does so; publishing an entry
// twice has no further effect.
func (p *Plane) publishCommitted(epoch, sequence uint64, snapshot []byte) {
	state, err := controlstate.Read(snapshot)
	if err != nil {
		p.base.Log.WithError(err).Error("cannot decode the committed control state")
		return
	}
	version, body := state.Configuration()
	if version > 0 {
		p.publishConfiguration(version, body)
	}
	if previous := p.committed.Load(); previous == nil || previous.version != version {
		p.base.Log.WithField("version", version).WithField("epoch", epoch).WithField("sequence", sequence).Info("configuration committed")
	}
	committed := &committedState{
		stores: state.Stores(), failed: state.FailedStores(), version: version, degradedSince: p.now(),
		bodyBytes: len(body), overheadBytes: len(snapshot) - len(body),
	}
	if previous := p.committed.Load(); previous != nil && len(previous.failed) > 0 {
		committed.degradedSince = previous.degradedSince
	}
	p.committed.Store(committed)
	p.publishStores(state.Stores())
}

func (p *Plane) publishConfiguration(version uint64, body []byte) {
	if known, ok := p.base.Cluster.Get(cluster.ConfigurationKey); ok && known.Stamp.Epoch >= version {
		return
	}
	value, err := records.ConfigurationCodec.Encode(records.ConfigurationRecord{Version: version, Body: body})
	if err != nil {
		p.base.Log.WithError(err).Error("cannot encode the configuration; not published")
		return
	}
	p.base.Cluster.Publish(cluster.Entry{Key: cluster.ConfigurationKey, Value: value, Stamp: cluster.Stamp{Epoch: version, Sequence: 1}})
}

func (p *Plane) publishStores(view controlstate.StoreView) {
	if known, ok := p.base.Cluster.Get(cluster.StoresKey); view.Epoch == 0 || ok && known.Stamp.Epoch >= view.Epoch {
		return
	}
	entry, err := storewire.EncodeViewEntry(view)
	if err != nil {
		p.base.Log.WithError(err).Error("cannot encode the store view; not published")
		return
	}
	p.base.Cluster.Publish(entry)
}

// heartbeatTarget returns the address to which receivers are asked to send their next heartbeats; empty during shutdown.
func (p *Plane) heartbeatTarget() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.stopping {
		return ""
	}
	return p.base.Settings.Listen.Control
}

// now returns the time of the plane's monotonic clock.
func (p *Plane) now() time.Duration { return p.base.Uptime() }

// Shutdown leaves the chain and the cluster, completes the pending requests and stops. It returns when all is done or ctx
// ends.
func (p *Plane) Shutdown(ctx context.Context, _ time.Time) {
	p.mutex.Lock()
	p.stopping = true
	p.mutex.Unlock()
	p.leaveChain(ctx)
	if err := p.server.Shutdown(ctx); err != nil {
		p.base.Log.WithError(err).Warn("shutdown interrupted pending requests")
	}
	p.base.Leave(ctx)
	p.close()
}

// leaveTimeout bounds the wait until the other members continue without this one.
const leaveTimeout = time.Second

func (p *Plane) leaveChain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	p.replica.LeaveChain(ctx)
}

func (p *Plane) close() {
	p.stop()
	close(p.closed)
	if p.replica != nil {
		_ = p.replica.Close()
	}
	p.base.Close()
}

// Failed returns a channel that is closed when the replica has stopped by itself, because its disk takes no writes, or when
// the plane is shut down.
func (p *Plane) Failed() <-chan struct{} { return p.replica.Stopped() }

// SetSeeds sets the addresses of the other machines' control planes.
func (p *Plane) SetSeeds(addresses []string) {
	p.base.Cluster.SetSeeds(addresses)
	p.replica.SetSeeds(addresses)
}
