package sessions_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOverload has one account send far more requests through every daemon than
// the only engine can serve. The excess must be refused at once, with the outcome
// not_run and a Retry-After header, and another account must still be served.
func TestOverload(t *testing.T) {
	const maxQueued, workers, requests = 10, 60, 10
	c := qt.New(t)
	f := startRelayedFleet(c, 3, 3)
	d := newDocument(4, 1)
	d.ClientAccounts[3].MaxQueued = maxQueued
	c.Assert(f.accept(d), qt.IsNil)
	for n := 1; n <= f.size; n++ {
		c.Assert(f.awaitVersion(n, 2), qt.IsNil)
	}
	c.Assert(f.startEngine(1, "maz", "--slots", "2", "--token-interval", "10ms"), qt.IsNil)
	c.Assert(f.awaitEndpoint(1, engineName(1), "available"), qt.IsNil)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	var answered, refused atomic.Int32
	for i := range workers {
		clients.Go(func() {
			for ctx.Err() == nil {
				a, err := f.chat(ctx, i%f.size+1, "exhibitor-04", "flood", 4)
				switch {
				case ctx.Err() != nil:
				case err == nil && a.outcome == "ok":
					answered.Add(1)
				case err == nil && a.status == http.StatusTooManyRequests:
					refused.Add(1)
					c.Check(a.outcome+" "+a.code, qt.Equals, "not_run queue_full")
					c.Check(a.retryAfter, qt.Not(qt.Equals), "")
				default:
					c.Errorf("overloading account: response %+v, error %v", a, err)
				}
			}
		})
	}
	c.Assert(waitFor("refusal of excess requests", func() error {
		if refused.Load() == 0 || answered.Load() == 0 {
			return fmt.Errorf("%d answered, %d refused", answered.Load(), refused.Load())
		}
		return nil
	}), qt.IsNil)
	for i := range requests {
		f.mustChat(c, i%f.size+1, fmt.Sprintf("small-%d", i))
	}
	cancel()
	clients.Wait()
	c.Logf("overloading account: %d answered, %d refused", answered.Load(), refused.Load())
}

// TestFairShareAcrossDaemons keeps requests of a large and a small account
// queued at different daemons. The fairness target is that their answered
// requests, each divided by the account's share, differ by at most twice the
// number of slots.
func TestFairShareAcrossDaemons(t *testing.T) {
	tests := []struct {
		name string
		// smallDaemon is the daemon that the small account sends requests to.
		smallDaemon int
		// tokenInterval is the time between the 4 tokens of a completion.
		tokenInterval string
		// answers is how many answered requests are measured.
		answers int32
	}{
		{"one region", 2, "5ms", 300},
		{"two regions", 3, "50ms", 120},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const slots = 4
			const largeShare, bound = 4, 2 * slots
			c := qt.New(t)
			f := startRelayedFleet(c, 3, 3)
			c.Assert(f.startEngine(1, "maz", "--slots", fmt.Sprint(slots), "--token-interval", test.tokenInterval), qt.IsNil)
			c.Assert(f.awaitEndpoint(1, engineName(1), "available"), qt.IsNil)
			b := f.startBacklog(1, test.smallDaemon)
			largeBefore, smallBefore := b.awaitAnswers(c, 40)
			largeAfter, smallAfter := b.awaitAnswers(c, largeBefore+smallBefore+test.answers)
			b.finish()
			gap := float64(largeAfter-largeBefore)/largeShare - float64(smallAfter-smallBefore)
			c.Logf("large %d, small %d, gap %.2f", largeAfter-largeBefore, smallAfter-smallBefore, gap)
			c.Check(gap <= bound && gap >= -bound, qt.IsTrue, qt.Commentf("gap %v, bound %v", gap, bound))
		})
	}
}

// backlog runs the clients of two accounts that always have requests waiting.
type backlog struct {
	stop         context.CancelFunc
	clients      sync.WaitGroup
	large, small atomic.Int32
}

// startBacklog starts the clients of the large account, which send to the daemon
// large, and those of the small account, which send to the daemon small.
func (f *fleet) startBacklog(large, small int) *backlog {
	const workers = 20
	ctx, cancel := context.WithCancel(context.Background())
	b := &backlog{stop: cancel}
	startClients := func(n int, account string, answered *atomic.Int32) {
		for range workers {
			b.clients.Go(func() {
				for ctx.Err() == nil {
					if a, err := f.chat(ctx, n, account, "share", 4); err == nil && a.outcome == "ok" {
						answered.Add(1)
					}
				}
			})
		}
	}
	startClients(large, "exhibitor-01", &b.large)
	startClients(small, "exhibitor-02", &b.small)
	return b
}

// awaitAnswers waits until both accounts have an answered request and total
// requests have been answered in all. It returns both counts.
func (b *backlog) awaitAnswers(c *qt.C, total int32) (large, small int32) {
	c.Assert(waitFor("answered requests of both accounts", func() error {
		if b.large.Load() == 0 || b.small.Load() == 0 || b.large.Load()+b.small.Load() < total {
			return fmt.Errorf("%d requests of the large account and %d of the small one answered", b.large.Load(), b.small.Load())
		}
		return nil
	}), qt.IsNil)
	return b.large.Load(), b.small.Load()
}

func (b *backlog) finish() {
	b.stop()
	b.clients.Wait()
}
