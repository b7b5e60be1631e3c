package router_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/router"
	"oleanderramp/internal/wire"
)

// fakeLinks is a link to one scheduler host that records the sent batches.
type fakeLinks struct {
	mu      sync.Mutex
	sent    []*wire.RouterBatch
	receive func(*wire.SchedulerBatch)
	closed  func(error)
}

func (f *fakeLinks) Open(_ string, receive func(*wire.SchedulerBatch), closed func(error)) router.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receive, f.closed = receive, closed
	return f
}

// takeSent returns the batches sent since the last call.
func (f *fakeLinks) takeSent() []*wire.RouterBatch {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent := f.sent
	f.sent = nil
	return sent
}

func (f *fakeLinks) deliver(batch *wire.SchedulerBatch) {
	f.mu.Lock()
	receive := f.receive
	f.mu.Unlock()
	receive(batch)
}

func (f *fakeLinks) fail() {
	f.mu.Lock()
	closed := f.closed
	f.mu.Unlock()
	closed(nil)
}

func (f *fakeLinks) Send(batch *wire.RouterBatch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, batch)
	return true
}
func (*fakeLinks) Cancel()      {}
func (*fakeLinks) Close() error { return nil }

func (*fakeLinks) Scheduler(time.Time, string, string) (string, bool) { return "host-1", true }

func newDispatcher(t *testing.T) (*router.Dispatcher, *fakeLinks) {
	links := &fakeLinks{}
	d := router.NewDispatcher(router.DispatcherConfig{
		Self: &wire.Process{Host: "router-1", Incarnation: 1}, Region: "east", Links: links, Schedulers: links,
		Log: &log.Logger{Handler: discard.Default, Level: log.ErrorLevel},
	})
	t.Cleanup(func() { qt.Check(t, d.Close(), qt.IsNil) })
	return d, links
}

func demand(request uint64, account, model string) *wire.Demand {
	return &wire.Demand{Request: request, Service: "assistant", Account: account, Model: model}
}

// receivedGrant returns the endpoint and the reason of a received grant, or
// empty strings.
func receivedGrant(result <-chan router.SlotResult) (endpoint, reason string) {
	synctest.Wait()
	select {
	case p := <-result:
		return p.Grant.GetEndpoint(), p.Grant.GetReason()
	default:
		return "", ""
	}
}

func TestSlotIsReusedWhileSchedulerIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, links := newDispatcher(t)
		first := d.Submit(demand(1, "large", "m"))
		synctest.Wait()
		links.deliver(&wire.SchedulerBatch{
			Grants: []*wire.Grant{{Request: 1, Service: "assistant", Endpoint: "engine-1", Address: "a"}},
			Accounts: []*wire.AccountService{
				{Service: "assistant", Account: "large", VirtualService: 9}, {Service: "assistant", Account: "small", VirtualService: 1},
			},
		})
		endpoint, _ := receivedGrant(first)
		c.Assert(endpoint, qt.Equals, "engine-1")
		other := d.Submit(demand(2, "small", "another"))
		second := d.Submit(demand(3, "large", "m"))
		third := d.Submit(demand(4, "small", "m"))
		synctest.Wait()
		links.fail()
		synctest.Wait()

		d.Complete(1, 1, false)
		endpoint, reason := receivedGrant(third)
		c.Check(endpoint, qt.Equals, "engine-1")
		c.Check(reason, qt.Equals, "kept_slot")
		endpoint, _ = receivedGrant(other)
		c.Check(endpoint, qt.Equals, "")

		time.Sleep(2 * time.Second)
		d.Complete(4, 1, false)
		endpoint, _ = receivedGrant(second)
		c.Check(endpoint, qt.Equals, "", qt.Commentf("slots are reused for 2 s only"))
	})
}

func TestReconnectionResendsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, links := newDispatcher(t)
		d.Submit(demand(1, "large", "m"))
		d.Submit(demand(2, "large", "m"))
		d.Announce(&wire.Announcement{Endpoint: "engine-1", Service: "assistant", Region: "east", LeaseMs: 60_000})
		synctest.Wait()
		links.deliver(&wire.SchedulerBatch{Grants: []*wire.Grant{{Request: 1, Service: "assistant", Endpoint: "engine-1"}}})
		synctest.Wait()
		links.takeSent()
		links.fail()
		time.Sleep(time.Second)
		synctest.Wait()
		sent := links.takeSent()
		c.Assert(len(sent) > 0, qt.IsTrue)
		batch := sent[0]
		c.Check(batch.GetRouter().GetHost(), qt.Equals, "router-1")
		c.Check(batch.GetRunning()[0].GetRequest(), qt.Equals, uint64(1))
		c.Check(batch.GetDemands()[0].GetRequest(), qt.Equals, uint64(2))
		c.Check(batch.GetDemands()[0].GetWaitedMs() > 0, qt.IsTrue)
		c.Check(batch.GetAnnouncements(), qt.HasLen, 1)
	})
}

func TestUnclaimedGrantIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, links := newDispatcher(t)
		d.Submit(demand(1, "large", "m"))
		synctest.Wait()
		d.Withdraw(1)
		synctest.Wait()
		links.takeSent()
		links.deliver(&wire.SchedulerBatch{Grants: []*wire.Grant{{Request: 1, Service: "assistant", Endpoint: "engine-1"}}})
		synctest.Wait()
		sent := links.takeSent()
		c.Assert(sent, qt.HasLen, 1)
		c.Check(sent[0].GetCompletions()[0].GetRequest(), qt.Equals, uint64(1))
	})
}
