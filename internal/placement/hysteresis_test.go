package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderramp/internal/placement"
)

// Timing of the Placer under test.
const (
	minNeedDuration   = 3 * time.Second
	completionTimeout = 20 * time.Second
)

// TestOrdersRequirePersistentNeed checks that a Placer issues no order for a
// need that has not lasted, none again while one is in progress, and one for
// each need that lasts. Demand comes and goes, and the endpoint's models appear
// and are lost.
func TestOrdersRequirePersistentNeed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 2))
		p := placement.New(placement.Config{MinNeedDuration: minNeedDuration, CompletionTimeout: completionTimeout, Cooldown: time.Second})
		e, hasDemand := engine("e1", true, 0, "base"), false
		var since, last time.Time
		lease := acquiredLease(start, 2)
		for second := range 300 {
			now := start.Add(time.Duration(second) * time.Second)
			lease = lease.Acquired(now, now, 2)
			if random.IntN(5) == 0 {
				hasDemand = !hasDemand
			}
			if random.IntN(40) == 0 {
				e.Models = [][]string{{"base"}, {"base", "large"}}[random.IntN(2)]
			}
			s := serviceWithDemand(e)
			if !hasDemand {
				s.Demand = nil
			}
			needed := hasDemand && len(e.Models) == 1
			if !needed {
				since = time.Time{}
			} else if since.IsZero() {
				since = now
			}
			if len(e.Models) == 2 {
				last = time.Time{}
			}
			orders := p.Decide(now, lease, []placement.Service{s}).Orders
			lasting := needed && now.Sub(since) >= minNeedDuration
			inProgress := !last.IsZero() && now.Sub(last) < completionTimeout
			switch {
			case len(orders) > 0 && (!lasting || inProgress):
				rt.Fatalf("unexpected order at %v: need lasted %v, in progress %v", now.Sub(start), lasting, inProgress)
			case len(orders) == 0 && lasting && last.IsZero():
				rt.Fatalf("no order for a persistent need at %v", now.Sub(start))
			}
			if len(orders) > 0 {
				last = now
			}
		}
	})
}
