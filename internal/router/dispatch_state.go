package router

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/wire"
)

// waitingRequest is a request without a slot.
type waitingRequest struct {
	demand *wire.Demand
	result chan SlotResult
	since  time.Time
	// host is the scheduler host that has the demand; empty when there is no
	// live scheduler.
	host string
}

// demandWithWait returns a copy of the demand that states how long it has
// waited.
func (w *waitingRequest) demandWithWait(now time.Time) *wire.Demand {
	demand := proto.CloneOf(w.demand)
	demand.WaitedMs = uint32(now.Sub(w.since).Milliseconds())
	return demand
}

// runningRequest is a request with a slot.
type runningRequest struct {
	state  *wire.Running
	demand *wire.Demand
	grant  *wire.Grant
	host   string
}

// announcedEndpoint is the latest announcement of an endpoint that this daemon
// has received.
type announcedEndpoint struct {
	announcement *wire.Announcement
	host         string
	expires      time.Time
}

// accountKey identifies a client account of a service.
type accountKey struct {
	service string
	account string
}

// dispatchState is the state owned by the dispatcher's goroutine.
type dispatchState struct {
	cfg     DispatcherConfig
	enqueue func(dispatchInput) bool
	waiting map[uint64]*waitingRequest
	running map[uint64]*runningRequest
	// endpoints is keyed by endpoint name.
	endpoints map[string]*announcedEndpoint
	// virtualService holds the last known virtual service of each account. It
	// is sent to a new scheduler to rebuild its fairness state.
	virtualService map[accountKey]float64
	links          map[string]*hostLink
}

// hostLink is the link to one scheduler host and the next batch to send on it.
type hostLink struct {
	host  string
	link  Link
	batch *wire.RouterBatch
	// completions are the latest completions, oldest first, at most
	// maxResentCompletions.
	completions []*wire.Completion
	// reopenAfter is the earliest time of the next attempt to open the link. It
	// is set by each attempt.
	reopenAfter time.Time
	// established is true once a batch has been received on the link.
	established bool
	// lostAt is when the last established link was lost; zero if none was.
	lostAt time.Time
}

func newDispatchState(cfg DispatcherConfig, enqueue func(dispatchInput) bool) *dispatchState {
	return &dispatchState{
		cfg:            cfg,
		enqueue:        enqueue,
		waiting:        make(map[uint64]*waitingRequest),
		running:        make(map[uint64]*runningRequest),
		endpoints:      make(map[string]*announcedEndpoint),
		virtualService: make(map[accountKey]float64),
		links:          make(map[string]*hostLink),
	}
}

// schedulerHost returns the host that schedules the service in the region, or
// "" if there is none.
func (s *dispatchState) schedulerHost(now time.Time, service, region string) string {
	host, ok := s.cfg.Schedulers.Scheduler(now, service, region)
	if !ok {
		return ""
	}
	return host
}

func (s *dispatchState) submit(now time.Time, demand *wire.Demand, result chan SlotResult) {
	w := &waitingRequest{demand: demand, result: result, since: now}
	w.host = s.schedulerHost(now, demand.GetService(), s.cfg.Region)
	s.waiting[demand.GetRequest()] = w
	s.addToBatch(now, w.host, func(batch *wire.RouterBatch) { batch.Demands = append(batch.Demands, demand) })
}

func (s *dispatchState) withdraw(now time.Time, request uint64) {
	if _, ok := s.running[request]; ok {
		s.complete(now, request, 0, false)
		return
	}
	w, ok := s.waiting[request]
	if !ok {
		return
	}
	delete(s.waiting, request)
	s.sendWithdrawal(now, w.host, w.demand)
}

func (s *dispatchState) sendWithdrawal(now time.Time, host string, demand *wire.Demand) {
	s.addToBatch(now, host, func(batch *wire.RouterBatch) {
		batch.Withdrawn = append(batch.Withdrawn,
			&wire.Withdrawal{Request: demand.GetRequest(), Service: demand.GetService()})
	})
}

func (s *dispatchState) complete(now time.Time, request uint64, cost float64, crashed bool) {
	r, ok := s.running[request]
	if !ok {
		return
	}
	delete(s.running, request)
	s.sendCompletion(now, r.host, &wire.Completion{
		Request: request, Service: r.state.GetService(), Account: r.state.GetAccount(),
		Endpoint: r.state.GetEndpoint(), Cost: cost, Crashed: crashed,
	})
	if !crashed {
		s.reuseSlot(now, r)
	}
}

func (s *dispatchState) sendCompletion(now time.Time, host string, c *wire.Completion) {
	if host == "" {
		return
	}
	l := s.hostLink(host)
	if len(l.completions) == maxResentCompletions {
		l.completions = slices.Delete(l.completions, 0, 1)
	}
	l.completions = append(l.completions, c)
	s.addToBatch(now, host, func(batch *wire.RouterBatch) { batch.Completions = append(batch.Completions, c) })
}

func (s *dispatchState) announce(now time.Time, a *wire.Announcement) {
	latest, ok := s.endpoints[a.GetEndpoint()]
	if ok && isOlder(a, latest.announcement) {
		return
	}
	host := s.schedulerHost(now, a.GetService(), a.GetRegion())
	lease := time.Duration(a.GetLeaseMs()) * time.Millisecond
	s.endpoints[a.GetEndpoint()] = &announcedEndpoint{announcement: a, host: host, expires: now.Add(lease)}
	s.addToBatch(now, host, func(batch *wire.RouterBatch) { batch.Announcements = append(batch.Announcements, a) })
}

// isOlder reports whether a was sent before b by the same endpoint.
func isOlder(a, b *wire.Announcement) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() < b.GetIncarnation()
	}
	return a.GetSequence() < b.GetSequence()
}

// handleBatch processes a batch from a scheduler host.
func (s *dispatchState) handleBatch(now time.Time, host string, batch *wire.SchedulerBatch) {
	s.hostLink(host).established = true
	for _, a := range batch.GetAccounts() {
		s.virtualService[accountKey{service: a.GetService(), account: a.GetAccount()}] = a.GetVirtualService()
	}
	for _, g := range batch.GetGrants() {
		s.handleGrant(now, host, g)
	}
	for _, r := range batch.GetRefusals() {
		w, ok := s.waiting[r.GetRequest()]
		if ok && w.host == host {
			delete(s.waiting, r.GetRequest())
			w.result <- SlotResult{Refusal: r}
		}
	}
}

// handleGrant passes a grant to its request. A grant for a request that no
// longer waits, or from a host that no longer schedules the service, is
// returned by a completion without cost.
func (s *dispatchState) handleGrant(now time.Time, host string, g *wire.Grant) {
	w, ok := s.waiting[g.GetRequest()]
	if !ok || w.host != host {
		if r, runs := s.running[g.GetRequest()]; runs && r.host == host {
			return
		}
		s.sendCompletion(now, host, &wire.Completion{
			Request: g.GetRequest(), Service: g.GetService(), Endpoint: g.GetEndpoint(),
		})
		return
	}
	s.startRequest(w, g, host)
}

// startRequest assigns the granted slot to a waiting request.
func (s *dispatchState) startRequest(w *waitingRequest, g *wire.Grant, host string) {
	delete(s.waiting, g.GetRequest())
	s.running[g.GetRequest()] = &runningRequest{
		host: host, demand: w.demand, grant: g,
		state: &wire.Running{
			Request: g.GetRequest(), Service: g.GetService(), Account: w.demand.GetAccount(),
			Endpoint: g.GetEndpoint(), Estimate: w.demand.GetEstimate(),
		},
	}
	w.result <- SlotResult{Grant: g}
}
