package scheduler_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderramp/internal/scheduler"
)

// regionPair is two regions, whose exchanges may be lost. The first has one
// endpoint, the second one or none.
type regionPair struct {
	now     time.Time
	slots   int
	regions [2]*scheduler.Scheduler
	names   [2]string
	// inFlight holds the undelivered exchanges to each region.
	inFlight [2][]scheduler.Exchange
	running  map[uint64]scheduler.Grant
	owner    map[uint64]int
	granted  map[uint64]bool
	// alone holds the requests that must run alone.
	alone map[uint64]bool
	next  uint64
}

func newRegionPair(t *rapid.T) *regionPair {
	p := &regionPair{
		now: start, slots: rapid.IntRange(1, 3).Draw(t, "slots"), names: [2]string{"maz", "mlp"},
		running: map[uint64]scheduler.Grant{}, owner: map[uint64]int{}, granted: map[uint64]bool{},
		alone: map[uint64]bool{},
	}
	endpoints := rapid.IntRange(1, 2).Draw(t, "endpoints")
	for i, region := range p.names {
		p.regions[i] = scheduler.New(scheduler.Config{Service: "manuals", Region: region, Incarnation: uint64(i + 1)})
		p.regions[i].SetRegions(p.now, []string{p.names[1-i]})
		if i < endpoints {
			p.regions[i].Announce(p.now, endpoint("of-"+region, p.slots))
		}
	}
	return p
}

func (p *regionPair) enqueue(t *rapid.T) {
	p.next++
	i := rapid.IntRange(0, 1).Draw(t, "region")
	account := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")
	p.owner[p.next] = i
	p.alone[p.next] = rapid.IntRange(0, 3).Draw(t, "alone") == 0
	p.regions[i].Enqueue(p.now, scheduler.Request{
		ID: id(p.next), Account: account, Estimate: 1, Waited: time.Second, Alone: p.alone[p.next],
	})
}

func (p *regionPair) complete(t *rapid.T) {
	if len(p.running) == 0 {
		t.Skip("no running request")
	}
	number := rapid.SampledFrom(sorted(p.running)).Draw(t, "completed")
	g := p.running[number]
	delete(p.running, number)
	p.regions[p.owner[number]].Complete(p.now, scheduler.Completion{ID: g.ID, Account: g.Account, Endpoint: g.Endpoint, Cost: 2})
}

func (p *regionPair) send(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "sender")
	for _, out := range p.regions[i].Outgoing(p.now) {
		p.inFlight[1-i] = append(p.inFlight[1-i], out.Exchange)
	}
}

// deliver delivers the oldest exchange to a region, or drops it.
func (p *regionPair) deliver(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "receiver")
	if len(p.inFlight[i]) == 0 {
		t.Skip("no exchange in flight")
	}
	x := p.inFlight[i][0]
	p.inFlight[i] = p.inFlight[i][1:]
	if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
		p.regions[i].Exchange(p.now, p.names[1-i], x)
	}
}

// decide checks that both schedulers together never exceed the slots of an
// endpoint, that nothing else runs beside a request that must run alone, and that
// each request is granted once and in its own region. The
// time stays below the expiry of loans, because afterwards a lender can only
// rely on the endpoint's reports.
func (p *regionPair) decide(t *rapid.T) {
	p.now = p.now.Add(100 * time.Microsecond)
	for i, s := range p.regions {
		for _, g := range s.Decide(p.now).Grants {
			n := g.ID.Number
			if p.granted[n] || p.owner[n] != i {
				t.Fatalf("request %d was granted twice or by the wrong region", n)
			}
			p.granted[n] = true
			p.running[n] = g
		}
	}
	used := map[string]int{}
	for _, g := range p.running {
		used[g.Endpoint]++
		if used[g.Endpoint] > p.slots {
			t.Fatalf("endpoint %s runs more requests than its %d slots", g.Endpoint, p.slots)
		}
	}
	for n, g := range p.running {
		if p.alone[n] && used[g.Endpoint] > 1 {
			t.Fatalf("request %d does not run alone", n)
		}
	}
}

func TestLoansNeverExceedEndpointSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newRegionPair(t)
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": p.enqueue, "complete": p.complete, "send": p.send, "arrive": p.deliver, "decide": p.decide,
		})
	})
}
