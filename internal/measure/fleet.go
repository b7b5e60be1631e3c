package measure

import (
	"math/rand/v2"
	"strconv"
	"time"

	"oleanderramp/internal/scheduler"
)

// Delays and periods of the simulated hosts. localDelay and regionDelay are
// one-way network delays within and between regions; reportLag is the age of an
// announcement on arrival.
const (
	localDelay     = time.Millisecond
	regionDelay    = 10 * time.Millisecond
	routerFlush    = 5 * time.Millisecond
	decidePeriod   = 2 * time.Millisecond
	announcePeriod = time.Second
	announceLease  = 3 * time.Second
	reportLag      = 500 * time.Millisecond
	accountsPeriod = time.Second
	exchangePeriod = 300 * time.Millisecond
	retryDelay     = time.Second
)

// jobState is the state of a request.
type jobState int

const (
	jobWaiting jobState = iota
	jobGranted
	jobDone
)

// job is one simulated request.
type job struct {
	id           scheduler.RequestID
	account      int
	kind         string
	cost, hint   float64
	duration     time.Duration
	created      time.Time
	waitingSince time.Time
	// fairStart is when the request would have started if the account had been
	// served at exactly the rate of its share.
	fairStart time.Time
	state     jobState
	router    *router
	endpoint  *endpoint
	// endpointIncarnation is the incarnation of the endpoint in the grant.
	endpointIncarnation uint64
	excluded            []string
	started             bool
}

// fleet holds the routers, endpoints and schedulers of a run.
type fleet struct {
	clock     *clock
	workload  Workload
	random    *rand.Rand
	policy    Policy
	meter     *meter
	traffic   *traffic
	routers   []*router
	endpoints []*endpoint
	nodes     []*node
	// partitioned holds the regions that are partitioned from the others.
	partitioned map[string]bool
	// flooding holds the accounts that currently flood, by index, and flooded
	// those that have flooded at any time.
	flooding, flooded map[int]bool
	refused           int
	failed            int
	// duplicateStarts counts the starts of requests that had already been
	// started under the same request id.
	duplicateStarts int
}

// Policy determines the order in which requests are granted.
type Policy string

// The policies.
const (
	PolicyFair      Policy = "fair"
	PolicyFCFS      Policy = "fcfs"
	PolicyPerRouter Policy = "per-router"
)

func newFleet(w Workload, policy Policy, seed uint64) *fleet {
	f := &fleet{
		clock: &clock{now: epoch}, workload: w, policy: policy, random: rand.New(rand.NewPCG(seed, seed)),
		partitioned: make(map[string]bool), flooding: make(map[int]bool), flooded: make(map[int]bool), traffic: newTraffic(),
	}
	f.meter = newMeter(w, f)
	for _, r := range w.Regions {
		f.addNode(r.Name)
	}
	for _, r := range w.Regions {
		for range r.Endpoints {
			f.addEndpoint(r)
		}
		for range r.Routers {
			f.addRouter(r.Name)
		}
	}
	for i := range w.Accounts {
		f.arrive(i)
	}
	return f
}

func (f *fleet) shares() map[string]int {
	shares := make(map[string]int)
	for _, a := range f.workload.Accounts {
		shares[a.Name] = a.Share
	}
	return shares
}

// arrive schedules the arrival of the next request of an account.
func (f *fleet) arrive(account int) {
	a := f.workload.Accounts[account]
	rate := f.workload.rate(a)
	if f.flooding[account] {
		rate = f.workload.capacity() / f.workload.meanCost() * floodLoadFactor
	}
	f.clock.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		kind, cost, hint := f.workload.draw(f.random)
		const speedSpread = 0.2
		duration := time.Duration(cost * float64(f.workload.SlotTime) * (1 + speedSpread*(2*f.random.Float64()-1)))
		j := &job{account: account, kind: kind, cost: cost, hint: hint, duration: duration, created: f.clock.now}
		f.routers[f.workload.pickRouter(a, f.random)].accept(j)
		f.arrive(account)
	})
}

