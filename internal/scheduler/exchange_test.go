package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/scheduler"
)

const period = 200 * time.Millisecond

// virtual returns the virtual service of the account, 0 when it is unknown.
func virtual(s *scheduler.Scheduler, account string) float64 {
	for _, a := range s.Accounts(start) {
		if a.Account == account {
			return a.VirtualService
		}
	}
	return 0
}

func total(account string, service float64) []scheduler.AccountTotal {
	return []scheduler.AccountTotal{{Account: account, Service: service}}
}

// The same total arrives twice. Only the increase since the first exchange must
// be charged, and only once.
func TestServiceOfAnotherRegionIsChargedOnce(t *testing.T) {
	c := qt.New(t)
	s := newScheduler()
	s.Exchange(start, "mlp", scheduler.Exchange{Incarnation: 1, Full: true, Totals: total("a", 10)})
	for range 2 {
		s.Exchange(start.Add(period), "mlp", scheduler.Exchange{Incarnation: 1, Totals: total("a", 15)})
	}
	c.Assert(virtual(s, "a"), qt.Equals, 5.0)
}

// After a restart, the totals of the other region start at 0 again. The decrease
// must not be subtracted from the virtual service.
func TestRestartedRegionDoesNotLowerVirtualService(t *testing.T) {
	c := qt.New(t)
	s := newScheduler()
	s.Exchange(start, "mlp", scheduler.Exchange{Incarnation: 1, Full: true, Totals: total("a", 10)})
	s.Exchange(start.Add(period), "mlp", scheduler.Exchange{Incarnation: 1, Totals: total("a", 15)})
	s.Exchange(start.Add(2*period), "mlp", scheduler.Exchange{Incarnation: 2, Full: true})
	s.Exchange(start.Add(3*period), "mlp", scheduler.Exchange{Incarnation: 2, Totals: total("a", 2)})
	c.Assert(virtual(s, "a"), qt.Equals, 7.0)
}

// Two schedulers of another region send exchanges while one replaces the other.
// The totals of each must be compared only with its own earlier totals.
func TestTwoSchedulersOfARegionAreBothCharged(t *testing.T) {
	c := qt.New(t)
	s := newScheduler()
	for i := range 4 {
		at := start.Add(time.Duration(i) * period)
		s.Exchange(at, "mlp", scheduler.Exchange{Incarnation: 1, Full: true, Totals: total("a", float64(10*i))})
		s.Exchange(at, "mlp", scheduler.Exchange{Incarnation: 2, Full: true, Totals: total("a", float64(i))})
	}
	c.Assert(virtual(s, "a"), qt.Equals, 33.0)
}

// The seen total belongs to another incarnation of the receiving scheduler. If
// it were used, service that is already charged would be added again.
func TestSeenTotalsOfAnotherSchedulerDoNotLift(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 1))
	enqueue(s, "a", 1, 1)
	s.Decide(start)
	s.Complete(start, scheduler.Completion{ID: id(1), Account: "a", Endpoint: "e1", Cost: 500})
	backlog := []scheduler.AccountBacklog{{Account: "a", Waiting: 1, VirtualService: 500, Seen: 3}}
	s.Exchange(start, "mlp", scheduler.Exchange{Incarnation: 1, SeenIncarnation: 7, Backlogged: backlog})
	c.Assert(virtual(s, "a"), qt.Equals, 500.0)
}

func TestRejoinedRegionStartsFromEqualVirtualTime(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 1))
	enqueue(s, "a", 1, 9)
	s.Exchange(start, "mlp", scheduler.Exchange{Incarnation: 1, Full: true, Totals: total("b", 0)})
	s.Decide(start)
	rejoin := scheduler.Exchange{Incarnation: 1, Full: true, Virtual: 400, Totals: total("b", 400)}
	s.Exchange(start.Add(time.Minute), "mlp", rejoin)
	c.Assert(virtual(s, "a"), qt.Equals, 400.0)
	c.Assert(virtual(s, "b"), qt.Equals, 0.0, qt.Commentf("service received while disconnected is not charged"))
}

func TestIdleRegionLendsToBackloggedRegion(t *testing.T) {
	c := qt.New(t)
	lender := newScheduler(endpoint("e1", 1))
	borrower := scheduler.New(scheduler.Config{Service: "manuals", Region: "mlp", Incarnation: 1})
	enqueue(borrower, "a", 1, 2)
	borrower.SetRegions(start, []string{"maz"})
	lender.SetRegions(start, []string{"mlp"})
	send := func(now time.Time, list []scheduler.Outgoing, to *scheduler.Scheduler, from string) {
		for _, out := range list {
			to.Exchange(now, from, out.Exchange)
		}
	}
	now := start.Add(time.Second)
	send(now, lender.Outgoing(now), borrower, "maz")
	send(now, borrower.Outgoing(now), lender, "mlp")
	c.Assert(lender.Decide(now).Urgent, qt.IsTrue)
	c.Assert(lender.Endpoints(now)[0].InUse, qt.Equals, 1)
	send(now, lender.UrgentOutgoing(now), borrower, "maz")
	d := borrower.Decide(now)
	c.Assert(d.Grants, qt.HasLen, 1)
	c.Assert(d.Grants[0].Endpoint, qt.Equals, "e1")
	c.Assert(d.Grants[0].Reason, qt.Equals, scheduler.ReasonLoan)

	done := func(number uint64) {
		borrower.Complete(now, scheduler.Completion{ID: id(number), Account: "a", Endpoint: "e1", Cost: 3})
	}
	done(1)
	c.Assert(granted(borrower.Decide(now)), qt.DeepEquals, map[uint64]string{2: "e1"}, qt.Commentf("the borrowed slot is reused"))
	done(2)
	c.Assert(borrower.Decide(now).Urgent, qt.IsTrue)
	send(now, borrower.Outgoing(now), lender, "mlp")
	c.Assert(lender.Endpoints(now)[0].InUse, qt.Equals, 0)
	c.Assert(virtual(lender, "a"), qt.Equals, virtual(borrower, "a"))
}

