package scheduling

import (
	"slices"
	"strings"
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/scheduler"
	"oleanderramp/internal/wire"
)

// instanceKey identifies one scheduler.
type instanceKey struct {
	service string
	region  string
}

// instance is one scheduler and the state that the loop keeps for it.
type instance struct {
	key       instanceKey
	scheduler *scheduler.Scheduler
	// granted maps the granted requests that have not completed to their
	// endpoints. It serves to detect grants that were lost with a stream.
	granted map[scheduler.RequestID]string
	// generation is Shares.Generation when the shares were last applied.
	generation uint64
	// loggedEndpoints holds the endpoints as they were last logged.
	loggedEndpoints map[string]loggedEndpoint
	// dirty reports whether the next call of loop.decide must run the scheduler.
	dirty bool
}

// loop is the state of the scheduling goroutine.
type loop struct {
	cfg Config
	// instances is sorted by key, so that decisions are made in the same order.
	instances []*instance
	byKey     map[instanceKey]*instance
	sessions  map[scheduler.Router]*Session
	// disconnected maps the routers without a session to the time at which they
	// lost it.
	disconnected       map[scheduler.Router]time.Time
	outgoing           map[scheduler.Router]*wire.SchedulerBatch
	lastExchange       time.Time
	lastSharesRefresh  time.Time
	lastEndpointLog    time.Time
	lastVirtualService time.Time
}

func newLoop(cfg Config) *loop {
	return &loop{
		cfg:          cfg,
		byKey:        make(map[instanceKey]*instance),
		sessions:     make(map[scheduler.Router]*Session),
		disconnected: make(map[scheduler.Router]time.Time),
		outgoing:     make(map[scheduler.Router]*wire.SchedulerBatch),
	}
}

// instance returns the scheduler of the service in the region and creates it if
// necessary.
func (l *loop) instance(now time.Time, service, region string) *instance {
	k := instanceKey{service: service, region: region}
	if s, ok := l.byKey[k]; ok {
		return s
	}
	s := &instance{
		key: k,
		scheduler: scheduler.New(scheduler.Config{
			Service: service, Region: region, Incarnation: l.cfg.Self.GetIncarnation(),
		}),
		granted:         make(map[scheduler.RequestID]string),
		loggedEndpoints: make(map[string]loggedEndpoint),
	}
	l.byKey[k] = s
	l.instances = append(l.instances, s)
	slices.SortFunc(l.instances, func(a, b *instance) int {
		return strings.Compare(a.key.service+"\x00"+a.key.region, b.key.service+"\x00"+b.key.region)
	})
	l.refreshInstance(now, s)
	return s
}

// refreshInstance updates the scheduler's shares, drained endpoints and
// reachable regions.
func (l *loop) refreshInstance(now time.Time, s *instance) {
	if generation := l.cfg.Shares.Generation(); generation != s.generation {
		s.generation = generation
		s.scheduler.SetShares(now, l.cfg.Shares.Shares(s.key.service))
		s.scheduler.SetDrained(now, l.cfg.Shares.Drained(s.key.service))
	}
	s.scheduler.SetRegions(now, l.cfg.Regions.Others(now, s.key.region))
	s.dirty = true
}

// connect processes a router's new stream. Granted requests that the router does
// not report are completed without cost, because their grants were lost with
// the former stream.
func (l *loop) connect(now time.Time, session *Session, first *wire.RouterBatch) {
	l.sessions[session.router] = session
	delete(l.disconnected, session.router)
	l.outgoing[session.router] = &wire.SchedulerBatch{Scheduler: l.cfg.Self}
	running := make(map[uint64]bool, len(first.GetRunning()))
	for _, r := range first.GetRunning() {
		running[r.GetRequest()] = true
	}
	ended := make(map[uint64]bool, len(first.GetCompletions()))
	for _, c := range first.GetCompletions() {
		ended[c.GetRequest()] = true
	}
	for _, s := range l.instances {
		for id, endpoint := range s.granted {
			if id.Router == session.router && !running[id.Number] && !ended[id.Number] {
				s.scheduler.Complete(now, scheduler.Completion{ID: id, Endpoint: endpoint})
				delete(s.granted, id)
			}
		}
	}
	l.receive(now, session, first)
	if len(running) > 0 {
		event.SchedulerRebuilt.Log(l.cfg.Log, event.Fields{
			"router": session.router.Host, "running": len(running), "waiting": len(first.GetDemands()),
		})
	}
}

