package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/placement"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// acquiredLease returns a lease acquired at now.
func acquiredLease(now time.Time, token uint64) placement.Lease {
	return placement.Lease{}.Acquired(now, now, token)
}

func engine(name string, checks bool, running int, models ...string) placement.Endpoint {
	return placement.Endpoint{
		Name: name, Incarnation: 1, Address: name + ":1", Models: models, ChecksFencing: checks,
		Available: true, Slots: 4, Running: running,
	}
}

var large = placement.Target{Kind: placement.LoadModel, Name: "large"}

// serviceWithDemand returns a service in which requests wait for the model
// large.
func serviceWithDemand(endpoints ...placement.Endpoint) placement.Service {
	return placement.Service{
		Name: "manuals", OrdersPerMinute: 60, Targets: []placement.Target{large}, Endpoints: endpoints,
		Demand: []placement.Demand{{Model: "large", Waiting: 1, OldestWait: time.Second}},
	}
}

// decideEverySecond calls Decide once a second under one lease that is renewed
// each time, and returns all decisions.
func decideEverySecond(p *placement.Placer, from, seconds int, token uint64, at func(second int) placement.Service) placement.Decisions {
	var all placement.Decisions
	lease := acquiredLease(start, token)
	for second := from; second < from+seconds; second++ {
		now := start.Add(time.Duration(second) * time.Second)
		lease = lease.Acquired(now, now, token)
		d := p.Decide(now, lease, []placement.Service{at(second)})
		all.Orders = append(all.Orders, d.Orders...)
		all.Delayed = append(all.Delayed, d.Delayed...)
		all.Withheld = append(all.Withheld, d.Withheld...)
		all.Incomplete = append(all.Incomplete, d.Incomplete...)
	}
	return all
}

func TestDecisions(t *testing.T) {
	unavailable := engine("e1", true, 0, "base")
	unavailable.Available = false
	minimum := serviceWithDemand(engine("e1", true, 0, "large"), engine("e2", true, 4, "base"))
	minimum.Targets = []placement.Target{{Kind: placement.LoadModel, Name: "large", Min: 2}}
	minimum.Demand = nil
	bounded := serviceWithDemand(engine("e1", true, 4, "large"), engine("e2", true, 0, "base"))
	bounded.Targets = []placement.Target{{Kind: placement.LoadModel, Name: "large", Max: 1}}
	shortWait := serviceWithDemand(engine("e1", true, 0, "base"))
	shortWait.Demand[0].OldestWait = time.Second - 1
	adapter := serviceWithDemand(engine("e1", true, 0, "base"), engine("e2", true, 1, "large"))
	adapter.Targets = []placement.Target{{Kind: placement.LoadAdapter, Model: "large", Name: "stands"}}
	adapter.Endpoints[1].Adapters = []string{"halls"}
	adapter.Demand[0].Adapter = "stands"
	for _, test := range []struct {
		name    string
		service placement.Service
		want    string
	}{
		{"no endpoint has the model", serviceWithDemand(engine("e1", true, 1, "base"), engine("e2", true, 0, "base")), "e2 " + placement.ReasonNotLoaded},
		{"full endpoint chosen when none has the model", serviceWithDemand(engine("e1", true, 4, "base")), "e1 " + placement.ReasonNotLoaded},
		{"all endpoints with the model are full", serviceWithDemand(engine("e1", true, 4, "large"), engine("e2", true, 0, "base")), "e2 " + placement.ReasonAllFull},
		{"all endpoints are full", serviceWithDemand(engine("e1", true, 4, "large"), engine("e2", true, 4, "base")), ""},
		{"an endpoint with the model has a free slot", serviceWithDemand(engine("e1", true, 3, "large"), engine("e2", true, 0, "base")), ""},
		{"an endpoint serves any model", serviceWithDemand(engine("e1", true, 0)), ""},
		{"endpoint unavailable", serviceWithDemand(unavailable), ""},
		{"fewer than the minimum", minimum, "e2 " + placement.ReasonMinimum},
		{"as many as the maximum", bounded, ""},
		{"requests wait less than MinRequestWait", shortWait, ""},
		{"adapter is loaded where its model is", adapter, "e2 " + placement.ReasonNotLoaded},
		{"endpoint that checks fencing tokens is preferred", serviceWithDemand(engine("e1", false, 0, "base"), engine("e2", true, 3, "base")), "e2 " + placement.ReasonNotLoaded},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			for _, o := range decideEverySecond(placement.New(placement.Config{}), 0, 5, 2, func(int) placement.Service { return test.service }).Orders {
				got += o.Endpoint + " " + o.Reason
				qt.Check(t, o.Fence, qt.Equals, uint64(2))
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

func TestFlickeringNeedGetsNoOrder(t *testing.T) {
	p := placement.New(placement.Config{})
	flickering := func(second int) placement.Service {
		s := serviceWithDemand(engine("e1", true, 0, "base"))
		if second%2 == 1 {
			s.Demand = nil
		}
		return s
	}
	qt.Assert(t, decideEverySecond(p, 0, 60, 2, flickering).Orders, qt.HasLen, 0)
}

func TestOrderIsRepeatedOnlyAfterTimeout(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.Config{})
	same := func(int) placement.Service { return serviceWithDemand(engine("e1", true, 0, "base")) }
	d := decideEverySecond(p, 0, 302, 2, same)
	c.Assert(d.Orders, qt.HasLen, 1)
	c.Assert(d.Incomplete, qt.HasLen, 0)
	d = decideEverySecond(p, 302, 50, 2, same)
	c.Assert(d.Orders, qt.HasLen, 0)
	c.Assert(d.Incomplete, qt.HasLen, 1)
	c.Assert(decideEverySecond(p, 352, 20, 2, same).Orders, qt.HasLen, 1)
	restarted := func(int) placement.Service {
		s := same(0)
		s.Endpoints[0].Incarnation = 2
		return s
	}
	c.Assert(decideEverySecond(p, 372, 5, 2, restarted).Orders, qt.HasLen, 1)
}

func TestRefusedOrderGoesToAnotherEndpoint(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.Config{})
	two := func(int) placement.Service {
		return serviceWithDemand(engine("e1", true, 0, "base"), engine("e2", true, 1, "base"))
	}
	first := decideEverySecond(p, 0, 5, 2, two).Orders
	c.Assert(first, qt.HasLen, 1)
	c.Assert(first[0].Endpoint, qt.Equals, "e1")
	p.OrderFailed(start.Add(5*time.Second), first[0])
	second := decideEverySecond(p, 5, 5, 2, two).Orders
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].Endpoint, qt.Equals, "e2")
}

