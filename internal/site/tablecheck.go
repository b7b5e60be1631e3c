package site

import (
	"context"
	"sync"
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/wire"
)

const (
	// tableCheckTimeout bounds one confirmed read for the routing table.
	tableCheckTimeout = 400 * time.Millisecond
	// tableCheckWait is how long a call of a router without a routing table waits for a
	// read. It is less than initialSyncTimeout, after which the router gives up the call.
	tableCheckWait = 80 * time.Millisecond
	// appliedPollPeriod is the interval between two checks whether the replica has
	// applied what the quorum has confirmed.
	appliedPollPeriod = 5 * time.Millisecond
)

// tableChecks confirms the routing table of a control host by reads of the quorum while
// routers ask for it that have none.
type tableChecks struct {
	checks *onDemand

	// mu guards gate.
	mu   sync.Mutex
	gate *tableGate
}

func newTableChecks() *tableChecks { return &tableChecks{checks: newOnDemand(), gate: newTableGate()} }

// run makes the checks until the context ends.
func (t *tableChecks) run(ctx context.Context, check func(context.Context) bool) {
	t.checks.run(ctx, 0, func(ctx context.Context) {
		began := time.Now()
		if !check(ctx) {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.gate.confirm(began)
	})
}

// await waits until the table is confirmed, at most for tableCheckWait.
func (t *tableChecks) await(now time.Time) {
	t.mu.Lock()
	confirmed := t.gate.confirmed(now)
	t.mu.Unlock()
	if !confirmed {
		t.checks.await(tableCheckWait)
	}
}

// opens reports whether the router may have the table, and whether that is confirmed.
func (t *tableChecks) opens(now time.Time, router *wire.Process) (opens, confirmed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.opens(now, router.GetHost(), router.GetIncarnation()), t.gate.confirmed(now)
}

// checkTable reports whether this replica has applied all that the quorum had committed
// when the check began.
func (c *control) checkTable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tableCheckTimeout)
	defer cancel()
	answer, err := c.quorum.Query(ctx, &wire.QueryRequest{Body: &wire.QueryRequest_Index{Index: &wire.IndexQuery{}}})
	if err != nil {
		return false
	}
	ticker := time.NewTicker(appliedPollPeriod)
	defer ticker.Stop()
	for c.store.Index() < answer.GetIndex() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// wantsFirstTable reports whether the request is of a router without a routing table.
func wantsFirstTable(request *wire.SyncRequest) bool {
	return request.GetControl() == nil && request.GetRoutingVersion() == 0 && !request.GetOmitDocument()
}

// withholdsTable reports whether the router gets no routing table from this host yet.
func (c *control) withholdsTable(request *wire.SyncRequest, version uint64) bool {
	if !wantsFirstTable(request) {
		return false
	}
	opens, confirmed := c.tables.opens(time.Now(), request.GetSender())
	if opens && !confirmed {
		event.UnconfirmedTable.Log(c.log, event.Fields{"version": version, "router": request.GetSender().GetHost()})
	}
	return !opens
}