// The borrower stops renewing a loan. The slot must become free when the
// endpoint reports it free, and otherwise when the loan expires.
func TestLoanToASilentRegionEnds(t *testing.T) {
	for _, test := range []struct {
		name   string
		report int
		want   int
	}{
		{"the report shows the slot free", 0, 0},
		{"the report shows it in use", 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(endpoint("e1", 1))
			s.SetRegions(start, []string{"mlp"})
			backlog := []scheduler.AccountBacklog{{Account: "a", Waiting: 1, OldestWait: time.Second}}
			s.Exchange(start, "mlp", scheduler.Exchange{Incarnation: 1, Full: true, Backlogged: backlog})
			s.Decide(start)
			loans := s.UrgentOutgoing(start)
			c.Assert(loans, qt.HasLen, 1)
			s.Exchange(start, "mlp", scheduler.Exchange{Incarnation: 1, InUse: []uint64{loans[0].Exchange.Loans[0].Loan}})
			report := endpoint("e1", 1)
			report.Sequence = 2
			report.Running = test.report
			s.Announce(start.Add(3*time.Second), report)
			c.Assert(s.Endpoints(start)[0].InUse, qt.Equals, test.want)
			s.Decide(start.Add(time.Minute))
			c.Assert(s.Endpoints(start)[0].InUse, qt.Equals, 0)
		})
	}
}

func TestLoanMinLagLimitsLendingToABusyRegion(t *testing.T) {
	for _, test := range []struct {
		name  string
		local float64
		want  bool
	}{
		{"level", 0, false},
		{"a little ahead", 0.2, false},
		{"far ahead", 100, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(endpoint("e1", 1))
			s.SetRegions(start, []string{"mlp"})
			backlog := []scheduler.AccountBacklog{{Account: "b", Waiting: 1, OldestWait: time.Second}}
			s.Exchange(start, "mlp", scheduler.Exchange{Incarnation: 1, Full: true, Backlogged: backlog})
			enqueue(s, "a", 1, 1)
			s.Observe(start, "a", test.local)
			c.Assert(s.Decide(start).Urgent, qt.Equals, test.want)
		})
	}
}

func TestBacklogIsSentToIdleRegionAtOnce(t *testing.T) {
	for _, test := range []struct {
		name string
		idle int
		want int
	}{
		{"idle", 3, 1},
		{"busy", 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(endpoint("e1", 1))
			s.SetRegions(start, []string{"mlp"})
			s.Outgoing(start)
			now := start.Add(period / 2)
			s.Exchange(now, "mlp", scheduler.Exchange{Incarnation: 1, Full: true, IdleSlots: test.idle})
			enqueue(s, "a", 1, 2)
			c.Assert(s.Decide(now).Urgent, qt.Equals, test.want > 0)
			c.Assert(s.UrgentOutgoing(now), qt.HasLen, test.want)
			c.Assert(s.Decide(now).Urgent, qt.IsFalse, qt.Commentf("sent once per MinUrgentInterval"))
		})
	}
}

// The borrower returns each loan unused. Without a back-off, the lender would
// lend the slot to it again at once each time.
func TestUnusedLoansBackOff(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(endpoint("e1", 1))
	s.SetRegions(start, []string{"mlp"})
	loans := 0
	for i := range 200 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		announcement := endpoint("e1", 1)
		announcement.Sequence = uint64(i + 2)
		s.Announce(now, announcement)
		x := scheduler.Exchange{Incarnation: 1, Full: true,
			Backlogged: []scheduler.AccountBacklog{{Account: "a", Waiting: 1, OldestWait: time.Second}}}
		for _, o := range s.UrgentOutgoing(now) {
			for _, l := range o.Exchange.Loans {
				loans++
				x.Returned = append(x.Returned, scheduler.LoanReturn{Loan: l.Loan})
			}
		}
		s.Exchange(now, "mlp", x)
		s.Decide(now)
	}
	c.Logf("%d loans in 10 s", loans)
	c.Check(loans > 5 && loans <= 20, qt.IsTrue, qt.Commentf("%d loans in 10 s", loans))
}
