// Package telemetry speaks to what runs the daemon: health and readiness for
// the balancer, and metrics.
package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Readiness tells whether the daemon may take new requests.
type Readiness interface {
	// Ready returns an empty string, or the reason why not.
	Ready() string
}

// Handle adds /healthz, /readyz and /metrics to the mux.
func Handle(mux *http.ServeMux, readiness Readiness, registry *prometheus.Registry) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n")) // The prober may be gone.
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := readiness.Ready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n")) // The prober may be gone.
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
}

// NewRegistry returns a registry with the metrics of the process itself.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}