// disconnect ends a router's stream, unless a newer one has replaced it.
func (l *loop) disconnect(now time.Time, session *Session) {
	if l.sessions[session.router] != session {
		return
	}
	delete(l.sessions, session.router)
	delete(l.outgoing, session.router)
	l.disconnected[session.router] = now
}

// tick runs the periodic tasks that are due.
func (l *loop) tick(now time.Time) {
	for router, since := range l.disconnected {
		if now.Sub(since) < routerGrace {
			continue
		}
		delete(l.disconnected, router)
		for _, s := range l.instances {
			s.scheduler.RouterLost(now, router)
			for id := range s.granted {
				if id.Router == router {
					delete(s.granted, id)
				}
			}
		}
	}
	refresh := now.Sub(l.lastSharesRefresh) >= sharesRefreshPeriod
	if refresh {
		l.lastSharesRefresh = now
	}
	for _, s := range l.instances {
		if refresh {
			l.refreshInstance(now, s)
		}
		s.dirty = true
	}
	if now.Sub(l.lastEndpointLog) >= endpointLogPeriod {
		l.lastEndpointLog = now
		l.logEndpointChanges(now)
	}
	if now.Sub(l.lastVirtualService) >= virtualServicePeriod {
		l.lastVirtualService = now
		l.sendVirtualService(now)
	}
	if now.Sub(l.lastExchange) >= exchangePeriod {
		l.lastExchange = now
		l.sendExchanges(now)
	}
}

// decide runs every scheduler that has new inputs and sends its decisions.
func (l *loop) decide(now time.Time) {
	for _, s := range l.instances {
		if !s.dirty {
			continue
		}
		s.dirty = false
		decisions := s.scheduler.Decide(now)
		for _, grant := range decisions.Grants {
			l.grant(s, grant)
		}
		for _, refusal := range decisions.Refusals {
			l.refuse(s, refusal)
		}
		if decisions.Urgent {
			l.sendExchange(now, s, s.scheduler.UrgentOutgoing(now))
		}
	}
	for router, batch := range l.outgoing {
		delete(l.outgoing, router)
		session, ok := l.sessions[router]
		if ok && !session.send(batch) {
			l.disconnect(now, session)
		}
	}
}

// grant adds the grant to the next batch for its router.
func (l *loop) grant(s *instance, grant scheduler.Grant) {
	s.granted[grant.ID] = grant.Endpoint
	batch := l.batch(grant.ID.Router)
	batch.Grants = append(batch.Grants, &wire.Grant{
		Request: grant.ID.Number, Service: s.key.service, Endpoint: grant.Endpoint,
		EndpointIncarnation: grant.EndpointIncarnation, Address: grant.Address, Reason: grant.Reason, Loan: grant.Loan,
	})
	if session, ok := l.sessions[grant.ID.Router]; ok {
		session.changedAccounts[accountKey{service: s.key.service, account: grant.Account}] = true
	}
	event.SlotGranted.Log(l.cfg.Log, event.Fields{
		"service": s.key.service, "region": s.key.region, "account": grant.Account, "router": grant.ID.Router.Host,
		"number": grant.ID.Number, "endpoint": grant.Endpoint, "reason": grant.Reason,
	})
}

// refuse adds the refusal to the next batch for its router.
func (l *loop) refuse(s *instance, refusal scheduler.Refusal) {
	batch := l.batch(refusal.ID.Router)
	batch.Refusals = append(batch.Refusals, &wire.Refusal{
		Request: refusal.ID.Number, Service: s.key.service, Reason: refusal.Reason,
		RetryAfterMs: uint32(refusal.RetryAfter.Milliseconds()),
	})
	event.GrantRefused.Log(l.cfg.Log, event.Fields{
		"service": s.key.service, "region": s.key.region, "router": refusal.ID.Router.Host, "number": refusal.ID.Number,
		"reason": refusal.Reason, "retry_after_ms": refusal.RetryAfter.Milliseconds(),
	})
}

// batch returns the next batch for the router and creates it if necessary.
func (l *loop) batch(router scheduler.Router) *wire.SchedulerBatch {
	batch, ok := l.outgoing[router]
	if !ok {
		batch = &wire.SchedulerBatch{}
		l.outgoing[router] = batch
	}
	return batch
}
