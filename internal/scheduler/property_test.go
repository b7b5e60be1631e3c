package scheduler_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderramp/internal/scheduler"
)

func sorted[V any](m map[uint64]V) []uint64 {
	return slices.Sorted(maps.Keys(m))
}

// model applies random inputs to a scheduler and checks its decisions.
type model struct {
	t       *rapid.T
	s       *scheduler.Scheduler
	now     time.Time
	slots   map[string]int
	waiting map[uint64]string
	alone   map[uint64]bool
	running map[uint64]scheduler.Grant
	granted map[uint64]bool
	virtual map[string]float64
	next    uint64
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: start, slots: map[string]int{}, waiting: map[uint64]string{}, alone: map[uint64]bool{}, running: map[uint64]scheduler.Grant{},
		granted: map[uint64]bool{}, virtual: map[string]float64{},
	}
	m.s = newScheduler()
	for _, name := range []string{"e1", "e2", "e3"} {
		m.slots[name] = rapid.IntRange(1, 4).Draw(t, "slots")
		m.s.Announce(m.now, endpoint(name, m.slots[name]))
	}
	m.s.SetShares(m.now, map[string]int{"a": 1, "b": 2, "c": 5})
	return m
}

func (m *model) enqueue(t *rapid.T) {
	m.next++
	account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
	r := scheduler.Request{
		ID: id(m.next), Account: account, Kind: "k", Estimate: rapid.Float64Range(0, 4).Draw(t, "estimate"),
		Alone: rapid.IntRange(0, 20).Draw(t, "alone") == 0,
	}
	m.waiting[m.next] = account
	m.alone[m.next] = r.Alone
	m.s.Enqueue(m.now, r)
	if rapid.Bool().Draw(t, "resend") {
		m.s.Enqueue(m.now, r)
	}
}

func (m *model) complete(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no running request")
	}
	number := rapid.SampledFrom(sorted(m.running)).Draw(t, "completed")
	g := m.running[number]
	delete(m.running, number)
	c := scheduler.Completion{ID: g.ID, Account: g.Account, Endpoint: g.Endpoint, Cost: rapid.Float64Range(0, 4).Draw(t, "cost")}
	m.s.Complete(m.now, c)
	m.s.Complete(m.now, c)
	m.recordVirtualService()
}

func (m *model) withdraw(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("no waiting request")
	}
	number := rapid.SampledFrom(sorted(m.waiting)).Draw(t, "withdrawn")
	delete(m.waiting, number)
	m.s.Withdraw(m.now, id(number))
}

// recordVirtualService stores the present virtual service of each account.
func (m *model) recordVirtualService() {
	for _, a := range m.s.Accounts(m.now) {
		m.virtual[a.Account] = a.VirtualService
	}
}

// decide checks that each request is granted once, that no endpoint exceeds its
// slots, that no slot is idle while a request could use it, and that virtual
// service does not fall.
func (m *model) decide(t *rapid.T) {
	m.now = m.now.Add(time.Millisecond)
	for _, g := range m.s.Decide(m.now).Grants {
		n := g.ID.Number
		if g.Reason == scheduler.ReasonResent {
			continue
		}
		if m.granted[n] || m.waiting[n] != g.Account {
			t.Fatalf("request %d was granted twice or was not waiting", n)
		}
		m.granted[n] = true
		delete(m.waiting, n)
		m.running[n] = g
	}
	used := map[string]int{}
	for _, g := range m.running {
		used[g.Endpoint]++
	}
	alone := map[string]bool{}
	free := 0
	for _, g := range m.running {
		alone[g.Endpoint] = alone[g.Endpoint] || g.Reason == scheduler.ReasonAlone
	}
	for name, slots := range m.slots {
		if used[name] > slots || alone[name] && used[name] > 1 {
			t.Fatalf("endpoint %s runs %d requests on %d slots, alone %v", name, used[name], slots, alone[name])
		}
		if !alone[name] && used[name] < slots {
			free++
		}
	}
	shared, reserved := 0, 0
	for n := range m.waiting {
		if m.alone[n] {
			reserved = 1
		} else {
			shared++
		}
	}
	if free > reserved && shared > 0 {
		t.Fatalf("%d endpoints have free slots, %d reserved, while requests wait: %v", free, reserved, m.waiting)
	}
	for _, a := range m.s.Accounts(m.now) {
		if a.VirtualService < m.virtual[a.Account]-1e-9 {
			t.Fatalf("virtual service of %s fell from %v to %v", a.Account, m.virtual[a.Account], a.VirtualService)
		}
	}
	m.recordVirtualService()
}

func TestSchedulerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": m.enqueue, "complete": m.complete, "withdraw": m.withdraw, "decide": m.decide,
		})
	})
}

// TestGapBoundProperty checks that the weighted service of two accounts that are
// always backlogged differs by at most twice the maximum cost of the requests
// that run at once.
func TestGapBoundProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost = 5.0
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		s := newScheduler(endpoint("e1", slots))
		shares := map[string]int{"a": 1, "b": rapid.IntRange(1, 8).Draw(t, "share")}
		s.SetShares(start, shares)
		enqueue(s, "a", 1000, 400)
		enqueue(s, "b", 2000, 400)
		service := map[string]float64{}
		var running []scheduler.Grant
		for range 200 {
			running = append(running, s.Decide(start).Grants...)
			i := rapid.IntRange(0, len(running)-1).Draw(t, "completed")
			g := running[i]
			running = slices.Delete(running, i, i+1)
			cost := rapid.Float64Range(0.1, maxCost).Draw(t, "cost")
			s.Complete(start, scheduler.Completion{ID: g.ID, Account: g.Account, Endpoint: g.Endpoint, Cost: cost})
			service[g.Account] += cost / float64(shares[g.Account])
			if gap := service["a"] - service["b"]; gap > 2*maxCost*float64(slots) || -gap > 2*maxCost*float64(slots) {
				t.Fatalf("difference in weighted service %v with %d slots", gap, slots)
			}
		}
	})
}

func TestDecisionsAreDeterministic(t *testing.T) {
	run := func() []scheduler.Grant {
		s := newScheduler(endpoint("e1", 2), endpoint("e2", 3), endpoint("e3", 2))
		for i, name := range []string{"d", "b", "a", "c"} {
			enqueue(s, name, uint64(100*i), 5)
		}
		s.RouterLost(start, scheduler.Router{Host: "none"})
		return s.Decide(start).Grants
	}
	qt.Assert(t, run(), qt.DeepEquals, run())
}
