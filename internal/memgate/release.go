package memgate

import (
	"context"
	"runtime/debug"
	"time"

	"oleanderramp/internal/membudget"
)

// releaseCheckPeriod is the interval between two checks whether freed memory is to be
// returned to the system. Go alone does so only after its next collection, which without
// load is minutes later.
const releaseCheckPeriod = 2 * time.Second

// releaseFreed returns freed memory to the system after each load, until the context ends.
func (g *Gate) releaseFreed(ctx context.Context) {
	ticker := time.NewTicker(releaseCheckPeriod)
	defer ticker.Stop()
	var release membudget.Release
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if release.Check(g.Bytes(), g.takeHighest(), g.total()) {
			debug.FreeOSMemory()
		}
	}
}

// takeHighest returns the highest use of the budget since the last call.
func (g *Gate) takeHighest() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.TakeHighest()
}

func (g *Gate) total() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Total()
}
