package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderramp/internal/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newPolicy(config retry.Config) *retry.Policy {
	config.Random = rand.New(rand.NewPCG(1, 2))
	return retry.New(config)
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		attempt retry.Attempt
		retry   bool
		resume  bool
		exclude bool
		reason  retry.Reason
	}{
		{"idempotent that may have run", retry.Attempt{Idempotent: true, MayHaveRun: true, Attempts: 1},
			true, false, true, retry.ReasonIdempotent},
		{"not idempotent, may have run", retry.Attempt{MayHaveRun: true, Attempts: 1},
			false, false, false, retry.ReasonMayHaveRun},
		{"not idempotent, did not run", retry.Attempt{Attempts: 1},
			true, false, true, retry.ReasonNotRun},
		{"answer partly passed", retry.Attempt{Idempotent: true, MayHaveRun: true, BytesForwarded: 1, Attempts: 1},
			false, false, false, retry.ReasonPartlyForwarded},
		{"answer partly passed, endpoint can resume",
			retry.Attempt{Idempotent: true, MayHaveRun: true, BytesForwarded: 1, CanResume: true, Attempts: 1},
			true, true, false, retry.ReasonResume},
		{"resume of a call that is not idempotent runs nothing again",
			retry.Attempt{MayHaveRun: true, CanResume: true, Attempts: 1},
			true, true, false, retry.ReasonResume},
		{"attempts used up", retry.Attempt{Idempotent: true, MayHaveRun: true, Attempts: 3},
			false, false, false, retry.ReasonAttemptsUsedUp},
		{"attempts of the request's own limit used up", retry.Attempt{Idempotent: true, Attempts: 1, MaxAttempts: 1},
			false, false, false, retry.ReasonAttemptsUsedUp},
		{"past the deadline", retry.Attempt{Idempotent: true, Attempts: 1, Deadline: start},
			false, false, false, retry.ReasonPastDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := newPolicy(retry.Config{}).Decide(start, test.attempt)
			qt.Check(t, got.Retry, qt.Equals, test.retry)
			qt.Check(t, got.Resume, qt.Equals, test.resume)
			qt.Check(t, got.ExcludeEndpoint, qt.Equals, test.exclude)
			qt.Check(t, got.Reason, qt.Equals, test.reason)
		})
	}
}

func TestBudgetIsAFractionOfRequests(t *testing.T) {
	p := newPolicy(retry.Config{BudgetFraction: 0.5, BudgetBurst: 2})
	attempt := retry.Attempt{Account: "large", Idempotent: true, MayHaveRun: true, Attempts: 1}
	retries := 0
	for range 100 {
		p.RecordRequest("large")
		if p.Decide(start, attempt).Retry {
			retries++
		}
	}
	qt.Check(t, retries <= 52, qt.IsTrue, qt.Commentf("retries: got %d, want at most 52", retries))
	qt.Check(t, retries >= 50, qt.IsTrue, qt.Commentf("retries: got %d, want at least 50", retries))
	attempt.Account = "small"
	qt.Check(t, p.Decide(start, attempt).Retry, qt.IsTrue)
}

// TestBudgetOfLessThanOneRetryAddsUp guards against a fleet of so many daemons that the part
// of each of the fleet's budget is less than one retry, and none ever retries.
func TestBudgetOfLessThanOneRetryAddsUp(t *testing.T) {
	const requests, fraction, burst = 100, 0.125, 0.5
	p := newPolicy(retry.Config{BudgetFraction: fraction, BudgetBurst: burst})
	qt.Check(t, p.Spend("a"), qt.IsFalse)
	retries := 0
	for range requests {
		p.RecordRequest("a")
		if p.Spend("a") {
			retries++
		}
	}
	qt.Check(t, retries, qt.Equals, 13) // A retry for each eight requests, and the half.
	// What is not used adds up to one retry and no more.
	for range requests {
		p.RecordRequest("a")
	}
	qt.Check(t, p.Spend("a"), qt.IsTrue)
	qt.Check(t, p.Spend("a"), qt.IsFalse)
}

func TestRetryOfUnexecutedRequestIsFree(t *testing.T) {
	p := newPolicy(retry.Config{BudgetBurst: 1})
	for range 10 {
		got := p.Decide(start, retry.Attempt{Account: "a", Attempts: 1})
		qt.Assert(t, got.Retry, qt.IsTrue)
	}
	qt.Check(t, p.Budget("a"), qt.Equals, 1.0)
}

func TestDelayGrowsAndIsBounded(t *testing.T) {
	config := retry.Config{MaxAttempts: 100, BaseDelay: 100 * time.Millisecond, MaxDelay: time.Second}
	p := newPolicy(config)
	for attempts, longest := range map[int]time.Duration{
		1: 100 * time.Millisecond, 2: 200 * time.Millisecond, 4: 800 * time.Millisecond, 50: time.Second,
	} {
		for range 20 {
			got := p.Decide(start, retry.Attempt{Idempotent: true, Attempts: attempts}).Delay
			qt.Assert(t, got >= longest/2 && got <= longest, qt.IsTrue, qt.Commentf("attempt %d: %v", attempts, got))
		}
	}
}

// A request must not run a second time when it may have run and is not
// idempotent, or when part of its answer was forwarded.
func TestNoUnsafeRetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := retry.Attempt{
			Account:        rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
			Idempotent:     rapid.Bool().Draw(t, "idempotent"),
			MayHaveRun:     rapid.Bool().Draw(t, "may have run"),
			BytesForwarded: rapid.Int64Range(0, 2).Draw(t, "bytes"),
			CanResume:      rapid.Bool().Draw(t, "can resume"),
			Attempts:       rapid.IntRange(1, 4).Draw(t, "attempts"),
		}
		got := newPolicy(retry.Config{}).Decide(start, attempt)
		again := got.Retry && !got.Resume
		if again && attempt.MayHaveRun && !attempt.Idempotent {
			t.Fatalf("runs again a request that is not idempotent: %+v", attempt)
		}
		if again && attempt.BytesForwarded > 0 {
			t.Fatalf("runs again a request whose answer was partly passed: %+v", attempt)
		}
		if got.Resume && got.ExcludeEndpoint {
			t.Fatalf("resumes on another endpoint: %+v", attempt)
		}
	})
}
