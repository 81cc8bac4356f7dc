package proxy

import (
	"net/http"
	"time"
)

const (
	readinessPath = "/api/readiness"
	// The platform asks once a second, maybe on one connection.
	readinessIdleTimeout    = 10 * time.Second
	readinessHeaderTimeout  = 2 * time.Second
	readinessMaxHeaderBytes = 8 << 10
)

// readinessServer answers the platform, which sends clients only to a sender that calls itself ready.
func (p *Proxy) readinessServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(p.serveReadiness),
		ReadHeaderTimeout: readinessHeaderTimeout,
		IdleTimeout:       readinessIdleTimeout,
		MaxHeaderBytes:    readinessMaxHeaderBytes,
		ErrorLog:          discardLog,
	}
}

func (p *Proxy) serveReadiness(w http.ResponseWriter, r *http.Request) {
	suppressDefaultHeaders(w.Header())
	switch {
	case r.URL.Path != readinessPath:
		w.WriteHeader(http.StatusNotFound)
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case p.isReady():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady says whether the platform may send clients.
func (p *Proxy) isReady() bool { return p.ready.Load() && !p.stopping.Load() }
