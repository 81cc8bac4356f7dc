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

// Proxy is a running data plane. Its methods may be called from any goroutine.
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
	configMu       sync.Mutex // over changes of the configuration
	snapshot       atomic.Pointer[routing.Snapshot]
	configured     chan struct{} // closed with the first configuration

	ready     atomic.Bool
	clients   connectionTracker
	closed    chan struct{}
	closeOnce sync.Once

	stopping atomic.Bool                      // the process has been told to stop
	schedule atomic.Pointer[shutdownSchedule] // nil: it has not
}

// initialLimits hold until a configuration is known.
var initialLimits = routing.Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// New opens the listeners. Until a configuration is known requests are held for a moment, then answered with 503.
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
		return nil, eris.Wrapf(err, "the clients' address %s", options.ClientAddress)
	}
	p.readinessListener, err = net.Listen("tcp", options.ReadinessAddress)
	if err != nil {
		listener.Close()
		return nil, eris.Wrapf(err, "the readiness address %s", options.ReadinessAddress)
	}
	p.frontend = newFrontend(listener, p.handler, &p.clients, options.MaxClientConnections)
	p.frontend.setLimits(initialLimits)
	return p, nil
}

// Run serves until Shutdown has done its work.
func (p *Proxy) Run() error {
	go p.admission.run()
	readiness := p.readinessServer()
	go readiness.Serve(p.readinessListener)
	err := p.frontend.accept()
	if err != nil {
		err = eris.Wrap(err, "accept clients")
		p.closeAll()
	}
	<-p.closed
	readiness.Close()
	return err
}

// closeAll ends all that runs, once.
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

// SetReady says whether the platform may send clients here.
func (p *Proxy) SetReady(ready bool) { p.ready.Store(ready) }

// SetConfiguration puts a configuration in force. One that is older than the present one is not used.
func (p *Proxy) SetConfiguration(snapshot *routing.Snapshot) {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	current := p.snapshot.Load()
	if snapshot == nil || current != nil && snapshot.Version <= current.Version {
		return
	}
	p.frontend.setLimits(snapshot.Limits)
	p.snapshot.Store(snapshot)
	p.routeSequences.retain(snapshot.HasRoute)
	if current == nil {
		close(p.configured)
	}
}

// configuration gives the one in force. While there is none a request is held for a moment; nil: none came.
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

// spareConnections go beyond a receiver's slots where it tells no bound: for its report, and one that is being closed.
const spareConnections = 2

// contendedShare is the number of connections for each proxy below which those at rest could use a receiver's up.
const contendedShare = 3

// SetReceivers takes the whole list of receivers, whenever it or the number of proxies changes. The list is kept.
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

// HandleReport takes a receiver's report, own or of another proxy; its Age counts from now on.
func (p *Proxy) HandleReport(instance dispatch.InstanceID, report dispatch.Report) {
	p.admission.enqueue(reportCommand{instance: instance, report: report, receivedAt: time.Now()})
}

// handler answers the clients of one generation of the server.
func (p *Proxy) handler(isCurrent func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.clients.isStopped() {
			panic(http.ErrAbortHandler) // nothing of it was passed on: the client sends it again
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

// serveWithRecover serves a visit. A panic there ends its connection only, with a line in the log.
func (p *Proxy) serveWithRecover(h *requestHandler) (end responseEnd) {
	defer func() {
		if reason := recover(); reason != nil {
			p.options.Logger.WithField("request", h.id).WithField("reason", reason).Error("a handler panicked")
			end = responseAborted
		}
	}()
	return h.serve()
}
