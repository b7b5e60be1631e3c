package scheduling

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/scheduler"
	"oleanderramp/internal/wire"
)

var epoch = time.Unix(1_700_000_000, 0)

// stubConfig implements the interfaces of Config for a single region, with one
// account and no drained endpoint.
type stubConfig struct{}

func (stubConfig) Generation() uint64                                  { return 1 }
func (stubConfig) Shares(string) map[string]int                        { return map[string]int{"account": 1} }
func (stubConfig) Drained(string) []string                             { return nil }
func (stubConfig) Others(time.Time, string) []string                   { return nil }
func (stubConfig) Send(time.Time, string, string, *wire.ExchangeBatch) {}
func (stubConfig) SetSchedule(string, string, int, int, int, float64)  {}

// testLoop is a loop with one endpoint of one slot, and the numbers of the
// requests granted to each router.
type testLoop struct {
	*loop
	granted map[string][]uint64
}

func newTestLoop() *testLoop {
	b := &testLoop{granted: make(map[string][]uint64)}
	b.loop = newLoop(Config{
		Self: &wire.Process{Host: "s", Incarnation: 1}, Shares: stubConfig{}, Regions: stubConfig{}, Metrics: stubConfig{},
		Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
	})
	return b
}

// openSession starts a session of the router with its waiting and running
// requests.
func (b *testLoop) openSession(now time.Time, router string, first *wire.RouterBatch) *Session {
	s := &Session{
		router: scheduler.Router{Host: router, Incarnation: 1}, region: "r",
		changedAccounts: make(map[accountKey]bool),
		send: func(batch *wire.SchedulerBatch) bool {
			for _, g := range batch.GetGrants() {
				b.granted[router] = append(b.granted[router], g.GetRequest())
			}
			return true
		},
	}
	first.Announcements = idleAnnouncement(now)
	b.connect(now, s, first)
	b.decide(now)
	return s
}

// idleAnnouncement returns an announcement of the endpoint without running
// requests.
func idleAnnouncement(now time.Time) []*wire.Announcement {
	return []*wire.Announcement{{
		Endpoint: "e", Incarnation: 1, Sequence: uint64(now.Sub(epoch)) + 1, Service: "v", Region: "r",
		Address: "127.0.0.1:1", Slots: 1, LeaseMs: 60_000,
	}}
}

func demand(number uint64) []*wire.Demand {
	return []*wire.Demand{{Service: "v", Request: number, Account: "account", Kind: "k", Estimate: 1}}
}

// TestGrantsOfLostStreams checks when a slot becomes free after the stream of
// the router that it was granted to is lost.
func TestGrantsOfLostStreams(t *testing.T) {
	runs := []*wire.Running{{Service: "v", Request: 1, Account: "account", Endpoint: "e", Estimate: 1}}
	tests := []struct {
		name string
		// reconnect is the first batch of the router when it reconnects after half
		// of routerGrace, or nil when it does not reconnect.
		reconnect *wire.RouterBatch
		// after is when the loop ticks. A second later the endpoint reports
		// that it runs nothing.
		after time.Duration
		want  []uint64
	}{
		{"grant lost", &wire.RouterBatch{}, routerGrace / 2, []uint64{2}},
		{"grant received", &wire.RouterBatch{Running: runs}, 2 * routerGrace, nil},
		{"within the grace", nil, routerGrace - 1, nil},
		{"longer than the grace", nil, routerGrace, []uint64{2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newTestLoop()
			first := b.openSession(epoch, "a", &wire.RouterBatch{Demands: demand(1)})
			c.Assert(b.granted["a"], qt.DeepEquals, []uint64{1})
			b.disconnect(epoch, first)
			second := b.openSession(epoch, "b", &wire.RouterBatch{Demands: demand(2)})
			c.Assert(b.granted["b"], qt.IsNil)

			if test.reconnect != nil {
				b.openSession(epoch.Add(routerGrace/2), "a", test.reconnect)
			}
			now := epoch.Add(test.after)
			b.tick(now)
			now = now.Add(time.Second)
			b.receive(now, second, &wire.RouterBatch{Announcements: idleAnnouncement(now)})
			b.decide(now)
			c.Assert(b.granted["b"], qt.DeepEquals, test.want)
		})
	}
}

// TestObservedServiceIsDecidedAtOnce guards against observed values that take
// effect only at the next tick: the scheduler must run after a batch that holds
// nothing else.
func TestObservedServiceIsDecidedAtOnce(t *testing.T) {
	c := qt.New(t)
	b := newTestLoop()
	session := b.openSession(epoch, "a", &wire.RouterBatch{})
	b.receive(epoch, session, &wire.RouterBatch{Accounts: []*wire.AccountService{{Service: "v", Account: "account", VirtualService: 5}}})
	c.Assert(b.instances[0].dirty, qt.IsTrue)
}

// TestCloseOfReplacedStream checks that the late end of a stream does not end
// the stream that replaced it.
func TestCloseOfReplacedStream(t *testing.T) {
	c := qt.New(t)
	b := newTestLoop()
	former := b.openSession(epoch, "a", &wire.RouterBatch{})
	b.openSession(epoch, "a", &wire.RouterBatch{})
	b.disconnect(epoch, former)
	now := epoch.Add(2 * routerGrace)
	b.tick(now)
	b.receive(now, b.sessions[former.router], &wire.RouterBatch{Demands: demand(1)})
	b.decide(now)
	c.Assert(b.granted["a"], qt.DeepEquals, []uint64{1})
}
