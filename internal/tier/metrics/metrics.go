// Package metrics tells the figures of a process of the tier at an address of its own, in the text format of Prometheus:
//
//	server, err := metrics.Serve(node.Metrics, collect, logger)
//	defer server.Close()
//
// Everything is read when it is asked for, by the look that also answers `node status`; where nobody asks it costs nothing
// but a timer (see internal/lateness). Labels have few values, known beforehand: no tenant, program, request, route or
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
	// collectTimeout bounds the look at the process for one answer.
	collectTimeout = time.Second
	// requestTimeout bounds the reading of a question and the writing of its answer.
	requestTimeout = 5 * time.Second
	// maxConcurrentRequests bounds the answers under way; more are refused with 503.
	maxConcurrentRequests = 2
)

// Collect looks at the process.
type Collect func(context.Context) (nodestatus.Status, error)

// Server answers until it is closed. The zero value answers nothing.
type Server struct {
	server *http.Server
	stop   chan struct{}
}

// Serve begins to answer at the settings' address; where that is empty it does nothing. Errors: the address can't be
// listened on; they name the key of the settings.
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
			logger.WithError(err).Error("the metrics listener ended")
		}
	}()
	return s, nil
}

// Close ends the answering at once. It may come more than once, from one goroutine.
func (s *Server) Close() {
	if s == nil || s.server == nil {
		return
	}
	close(s.stop)
	_ = s.server.Close()
	s.server = nil
}
