package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Buckets of the latency histograms, in seconds.
var (
	waitBuckets    = []float64{.001, .005, .02, .1, .5, 1, 2, 5, 15, 60}
	requestBuckets = []float64{.005, .02, .1, .5, 1, 2, 5, 15, 60, 300}
)

// RequestMetrics holds the metrics of callers' requests.
type RequestMetrics struct {
	outcomes    *prometheus.CounterVec
	retries     *prometheus.CounterVec
	leftZone    *prometheus.CounterVec
	crashes     *prometheus.CounterVec
	waits       *prometheus.HistogramVec
	durations   *prometheus.HistogramVec
	firstEvents *prometheus.HistogramVec
	cost        *prometheus.CounterVec
}

// NewRequestMetrics registers the metrics of callers' requests.
func NewRequestMetrics(registry *prometheus.Registry) *RequestMetrics {
	m := &RequestMetrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderramp_requests_total", Help: "Requests by service, outcome and error code.",
		}, []string{"service", "outcome", "code"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderramp_retries_total", Help: "Further attempts by service.",
		}, []string{"service"}),
		leftZone: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderramp_left_zone_total", Help: "Attempts at endpoints outside the router's availability zone, by service and reason.",
		}, []string{"service", "reason"}),
		crashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderramp_endpoint_crashes_total", Help: "Endpoints that crashed during a call, by service.",
		}, []string{"service"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleanderramp_slot_wait_seconds", Help: "Time from the demand to the grant.", Buckets: waitBuckets,
		}, []string{"service"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleanderramp_request_seconds", Help: "Time from arrival to the end of the answer.", Buckets: requestBuckets,
		}, []string{"service"}),
		firstEvents: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleanderramp_first_event_seconds", Help: "Time from arrival to the first event of a stream.", Buckets: waitBuckets,
		}, []string{"service"}),
		cost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderramp_service_received_total", Help: "Weighted service by service and client account.",
		}, []string{"service", "account"}),
	}
	registry.MustRegister(m.outcomes, m.retries, m.leftZone, m.crashes, m.waits, m.durations, m.firstEvents, m.cost)
	return m
}

// RequestEnded records the outcome and the duration of a request.
func (m *RequestMetrics) RequestEnded(service, outcome, code string, took time.Duration) {
	m.outcomes.WithLabelValues(service, outcome, code).Inc()
	m.durations.WithLabelValues(service).Observe(took.Seconds())
}

// ObserveSlotWait records how long a request waited for a slot.
func (m *RequestMetrics) ObserveSlotWait(service string, wait time.Duration) {
	m.waits.WithLabelValues(service).Observe(wait.Seconds())
}

// ObserveFirstEvent records the time from a request's arrival to the first event
// of its stream.
func (m *RequestMetrics) ObserveFirstEvent(service string, took time.Duration) {
	m.firstEvents.WithLabelValues(service).Observe(took.Seconds())
}

// CountRetry counts a further attempt of a request.
func (m *RequestMetrics) CountRetry(service string) { m.retries.WithLabelValues(service).Inc() }

// CountLeftZone counts an attempt outside the router's availability zone.
func (m *RequestMetrics) CountLeftZone(service, reason string) {
	m.leftZone.WithLabelValues(service, reason).Inc()
}

// CountCrash counts an endpoint that crashed during a call.
func (m *RequestMetrics) CountCrash(service string) { m.crashes.WithLabelValues(service).Inc() }

// AddService adds to the weighted service that a client account has received.
func (m *RequestMetrics) AddService(service, account string, cost float64) {
	m.cost.WithLabelValues(service, account).Add(cost)
}

// ScheduleMetrics holds the metrics of the schedulers of this daemon.
type ScheduleMetrics struct {
	slots   *prometheus.GaugeVec
	inUse   *prometheus.GaugeVec
	waiting *prometheus.GaugeVec
	gap     *prometheus.GaugeVec
}

// NewScheduleMetrics registers the metrics of schedulers.
func NewScheduleMetrics(registry *prometheus.Registry) *ScheduleMetrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"service", "region"})
		registry.MustRegister(g)
		return g
	}
	return &ScheduleMetrics{
		slots:   gauge("oleanderramp_slots", "Slots of available endpoints, at the scheduler."),
		inUse:   gauge("oleanderramp_slots_in_use", "Slots granted or lent."),
		waiting: gauge("oleanderramp_requests_waiting", "Requests that wait for a slot."),
		gap: gauge("oleanderramp_fairness_gap",
			"Largest difference in service, by share, between two accounts with waiting requests."),
	}
}

