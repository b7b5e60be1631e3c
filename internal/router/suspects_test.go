package router_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/router"
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

// TestUnconfirmedCrashDelaysTheRepeat guards against a caller who is asked to come
// back before other routers know that its request was in flight at a crash: the
// repeat would not run alone there.
func TestUnconfirmedCrashDelaysTheRepeat(t *testing.T) {
	crash := endpoint.CallError{Kind: endpoint.ConnectionLost, Health: endpoint.Gone}
	const instant, never = 0, time.Hour
	tests := []struct {
		name       string
		idempotent bool
		engines    []string
		delay      time.Duration
		failing    bool
		want       string
		retryAfter time.Duration
		// unconfirmed means that the message says so.
		unconfirmed bool
	}{
		{"confirmed", true, []string{"a"}, instant, false, "failed no_endpoint", time.Second, false},
		{"not confirmed in time", true, []string{"a"}, never, false, "failed no_endpoint", router.ReportTimeout, true},
		{"not published", true, []string{"a"}, instant, true, "failed no_endpoint", router.ReportTimeout, true},
		{"quarantine confirmed", true, []string{"a", "b"}, instant, false, "failed quarantined", 10 * time.Minute, false},
		{"quarantine not confirmed in time", true, []string{"a", "b"}, never, false, "failed quarantined", 10 * time.Minute, true},
		{"not to be repeated", false, []string{"a"}, never, false, "unknown endpoint_failed", 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				env := newTestEnv(fails(crash))
				env.slots.endpoints, env.publisher.delay, env.publisher.failing = test.engines, test.delay, test.failing
				start := time.Now()
				_, failure := env.serve(test.idempotent, "key", "crash")
				took := time.Since(start)
				c.Check(outcome(failure), qt.Equals, test.want)
				c.Check(failure.RetryAfter().Round(2*time.Second), qt.Equals, test.retryAfter.Round(2*time.Second))
				c.Check(strings.Contains(failure.Message(), "unconfirmed"), qt.Equals, test.unconfirmed)
				c.Check(took < 2*time.Second, qt.IsTrue, qt.Commentf("the answer was held back for %v", took))
				time.Sleep(2 * never)
			})
		})
	}
}

// TestUnconfirmedCrashDoesNotDelayAnswers checks that a request that runs again is
// answered, although the report of the crash is unconfirmed.
func TestUnconfirmedCrashDoesNotDelayAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env := newTestEnv(fails(endpoint.CallError{Kind: endpoint.ConnectionLost, Health: endpoint.Gone}), answers("done"))
		env.publisher.failing = true
		sink, failure := env.serve(true, "", "companion")
		c.Check(outcome(failure), qt.Equals, "ok")
		c.Check(sink.body, qt.Equals, "done")
	})
}
