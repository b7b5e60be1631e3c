package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/scheduler"
)

func report(name string, sequence uint64, slots, running int) scheduler.Announcement {
	a := endpoint(name, slots)
	a.Sequence = sequence
	a.Running = running
	return a
}

// A new scheduler is rebuilt from a router's report. The account that the router
// does not report must not start behind the reported one, and the adopted
// request must not be charged again.
func TestRebuiltSchedulerKeepsTheOrder(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 1))
	enqueue(s, "new", 1, 9)
	enqueue(s, "old", 11, 9)
	s.Observe(start, "old", 100)
	s.Adopt(start, scheduler.Running{ID: id(21), Account: "old", Endpoint: "e1", Estimate: 1})
	c.Assert(s.Decide(start).Grants, qt.HasLen, 0, qt.Commentf("the adopted request holds the slot"))
	c.Assert(virtual(s, "new"), qt.Equals, 100.0)
	s.Complete(start, scheduler.Completion{ID: id(21), Account: "old", Endpoint: "e1", Cost: 1})
	c.Assert(virtual(s, "old"), qt.Equals, 100.0, qt.Commentf("charged by the former scheduler"))
}

func TestIdleAccountAccruesNoCredit(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 1))
	enqueue(s, "busy", 1, 60)
	for range 50 {
		g := s.Decide(start).Grants[0]
		s.Complete(start, scheduler.Completion{ID: g.ID, Account: g.Account, Endpoint: g.Endpoint, Cost: 1})
	}
	enqueue(s, "idle", 101, 5)
	c.Assert(virtual(s, "idle"), qt.Equals, 50.0)
}

// The requests of a lost router may still run at the endpoint. Their slots must
// stay in use until the endpoint reports them free or LostSlotTimeout has
// passed. A report within ReportLag of the loss may be older than the loss.
func TestLostRouterHoldsItsSlots(t *testing.T) {
	router := id(1).Router
	for _, test := range []struct {
		name    string
		at      time.Duration
		running int
		want    int
	}{
		{"a report that may be older than the loss", 900 * time.Millisecond, 0, 2},
		{"a report that shows one ended", 3 * time.Second, 1, 1},
		{"a report that shows both running", 3 * time.Second, 2, 2},
		{"after LostSlotTimeout", time.Minute, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(endpoint("e1", 2))
			enqueue(s, "a", 1, 5)
			c.Assert(s.Decide(start).Grants, qt.HasLen, 2)
			s.RouterLost(start, router)
			c.Assert(s.Accounts(start)[0].Waiting, qt.Equals, 0)
			s.Announce(start.Add(test.at), report("e1", 2, 2, test.running))
			s.Decide(start.Add(test.at))
			c.Assert(s.Endpoints(start)[0].InUse, qt.Equals, test.want)
		})
	}
}

func TestReconnectedRouterKeepsItsSlots(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 1))
	enqueue(s, "a", 1, 1)
	s.Decide(start)
	s.RouterLost(start, id(1).Router)
	s.Adopt(start, scheduler.Running{ID: id(1), Account: "a", Endpoint: "e1", Estimate: 1})
	s.Decide(start.Add(time.Minute))
	c.Assert(s.Endpoints(start)[0].InUse, qt.Equals, 1)
}

func TestReportsOfForeignWork(t *testing.T) {
	for _, test := range []struct {
		name    string
		running int
		after   time.Duration
		want    int
	}{
		{"none", 0, 0, 4},
		{"another scheduler's", 3, 0, 1},
		{"more than the slots", 9, 0, 0},
		{"for long, the slots are divided", 4, 4 * time.Second, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(report("e1", 1, 4, test.running))
			enqueue(s, "a", 1, 9)
			now := start.Add(test.after)
			s.Announce(now, report("e1", 2, 4, test.running))
			c.Assert(s.Decide(now).Grants, qt.HasLen, test.want)
		})
	}
}

// An endpoint's report still counts two requests that have completed since. They
// must not be taken for foreign requests, which would leave their slots idle.
func TestStaleReportLeavesNoSlotIdle(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 2))
	enqueue(s, "a", 1, 9)
	for _, g := range s.Decide(start).Grants {
		s.Complete(start.Add(time.Second), scheduler.Completion{ID: g.ID, Account: "a", Endpoint: "e1", Cost: 1})
	}
	s.Announce(start.Add(time.Second), report("e1", 2, 2, 2))
	c.Assert(s.Decide(start.Add(time.Second)).Grants, qt.HasLen, 2)
}

func TestCrashedEndpointGetsNoGrantUntilItAnnounces(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 1))
	enqueue(s, "a", 1, 2)
	s.Decide(start)
	s.Complete(start, scheduler.Completion{ID: id(1), Account: "a", Endpoint: "e1", Crashed: true})
	c.Assert(s.Decide(start).Grants, qt.HasLen, 0)
	again := endpoint("e1", 1)
	again.Incarnation = 2
	s.Announce(start, again)
	c.Assert(s.Decide(start).Grants, qt.HasLen, 1)
}

