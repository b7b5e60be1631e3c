package daemon

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/demo"
	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/placement"
	"oleanderramp/internal/standin"
	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// fences is a quorum of one machine.
type fences struct {
	now func() time.Time

	mu      sync.Mutex
	machine *state.Machine
	// down makes the quorum unreachable.
	down bool
}

func newFences(now func() time.Time) *fences {
	return &fences{now: now, machine: state.New(state.Limits{})}
}

func (f *fences) Execute(_ context.Context, command *wire.Command) (*wire.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errors.New("no quorum")
	}
	command.NowUnixMs = f.now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	var result wire.Result
	return &result, proto.Unmarshal(f.machine.Apply(f.machine.Index()+1, data), &result)
}

func (f *fences) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// placedBundle has the model large loaded at one endpoint at least.
func placedBundle(c *qt.C) *bundle.Bundle {
	document := demo.Document()
	s := &document.Services[0]
	s.Models = append(s.Models, "large")
	s.Placement = &bundle.Placement{
		WeightStoreOrdersPerMinute: 60, Models: []bundle.PlacedModel{{Model: "large", MinEndpoints: 1}},
	}
	b, err := bundle.New(*document)
	c.Assert(err, qt.IsNil)
	return b
}

// placementConfigFor is that of a host with one engine at the address.
func placementConfigFor(c *qt.C, host, address string, checks bool, f *fences, e engines) (placementConfig, *memory.Handler) {
	logged, held := memory.New(), placedBundle(c)
	schedule := &wire.Schedule{Service: held.Document().Services[0].Name, Region: demo.Region, Endpoints: []*wire.ScheduledEndpoint{{
		Endpoint: "engine-1", Incarnation: 1, Address: address, Slots: 4, Models: []string{"standin"},
		ChecksFencing: checks, State: endpointAvailable,
	}}}
	return placementConfig{
		self: &wire.Process{Host: host, Incarnation: 1}, region: demo.Region, quorum: f,
		current:   func() *bundle.Bundle { return held },
		schedules: func(context.Context, []string) []*wire.Schedule { return []*wire.Schedule{schedule} },
		engines:   e, now: f.now, log: &log.Logger{Handler: logged, Level: log.InfoLevel},
	}, logged
}

// numbers returns the numbers of the logged events.
func numbers(logged *memory.Handler) []int {
	var list []int
	for _, entry := range logged.Entries {
		list = append(list, entry.Fields["event"].(int))
	}
	return list
}

// twoHolders has two holders of one lease, whose clock the test moves.
type twoHolders struct {
	*qt.C
	now                  time.Time
	engine               *standin.Engine
	former, next         *placementRole
	formerLog, nextLog   *memory.Handler
	formerOrder, noOrder placement.Order
}

func newTwoHolders(t *testing.T, now time.Time, checks bool) *twoHolders {
	h := &twoHolders{C: qt.New(t), now: now}
	var err error
	h.engine, err = standin.NewEngine(standin.EngineConfig{
		Config: standin.Config{Endpoint: "engine-1", Service: "assistant"}, ChecksFencing: checks,
	})
	h.Assert(err, qt.IsNil)
	t.Cleanup(h.engine.Close)
	client := endpoint.NewClient(endpoint.ClientConfig{})
	t.Cleanup(client.Close)
	f := newFences(func() time.Time { return h.now })
	cfg, logged := placementConfigFor(h.C, "host-1", h.engine.Addr(), checks, f, client)
	h.former, h.formerLog = preparePlacementRole(cfg), logged
	cfg, logged = placementConfigFor(h.C, "host-2", h.engine.Addr(), checks, f, client)
	h.next, h.nextLog = preparePlacementRole(cfg), logged
	return h
}

// act lets the role renew and decide once a second, until it has an order.
func (h *twoHolders) act(r *placementRole, seconds int) placement.Order {
	for range seconds {
		r.renew(h.Context())
		if orders := r.decide(h.Context()); len(orders) > 0 {
			return orders[0]
		}
		h.now = h.now.Add(time.Second)
	}
	return h.noOrder
}

// Context never ends.
func (*twoHolders) Context() context.Context { return context.Background() }

// freeze lets the former holder decide, and then time pass.
func (h *twoHolders) freeze(passed time.Duration) {
	h.formerOrder = h.act(h.former, 5)
	h.Assert(h.formerOrder.Fence, qt.Equals, uint64(1))
	h.now = h.now.Add(passed)
}

// TestThawedHolderIsRefused has a holder that was frozen just before it wrote.
func TestThawedHolderIsRefused(t *testing.T) {
	h := newTwoHolders(t, time.Now().Add(time.Hour), true)
	h.freeze(20 * time.Second)
	order := h.act(h.next, 5)
	h.Assert(order.Fence, qt.Equals, uint64(2))
	h.next.send(order)
	h.former.send(h.formerOrder)
	h.Assert(h.engine.Orders(), qt.DeepEquals, []standin.Order{{Order: standin.OrderLoadModel, Name: "large", Fence: 2}})
	h.Assert(h.former.held().FencingToken(), qt.Equals, uint64(0))
	h.Assert(numbers(h.formerLog), qt.DeepEquals, []int{803, 801, 804})
	h.Assert(numbers(h.nextLog), qt.DeepEquals, []int{803, 800})
	h.former.renew(h.Context())
	h.former.renew(h.Context())
	h.Assert(h.former.held().FencingToken(), qt.Equals, uint64(0), qt.Commentf("the lease is held by the other"))
}

