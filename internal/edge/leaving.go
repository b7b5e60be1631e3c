package edge

import (
	"math"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/event"
	"oleanderramp/internal/locality"
)

// leavingLogStep is the change of a fraction from which on it is logged.
const leavingLogStep = 0.1

// leavingPair names the fraction of a service's requests that leave for a zone.
type leavingPair struct{ service, zone string }

// SetPlace enables the choice by zones for a router at home. It must be called before the
// first Update.
func (c *AdmissionController) SetPlace(home locality.Place, prices locality.Prices) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.SetPlace(home, prices)
}

func (c *AdmissionController) leavingFractions() []balance.LeavingFraction {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.LeavingFractions()
}

// LogLeaving logs the fractions of requests that leave the zone which have changed much
// since they were last logged. Calls must not overlap.
func (f *Forwarder) LogLeaving() {
	if f.loggedLeaving == nil {
		f.loggedLeaving = make(map[leavingPair]float64)
	}
	for _, l := range f.cfg.Admission.leavingFractions() {
		pair := leavingPair{service: l.Service, zone: l.Zone}
		before := f.loggedLeaving[pair]
		if math.Abs(l.Fraction-before) < leavingLogStep && (l.Fraction > 0 || before == 0) {
			continue
		}
		f.loggedLeaving[pair] = l.Fraction
		event.LeavingChanged.Log(f.cfg.Log, event.Fields{"service": l.Service, "zone": l.Zone, "fraction": l.Fraction, "before": before})
	}
}
