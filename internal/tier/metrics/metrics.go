// Package metrics serves the metrics of a process of the tier at their own address, in the text format of Prometheus:
//
//	server, err := metrics.Serve(node.Metrics, collect, logger)
//	defer server.Close()
//
// Everything is read at a scrape, by the function that also collects the status for `node status`; without scrapes it costs
// only a timer (see internal/lateness). Labels have few values, known in advance: no tenant, program, request, route or
// receiver is among them.
package metrics

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"emberquay/internal/lateness"
	"emberquay/internal/tier/nodestatus"
	"emberquay/internal/tier/settings"
)

const (
	// collectTimeout limits the collection of the status for one scrape.
	collectTimeout = time.Second
	// requestTimeout limits the reading of a request and the writing of its response.
	requestTimeout = 5 * time.Second
	// maxConcurrentRequests limits the requests in flight; further ones are refused with 503.
	maxConcurrentRequests = 2
)

// Collect collects the status of the process.
type Collect func(context.Context) (nodestatus.Status, error)

// Server serves the metrics until it is closed. The zero value serves nothing.
type Server struct {
	server *http.Server
	stop   chan struct{}
}

// Serve starts serving at the address of the settings; it does nothing if that is empty. It returns an error that names
// the key of the settings if it cannot listen on the address.
func Serve(config settings.MetricsEndpoint, collect Collect, logger log.Interface) (*Server, error) {
	if config.Address == "" {
		return &Server{}, nil
	}
	listener, err := net.Listen("tcp4", config.Address)
	if err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	s := &Server{stop: make(chan struct{})}
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newCollector(collect, lateness.StartMonitor(s.stop)),
	)
	mux := http.NewServeMux()
	mux.Handle("GET "+config.Path, promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentRequests}))
	server := &http.Server{Handler: mux, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout}
	s.server = server
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			logger.WithError(err).Error("metrics server failed")
		}
	}()
	return s, nil
}

// Close stops serving at once. It may be called more than once, from one goroutine.
func (s *Server) Close() {
	if s == nil || s.server == nil {
		return
	}
	close(s.stop)
	_ = s.server.Close()
	s.server = nil
}