// TestThawedHolderIsWaitedFor has an engine that ignores fencing numbers. The
// next holder gives no order before the former one has surely ended, and what
// that one still sends afterwards is too late to leave.
func TestThawedHolderIsWaitedFor(t *testing.T) {
	h := newTwoHolders(t, time.Now().Add(-20*time.Second), false)
	h.freeze(10 * time.Second)
	h.Assert(h.act(h.next, 13), qt.Equals, h.noOrder)
	h.Assert(numbers(h.nextLog), qt.DeepEquals, []int{803, 805})
	order := h.act(h.next, 1)
	h.Assert(order.Fence, qt.Equals, uint64(2))
	h.next.send(order)
	h.former.send(h.formerOrder)
	h.Assert(h.engine.Orders(), qt.DeepEquals, []standin.Order{{Order: standin.OrderLoadModel, Name: "large", Fence: 2}})
	h.Assert(numbers(h.formerLog), qt.DeepEquals, []int{803, 801})
}

// TestOldFenceIsReplaced has an engine that has seen a larger number than the
// quorum gives.
func TestOldFenceIsReplaced(t *testing.T) {
	h := newTwoHolders(t, time.Now().Add(time.Hour), true)
	order := h.act(h.former, 5)
	ahead := endpoint.Order{Order: "set_role", Name: "decode", Fence: 2}
	h.Assert(h.former.cfg.engines.SendOrder(h.Context(), h.engine.Addr(), ahead, time.Now().Add(time.Minute)), qt.IsNil)
	h.former.send(order)
	h.Assert(h.former.held().FencingToken(), qt.Equals, uint64(0))
	h.former.renew(h.Context())
	h.Assert(h.former.held().FencingToken(), qt.Equals, uint64(0))
	h.former.renew(h.Context())
	h.Assert(h.former.held().FencingToken(), qt.Equals, uint64(2))
}

// heldOrders is an engine that answers nothing.
type heldOrders struct {
	mu    sync.Mutex
	ended []error
}

func (e *heldOrders) SendOrder(ctx context.Context, _ string, _ endpoint.Order, sendBy time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, sendBy)
	defer cancel()
	<-ctx.Done()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = append(e.ended, ctx.Err())
	return ctx.Err()
}

func TestPlacementRoleRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, e := newFences(time.Now), &heldOrders{}
		cfg, logged := placementConfigFor(c, "host-1", "", true, f, e)
		r := newPlacementRole(cfg)
		// The role acts at whole seconds.
		time.Sleep(10*time.Second + placementPeriod/2)
		c.Assert(r.held().FencingToken(), qt.Equals, uint64(1))
		c.Assert(e.ended, qt.DeepEquals, []error{context.DeadlineExceeded})
		c.Assert(numbers(logged), qt.DeepEquals, []int{803, 801})
		f.setDown(true)
		time.Sleep(20 * time.Second)
		c.Assert(r.held().FencingToken(), qt.Equals, uint64(0))
		f.setDown(false)
		time.Sleep(10 * time.Second)
		c.Assert(r.held().FencingToken(), qt.Equals, uint64(2))
		c.Assert(r.Close(), qt.IsNil)
		c.Assert(numbers(logged), qt.DeepEquals, []int{803, 801, 804, 803, 801, 804})
		// The lease was given back, so that another host has it at once.
		cfg, _ = placementConfigFor(c, "host-2", "", true, f, e)
		other := preparePlacementRole(cfg)
		other.renew(t.Context())
		c.Assert(other.held().FencingToken(), qt.Equals, uint64(3))
	})
}

// TestOrdersEndWithTheLease gives the lease up while an order is being sent.
func TestOrdersEndWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &heldOrders{}
		cfg, _ := placementConfigFor(c, "host-1", "", true, newFences(time.Now), e)
		r := preparePlacementRole(cfg)
		r.renew(t.Context())
		go r.send(placement.Order{Fence: 1, SendBy: time.Now().Add(time.Hour)})
		synctest.Wait()
		r.give(1, "test")
		synctest.Wait()
		c.Assert(e.ended, qt.HasLen, 1)
		c.Assert(e.ended[0], qt.ErrorIs, context.Canceled)
	})
}

// TestAbandonedHolderComesBack has a process that the quorum gave up.
func TestAbandonedHolderComesBack(t *testing.T) {
	h := newTwoHolders(t, time.Now(), true)
	h.former.renew(h.Context())
	abandon := &wire.Command{Body: &wire.Command_Abandon{Abandon: &wire.AbandonProcess{Process: h.former.holder}}}
	_, err := h.former.cfg.quorum.Execute(h.Context(), abandon)
	h.Assert(err, qt.IsNil)
	h.former.renew(h.Context())
	h.Assert(h.former.held().FencingToken(), qt.Equals, uint64(0))
	h.now = h.now.Add(placement.LeaseTerm)
	h.former.renew(h.Context())
	h.Assert(h.former.held().FencingToken(), qt.Equals, uint64(2))
}
