package proxy

import (
	"net/http"
	"time"
)

const (
	readinessPath = "/api/readiness"
	// The platform asks once a second, maybe on one connection.
	readinessIdle   = 10 * time.Second
	readinessHeader = 2 * time.Second
	readinessHead   = 8 << 10
)

// readinessServer answers the platform, which sends clients only to a sender that calls itself ready.
func (p *Proxy) readinessServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(p.answerReadiness),
		ReadHeaderTimeout: readinessHeader,
		IdleTimeout:       readinessIdle,
		MaxHeaderBytes:    readinessHead,
		ErrorLog:          quietLog,
	}
}

func (p *Proxy) answerReadiness(w http.ResponseWriter, r *http.Request) {
	noAdditions(w.Header())
	switch {
	case r.URL.Path != readinessPath:
		w.WriteHeader(http.StatusNotFound)
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case p.takesClients():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// takesClients says whether the platform may send clients.
func (p *Proxy) takesClients() bool { return p.ready.Load() && !p.draining.Load() }
