package balance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/balance"
)

// TestPausesDoNotEndAService guards against a plain service that is refused for good
// once its answers were later than the maximum response time: without requests no
// answer can show that its endpoints are fast again.
func TestPausesDoNotEndAService(t *testing.T) {
	c := qt.New(t)
	b := balance.New("near")
	b.Update(start, fleet("orders", 4, 3), table(c, routingEngine))
	demand := balance.Demand{Service: "orders", MaxResponseTime: objective}
	// All endpoints pause for 2 s, with 4 requests in progress at each.
	var held []*balance.Reservation
	for range 12 {
		choice := b.Choose(start, demand)
		c.Assert(choice.Reason, qt.Equals, balance.Reason(""))
		held = append(held, b.Begin(start, demand, choice))
	}
	for _, r := range held {
		r.End(at(2), balance.Answered)
	}
	later := at(2).Add(time.Minute)
	c.Check(b.Choose(later, demand).Reason, qt.Equals, balance.Reason(""))
}

// TestPausesDoNotExcludeAnEngine guards against an engine that gets no more requests of a
// router once its streams have paused: without events nothing lowers the interval between
// them that the router expects.
func TestPausesDoNotExcludeAnEngine(t *testing.T) {
	c := qt.New(t)
	b := engines(c, 1)
	d := newDemand(prompt(1000, ""))
	d.MaxTotalTime = 2 * time.Second
	r := b.Begin(start, d, b.Choose(start, d))
	r.RecordEvents(start, 1)
	r.RecordEvents(at(1.5), 1)
	c.Check(b.Choose(at(1.5), d).Reason, qt.Equals, balance.Busy)
	r.End(at(1.6), balance.Answered)
	c.Check(b.Choose(at(1.6), d).Reason, qt.Equals, balance.Reason(""))
}
