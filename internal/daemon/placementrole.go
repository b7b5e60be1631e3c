package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/event"
	"oleanderramp/internal/placement"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// Timing of the placement role.
const (
	placementPeriod = time.Second
	// renewPeriod is the interval between renewals of the lease.
	renewPeriod = 3 * time.Second
	// renewTimeout limits the duration of one renewal.
	renewTimeout = 2 * time.Second
	// maxOrderResults is the number of results that may wait for the next
	// decision.
	maxOrderResults = 64
)

// executor commits commands in the replicated state.
type executor interface {
	Execute(ctx context.Context, command *wire.Command) (*wire.Result, error)
}

// engineClient sends orders to engines.
type engineClient interface {
	SendOrder(ctx context.Context, address string, order endpoint.Order, sendBy time.Time) error
}

// placementConfig is the configuration of a placementRole.
type placementConfig struct {
	self   *wire.Process
	region string
	quorum executor
	// current returns the bundle in force, or nil.
	current func() *bundle.Bundle
	// schedules returns the reports of the schedulers of the services in the
	// region. Reports of unreachable schedulers are omitted.
	schedules func(ctx context.Context, services []string) []*wire.Schedule
	engines   engineClient
	// now is the clock. It must count the time during which the system is suspended,
	// in which the lease may have passed to another holder.
	now func() time.Time
	log log.Interface
}

// placementRole acquires and renews the placement lease of its region, and
// sends orders to engines while it holds the lease.
type placementRole struct {
	cfg  placementConfig
	stop context.CancelFunc
	done sync.WaitGroup
	// results holds the outcomes of orders until the next decision.
	results chan orderResult
	// placer is used only by the goroutine that decides.
	placer *placement.Placer
	// holder is the process that acquires the lease. It is used only by the
	// goroutine that renews.
	holder *wire.Process

	mu    sync.Mutex
	lease placement.Lease
	// sendContext is cancelled when the lease is lost.
	sendContext context.Context
	cancelSends context.CancelFunc
	// fenceOutdated is true if an engine has seen a larger fencing token. The
	// lease must then be released, so that the next one gets a larger token.
	fenceOutdated bool
}

// orderResult is the outcome of an order.
type orderResult struct {
	order placement.Order
	err   error
}

// newPlacementRole returns a running role.
func newPlacementRole(cfg placementConfig) *placementRole {
	r := preparePlacementRole(cfg)
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.done.Go(func() {
		runEvery(ctx, renewPeriod, func() { r.renew(ctx) })
	})
	r.done.Go(func() {
		runEvery(ctx, placementPeriod, func() {
			for _, order := range r.decide(ctx) {
				r.done.Go(func() { r.send(order) })
			}
		})
	})
	return r
}

// preparePlacementRole returns the role without its goroutines, so that tests can
// run its steps one by one.
func preparePlacementRole(cfg placementConfig) *placementRole {
	return &placementRole{
		cfg: cfg, stop: func() {}, results: make(chan orderResult, maxOrderResults),
		placer: placement.New(placement.Config{}), holder: cfg.self, cancelSends: func() {},
	}
}

