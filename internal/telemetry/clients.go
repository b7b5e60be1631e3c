package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"oleanderramp/internal/membudget"
	"oleanderramp/internal/memgate"
)

// RegisterClientMemory registers the metrics of the memory that clients make the process
// hold.
func RegisterClientMemory(registry *prometheus.Registry, g *memgate.Gate) {
	RegisterGauge(registry, "oleanderramp_client_memory_limit_bytes", "Memory that clients together can make the daemon hold.",
		func() float64 { return float64(g.Bytes()) })
	for _, kind := range membudget.Kinds() {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oleanderramp_client_memory_bytes", Help: "Memory that the daemon holds for clients, by kind.",
			ConstLabels: prometheus.Labels{"kind": kind.String()},
		}, func() float64 { return float64(g.Held(kind)) }))
	}
	for _, reason := range memgate.Reasons() {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "oleanderramp_clients_ended_total", Help: "Clients that were rejected or closed for what they sent or held, by reason.",
			ConstLabels: prometheus.Labels{"reason": reason.String()},
		}, func() float64 { return float64(g.EndedCount(reason)) }))
	}
}
