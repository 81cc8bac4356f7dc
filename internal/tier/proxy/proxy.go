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
	options   Options
	memory    memory
	pool      *outbound.Pool
	admission *admission
	reporter  *reporter
	failures  failureLog
	front     *front
	readiness net.Listener

	spread     *spread
	mu         sync.Mutex // over changes of the configuration
	snapshot   atomic.Pointer[routing.Snapshot]
	configured chan struct{} // closed with the first configuration

	ready    atomic.Bool
	clients  connections
	finished chan struct{}
	once     sync.Once

	draining atomic.Bool               // the process has been told to stop
	stop     atomic.Pointer[stopTimes] // nil: it has not
}

// limitsBefore hold until a configuration is known.
var limitsBefore = routing.Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// New opens the listeners. Until a configuration is known requests are held for a moment, then answered with 503.
func New(options Options) (*Proxy, error) {
	options.fill()
	p := &Proxy{
		options:    options,
		memory:     memory{limit: options.MaxBodyMemoryBytes},
		pool:       outbound.NewPool(outbound.Options{MaxConnections: options.MaxReceiverConnections}),
		spread:     newSpread(options.Seed),
		failures:   failureLog{logger: options.Logger},
		configured: make(chan struct{}),
		finished:   make(chan struct{}),
	}
	p.admission = newAdmission(dispatch.New(options.Seed, options.Zone))
	p.reporter = newReporter(p)
	listener, err := listenFront(options.ClientAddress)
	if err != nil {
		return nil, eris.Wrapf(err, "the clients' address %s", options.ClientAddress)
	}
	p.readiness, err = net.Listen("tcp", options.ReadinessAddress)
	if err != nil {
		listener.Close()
		return nil, eris.Wrapf(err, "the readiness address %s", options.ReadinessAddress)
	}
	p.front = newFront(listener, p.handler, &p.clients, options.MaxClientConnections)
	p.front.setLimits(limitsBefore)
	return p, nil
}

// Run serves until Shutdown has done its work.
func (p *Proxy) Run() error {
	go p.admission.run()
	readiness := p.readinessServer()
	go readiness.Serve(p.readiness)
	err := p.front.accept()
	if err != nil {
		err = eris.Wrap(err, "accept clients")
		p.finish()
	}
	<-p.finished
	readiness.Close()
	return err
}

// finish ends all that runs, once.
func (p *Proxy) finish() {
	p.once.Do(func() {
		p.front.stopAccepting()
		p.front.close()
		p.reporter.stop()
		p.pool.Close()
		p.admission.stop()
		close(p.finished)
	})
}

// SetReady says whether the platform may send clients here.
func (p *Proxy) SetReady(ready bool) { p.ready.Store(ready) }

// SetConfiguration puts a configuration in force. One that is older than the present one is not used.
func (p *Proxy) SetConfiguration(snapshot *routing.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := p.snapshot.Load()
	if snapshot == nil || present != nil && snapshot.Version <= present.Version {
		return
	}
	p.front.setLimits(snapshot.Limits)
	p.snapshot.Store(snapshot)
	p.spread.keep(snapshot.HasRoute)
	if present == nil {
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
	case <-p.finished:
	}
	return p.snapshot.Load()
}

// spareConnections go beyond a receiver's slots where it tells no bound: for its report, and one that is being closed.
const spareConnections = 2

// crowdedShare is the number of connections for each proxy below which those at rest could use a receiver's up.
const crowdedShare = 3

// SetReceivers takes the whole list of receivers, whenever it or the number of proxies changes. The list is kept.
func (p *Proxy) SetReceivers(receivers []dispatch.Receiver) {
	proxies := max(1, p.options.LiveProxyCount())
	limits := make([]outbound.AddressLimit, 0, len(receivers))
	for _, receiver := range receivers {
		if receiver.MaxConnections > 0 {
			share := receiver.MaxConnections / proxies
			limits = append(limits, outbound.AddressLimit{Address: receiver.Address, MaxConnections: share, Contended: share < crowdedShare})
		} else {
			limits = append(limits, outbound.AddressLimit{Address: receiver.Address, MaxConnections: receiver.Slots + spareConnections})
		}
	}
	p.pool.SetLimits(limits)
	p.reporter.setReceivers(receivers)
	p.admission.tell(receiverList{receivers: receivers})
}

// HandleReport takes a receiver's report, own or of another proxy; its Age counts from now on.
func (p *Proxy) HandleReport(instance dispatch.InstanceID, report dispatch.Report) {
	p.admission.tell(reportTaken{instance: instance, report: report, at: time.Now()})
}

// handler answers the clients of one generation of the server.
func (p *Proxy) handler(current func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.clients.isStopped() {
			panic(http.ErrAbortHandler) // nothing of it was passed on: the client sends it again
		}
		arrived := time.Now()
		snapshot := p.configuration(r.Context())
		v := &visit{
			proxy:    p,
			writer:   w,
			flusher:  http.NewResponseController(w),
			request:  r,
			leaving:  !current(),
			snapshot: snapshot,
			arrived:  arrived,
		}
		if p.guarded(v) == cut {
			panic(http.ErrAbortHandler)
		}
	})
}

// guarded serves a visit. A panic there ends its connection only, with a line in the log.
func (p *Proxy) guarded(v *visit) (end ending) {
	defer func() {
		if reason := recover(); reason != nil {
			p.options.Logger.WithField("request", v.id).WithField("reason", reason).Error("a handler panicked")
			end = cut
		}
	}()
	return v.serve()
}
