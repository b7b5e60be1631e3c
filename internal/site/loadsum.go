package site

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/wire"
)

const (
	// routerLoadTTL is how long a router's load counts after its last report.
	routerLoadTTL = time.Second
	// peerLoadTTL is the same for the load that another control host reports
	// for its routers.
	peerLoadTTL = 2 * time.Second
	// fullLoadPeriod is how often a router gets the loads of all endpoints, and not
	// only of those that it chooses first.
	fullLoadPeriod = 500 * time.Millisecond
	// sumIntervalPerRouter is the minimum interval between two sums of all
	// loads, for each router that reports here. A sum takes time in proportion
	// to the routers, so that this bounds the fraction of the processor that
	// sums take.
	sumIntervalPerRouter = 500 * time.Microsecond
)

// loadSums holds the load that routers and other control hosts report, and sums
// it. A sum is computed once for all routers: each gets the sum with its own
// report in it, and subtracts that. It is not safe for concurrent use.
type loadSums struct {
	// routers holds the reports of the routers that report to this host, and
	// peers the sums that the other control hosts report for theirs.
	routers map[string]timedLoad
	peers   map[string]timedLoad

	// total is the sum of all reports as of totalAt, and encoded its encoded
	// forms, by region: that of "" has all endpoints, the others those that routers
	// of the region choose first.
	total   *wire.LoadReport
	totalAt time.Time
	encoded map[string][]byte
	// included is the sequence number of each router's report in total.
	included map[string]uint64
}

// timedLoad is a load report, when it was received, and its sequence number,
// which is 0 if the sender does not number its reports.
type timedLoad struct {
	load     *wire.LoadReport
	at       time.Time
	sequence uint64
	// fullAt is when the router last got the loads of all endpoints.
	fullAt time.Time
}

func newLoadSums() *loadSums {
	return &loadSums{routers: make(map[string]timedLoad), peers: make(map[string]timedLoad)}
}

// reportRouter records the report of a router.
func (s *loadSums) reportRouter(now time.Time, router string, load *wire.LoadReport, sequence uint64) {
	s.routers[router] = timedLoad{load: load, at: now, sequence: sequence, fullAt: s.routers[router].fullAt}
}

// reportPeer records the sum that another control host reports for its routers.
func (s *loadSums) reportPeer(now time.Time, host string, load *wire.LoadReport) {
	s.peers[host] = timedLoad{load: load, at: now}
}

// own returns the sum of the routers that report to this host, and removes those
// that have stopped reporting.
func (s *loadSums) own(now time.Time) *wire.LoadReport {
	s.removeExpired(now)
	list := make([]*wire.LoadReport, 0, len(s.routers))
	for _, r := range s.routers {
		list = append(list, r.load)
	}
	return sumReports(list)
}

// others returns the sum of all routers except one. It serves routers that do
// not number their reports.
func (s *loadSums) others(now time.Time, router string) *wire.LoadReport {
	return sumReports(s.reports(now, router))
}

// totalLoad is the sum of all routers as a router gets it.
type totalLoad struct {
	encoded []byte
	// sequence is the number of the router's report in the sum.
	sequence uint64
	// partial reports whether only the endpoints of first are in the sum.
	partial bool
}

// totalFor returns the sum of all routers for one of them, of the region; first
// holds the endpoints that routers of the region choose first. Every
// fullLoadPeriod, and if the region is "", it has all endpoints. The sum may be as
// old as sumIntervalPerRouter for each router that reports here.
func (s *loadSums) totalFor(now time.Time, router, region string, first map[string]bool) totalLoad {
	interval := time.Duration(len(s.routers)) * sumIntervalPerRouter
	if s.total == nil || now.Sub(s.totalAt) >= interval {
		s.sumAll(now)
	}
	reported := s.routers[router]
	if region == "" || now.Sub(reported.fullAt) >= fullLoadPeriod {
		reported.fullAt = now
		s.routers[router] = reported
		return totalLoad{encoded: s.encode("", nil), sequence: s.included[router]}
	}
	return totalLoad{encoded: s.encode(region, first), sequence: s.included[router], partial: true}
}

// sumAll computes the sum of all routers.
func (s *loadSums) sumAll(now time.Time) {
	s.removeExpired(now)
	s.total, s.totalAt = sumReports(s.reports(now, "")), now
	s.encoded = make(map[string][]byte)
	s.included = make(map[string]uint64, len(s.routers))
	for name, r := range s.routers {
		s.included[name] = r.sequence
	}
}

// encode returns the sum encoded for the region, with the endpoints in first, or
// with all if first is nil.
func (s *loadSums) encode(region string, first map[string]bool) []byte {
	if encoded, ok := s.encoded[region]; ok {
		return encoded
	}
	report := &wire.LoadReport{Routers: s.total.GetRouters(), CountingRouters: s.total.GetCountingRouters(), Accounts: s.total.GetAccounts()}
	for _, e := range s.total.GetEndpoints() {
		if first == nil || first[e.GetId()] {
			report.Endpoints = append(report.Endpoints, e)
		}
	}
	encoded, _ := proto.Marshal(report) // A message of numbers and valid strings can always be encoded.
	s.encoded[region] = encoded
	return encoded
}

// reports returns the reports that count, without that of one router.
func (s *loadSums) reports(now time.Time, without string) []*wire.LoadReport {
	list := make([]*wire.LoadReport, 0, len(s.routers)+len(s.peers))
	for name, r := range s.routers {
		if name != without && now.Sub(r.at) < routerLoadTTL {
			list = append(list, r.load)
		}
	}
	for _, r := range s.peers {
		if now.Sub(r.at) < peerLoadTTL {
			list = append(list, r.load)
		}
	}
	return list
}

// removeExpired removes the routers that have stopped reporting.
func (s *loadSums) removeExpired(now time.Time) {
	for name, r := range s.routers {
		if now.Sub(r.at) >= routerLoadTTL {
			delete(s.routers, name)
		}
	}
}
