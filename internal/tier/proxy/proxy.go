package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/proxy/outbound"
	"emberquay/internal/tier/routing"
)

// Proxy is the reverse proxy of a data plane. Its methods are safe for concurrent use.
type Proxy struct {
	options           Options
	bodyMemory        memoryBudget
	pool              *outbound.Pool
	admission         *admission
	reportPoller      *reportPoller
	failures          failureLog
	frontend          *frontend
	readinessListener net.Listener

	routeSequences *routeSequences
	configMu       sync.Mutex // serializes SetConfiguration
	snapshot       atomic.Pointer[routing.Snapshot]
	configured     chan struct{} // closed once the first configuration is set

	ready     atomic.Bool
	clients   connectionTracker
	closed    chan struct{}
	closeOnce sync.Once

	stopping atomic.Bool                      // Shutdown has been called
	schedule atomic.Pointer[shutdownSchedule] // nil before Shutdown
}

// initialLimits apply until the first configuration is set.
var initialLimits = routing.Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// New opens the listeners. Until the first configuration is set, a request waits for up to configurationWait and is then
// answered with 503.
func New(options Options) (*Proxy, error) {
	options.setDefaults()
	p := &Proxy{
		options:        options,
		bodyMemory:     memoryBudget{limitBytes: options.MaxBodyMemoryBytes},
		pool:           outbound.NewPool(outbound.Options{MaxConnections: options.MaxReceiverConnections}),
		routeSequences: newRouteSequences(options.Seed),
		failures:       failureLog{logger: options.Logger},
		configured:     make(chan struct{}),
		closed:         make(chan struct{}),
	}
	p.admission = newAdmission(dispatch.New(options.Seed, options.Zone))
	p.reportPoller = newReportPoller(p)
	listener, err := listenClients(options.ClientAddress)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for clients on %s", options.ClientAddress)
	}
	p.readinessListener, err = net.Listen("tcp", options.ReadinessAddress)
	if err != nil {
		listener.Close()
		return nil, eris.Wrapf(err, "listen for readiness checks on %s", options.ReadinessAddress)
	}
	p.frontend = newFrontend(listener, p.handler, &p.clients, options.MaxClientConnections)
	p.frontend.setLimits(initialLimits)
	return p, nil
}

// Run serves until Shutdown has completed.
func (p *Proxy) Run() error {
	go p.admission.run()
	readiness := p.readinessServer()
	go readiness.Serve(p.readinessListener)
	err := p.frontend.accept()
	if err != nil {
		err = eris.Wrap(err, "accept client connections")
		p.closeAll()
	}
	<-p.closed
	readiness.Close()
	return err
}

// closeAll closes the listeners, connections and background work, once.
func (p *Proxy) closeAll() {
	p.closeOnce.Do(func() {
		p.frontend.stopAccepting()
		p.frontend.close()
		p.reportPoller.stop()
		p.pool.Close()
		p.admission.stop()
		close(p.closed)
	})
}

// SetReady sets whether the readiness check succeeds, and so whether the platform routes clients here.
func (p *Proxy) SetReady(ready bool) { p.ready.Store(ready) }

// SetConfiguration applies a configuration. It ignores one that is not newer than the current one.
func (p *Proxy) SetConfiguration(snapshot *routing.Snapshot) {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	current := p.snapshot.Load()
	if snapshot == nil || current != nil && snapshot.Version <= current.Version {
		return
	}
	p.frontend.setLimits(snapshot.Limits)
	p.snapshot.Store(snapshot)
	p.routeSequences.retain(snapshot.RouteNames)
	if current == nil {
		close(p.configured)
	}
}

// configuration returns the current configuration. Before the first one it waits for up to configurationWait, and returns
// nil if none was set in that time.
func (p *Proxy) configuration(ctx context.Context) *routing.Snapshot {
	if snapshot := p.snapshot.Load(); snapshot != nil {
		return snapshot
	}
	timer := time.NewTimer(p.options.configurationWait)
	defer timer.Stop()
	select {
	case <-p.configured:
	case <-timer.C:
	case <-ctx.Done():
	case <-p.closed:
	}
	return p.snapshot.Load()
}

// spareConnections are allowed beyond a receiver's slots if it announces no connection limit: one for polling its report
// and one for a connection that is being closed.
const spareConnections = 2

// contendedShare is the number of connections per proxy below which idle connections could use up a receiver's limit.
const contendedShare = 3

// SetReceivers replaces the list of receivers. Call it whenever the list or the number of proxies changes. The slice is
// retained.
func (p *Proxy) SetReceivers(receivers []dispatch.Receiver) {
	proxies := max(1, p.options.LiveProxyCount())
	limits := make([]outbound.AddressLimit, 0, len(receivers))
	for _, receiver := range receivers {
		if receiver.MaxConnections > 0 {
			share := receiver.MaxConnections / proxies
			limits = append(limits, outbound.AddressLimit{Address: receiver.Address, MaxConnections: share, Contended: share < contendedShare})
		} else {
			limits = append(limits, outbound.AddressLimit{Address: receiver.Address, MaxConnections: receiver.Slots + spareConnections})
		}
	}
	p.pool.SetLimits(limits)
	p.reportPoller.setReceivers(receivers)
	p.admission.enqueue(receiversCommand{receivers: receivers})
}

// HandleReport applies a receiver's report, polled by this proxy or by another. Its Age is as of the call.
func (p *Proxy) HandleReport(instance dispatch.InstanceID, report dispatch.Report) {
	p.admission.enqueue(reportCommand{instance: instance, report: report, receivedAt: time.Now()})
}

// handler returns the HTTP handler of one server generation.
func (p *Proxy) handler(isCurrent func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.clients.isStopped() {
			panic(http.ErrAbortHandler) // nothing was sent to a receiver, so the client can retry
		}
		arrived := time.Now()
		snapshot := p.configuration(r.Context())
		h := &requestHandler{
			proxy:           p,
			writer:          w,
			flusher:         http.NewResponseController(w),
			request:         r,
			closeConnection: !isCurrent(),
			snapshot:        snapshot,
			arrived:         arrived,
		}
		if p.serveWithRecover(h) == responseAborted {
			panic(http.ErrAbortHandler)
		}
	})
}

// serveWithRecover serves a request. A panic in it is logged and closes only that request's connection.
func (p *Proxy) serveWithRecover(h *requestHandler) (end responseEnd) {
	defer func() {
		if reason := recover(); reason != nil {
			p.options.Logger.WithField("request", h.id).WithField("reason", reason).Error("request handler panicked")
			end = responseAborted
		}
	}()
	return h.serve()
}
