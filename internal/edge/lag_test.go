package edge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/balance"
)

// TestOwnLagIsNoSlownessOfEndpoints guards against a router that is short of processor
// time, takes its endpoints for slow by its own lag, and refuses all accounts. The
// scheduling latency alone may show no lag while all network events wait for long.
func TestOwnLagIsNoSlownessOfEndpoints(t *testing.T) {
	for _, kind := range []string{"scheduling latency", "wait of network events"} {
		t.Run(kind, func(t *testing.T) {
			lag, none := 150*time.Millisecond, time.Duration(0)
			scheduling, standing := &lag, &none
			if kind == "wait of network events" {
				scheduling, standing = standing, scheduling
			}
			checkOwnLagIsNotMeasured(qt.New(t), &lag, Config{
				Lag: func() time.Duration { return *scheduling }, StandingLag: func() time.Duration { return *standing },
				UnsyncedFor: func() time.Duration { return 0 },
			})
		})
	}
}

// checkOwnLagIsNotMeasured checks that late events change the prediction only after lag,
// which cfg returns, has become 0.
func checkOwnLagIsNotMeasured(c *qt.C, lag *time.Duration, cfg Config) {
	admission := newTestAdmission(c, 100, 0)
	cfg.Admission = admission
	New(cfg)
	start := time.Now()
	request := newPlacementRequest("a", 4000)
	predicted := func() time.Duration {
		admission.mu.Lock()
		defer admission.mu.Unlock()
		return admission.balancer.Choose(start, request.demand).Predicted
	}
	// serve sends requests whose first events are read late.
	serve := func() {
		for i := range 50 {
			now := start.Add(time.Duration(i) * time.Second)
			placed, ok := admission.tryAdmit(now, request)
			c.Assert(ok, qt.IsTrue)
			placed.reservation.recordEvents(now.Add(900*time.Millisecond), 1)
			placed.reservation.end(now.Add(time.Second), balance.Answered)
		}
	}
	before := predicted()
	serve()
	c.Check(predicted(), qt.Equals, before)
	*lag = 0
	serve()
	c.Check(predicted() > 2*before, qt.IsTrue)
}