// Late announcements of the former incarnation, and late completions of its
// requests, must not change the slots of the new one.
func TestHigherIncarnationFreesTheSlots(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 1))
	enqueue(s, "a", 1, 2)
	s.Decide(start)
	again := endpoint("e1", 1)
	again.Incarnation = 2
	s.Announce(start, again)
	grants := s.Decide(start).Grants
	c.Assert(grants, qt.HasLen, 1)
	c.Assert(grants[0].EndpointIncarnation, qt.Equals, uint64(2))
	s.Announce(start, endpoint("e1", 9))
	s.Complete(start, scheduler.Completion{ID: id(1), Account: "a", Endpoint: "e1", Cost: 1})
	c.Assert(s.Endpoints(start)[0].InUse, qt.Equals, 1)
	c.Assert(s.Endpoints(start)[0].Incarnation, qt.Equals, uint64(2))
}

func TestRequestRequirements(t *testing.T) {
	with := endpoint("e2", 1)
	with.Models = []string{"m"}
	with.Adapters = []string{"x"}
	other := endpoint("e1", 1)
	other.Models = []string{"n"}
	for _, test := range []struct {
		name    string
		request scheduler.Request
		want    string
		refused string
		// after is the earliest time at which the request is refused.
		after time.Duration
	}{
		{"a model", scheduler.Request{Model: "m"}, "e2", "", 0},
		{"a model and an adapter", scheduler.Request{Model: "m", Adapter: "x"}, "e2", "", 0},
		{"an excluded endpoint", scheduler.Request{Excluded: []string{"e1"}}, "e2", "", 0},
		{"an unknown model", scheduler.Request{Model: "o"}, "", scheduler.ReasonNoModel, 5 * time.Second},
		{"all excluded", scheduler.Request{Excluded: []string{"e1", "e2"}}, "", scheduler.ReasonExcluded, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(other, with)
			test.request.ID = id(1)
			test.request.Account = "a"
			s.Enqueue(start, test.request)
			got := s.Decide(start)
			c.Assert(granted(got)[1], qt.Equals, test.want)
			if test.refused == "" {
				c.Assert(s.Decide(start.Add(10*time.Second)).Refusals, qt.HasLen, 0)
				return
			}
			c.Assert(s.Decide(start.Add(test.after-time.Millisecond)).Refusals, qt.HasLen, 0)
			refusals := s.Decide(start.Add(test.after)).Refusals
			c.Assert(refusals, qt.HasLen, 1)
			c.Assert(refusals[0].Reason, qt.Equals, test.refused)
			c.Assert(refusals[0].RetryAfter > 0, qt.IsTrue)
		})
	}
}

// Other requests wait all the time. One endpoint must nevertheless become empty
// for the request that must run alone, while the other endpoint stays full.
func TestAloneRequestEmptiesOneEndpoint(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 2), endpoint("e2", 2))
	enqueue(s, "a", 1, 4)
	c.Assert(s.Decide(start).Grants, qt.HasLen, 4)
	s.Enqueue(start, scheduler.Request{ID: id(10), Account: "suspect", Alone: true})
	enqueue(s, "a", 11, 20)
	busy := map[uint64]string{}
	for n, e := range map[uint64]string{1: "e1", 2: "e2", 3: "e1", 4: "e2"} {
		busy[n] = e
	}
	var alone string
	for n := uint64(1); n <= 40 && alone == ""; n++ {
		number := sorted(busy)[0]
		s.Complete(start, scheduler.Completion{ID: id(number), Account: "a", Endpoint: busy[number], Cost: 1})
		delete(busy, number)
		for g, e := range granted(s.Decide(start)) {
			busy[g] = e
			if g == 10 {
				alone = e
			}
		}
	}
	c.Assert(alone, qt.Not(qt.Equals), "")
	for n, e := range busy {
		c.Assert(n == 10 || e != alone, qt.IsTrue, qt.Commentf("request %d shares %s", n, e))
	}
	c.Assert(len(busy), qt.Equals, 3, qt.Commentf("the other endpoint is full"))
}

// Requests with a common prefix must go to the endpoint that holds it, but only
// until its load exceeds that of the other endpoint by MaxImbalance.
func TestPrefixAffinityWithinMaxImbalance(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 16), endpoint("e2", 16))
	placed := map[string]int{}
	for n := range uint64(24) {
		s.Enqueue(start, scheduler.Request{ID: id(n), Account: "a", Prefix: []uint64{7, 8}})
		for _, e := range granted(s.Decide(start)) {
			placed[e]++
		}
		if n == 4 {
			c.Assert(placed, qt.DeepEquals, map[string]int{"e1": 5})
		}
		c.Assert(max(placed["e1"]-placed["e2"], placed["e2"]-placed["e1"]) <= 5, qt.IsTrue, qt.Commentf("%v", placed))
	}
}
