package site

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/share"
	"oleanderramp/internal/wire"
)

// maxSentLoads is how many of its own reports a router keeps, to find the one
// that a control host's sum includes.
const maxSentLoads = 16

// sentLoads holds the load reports that a router has sent lately. It is not safe
// for concurrent use.
type sentLoads struct {
	sequence uint64
	reports  map[uint64]*wire.LoadReport
}

func newSentLoads() *sentLoads { return &sentLoads{reports: make(map[uint64]*wire.LoadReport)} }

// add numbers a report that is about to be sent, and returns the number.
func (s *sentLoads) add(report *wire.LoadReport) uint64 {
	s.sequence++
	s.reports[s.sequence] = report
	delete(s.reports, s.sequence-maxSentLoads)
	return s.sequence
}

// othersLoad returns the load of all other routers from a control host's
// response: what it computed itself, or its sum of all routers less the report of
// this router in it.
func (s *sentLoads) othersLoad(response *wire.SyncResponse) (routerLoad, error) {
	if len(response.GetTotalLoad()) == 0 {
		return routerLoadFromWire(response.GetLoad()), nil
	}
	total := &wire.LoadReport{}
	if err := proto.Unmarshal(response.GetTotalLoad(), total); err != nil {
		return routerLoad{}, fmt.Errorf("decode sum of loads: %w", err)
	}
	load := routerLoadFromWire(total)
	load.subtract(routerLoadFromWire(s.reports[response.GetLoadSequence()]))
	return load, nil
}

// routerLoad is the load of one or more routers.
type routerLoad struct {
	routers int
	// counting is the number of routers that report recent requests.
	counting  int
	endpoints map[string]balance.Load
	accounts  []share.Use
}

func routerLoadFromWire(report *wire.LoadReport) routerLoad {
	endpoints, accounts := reportFromWire(report)
	return routerLoad{routers: int(report.GetRouters()), counting: int(report.GetCountingRouters()), endpoints: endpoints, accounts: accounts}
}

// subtract subtracts the load of one of the routers. No value falls below 0.
func (l *routerLoad) subtract(one routerLoad) {
	l.routers = max(l.routers-one.routers, 0)
	l.counting = max(l.counting-one.counting, 0)
	for id, load := range one.endpoints {
		l.endpoints[id] = l.endpoints[id].Subtract(load)
	}
	own := make(map[string]share.Use, len(one.accounts))
	for _, u := range one.accounts {
		own[u.Account] = u
	}
	for i, u := range l.accounts {
		l.accounts[i] = u.Subtract(own[u.Account])
	}
}
