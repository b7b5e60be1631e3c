package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/scheduler"
)

// lendingPair is a region with endpoints and one without.
type lendingPair struct {
	now              time.Time
	lender, borrower *scheduler.Scheduler
}

func newLendingPair(endpoints ...scheduler.Announcement) *lendingPair {
	p := &lendingPair{
		now:      start.Add(time.Second),
		lender:   newScheduler(endpoints...),
		borrower: scheduler.New(scheduler.Config{Service: "manuals", Region: "mlp", Incarnation: 1}),
	}
	p.lender.SetRegions(start, []string{"mlp"})
	p.borrower.SetRegions(start, []string{"maz"})
	return p
}

// exchange delivers the exchanges of both regions and returns the decisions of
// the lender and of the borrower.
func (p *lendingPair) exchange() (lender, borrower scheduler.Decisions) {
	p.now = p.now.Add(period)
	p.borrower.Decide(p.now)
	for _, out := range p.borrower.Outgoing(p.now) {
		p.lender.Exchange(p.now, "mlp", out.Exchange)
	}
	lender = p.lender.Decide(p.now)
	for _, out := range p.lender.Outgoing(p.now) {
		p.borrower.Exchange(p.now, "maz", out.Exchange)
	}
	return lender, p.borrower.Decide(p.now)
}

func (p *lendingPair) enqueueAlone(number uint64) {
	p.borrower.Enqueue(p.now, scheduler.Request{ID: id(number), Account: "a", Alone: true})
}

// Guards against the refusal, as for want of an endpoint, of a request that was
// in flight at a crash, at a daemon whose region has no endpoints.
func TestRegionWithoutEndpointsBorrowsAnEmptyOne(t *testing.T) {
	c := qt.New(t)
	p := newLendingPair(endpoint("e1", 2))
	p.exchange()
	p.enqueueAlone(1)
	_, d := p.exchange()
	c.Assert(granted(d), qt.DeepEquals, map[uint64]string{1: "e1"})

	p.lender.Enqueue(p.now, scheduler.Request{ID: id(2), Account: "b"})
	d, _ = p.exchange()
	c.Assert(d.Grants, qt.HasLen, 0, qt.Commentf("the request runs alone"))
	p.enqueueAlone(3)
	p.borrower.Complete(p.now, scheduler.Completion{ID: id(1), Account: "a", Endpoint: "e1", Crashed: true})
	c.Assert(p.borrower.Decide(p.now).Grants, qt.HasLen, 0, qt.Commentf("an endpoint that may have crashed is returned"))
	lender, borrower := p.exchange()
	c.Assert(len(lender.Grants)+len(borrower.Grants), qt.Equals, 1)
}

// Guards against a suspect that runs beside others, so that its crash doesn't
// show the cause.
func TestOccupiedEndpointIsEmptiedBeforeItIsLent(t *testing.T) {
	c := qt.New(t)
	p := newLendingPair(endpoint("e1", 2))
	enqueue(p.lender, "b", 10, 1)
	c.Assert(p.lender.Decide(p.now).Grants, qt.HasLen, 1)
	p.exchange()
	p.enqueueAlone(1)
	_, d := p.exchange()
	c.Assert(d.Grants, qt.HasLen, 0)
	enqueue(p.lender, "b", 11, 1)
	lender, _ := p.exchange()
	c.Assert(lender.Grants, qt.HasLen, 0, qt.Commentf("the endpoint is being emptied"))
	p.lender.Complete(p.now, scheduler.Completion{ID: id(10), Account: "b", Endpoint: "e1", Cost: 1})
	_, d = p.exchange()
	c.Assert(granted(d), qt.DeepEquals, map[uint64]string{1: "e1"})
}

// Guards against an endpoint that stays empty for a request that is gone.
func TestEmptiedEndpointIsUsedWhenTheRequestIsWithdrawn(t *testing.T) {
	c := qt.New(t)
	p := newLendingPair(endpoint("e1", 2))
	enqueue(p.lender, "b", 10, 1)
	p.lender.Decide(p.now)
	p.exchange()
	p.enqueueAlone(1)
	p.exchange()
	p.borrower.Withdraw(p.now, id(1))
	enqueue(p.lender, "b", 11, 1)
	lender, _ := p.exchange()
	c.Assert(granted(lender), qt.DeepEquals, map[uint64]string{11: "e1"})
}

// Guards against a lent endpoint that stays empty after its borrower is lost.
func TestLentEmptyEndpointIsFreedWhenTheLoanExpires(t *testing.T) {
	c := qt.New(t)
	p := newLendingPair(endpoint("e1", 2))
	p.exchange()
	p.enqueueAlone(1)
	_, d := p.exchange()
	c.Assert(d.Grants, qt.HasLen, 1)
	enqueue(p.lender, "b", 11, 1)
	for at := period; at <= 5*time.Second; at += period {
		p.lender.Announce(p.now.Add(at), report("e1", uint64(2+at/period), 2, 0))
		if d := p.lender.Decide(p.now.Add(at)); len(d.Grants) > 0 {
			return
		}
	}
	c.Fatal("the endpoint is never free again")
}
