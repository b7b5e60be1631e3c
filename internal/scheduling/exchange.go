package scheduling

import (
	"time"

	"oleanderramp/internal/scheduler"
	"oleanderramp/internal/wire"
)

// exchange passes a batch from another region to the schedulers.
func (l *loop) exchange(now time.Time, batch *wire.ExchangeBatch) {
	for _, x := range batch.GetServices() {
		s := l.instance(now, x.GetService(), batch.GetToRegion())
		s.dirty = true
		s.scheduler.Exchange(now, batch.GetRegion(), exchangeFromWire(batch.GetSender(), x))
	}
}

// sendExchanges sends the periodic exchanges of each scheduler to the other
// regions.
func (l *loop) sendExchanges(now time.Time) {
	for _, s := range l.instances {
		l.sendExchange(now, s, s.scheduler.Outgoing(now))
	}
}

// sendExchange sends the outgoing exchanges of one scheduler.
func (l *loop) sendExchange(now time.Time, s *instance, outgoing []scheduler.Outgoing) {
	for _, o := range outgoing {
		l.logLoans(s, o)
		x := exchangeToWire(o.Exchange)
		x.Service = s.key.service
		l.cfg.Regions.Send(now, s.key.service, o.Region, &wire.ExchangeBatch{
			Sender: l.cfg.Self, Region: s.key.region, ToRegion: o.Region, Services: []*wire.ServiceExchange{x},
		})
	}
}

func exchangeFromWire(sender *wire.Process, x *wire.ServiceExchange) scheduler.Exchange {
	e := scheduler.Exchange{
		Incarnation: sender.GetIncarnation(), Full: x.GetFull(), Partial: x.GetPartial(), Virtual: x.GetVirtualTime(),
		IdleSlots: int(x.GetIdleSlots()), InUse: x.GetLoansInUse(),
		SeenIncarnation: x.GetSeenIncarnation(),
	}
	for _, t := range x.GetTotals() {
		e.Totals = append(e.Totals, scheduler.AccountTotal{Account: t.GetAccount(), Service: t.GetVirtualService()})
	}
	for _, b := range x.GetBacklogged() {
		e.Backlogged = append(e.Backlogged, scheduler.AccountBacklog{
			Account: b.GetAccount(), Waiting: int(b.GetWaiting()), WaitingAlone: int(b.GetWaitingAlone()),
			VirtualService: b.GetVirtualService(), Seen: b.GetSeen(),
			OldestWait: time.Duration(b.GetOldestWaitMs()) * time.Millisecond,
		})
	}
	for _, loan := range x.GetLoans() {
		e.Loans = append(e.Loans, scheduler.Loan{
			Loan: loan.GetLoan(), Account: loan.GetAccount(), Endpoint: loan.GetEndpoint(),
			EndpointIncarnation: loan.GetEndpointIncarnation(), Address: loan.GetAddress(),
			Models: loan.GetModels(), Adapters: loan.GetAdapters(), Alone: loan.GetAlone(),
			ExpiresIn: time.Duration(loan.GetExpiresMs()) * time.Millisecond,
		})
	}
	for _, r := range x.GetReturned() {
		e.Returned = append(e.Returned, scheduler.LoanReturn{Loan: r.GetLoan(), Used: r.GetUsed()})
	}
	return e
}

func exchangeToWire(e scheduler.Exchange) *wire.ServiceExchange {
	x := &wire.ServiceExchange{
		Full: e.Full, Partial: e.Partial, VirtualTime: e.Virtual,
		IdleSlots: uint32(e.IdleSlots), LoansInUse: e.InUse,
		SeenIncarnation: e.SeenIncarnation,
	}
	for _, t := range e.Totals {
		x.Totals = append(x.Totals, &wire.AccountService{Account: t.Account, VirtualService: t.Service})
	}
	for _, b := range e.Backlogged {
		x.Backlogged = append(x.Backlogged, &wire.AccountBacklog{
			Account: b.Account, Waiting: uint32(b.Waiting), WaitingAlone: uint32(b.WaitingAlone),
			VirtualService: b.VirtualService, Seen: b.Seen,
			OldestWaitMs: uint32(b.OldestWait.Milliseconds()),
		})
	}
	for _, loan := range e.Loans {
		x.Loans = append(x.Loans, &wire.Loan{
			Loan: loan.Loan, Account: loan.Account, Endpoint: loan.Endpoint,
			EndpointIncarnation: loan.EndpointIncarnation, Address: loan.Address,
			Models: loan.Models, Adapters: loan.Adapters, Alone: loan.Alone, ExpiresMs: uint32(loan.ExpiresIn.Milliseconds()),
		})
	}
	for _, r := range e.Returned {
		x.Returned = append(x.Returned, &wire.LoanReturn{Loan: r.Loan, Used: r.Used})
	}
	return x
}
