package router_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/router"
	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
)

// lateRecordStore keeps copies of the begin requests, so that they can be
// applied late.
type lateRecordStore struct {
	*fakeRecordStore
	begins []*wire.BeginRequest
	// failAfterBegin makes the quorum unavailable after the next begin is
	// committed, and loses its response.
	failAfterBegin bool
}

func (l *lateRecordStore) Begin(ctx context.Context, begin *wire.BeginRequest) (*wire.BeginResult, error) {
	result, err := l.fakeRecordStore.Begin(ctx, begin)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begins = append(l.begins, proto.CloneOf(begin))
	if l.failAfterBegin {
		l.failAfterBegin, l.down = false, true
		return nil, errors.New("no quorum")
	}
	return result, err
}

// reapplyLastBegin applies the last begin again.
func (l *lateRecordStore) reapplyLastBegin() (*wire.BeginResult, error) {
	l.mu.Lock()
	last := l.begins[len(l.begins)-1]
	l.mu.Unlock()
	result, err := l.apply(&wire.Command{Body: &wire.Command_Begin{Begin: last}})
	return result.GetBegin(), err
}

// TestLateBeginIsRolledBack checks a late copy of a begin. The first copy found
// the record of another attempt; the late one is applied after that attempt has
// ended as not run, and must not leave a started record.
func TestLateBeginIsRolledBack(t *testing.T) {
	tests := []struct {
		name string
		// firstDuration is how long the first attempt holds the record.
		firstDuration time.Duration
		// copyAfter is when the copy of the second attempt's begin is applied.
		copyAfter time.Duration
		// copyStarts is true if the copy starts the second attempt.
		copyStarts    bool
		second, third string
	}{
		{"after the answer", 300 * time.Millisecond, 500 * time.Millisecond, false, "not_run no_endpoint", "ok"},
		{"before the answer", 300 * time.Millisecond, 380 * time.Millisecond, true, "not_run no_endpoint", "ok"},
		{"long after", 1200 * time.Millisecond, 1300 * time.Millisecond, true, "unknown still_running", "not_run no_endpoint"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				env, records := newLateTestEnv(func(context.Context, endpoint.Sink) (endpoint.Result, error) {
					time.Sleep(test.firstDuration)
					return endpoint.Result{}, &endpoint.CallError{Kind: endpoint.InvalidCall}
				}, answers("done"))
				env.slots.endpoints = []string{"engine-1"}
				go func() { _, _ = env.serve(false, "key-1", "{}") }()
				synctest.Wait()
				second := make(chan string, 1)
				go func() {
					_, failure := env.serve(false, "key-1", "{}")
					second <- outcome(failure)
				}()
				time.Sleep(test.copyAfter)
				result, _ := records.reapplyLastBegin()
				c.Check(result.GetStarted(), qt.Equals, test.copyStarts)
				c.Check(<-second, qt.Equals, test.second)
				time.Sleep(2 * time.Second)
				_, failure := env.serve(false, "key-1", "{}")
				c.Check(outcome(failure), qt.Equals, test.third)
				_, failure = env.serve(false, "key-1", "{}")
				c.Check(outcome(failure), qt.Equals, "ok")
				c.Check(env.endpoints.calls, qt.Equals, 2)
				c.Check(env.router.Close(), qt.IsNil)
			})
		})
	}
}

func newLateTestEnv(responses ...callFunc) (*testEnv, *lateRecordStore) {
	records := &lateRecordStore{fakeRecordStore: &fakeRecordStore{machine: state.New(state.Limits{})}}
	env := newTestEnvWithRecords(records, responses...)
	env.records = records.fakeRecordStore
	return env, records
}

// TestLostBeginIsRolledBack checks a begin that is committed but whose response
// is lost, while the quorum is unavailable for longer than the router retries
// the rollback.
func TestLostBeginIsRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env, records := newLateTestEnv(answers("done"))
		records.failAfterBegin = true
		_, failure := env.serve(false, "key-1", "{}")
		c.Check(outcome(failure), qt.Equals, "not_run no_quorum")
		time.Sleep(time.Hour)
		env.records.setDown(false)
		_, failure = env.serve(false, "key-1", "{}")
		c.Check(outcome(failure), qt.Equals, "not_run no_endpoint")
		_, failure = env.serve(false, "key-1", "{}")
		c.Check(outcome(failure), qt.Equals, "ok")
		c.Check(env.endpoints.calls, qt.Equals, 1)
		c.Check(env.router.Close(), qt.IsNil)
	})
}

// TestUnsentAttemptsAreBounded checks that an evicted attempt counts as sent.
func TestUnsentAttemptsAreBounded(t *testing.T) {
	c := qt.New(t)
	c.Check(router.UnsentAfter(0), qt.IsTrue)
	c.Check(router.UnsentAfter(router.MaxUnsent-1), qt.IsTrue)
	c.Check(router.UnsentAfter(router.MaxUnsent), qt.IsFalse)
}

// TestSentAttemptIsNotRolledBack checks that an attempt that was sent keeps its
// record, even if its outcome can't be committed for a long time.
func TestSentAttemptIsNotRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var env *testEnv
		env = newTestEnv(func(ctx context.Context, sink endpoint.Sink) (endpoint.Result, error) {
			env.records.setDown(true)
			return answers("done")(ctx, sink)
		})
		_, failure := env.serve(false, "key-1", "{}")
		c.Check(outcome(failure), qt.Equals, "ok")
		time.Sleep(time.Hour)
		env.records.setDown(false)
		for range 2 {
			_, failure = env.serve(false, "key-1", "{}")
			c.Check(outcome(failure), qt.Equals, "unknown still_running")
		}
		c.Check(env.endpoints.calls, qt.Equals, 1)
		c.Check(env.router.Close(), qt.IsNil)
	})
}
