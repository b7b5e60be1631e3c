package scheduling

import (
	"math"
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/scheduler"
)

// endpointLogPeriod is the time between two checks for endpoint changes to log.
const endpointLogPeriod = time.Second

// loggedEndpoint is an endpoint as it was last logged.
type loggedEndpoint struct {
	incarnation uint64
	state       string
}

// logEndpointChanges logs each endpoint that was added, removed or changed its
// state, and updates the metrics.
func (l *loop) logEndpointChanges(now time.Time) {
	for _, s := range l.instances {
		endpoints := s.scheduler.Endpoints(now)
		l.reportMetrics(now, s, endpoints)
		present := make(map[string]bool, len(endpoints))
		for _, e := range endpoints {
			present[e.Endpoint] = true
			l.logEndpoint(s, e)
		}
		for name, seen := range s.loggedEndpoints {
			if present[name] {
				continue
			}
			if seen.state == stateAvailable {
				event.EndpointExpired.Log(l.cfg.Log, event.Fields{
					"service": s.key.service, "endpoint": name, "incarnation": seen.incarnation,
				})
			}
			delete(s.loggedEndpoints, name)
		}
	}
}

// reportMetrics updates the metrics of one scheduler.
func (l *loop) reportMetrics(now time.Time, s *instance, endpoints []scheduler.EndpointStatus) {
	slots, inUse, waiting := 0, 0, 0
	for _, e := range endpoints {
		if endpointState(e) == stateAvailable {
			slots += e.Slots
			inUse += e.InUse
		}
	}
	lowest, highest := math.Inf(1), math.Inf(-1)
	for _, a := range s.scheduler.Accounts(now) {
		waiting += a.Waiting
		if a.Waiting > 0 {
			lowest, highest = min(lowest, a.VirtualService), max(highest, a.VirtualService)
		}
	}
	l.cfg.Metrics.SetSchedule(s.key.service, s.key.region, slots, inUse, waiting, max(0, highest-lowest))
}

// logEndpoint logs the endpoint if it has changed since it was last logged.
func (l *loop) logEndpoint(s *instance, e scheduler.EndpointStatus) {
	next := loggedEndpoint{incarnation: e.Incarnation, state: endpointState(e)}
	if s.loggedEndpoints[e.Endpoint] == next {
		return
	}
	s.loggedEndpoints[e.Endpoint] = next
	fields := event.Fields{"service": s.key.service, "endpoint": e.Endpoint, "incarnation": e.Incarnation}
	switch next.state {
	case stateAvailable:
		fields["region"], fields["zone"], fields["address"], fields["slots"] = s.key.region, e.Zone, e.Address, e.Slots
		event.EndpointAnnounced.Log(l.cfg.Log, fields)
	case stateDrained:
		event.EndpointDrained.Log(l.cfg.Log, fields)
	case stateLeaving:
		event.EndpointLeft.Log(l.cfg.Log, fields)
	case stateExpired:
		event.EndpointExpired.Log(l.cfg.Log, fields)
	}
}

// logLoans logs the loans and returns of an exchange.
func (l *loop) logLoans(s *instance, o scheduler.Outgoing) {
	fields := event.Fields{"service": s.key.service, "region": s.key.region, "to": o.Region}
	if n := len(o.Exchange.Loans); n > 0 {
		fields["slots"] = n
		event.SlotsLent.Log(l.cfg.Log, fields)
	}
	if n := len(o.Exchange.Returned); n > 0 {
		fields["slots"] = n
		event.SlotsReturned.Log(l.cfg.Log, fields)
	}
}
