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

// fakeQuorum is a quorum of a single state machine.
type fakeQuorum struct {
	now func() time.Time

	mu      sync.Mutex
	machine *state.Machine
	// unreachable makes Execute fail.
	unreachable bool
	// refusal is the code with which Execute refuses all commands, if any.
	refusal string
}

func newFakeQuorum(now func() time.Time) *fakeQuorum {
	return &fakeQuorum{now: now, machine: state.New(state.Limits{})}
}

func (f *fakeQuorum) Execute(_ context.Context, command *wire.Command) (*wire.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return nil, errors.New("no quorum")
	}
	if f.refusal != "" {
		return &wire.Result{Error: &wire.CommandError{Code: f.refusal}}, nil
	}
	command.NowUnixMs = f.now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	var result wire.Result
	return &result, proto.Unmarshal(f.machine.Apply(f.machine.Index()+1, data), &result)
}

func (f *fakeQuorum) setUnreachable(unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = unreachable
}

// placedBundle returns a bundle that requires the model "large" on at least one
// endpoint.
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

// placementConfigFor returns the configuration of a host whose scheduler reports
// one engine at the address, and the handler of its log.
func placementConfigFor(c *qt.C, host, address string, checks bool, f *fakeQuorum, e engineClient) (placementConfig, *memory.Handler) {
	logged, placed := memory.New(), placedBundle(c)
	schedule := &wire.Schedule{Service: placed.Document().Services[0].Name, Region: demo.Region, Endpoints: []*wire.ScheduledEndpoint{{
		Endpoint: "engine-1", Incarnation: 1, Address: address, Slots: 4, Models: []string{"standin"},
		ChecksFencing: checks, State: endpointAvailable,
	}}}
	return placementConfig{
		self: &wire.Process{Host: host, Incarnation: 1}, region: demo.Region, quorum: f,
		current:   func() *bundle.Bundle { return placed },
		schedules: func(context.Context, []string) []*wire.Schedule { return []*wire.Schedule{schedule} },
		engines:   e, now: f.now, log: &log.Logger{Handler: logged, Level: log.InfoLevel},
	}, logged
}

// eventNumbers returns the numbers of the logged events.
func eventNumbers(logged *memory.Handler) []int {
	var list []int
	for _, entry := range logged.Entries {
		list = append(list, entry.Fields["event"].(int))
	}
	return list
}

// twoHolders has two hosts that compete for one lease, with a clock that the
// test controls.
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
	f := newFakeQuorum(func() time.Time { return h.now })
	cfg, logged := placementConfigFor(h.C, "host-1", h.engine.Addr(), checks, f, client)
	h.former, h.formerLog = preparePlacementRole(cfg), logged
	cfg, logged = placementConfigFor(h.C, "host-2", h.engine.Addr(), checks, f, client)
	h.next, h.nextLog = preparePlacementRole(cfg), logged
	return h
}

// runUntilOrder lets the role renew and decide once a second until it has an
// order. It returns noOrder if there is none within the seconds.
func (h *twoHolders) runUntilOrder(r *placementRole, seconds int) placement.Order {
	for range seconds {
		r.renew(h.Context())
		if orders := r.decide(h.Context()); len(orders) > 0 {
			return orders[0]
		}
		h.now = h.now.Add(time.Second)
	}
	return h.noOrder
}

// Context returns a context that never ends.
func (*twoHolders) Context() context.Context { return context.Background() }

// pauseFormer lets the former holder decide on an order, and then advances the
// clock as if the holder's process had been paused before it sent the order.
func (h *twoHolders) pauseFormer(passed time.Duration) {
	h.formerOrder = h.runUntilOrder(h.former, 5)
	h.Assert(h.formerOrder.Fence, qt.Equals, uint64(1))
	h.now = h.now.Add(passed)
}

// TestPausedHolderIsRefused guards against orders of two holders at one engine:
// the former holder is paused just before it sends an order and resumes after
// the lease has passed to the next holder. The engine must refuse its old fencing
// token.
func TestPausedHolderIsRefused(t *testing.T) {
	h := newTwoHolders(t, time.Now().Add(time.Hour), true)
	h.pauseFormer(20 * time.Second)
	order := h.runUntilOrder(h.next, 5)
	h.Assert(order.Fence, qt.Equals, uint64(2))
	h.next.send(order)
	h.former.send(h.formerOrder)
	h.Assert(h.engine.Orders(), qt.DeepEquals, []standin.Order{{Order: standin.OrderLoadModel, Name: "large", Fence: 2}})
	h.Assert(h.former.currentLease().FencingToken(), qt.Equals, uint64(0))
	h.Assert(eventNumbers(h.formerLog), qt.DeepEquals, []int{803, 801, 804})
	h.Assert(eventNumbers(h.nextLog), qt.DeepEquals, []int{803, 800})
	h.former.renew(h.Context())
	h.former.renew(h.Context())
	h.Assert(h.former.currentLease().FencingToken(), qt.Equals, uint64(0), qt.Commentf("the lease is held by the other host"))
}

// TestNextHolderWaitsForPausedHolder uses an engine that ignores fencing
// tokens. The next holder must send no order before the lease of the former
// holder has certainly ended, and an order that the former holder sends later
// must be past its send deadline.
func TestNextHolderWaitsForPausedHolder(t *testing.T) {
	h := newTwoHolders(t, time.Now().Add(-20*time.Second), false)
	h.pauseFormer(10 * time.Second)
	h.Assert(h.runUntilOrder(h.next, 13), qt.Equals, h.noOrder)
	h.Assert(eventNumbers(h.nextLog), qt.DeepEquals, []int{803, 805})
	order := h.runUntilOrder(h.next, 1)
	h.Assert(order.Fence, qt.Equals, uint64(2))
	h.next.send(order)
	h.former.send(h.formerOrder)
	h.Assert(h.engine.Orders(), qt.DeepEquals, []standin.Order{{Order: standin.OrderLoadModel, Name: "large", Fence: 2}})
	h.Assert(eventNumbers(h.formerLog), qt.DeepEquals, []int{803, 801})
}

