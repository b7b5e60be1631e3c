package measure

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/scheduler"
	"oleanderramp/internal/wire"
)

// framingBytes is the size of an HTTP/2 frame header and a gRPC message header.
const framingBytes = 9 + 5

// traffic counts the control bytes that each daemon sends and receives.
type traffic struct {
	daemonBytes map[string]float64
	// crossRegionBytes counts the exchange bytes of each scheduler host, which
	// all cross regions.
	crossRegionBytes map[string]float64
	// crossRegionRequests counts the requests that ran in another region than that
	// of their router.
	crossRegionRequests int
}

func newTraffic() *traffic {
	return &traffic{daemonBytes: make(map[string]float64), crossRegionBytes: make(map[string]float64)}
}

func (t *traffic) count(a, b string, m proto.Message) {
	size := float64(proto.Size(m) + framingBytes)
	t.daemonBytes[a] += size
	t.daemonBytes[b] += size
}

func (t *traffic) routerBatch(r *router, n *node, b *wire.RouterBatch) { t.count(r.host, n.host, b) }

func (t *traffic) countRequest(a, b string) {
	if a != b {
		t.crossRegionRequests++
	}
}

// announce counts an announcement that a router relays to the scheduler host. The
// name "relay" stands for all routers, as the relaying router is not simulated.
func (t *traffic) announce(n *node, a scheduler.Announcement) {
	t.count("relay", n.host, &wire.RouterBatch{Announcements: []*wire.Announcement{{
		Endpoint: a.Endpoint, Incarnation: a.Incarnation, Service: a.Service, Region: a.Region, Zone: a.Zone, Address: a.Address,
		Slots: uint32(a.Slots), Running: uint32(a.Running), Queued: uint32(a.Queued), Sequence: a.Sequence,
		LeaseMs: uint32(a.Lease.Milliseconds()),
	}}})
}

func (t *traffic) grants(n *node, r *router, grants []scheduler.Grant) {
	b := &wire.SchedulerBatch{}
	for _, g := range grants {
		b.Grants = append(b.Grants, &wire.Grant{
			Request: g.ID.Number, Service: n.fleet.workload.Service, Endpoint: g.Endpoint, EndpointIncarnation: g.EndpointIncarnation,
			Address: g.Address, Reason: g.Reason, Loan: g.Loan,
		})
	}
	t.count(n.host, r.host, b)
}

func (t *traffic) accounts(n *node, r *router, accounts []scheduler.AccountStatus) {
	b := &wire.SchedulerBatch{}
	for _, a := range accounts {
		b.Accounts = append(b.Accounts, &wire.AccountService{
			Service: n.fleet.workload.Service, Account: a.Account, VirtualService: a.VirtualService,
		})
	}
	t.count(n.host, r.host, b)
}

func (t *traffic) exchange(from, to *node, x scheduler.Exchange) {
	b := &wire.ExchangeBatch{Services: []*wire.ServiceExchange{ExchangeMessage(from.fleet.workload.Service, x)}}
	t.count(from.host, to.host, b)
	size := float64(proto.Size(b) + framingBytes)
	t.crossRegionBytes[from.host] += size
	t.crossRegionBytes[to.host] += size
}

// ExchangeMessage converts an exchange to its protobuf message.
func ExchangeMessage(service string, x scheduler.Exchange) *wire.ServiceExchange {
	m := &wire.ServiceExchange{
		Service: service, Full: x.Full, Partial: x.Partial, VirtualTime: x.Virtual, IdleSlots: uint32(x.IdleSlots), LoansInUse: x.InUse,
		SeenIncarnation: x.SeenIncarnation,
	}
	for _, a := range x.Totals {
		m.Totals = append(m.Totals, &wire.AccountService{Account: a.Account, VirtualService: a.Service})
	}
	for _, b := range x.Backlogged {
		m.Backlogged = append(m.Backlogged, &wire.AccountBacklog{
			Account: b.Account, Waiting: uint32(b.Waiting), VirtualService: b.VirtualService, Seen: b.Seen,
			OldestWaitMs: uint32(b.OldestWait.Milliseconds()),
		})
	}
	for _, l := range x.Loans {
		m.Loans = append(m.Loans, &wire.Loan{
			Loan: l.Loan, Account: l.Account, Endpoint: l.Endpoint, EndpointIncarnation: l.EndpointIncarnation, Address: l.Address,
			Models: l.Models, Adapters: l.Adapters, ExpiresMs: uint32(l.ExpiresIn.Milliseconds()),
		})
	}
	for _, r := range x.Returned {
		m.Returned = append(m.Returned, &wire.LoanReturn{Loan: r.Loan, Used: r.Used})
	}
	return m
}

// maxRate returns the largest count in bytes per second, leaving out "relay".
func maxRate(counts map[string]float64, length time.Duration) float64 {
	most := 0.0
	for name, count := range counts {
		if name != "relay" {
			most = max(most, count/length.Seconds())
		}
	}
	return most
}
