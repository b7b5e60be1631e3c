package site

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/share"
	"oleanderramp/internal/wire"
)

var loadStart = time.Unix(1_000_000, 0)

// reportOf returns the report of one router with load on one endpoint and use of
// one account.
func reportOf(endpoint string, running int, account string, asked float64) *wire.LoadReport {
	loads := map[string]balance.Load{endpoint: {Running: running, Prefill: 100 * running, Memory: 200 * running}}
	return reportToWire(loads, []share.Use{{Account: account, Asked: asked, Admitted: asked / 2}}, 1)
}

// TestSumLessOwnReport checks that a router that subtracts its own report from
// the sum of all routers gets what the control host would compute for it alone,
// in any order of reports and of lost responses.
func TestSumLessOwnReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers = 3
		sums, now := newLoadSums(), loadStart
		sent := make([]*sentLoads, routers)
		for i := range sent {
			sent[i] = newSentLoads()
		}
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "elapsed ms")) * time.Millisecond)
			i := rapid.IntRange(0, routers-1).Draw(t, "router")
			name := fmt.Sprint("router-", i)
			report := reportOf(fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "endpoint")), rapid.IntRange(1, 5).Draw(t, "running"), "a", 100)
			sums.reportRouter(now, name, report, sent[i].add(report))
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			// The sum is computed anew for the check, whatever its age.
			sums.total = nil
			total := sums.totalFor(now, name, "", nil)
			got, err := sent[i].othersLoad(&wire.SyncResponse{TotalLoad: total.encoded, LoadSequence: total.sequence})
			want := routerLoadFromWire(sums.others(now, name))
			if err != nil || got.routers != want.routers || sum(got.accounts) != sum(want.accounts) {
				t.Fatalf("got %+v, want %+v, error %v", got, want, err)
			}
			for id, load := range got.endpoints {
				if load != want.endpoints[id] {
					t.Fatalf("endpoint %s: got %+v, want %+v", id, load, want.endpoints[id])
				}
			}
		}
	})
}

func sum(uses []share.Use) share.Use {
	var total share.Use
	for _, u := range uses {
		total.Asked += u.Asked
		total.Admitted += u.Admitted
	}
	return total
}

// TestSumIsSharedByRouters guards against a control host that sums all loads for
// each call of each router, which grows with the square of the routers.
func TestSumIsSharedByRouters(t *testing.T) {
	c := qt.New(t)
	sums := newLoadSums()
	const routers = 100
	for i := range routers {
		sums.reportRouter(loadStart, fmt.Sprint("router-", i), reportOf("e", 1, "a", 10), 1)
	}
	first := sums.totalFor(loadStart, "router-0", "", nil)
	c.Check(first.sequence, qt.Equals, uint64(1))
	// A report within the interval appears in the next sum, and the router learns
	// which of its reports the present one includes.
	sums.reportRouter(loadStart, "router-0", reportOf("e", 9, "a", 10), 2)
	second := sums.totalFor(loadStart.Add(routers*sumIntervalPerRouter-1), "router-0", "", nil)
	c.Check(&second.encoded[0], qt.Equals, &first.encoded[0])
	c.Check(second.sequence, qt.Equals, uint64(1))
	third := sums.totalFor(loadStart.Add(routers*sumIntervalPerRouter), "router-0", "", nil)
	c.Check(third.sequence, qt.Equals, uint64(2))
	total := &wire.LoadReport{}
	c.Assert(proto.Unmarshal(third.encoded, total), qt.IsNil)
	c.Check(total.GetRouters(), qt.Equals, uint32(routers))
	c.Check(total.GetEndpoints()[0].GetRunning(), qt.Equals, uint32(routers+8))
}

// TestFarLoadsComeLessOften checks that a router gets the loads of the endpoints
// that it chooses first with each sum, and those of all endpoints every
// fullLoadPeriod.
func TestFarLoadsComeLessOften(t *testing.T) {
	c := qt.New(t)
	sums, first := newLoadSums(), map[string]bool{"near": true}
	got := make(map[bool]int)
	for step := range 20 {
		now := loadStart.Add(time.Duration(step) * 100 * time.Millisecond)
		sums.reportRouter(now, "router-1", reportOf("near", 1, "a", 10), 1)
		sums.reportRouter(now, "router-2", reportOf("far", 1, "a", 10), 1)
		total := sums.totalFor(now, "router-1", "region", first)
		report := &wire.LoadReport{}
		c.Assert(proto.Unmarshal(total.encoded, report), qt.IsNil)
		want := 2
		if total.partial {
			want = 1
		}
		c.Assert(report.GetEndpoints(), qt.HasLen, want)
		c.Assert(report.GetRouters(), qt.Equals, uint32(2))
		got[total.partial]++
	}
	c.Check(got, qt.DeepEquals, map[bool]int{true: 16, false: 4})
}

// TestSilentRoutersExpire checks that routers and control hosts that have stopped
// reporting do not count.
func TestSilentRoutersExpire(t *testing.T) {
	c := qt.New(t)
	sums := newLoadSums()
	sums.reportRouter(loadStart, "router", reportOf("e", 1, "a", 10), 1)
	sums.reportPeer(loadStart, "control", reportOf("e", 2, "a", 10))
	c.Check(sums.own(loadStart).GetEndpoints()[0].GetRunning(), qt.Equals, uint32(1))
	c.Check(sums.others(loadStart.Add(routerLoadTTL), "").GetEndpoints()[0].GetRunning(), qt.Equals, uint32(2))
	c.Check(sums.others(loadStart.Add(peerLoadTTL), "").GetEndpoints(), qt.HasLen, 0)
	c.Check(sums.own(loadStart.Add(routerLoadTTL)).GetEndpoints(), qt.HasLen, 0)
}

// TestResponseOfFormerVersion checks that the load that a control host of the
// former version computed for this router is used as it is.
func TestResponseOfFormerVersion(t *testing.T) {
	c := qt.New(t)
	sent := newSentLoads()
	sent.add(reportOf("e", 1, "a", 10))
	got, err := sent.othersLoad(&wire.SyncResponse{Load: reportOf("e", 3, "a", 10)})
	c.Assert(err, qt.IsNil)
	c.Check(got.endpoints["e"].Running, qt.Equals, 3)
	_, err = sent.othersLoad(&wire.SyncResponse{TotalLoad: []byte{0xff}})
	c.Check(err, qt.ErrorMatches, "decode sum of loads: .*")
}

// BenchmarkRouterSync measures a control host's work on the load for one call of
// one router, at sites of several sizes.
func BenchmarkRouterSync(b *testing.B) {
	for _, routers := range []int{7, 76, 300} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			sums, now := newLoadSums(), loadStart
			report := &wire.LoadReport{Routers: 1}
			for i := range 30 {
				report.Endpoints = append(report.Endpoints, reportOf(fmt.Sprint("e", i), 1, "a", 1).GetEndpoints()...)
			}
			for i := range routers {
				sums.reportRouter(now, fmt.Sprint("router-", i), report, 1)
			}
			for b.Loop() {
				// Each router calls ten times a second.
				now = now.Add(100 * time.Millisecond / time.Duration(routers))
				sums.reportRouter(now, "router-0", report, 1)
				sums.totalFor(now, "router-0", "", nil)
			}
		})
	}
}
