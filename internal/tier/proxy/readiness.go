package proxy

import (
	"net/http"
	"time"
)

const (
	readinessPath = "/api/readiness"
	// readinessIdleTimeout exceeds the second between two checks by the platform, so that it can reuse a connection.
	readinessIdleTimeout    = 10 * time.Second
	readinessHeaderTimeout  = 2 * time.Second
	readinessMaxHeaderBytes = 8 << 10
)

// readinessServer returns the server for the platform's readiness checks; the platform routes clients only to ready
// proxies.
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

// isReady reports whether the platform may route clients here.
func (p *Proxy) isReady() bool { return p.ready.Load() && !p.stopping.Load() }