// SetSchedule sets the metrics of one service in one region.
func (m *ScheduleMetrics) SetSchedule(service, region string, slots, inUse, waiting int, gap float64) {
	m.slots.WithLabelValues(service, region).Set(float64(slots))
	m.inUse.WithLabelValues(service, region).Set(float64(inUse))
	m.waiting.WithLabelValues(service, region).Set(float64(waiting))
	m.gap.WithLabelValues(service, region).Set(gap)
}

// RegisterGauge registers a gauge whose value is read at each scrape.
func RegisterGauge(registry *prometheus.Registry, name, help string, value func() float64) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// RegisterCounter registers a counter whose value is read at each scrape.
func RegisterCounter(registry *prometheus.Registry, name, help string, value func() float64) {
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

// RouterState is the state of a site's router that its metrics show.
type RouterState interface {
	RoutingVersion() uint64
	Lag() time.Duration
	StandingLag() time.Duration
	Unsynced() time.Duration
	Endpoints() int
	// ColdEndpoints returns the number of endpoints that count as cold.
	ColdEndpoints() int
	Active() int
	Connections() int
	RefusedConnections() int64
}

// RegisterRouter registers the metrics of a site's router.
func RegisterRouter(registry *prometheus.Registry, r RouterState) {
	RegisterGauge(registry, "oleanderramp_routing_version", "Version of the routing table in force; 0 for none.",
		func() float64 { return float64(r.RoutingVersion()) })
	RegisterGauge(registry, "oleanderramp_processor_wait_seconds", "Scheduling latency: how long a runnable goroutine of the router waits for a processor.",
		func() float64 { return r.Lag().Seconds() })
	RegisterGauge(registry, "oleanderramp_network_wait_seconds", "How long each network event has waited lately for the router to notice it.",
		func() float64 { return r.StandingLag().Seconds() })
	RegisterGauge(registry, "oleanderramp_unsynced_seconds", "Time since a control host last answered.",
		func() float64 { return r.Unsynced().Seconds() })
	RegisterGauge(registry, "oleanderramp_endpoints", "Endpoints to which requests may be routed.",
		func() float64 { return float64(r.Endpoints()) })
	RegisterGauge(registry, "oleanderramp_cold_endpoints", "Endpoints that count as cold.",
		func() float64 { return float64(r.ColdEndpoints()) })
	RegisterGauge(registry, "oleanderramp_requests_active", "Requests in progress.",
		func() float64 { return float64(r.Active()) })
	RegisterGauge(registry, "oleanderramp_connections_open", "Connections of callers that are open.",
		func() float64 { return float64(r.Connections()) })
	RegisterCounter(registry, "oleanderramp_connections_refused_total", "Connections of callers that were refused because the connection limit was reached.",
		func() float64 { return float64(r.RefusedConnections()) })
}

// RegisterVoters registers the number of the quorum's voters.
func RegisterVoters(registry *prometheus.Registry, voters func() int) {
	RegisterGauge(registry, "oleanderramp_quorum_voters", "Voters of the quorum, as this control host knows it.",
		func() float64 { return float64(voters()) })
}

// RegisterEvacuatedZones registers the number of zones that a site's router keeps free of
// new requests.
func RegisterEvacuatedZones(registry *prometheus.Registry, zones func() int) {
	RegisterGauge(registry, "oleanderramp_evacuated_zones", "Zones whose endpoints get no new requests by an operator's order.",
		func() float64 { return float64(zones()) })
}

// RegisterOmittedLogLines registers the number of omitted log lines.
func RegisterOmittedLogLines(registry *prometheus.Registry, omitted func() uint64) {
	RegisterCounter(registry, "oleanderramp_log_lines_omitted_total", "Log lines omitted because the rate limit was exceeded or the log buffer was full.",
		func() float64 { return float64(omitted()) })
}

// Traffic returns counts of bytes of control traffic.
type Traffic interface {
	Sent() uint64
	Received() uint64
}

// RegisterControlTraffic registers the bytes of control traffic on one kind of
// connection: accepted, within_region, cross_region or site.
func RegisterControlTraffic(registry *prometheus.Registry, kind string, t Traffic) {
	const help = "Bytes of control traffic between daemons, framing included."
	add := func(direction string, value func() uint64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "oleanderramp_control_bytes_total", Help: help,
			ConstLabels: prometheus.Labels{"connection": kind, "direction": direction},
		}, func() float64 { return float64(value()) }))
	}
	add("sent", t.Sent)
	add("received", t.Received)
}