func TestWeightStoreDelays(t *testing.T) {
	c := qt.New(t)
	d := decideEverySecond(placement.New(placement.Config{}), 0, 12, 2, func(int) placement.Service {
		s := serviceWithDemand(engine("e1", true, 0, "base"))
		s.OrdersPerMinute = 6
		return s
	})
	c.Assert(d.Orders, qt.HasLen, 1)
	c.Assert(d.Delayed, qt.HasLen, 1)
	c.Assert(d.Delayed[0].For, qt.Equals, 8*time.Second)
}

func TestNoOrderWithoutLease(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.Config{})
	services := []placement.Service{serviceWithDemand(engine("e1", true, 0, "base"))}
	lease := acquiredLease(start, 2)
	c.Assert(p.Decide(start.Add(6*time.Second), lease, services).Orders, qt.HasLen, 0)
	c.Assert(p.Decide(start.Add(8*time.Second), lease, services).Orders, qt.HasLen, 0)
	c.Assert(p.Decide(start.Add(9*time.Second), placement.Lease{}, services).Orders, qt.HasLen, 0)
	c.Assert(lease.CoversSend(start.Add(8*time.Second-1)), qt.IsTrue)
	c.Assert(lease.CoversSend(start.Add(8*time.Second)), qt.IsFalse)
}

func TestEngineWithoutFencingWaitsForPreviousHolder(t *testing.T) {
	c := qt.New(t)
	service := func(int) placement.Service { return serviceWithDemand(engine("e1", false, 0, "base")) }
	p := placement.New(placement.Config{})
	d := decideEverySecond(p, 0, 13, 2, service)
	c.Assert(d.Orders, qt.HasLen, 0)
	c.Assert(d.Withheld, qt.HasLen, 1)
	c.Assert(d.Withheld[0].Until, qt.Equals, start.Add(13*time.Second))
	c.Assert(decideEverySecond(p, 13, 1, 2, service).Orders, qt.HasLen, 1)
	first := decideEverySecond(placement.New(placement.Config{}), 0, 4, 1, service)
	c.Assert(first.Orders, qt.HasLen, 1, qt.Commentf("the first holder has no previous holder"))
}
