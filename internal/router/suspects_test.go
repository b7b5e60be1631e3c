package router_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/endpoint"
)

// TestCompanionsOfACrashAreAnsweredAfterItsReport guards against an answer before
// other routers know the suspects of a crash, because the failure of another
// connection to the endpoint had reported them. The crashing request may be any of
// those in flight, and its repeat at another router would not run alone.
func TestCompanionsOfACrashAreAnsweredAfterItsReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const crash, reported = 100 * time.Millisecond, 300 * time.Millisecond
		env := newTestEnv(failsAfter(crash, endpoint.CallError{Kind: endpoint.ConnectionLost, Health: endpoint.Gone}))
		env.slots.endpoints = []string{"engine-1"}
		env.publisher.delay = reported - crash
		start := time.Now()
		var requests sync.WaitGroup
		for i := range 3 {
			requests.Go(func() {
				_, failure := env.serve(false, fmt.Sprint("key-", i), fmt.Sprint("body ", i))
				c.Check(outcome(failure), qt.Equals, "unknown endpoint_failed")
				c.Check(time.Since(start), qt.Equals, reported)
			})
		}
		requests.Wait()
		c.Check(env.endpoints.calls, qt.Equals, 3)
		c.Check(env.publisher.suspects, qt.HasLen, 3)
	})
}