// delay returns the one-way network delay between two regions.
func (f *fleet) delay(a, b string) time.Duration {
	if a == b {
		return localDelay
	}
	return regionDelay
}

// reachable reports whether two regions can communicate.
func (f *fleet) reachable(a, b string) bool {
	return a == b || f.partitioned[a] == f.partitioned[b]
}

// endpoint is a simulated endpoint. It runs requests in the order of their
// arrival, at most one in each slot, and queues the others.
type endpoint struct {
	fleet       *fleet
	name        string
	region      string
	slots       int
	incarnation uint64
	sequence    uint64
	up          bool
	running     []*job
	queued      []*job
}

func (f *fleet) addEndpoint(r Region) {
	e := &endpoint{fleet: f, name: "e" + strconv.Itoa(len(f.endpoints)), region: r.Name, slots: r.Slots, incarnation: 1, up: true}
	f.endpoints = append(f.endpoints, e)
	first := time.Duration(f.random.Int64N(int64(announcePeriod)))
	e.announce()
	f.clock.every(first, announcePeriod, e.announce)
}

// announce sends the current counts to the region's schedulers. They arrive
// after reportLag, except for the first announcement of an incarnation, which
// takes localDelay.
func (e *endpoint) announce() {
	if !e.up {
		return
	}
	e.sequence++
	a := scheduler.Announcement{
		Endpoint: e.name, Incarnation: e.incarnation, Sequence: e.sequence, Service: e.fleet.workload.Service, Region: e.region,
		Zone: e.region + "-1", Address: "10.0.0.1:8000", Slots: e.slots, Running: len(e.running), Queued: len(e.queued),
		Lease: announceLease,
	}
	lag := reportLag
	if e.sequence == 1 {
		lag = localDelay
	}
	e.fleet.clock.after(lag, func() {
		for _, n := range e.fleet.nodes {
			if n.region == e.region {
				e.fleet.traffic.announce(n, a)
				n.receive(func() { n.sched.Announce(e.fleet.clock.now, a) })
			}
		}
	})
}

// run starts or queues a granted request that has arrived at the endpoint. If
// the endpoint is down or has restarted since the grant, the request fails.
func (e *endpoint) run(j *job, incarnation uint64) {
	if !e.up || e.incarnation != incarnation {
		e.reportEnd(j, false, true)
		return
	}
	if len(e.running) < e.slots {
		e.begin(j)
		return
	}
	e.queued = append(e.queued, j)
}

func (e *endpoint) begin(j *job) {
	e.running = append(e.running, j)
	if j.started {
		e.fleet.duplicateStarts++
	}
	j.started = true
	e.fleet.meter.recordStart(j, e.fleet.clock.now)
	incarnation := e.incarnation
	e.fleet.clock.after(j.duration, func() {
		if e.incarnation == incarnation && e.up {
			e.finish(j)
		}
	})
}

func (e *endpoint) finish(j *job) {
	for i, o := range e.running {
		if o == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	e.reportEnd(j, true, false)
	if len(e.queued) > 0 {
		next := e.queued[0]
		e.queued = e.queued[1:]
		e.begin(next)
	}
}

// reportEnd reports to the router how the request ended.
func (e *endpoint) reportEnd(j *job, complete, crashed bool) {
	id := j.id
	e.fleet.clock.after(e.fleet.delay(e.region, j.router.region), func() {
		if j.state == jobGranted && j.id == id && j.router.incarnation == id.Router.Incarnation {
			j.router.requestEnded(j, complete, crashed)
		}
	})
}

// crash fails all running and queued requests. The endpoint restarts with a new
// incarnation after the given time.
func (e *endpoint) crash(downtime time.Duration) {
	lost := append(e.running, e.queued...)
	e.up = false
	e.running, e.queued = nil, nil
	for _, j := range lost {
		e.reportEnd(j, false, true)
	}
	e.fleet.clock.after(downtime, func() {
		e.incarnation++
		e.sequence = 0
		e.up = true
		e.announce()
	})
}
