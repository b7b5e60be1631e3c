package measure

import (
	"slices"
	"strconv"
	"time"

	"oleanderramp/internal/scheduler"
	"oleanderramp/internal/wire"
)

// router is a simulated router. It forwards requests and keeps the state that it
// sends to a scheduler on connecting.
type router struct {
	fleet         *fleet
	host          string
	region        string
	incarnation   uint64
	up            bool
	number        uint64
	schedulerNode *node
	// connection is incremented with each connection. Messages of older
	// connections are discarded.
	connection uint64
	// jobs holds the waiting and running requests, in the order in which they
	// were queued.
	jobs []*job
	// waiting is the number of waiting requests, by account index.
	waiting map[int]int
	// virtualService is the last received virtual service, by account.
	// virtualServiceOrder lists the accounts in the order of their first report.
	virtualService      map[string]float64
	virtualServiceOrder []string
	outbox              *wire.RouterBatch
	flushPending        bool
	lastFlush           time.Time
}

func (f *fleet) addRouter(region string) {
	r := &router{fleet: f, host: "r" + strconv.Itoa(len(f.routers)), region: region}
	f.routers = append(f.routers, r)
	r.restart()
}

// restart starts the router with a new incarnation and empty state.
func (r *router) restart() {
	r.incarnation++
	r.number = 0
	r.up = true
	r.jobs = nil
	r.waiting = make(map[int]int)
	r.virtualService = make(map[string]float64)
	r.virtualServiceOrder = nil
	r.connect(r.fleet.activeNode(r.region))
}

func (r *router) identity() scheduler.Router {
	return scheduler.Router{Host: r.host, Incarnation: r.incarnation}
}

// accept receives a request from a caller. If the router is down, the caller
// retries; if the account's queue is full, the request is refused.
func (r *router) accept(j *job) {
	f := r.fleet
	if !r.up {
		f.clock.after(retryDelay, func() { r.accept(j) })
		return
	}
	if r.waiting[j.account] >= f.workload.QueueLimit {
		f.refused++
		return
	}
	j.router = r
	f.meter.recordArrival(j, j.created)
	r.enqueue(j)
}

// enqueue queues the request and requests a slot from the scheduler.
func (r *router) enqueue(j *job) {
	r.number++
	j.id = scheduler.RequestID{Router: r.identity(), Number: r.number}
	j.state = jobWaiting
	j.started = false
	j.waitingSince = r.fleet.clock.now
	r.jobs = append(r.jobs, j)
	r.waiting[j.account]++
	r.fleet.meter.beginWait(j)
	r.batch().Demands = append(r.batch().Demands, r.demand(j))
}

func (r *router) demand(j *job) *wire.Demand {
	return &wire.Demand{
		Request: j.id.Number, Service: r.fleet.workload.Service, Account: r.fleet.workload.Accounts[j.account].Name, Kind: j.kind,
		Estimate: j.hint, WaitedMs: uint32(r.fleet.clock.now.Sub(j.created).Milliseconds()), Excluded: j.excluded,
	}
}

// handleGrant sends the granted request to its endpoint.
func (r *router) handleGrant(g scheduler.Grant) {
	at := slices.IndexFunc(r.jobs, func(j *job) bool { return j.id == g.ID })
	if at < 0 || r.jobs[at].state != jobWaiting {
		return
	}
	j := r.jobs[at]
	j.state = jobGranted
	r.waiting[j.account]--
	r.fleet.meter.endWait(j)
	for _, e := range r.fleet.endpoints {
		if e.name == g.Endpoint {
			j.endpoint = e
		}
	}
	j.endpointIncarnation = g.EndpointIncarnation
	if !r.fleet.reachable(r.region, j.endpoint.region) {
		r.fleet.clock.after(localDelay, func() { r.requestEnded(j, false, true) })
		return
	}
	r.fleet.traffic.countRequest(r.region, j.endpoint.region)
	r.fleet.clock.after(r.fleet.delay(r.region, j.endpoint.region), func() { j.endpoint.run(j, g.EndpointIncarnation) })
}