// runEvery calls run immediately, and then once per period until the context
// ends.
func runEvery(ctx context.Context, period time.Duration, run func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		run()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// decide returns the orders to send now.
func (r *placementRole) decide(ctx context.Context) []placement.Order {
	r.applyResults()
	var services []placement.Service
	if r.currentLease().CoversSend(r.cfg.now()) {
		services = r.services(ctx)
	}
	decisions := r.placer.Decide(r.cfg.now(), r.currentLease(), services)
	r.logDecisions(decisions)
	return decisions.Orders
}

// applyResults applies the outcomes of orders since the last decision.
func (r *placementRole) applyResults() {
	for {
		select {
		case result := <-r.results:
			r.applyResult(result)
		default:
			return
		}
	}
}

// applyResult ends an order that the engine certainly did not accept. An order
// with an unknown outcome stays in progress and is not sent again before it
// expires.
func (r *placementRole) applyResult(result orderResult) {
	var refused *endpoint.OrderRefusedError
	if errors.As(result.err, &refused) || errors.Is(result.err, endpoint.ErrOrderNotSent) {
		r.placer.OrderFailed(r.cfg.now(), result.order)
	}
}

// send sends one order if its lease is still held, and queues the outcome for
// the next decision.
func (r *placementRole) send(order placement.Order) {
	r.mu.Lock()
	ctx, token := r.sendContext, r.lease.FencingToken()
	r.mu.Unlock()
	err := endpoint.ErrOrderNotSent
	if token == order.Fence {
		err = r.cfg.engines.SendOrder(ctx, order.Address, endpoint.Order{
			Order: string(order.Kind), Name: order.Name, Fence: order.Fence,
		}, order.SendBy)
	}
	fields := orderFields(order)
	if err == nil {
		fields["reason"] = order.Reason
		event.OrderGiven.Log(r.cfg.log, fields)
	} else {
		fields["reason"] = err.Error()
		event.OrderRefused.Log(r.cfg.log, fields)
	}
	if errors.Is(err, endpoint.ErrOldFence) {
		r.releaseLease(order.Fence, "an engine has seen a larger fencing token")
		r.setFenceOutdated(true)
	}
	select {
	case r.results <- orderResult{order: order, err: err}:
	default: // The order stays in progress until it expires.
	}
}

func orderFields(order placement.Order) event.Fields {
	return event.Fields{
		"service": order.Service, "endpoint": order.Endpoint, "order": string(order.Kind), "name": order.Name,
		"fence": order.Fence,
	}
}

// logDecisions logs the delayed, withheld and incomplete orders. Orders that are
// sent are logged with their outcome.
func (r *placementRole) logDecisions(d placement.Decisions) {
	for _, delay := range d.Delayed {
		fields := orderFields(delay.Order)
		fields["reason"], fields["delay_ms"] = delay.Order.Reason, delay.For.Milliseconds()
		event.OrderDelayed.Log(r.cfg.log, fields)
	}
	for _, withheld := range d.Withheld {
		fields := orderFields(withheld.Order)
		fields["reason"], fields["until"] = withheld.Order.Reason, withheld.Until
		event.OrderWithheld.Log(r.cfg.log, fields)
	}
	for _, order := range d.Incomplete {
		event.OrderIncomplete.Log(r.cfg.log, orderFields(order))
	}
}

// services returns the services for which the bundle sets a placement, as their
// schedulers in the region report them.
func (r *placementRole) services(ctx context.Context) []placement.Service {
	current := r.cfg.current()
	if current == nil {
		return nil
	}
	var names []string
	placed := make(map[string]*bundle.Placement)
	for _, s := range current.Document().Services {
		if s.Placement != nil {
			names = append(names, s.Name)
			placed[s.Name] = s.Placement
		}
	}
	if len(names) == 0 {
		return nil
	}
	var services []placement.Service
	for _, schedule := range r.cfg.schedules(ctx, names) {
		wanted, ok := placed[schedule.GetService()]
		if !ok || schedule.GetRegion() != r.cfg.region {
			continue
		}
		delete(placed, schedule.GetService()) // Use one report per service.
		services = append(services, placementService(schedule, wanted))
	}
	slices.SortFunc(services, func(a, b placement.Service) int {
		return slices.Index(names, a.Name) - slices.Index(names, b.Name)
	})
	return services
}

// Close cancels all orders, waits for the goroutines and releases the lease.
func (r *placementRole) Close() error {
	r.stop()
	former := r.currentLease().FencingToken()
	r.releaseLease(former, "the daemon stops")
	r.done.Wait()
	// A renewal may have acquired a lease in the meantime.
	latest := r.currentLease().FencingToken()
	r.releaseLease(latest, "the daemon stops")
	if former != 0 || latest != 0 {
		// If the request fails, the lease expires at the end of its term.
		_, _ = r.acquire(context.Background(), 0)
	}
	return nil
}
