package scheduler_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/scheduler"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const lease = time.Hour

func id(number uint64) scheduler.RequestID {
	return scheduler.RequestID{Router: scheduler.Router{Host: "r1", Incarnation: 1}, Number: number}
}

func newScheduler(endpoints ...scheduler.Announcement) *scheduler.Scheduler {
	s := scheduler.New(scheduler.Config{Service: "manuals", Region: "maz", Incarnation: 1})
	for _, a := range endpoints {
		s.Announce(start, a)
	}
	return s
}

func endpoint(name string, slots int) scheduler.Announcement {
	return scheduler.Announcement{
		Endpoint: name, Incarnation: 1, Sequence: 1, Service: "manuals", Region: "maz", Address: name + ":80", Slots: slots, Lease: lease,
	}
}

// enqueue adds count requests of the account, numbered from first.
func enqueue(s *scheduler.Scheduler, account string, first uint64, count int) {
	for i := range count {
		s.Enqueue(start, scheduler.Request{ID: id(first + uint64(i)), Account: account, Kind: "k", Estimate: 1})
	}
}

// granted returns the endpoint of each grant, by the request's number.
func granted(d scheduler.Decisions) map[uint64]string {
	got := make(map[uint64]string)
	for _, g := range d.Grants {
		got[g.ID.Number] = g.Endpoint
	}
	return got
}

func TestGrantOrderFollowsShares(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 1))
	s.SetShares(start, map[string]int{"large": 3, "small": 1})
	enqueue(s, "large", 100, 40)
	enqueue(s, "small", 200, 40)
	count := map[string]int{}
	for range 40 {
		d := s.Decide(start)
		c.Assert(d.Grants, qt.HasLen, 1)
		g := d.Grants[0]
		count[g.Account]++
		s.Complete(start, scheduler.Completion{ID: g.ID, Account: g.Account, Endpoint: g.Endpoint, Cost: 1})
	}
	c.Assert(count, qt.DeepEquals, map[string]int{"large": 30, "small": 10})
}

// TestLongestWaitIsFirst guards against an order by arrival among the queues of
// one account: a request that a former scheduler kept waiting arrives here after
// one of another model, but has waited longer.
func TestLongestWaitIsFirst(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 1))
	s.Enqueue(start, scheduler.Request{ID: id(1), Account: "a", Kind: "k", Estimate: 1, Model: "x"})
	s.Enqueue(start, scheduler.Request{ID: id(2), Account: "a", Kind: "k", Estimate: 1, Model: "y", Waited: time.Second})
	c.Assert(granted(s.Decide(start)), qt.DeepEquals, map[uint64]string{2: "e1"})
}

func TestTrueCostIsChargedOnce(t *testing.T) {
	for _, cost := range []float64{0, 0.5, 3} {
		t.Run(fmt.Sprint(cost), func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(endpoint("e1", 1))
			enqueue(s, "a", 1, 1)
			s.Decide(start)
			c.Assert(s.Accounts(start)[0].Service, qt.Equals, 1.0)
			done := scheduler.Completion{ID: id(1), Account: "a", Endpoint: "e1", Cost: cost}
			s.Complete(start, done)
			s.Complete(start, done)
			c.Assert(s.Accounts(start)[0].Service, qt.Equals, cost)
			c.Assert(s.Endpoints(start)[0].InUse, qt.Equals, 0)
		})
	}
}

func TestResentRequestGetsItsGrantAgain(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 2))
	enqueue(s, "a", 1, 1)
	enqueue(s, "a", 1, 1)
	c.Assert(granted(s.Decide(start)), qt.DeepEquals, map[uint64]string{1: "e1"})
	enqueue(s, "a", 1, 1)
	d := s.Decide(start)
	c.Assert(granted(d), qt.DeepEquals, map[uint64]string{1: "e1"})
	c.Assert(d.Grants[0].Reason, qt.Equals, scheduler.ReasonResent)
	c.Assert(s.Endpoints(start)[0].InUse, qt.Equals, 1)
}

func TestUnavailableEndpointsGetNoGrants(t *testing.T) {
	leaving := endpoint("e1", 1)
	leaving.Leaving = true
	leaving.Sequence = 2
	for _, test := range []struct {
		name string
		act  func(s *scheduler.Scheduler)
		at   time.Time
	}{
		{"leaving", func(s *scheduler.Scheduler) { s.Announce(start, leaving) }, start},
		{"drained", func(s *scheduler.Scheduler) { s.SetDrained(start, []string{"e1"}) }, start},
		{"departed", func(s *scheduler.Scheduler) { s.Depart(start, "e1", 1) }, start},
		{"lease expired", func(*scheduler.Scheduler) {}, start.Add(lease)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(endpoint("e1", 1))
			enqueue(s, "a", 1, 1)
			test.act(s)
			c.Assert(s.Decide(test.at).Grants, qt.HasLen, 0)
			refused := s.Decide(test.at.Add(5 * time.Second)).Refusals
			c.Assert(refused, qt.HasLen, 1)
			c.Assert(refused[0].Reason, qt.Equals, scheduler.ReasonNoEndpoint)
		})
	}
}

func TestInvalidNumbersKeepVirtualServiceBounded(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(endpoint("e1", 3))
			s.Observe(start, "a", x)
			s.Adopt(start, scheduler.Running{ID: id(9), Account: "a", Endpoint: "e1", Estimate: x})
			s.Exchange(start, "mlp", scheduler.Exchange{
				Incarnation: 1, SeenIncarnation: 1, Full: true, Virtual: x, Totals: []scheduler.AccountTotal{{Account: "b", Service: x}},
				Backlogged: []scheduler.AccountBacklog{{Account: "a", Waiting: 1, VirtualService: x}},
			})
			s.Enqueue(start, scheduler.Request{ID: id(1), Account: "a", Estimate: x})
			s.Enqueue(start, scheduler.Request{ID: id(2), Account: "b", Estimate: 1})
			for _, g := range s.Decide(start).Grants {
				s.Complete(start, scheduler.Completion{ID: g.ID, Account: g.Account, Endpoint: g.Endpoint, Cost: x})
			}
			s.Complete(start, scheduler.Completion{ID: id(9), Account: "a", Endpoint: "e1", Cost: 1})
			for _, a := range s.Accounts(start) {
				c.Assert(a.VirtualService >= 0 && a.VirtualService <= 1e10, qt.IsTrue, qt.Commentf("%s %v", a.Account, a.VirtualService))
			}
		})
	}
}