// handleRefusal drops a request that the scheduler refused, because no
// endpoint can serve it.
func (r *router) handleRefusal(id scheduler.RequestID) {
	at := slices.IndexFunc(r.jobs, func(j *job) bool { return j.id == id && j.state == jobWaiting })
	if at < 0 {
		return
	}
	j := r.jobs[at]
	j.state = jobDone
	r.waiting[j.account]--
	r.jobs = slices.Delete(r.jobs, at, at+1)
	r.fleet.meter.endWait(j)
	r.fleet.refused++
}

// requestEnded reports the end of a request to the scheduler and queues the
// request again if it did not complete.
func (r *router) requestEnded(j *job, complete, crashed bool) {
	if j.state != jobGranted {
		return
	}
	f := r.fleet
	r.jobs = slices.DeleteFunc(r.jobs, func(o *job) bool { return o == j })
	c := &wire.Completion{
		Request: j.id.Number, Service: f.workload.Service, Account: f.workload.Accounts[j.account].Name, Endpoint: j.endpoint.name,
		Crashed: crashed,
	}
	if complete {
		c.Cost = j.cost
	}
	r.batch().Completions = append(r.batch().Completions, c)
	if complete {
		j.state = jobDone
		f.meter.recordCompletion(j)
		return
	}
	f.failed++
	j.excluded = []string{j.endpoint.name}
	r.enqueue(j)
}

// stop stops the router and restarts it after the given time. Its callers send
// their requests again.
func (r *router) stop(downtime time.Duration) {
	f := r.fleet
	r.up = false
	r.disconnect()
	for _, j := range r.jobs {
		if j.state == jobWaiting {
			f.meter.endWait(j)
		}
		j.state = jobDone
		retry := *j
		retry.excluded = nil
		retry.endpoint = nil
		retry.router = nil
		f.clock.after(downtime+retryDelay, func() { r.accept(&retry) })
	}
	r.jobs = nil
	f.clock.after(downtime, r.restart)
}

// disconnect closes the connection to the scheduler.
func (r *router) disconnect() {
	if r.schedulerNode == nil {
		return
	}
	home, name := r.schedulerNode, r.identity()
	r.schedulerNode = nil
	r.connection++
	r.outbox = nil
	home.receive(func() { home.sched.RouterLost(r.fleet.clock.now, name) })
}

// connect connects the router to a scheduler and sends it all waiting and
// running requests and the known virtual service.
func (r *router) connect(n *node) {
	if r.schedulerNode == n || !r.up {
		return
	}
	r.disconnect()
	r.connection++
	r.schedulerNode = n
	if n == nil {
		return
	}
	b := r.batch()
	b.Router = &wire.Process{Host: r.host, Incarnation: r.incarnation}
	b.Region = r.region
	for _, name := range r.virtualServiceOrder {
		b.Accounts = append(b.Accounts, &wire.AccountService{Service: r.fleet.workload.Service, Account: name, VirtualService: r.virtualService[name]})
	}
	for _, j := range r.jobs {
		if j.state == jobWaiting {
			b.Demands = append(b.Demands, r.demand(j))
			continue
		}
		b.Running = append(b.Running, &wire.Running{
			Request: j.id.Number, Service: r.fleet.workload.Service, Account: r.fleet.workload.Accounts[j.account].Name,
			Endpoint: j.endpoint.name, Estimate: j.hint,
		})
	}
}

// batch returns the batch to be sent next and schedules its sending, at least
// routerFlush after the last one.
func (r *router) batch() *wire.RouterBatch {
	if r.outbox == nil {
		r.outbox = &wire.RouterBatch{}
	}
	if !r.flushPending {
		r.flushPending = true
		r.fleet.clock.after(max(0, r.lastFlush.Add(routerFlush).Sub(r.fleet.clock.now)), r.flush)
	}
	return r.outbox
}

func (r *router) flush() {
	r.flushPending = false
	r.lastFlush = r.fleet.clock.now
	b, n, connection := r.outbox, r.schedulerNode, r.connection
	r.outbox = nil
	if b == nil || n == nil {
		return
	}
	name := r.identity()
	r.fleet.traffic.routerBatch(r, n, b)
	r.fleet.clock.after(r.fleet.delay(r.region, n.region), func() {
		n.receive(func() {
			if r.connection == connection {
				n.applyBatch(r, name, b)
			}
		})
	})
}
