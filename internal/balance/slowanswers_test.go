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
