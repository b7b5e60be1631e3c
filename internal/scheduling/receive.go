package scheduling

import (
	"time"

	"oleanderramp/internal/scheduler"
	"oleanderramp/internal/wire"
)

// receive passes the contents of a router's batch to the schedulers.
func (l *loop) receive(now time.Time, session *Session, batch *wire.RouterBatch) {
	for _, a := range batch.GetAnnouncements() {
		l.announce(now, a)
	}
	for _, d := range batch.GetDepartures() {
		for _, s := range l.instances {
			if s.key.service == d.GetService() {
				s.scheduler.Depart(now, d.GetEndpoint(), d.GetIncarnation())
				s.dirty = true
			}
		}
	}
	for _, a := range batch.GetAccounts() {
		s := l.instance(now, a.GetService(), session.region)
		s.scheduler.Observe(now, a.GetAccount(), a.GetVirtualService())
		s.dirty = true
	}
	for _, r := range batch.GetRunning() {
		l.adopt(now, session, r)
	}
	for _, c := range batch.GetCompletions() {
		l.complete(now, session, c)
	}
	for _, w := range batch.GetWithdrawn() {
		s := l.instance(now, w.GetService(), session.region)
		s.scheduler.Withdraw(now, session.id(w.GetRequest()))
		s.dirty = true
	}
	for _, d := range batch.GetDemands() {
		l.demand(now, session, d)
	}
}

func (s *Session) id(number uint64) scheduler.RequestID {
	return scheduler.RequestID{Router: s.router, Number: number}
}

func (l *loop) announce(now time.Time, a *wire.Announcement) {
	s := l.instance(now, a.GetService(), a.GetRegion())
	s.dirty = true
	s.scheduler.Announce(now, scheduler.Announcement{
		Endpoint: a.GetEndpoint(), Incarnation: a.GetIncarnation(), Sequence: a.GetSequence(),
		Service: a.GetService(), Region: a.GetRegion(), Zone: a.GetZone(), Address: a.GetAddress(),
		Slots: int(a.GetSlots()), ChecksFencing: a.GetChecksFencing(),
		Running: int(a.GetRunning()), Queued: int(a.GetQueued()),
		Models: a.GetModels(), Adapters: a.GetAdapters(), Cached: a.GetCached(),
		Leaving: a.GetLeaving(), Lease: time.Duration(a.GetLeaseMs()) * time.Millisecond,
	})
}

func (l *loop) demand(now time.Time, session *Session, d *wire.Demand) {
	s := l.instance(now, d.GetService(), session.region)
	s.dirty = true
	s.scheduler.Enqueue(now, scheduler.Request{
		ID: session.id(d.GetRequest()), Account: d.GetAccount(), Kind: d.GetKind(), Estimate: d.GetEstimate(),
		Waited: time.Duration(d.GetWaitedMs()) * time.Millisecond, Prefix: d.GetPrefix(),
		Model: d.GetModel(), Adapter: d.GetAdapter(), Excluded: d.GetExcluded(), Alone: d.GetAlone(),
	})
}

func (l *loop) adopt(now time.Time, session *Session, r *wire.Running) {
	s := l.instance(now, r.GetService(), session.region)
	s.dirty = true
	s.granted[session.id(r.GetRequest())] = r.GetEndpoint()
	s.scheduler.Adopt(now, scheduler.Running{
		ID: session.id(r.GetRequest()), Account: r.GetAccount(), Endpoint: r.GetEndpoint(), Estimate: r.GetEstimate(),
	})
}

func (l *loop) complete(now time.Time, session *Session, c *wire.Completion) {
	s := l.instance(now, c.GetService(), session.region)
	s.dirty = true
	delete(s.granted, session.id(c.GetRequest()))
	s.scheduler.Complete(now, scheduler.Completion{
		ID: session.id(c.GetRequest()), Account: c.GetAccount(), Endpoint: c.GetEndpoint(),
		Cost: c.GetCost(), Crashed: c.GetCrashed(),
	})
}