// TestOutdatedFenceIsReplaced uses an engine that has seen a larger fencing
// token than that of the lease. The holder must release the lease and acquire
// one with a larger token.
func TestOutdatedFenceIsReplaced(t *testing.T) {
	h := newTwoHolders(t, time.Now().Add(time.Hour), true)
	order := h.runUntilOrder(h.former, 5)
	ahead := endpoint.Order{Order: "set_role", Name: "decode", Fence: 2}
	h.Assert(h.former.cfg.engines.SendOrder(h.Context(), h.engine.Addr(), ahead, time.Now().Add(time.Minute)), qt.IsNil)
	h.former.send(order)
	h.Assert(h.former.currentLease().FencingToken(), qt.Equals, uint64(0))
	h.former.renew(h.Context())
	h.Assert(h.former.currentLease().FencingToken(), qt.Equals, uint64(0))
	h.former.renew(h.Context())
	h.Assert(h.former.currentLease().FencingToken(), qt.Equals, uint64(2))
}

// hangingEngine never answers an order. It records how each order ended.
type hangingEngine struct {
	mu    sync.Mutex
	ended []error
}

func (e *hangingEngine) SendOrder(ctx context.Context, _ string, _ endpoint.Order, sendBy time.Time) error {
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
		f, e := newFakeQuorum(time.Now), &hangingEngine{}
		cfg, logged := placementConfigFor(c, "host-1", "", true, f, e)
		r := newPlacementRole(cfg)
		// The role renews and decides at whole seconds.
		time.Sleep(10*time.Second + placementPeriod/2)
		c.Assert(r.currentLease().FencingToken(), qt.Equals, uint64(1))
		c.Assert(e.ended, qt.DeepEquals, []error{context.DeadlineExceeded})
		c.Assert(eventNumbers(logged), qt.DeepEquals, []int{803, 801})
		f.setUnreachable(true)
		time.Sleep(20 * time.Second)
		c.Assert(r.currentLease().FencingToken(), qt.Equals, uint64(0))
		f.setUnreachable(false)
		time.Sleep(10 * time.Second)
		c.Assert(r.currentLease().FencingToken(), qt.Equals, uint64(2))
		c.Assert(r.Close(), qt.IsNil)
		c.Assert(eventNumbers(logged), qt.DeepEquals, []int{803, 801, 804, 803, 801, 804})
		// Close released the lease, so that another host can acquire it at once.
		cfg, _ = placementConfigFor(c, "host-2", "", true, f, e)
		other := preparePlacementRole(cfg)
		other.renew(t.Context())
		c.Assert(other.currentLease().FencingToken(), qt.Equals, uint64(3))
	})
}

// TestOrdersEndWithTheLease releases the lease while an order is being sent. The
// order must be cancelled.
func TestOrdersEndWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &hangingEngine{}
		cfg, _ := placementConfigFor(c, "host-1", "", true, newFakeQuorum(time.Now), e)
		r := preparePlacementRole(cfg)
		r.renew(t.Context())
		go r.send(placement.Order{Fence: 1, SendBy: time.Now().Add(time.Hour)})
		synctest.Wait()
		r.releaseLease(1, "test")
		synctest.Wait()
		c.Assert(e.ended, qt.HasLen, 1)
		c.Assert(e.ended[0], qt.ErrorIs, context.Canceled)
	})
}

// TestAbandonedHolderReacquiresLease checks that a holder whose process the
// quorum has abandoned acquires the lease again under a new incarnation.
func TestAbandonedHolderReacquiresLease(t *testing.T) {
	h := newTwoHolders(t, time.Now(), true)
	h.former.renew(h.Context())
	abandon := &wire.Command{Body: &wire.Command_Abandon{Abandon: &wire.AbandonProcess{Process: h.former.holder}}}
	_, err := h.former.cfg.quorum.Execute(h.Context(), abandon)
	h.Assert(err, qt.IsNil)
	h.former.renew(h.Context())
	h.Assert(h.former.currentLease().FencingToken(), qt.Equals, uint64(0))
	h.now = h.now.Add(placement.LeaseTerm)
	h.former.renew(h.Context())
	h.Assert(h.former.currentLease().FencingToken(), qt.Equals, uint64(2))
}

// TestRefusedReleaseIsRepeated guards against an outdated fencing token that is
// used again because the quorum's refusal to release the lease was not read.
func TestRefusedReleaseIsRepeated(t *testing.T) {
	h := newTwoHolders(t, time.Now(), true)
	h.former.renew(h.Context())
	h.Assert(h.former.currentLease().FencingToken(), qt.Equals, uint64(1))
	h.former.releaseLease(1, "an engine has seen a larger fencing token")
	h.former.setFenceOutdated(true)
	quorum := h.former.cfg.quorum.(*fakeQuorum)
	quorum.refusal = state.CodeBadCommand
	h.former.renew(h.Context())
	quorum.refusal = ""
	h.former.renew(h.Context())
	h.former.renew(h.Context())
	h.Assert(h.former.currentLease().FencingToken(), qt.Equals, uint64(2))
}
