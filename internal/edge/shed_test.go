package edge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestShed(t *testing.T) {
	c := qt.New(t)
	const middle = (shedStartLag + shedAllLag) / 2
	tests := []struct {
		lag    time.Duration
		first  bool
		random float64
		want   bool
	}{
		{0, true, 0, false},
		{shedStartLag, true, 0, false},
		{shedStartLag + time.Millisecond, true, 0, true},
		{(shedStartLag + middle) / 2, true, 0.49, true},
		{(shedStartLag + middle) / 2, true, 0.51, false},
		{middle, true, 0.999, true},
		// Other requests are shed only when all of the first group are.
		{middle, false, 0, false},
		{(middle + shedAllLag) / 2, false, 0.49, true},
		{(middle + shedAllLag) / 2, false, 0.51, false},
		{shedAllLag + time.Millisecond, false, 0.999, true},
	}
	for _, test := range tests {
		c.Check(shed(test.lag, test.first, test.random), qt.Equals, test.want, qt.Commentf("%v %v %v", test.lag, test.first, test.random))
	}
}

// TestAccountsBeyondShareAreShedFirst checks that requests of an account that
// has used its share are shed before others.
func TestAccountsBeyondShareAreShedFirst(t *testing.T) {
	c := qt.New(t)
	admission := newTestAdmission(c, 4, 1000)
	now := time.Now()
	admission.recordShed(now, "flood", 5000, 0)
	admission.recordShed(now, "small", 100, 0)
	admission.ledger.RecordAdmitted(now, "flood", 900)
	f := New(Config{Admission: admission, Lag: func() time.Duration { return (shedStartLag + shedAllLag) / 2 }, UnsyncedFor: func() time.Duration { return 0 }})
	for range 100 {
		c.Assert(f.overloaded(now, &task{account: "flood"}, true), qt.Equals, overloadLag)
		c.Assert(f.overloaded(now, &task{account: "small"}, true), qt.Equals, overloadReason(""))
	}
}

// TestFloodIsShedBeforeAccountsWithinShare guards against accounts that ask for no more
// than their share and are refused beside one that floods the same router, because the
// router can't admit the whole share of that one.
func TestFloodIsShedBeforeAccountsWithinShare(t *testing.T) {
	c := qt.New(t)
	admission := newTestAdmission(c, 4, 1000)
	now := time.Now()
	admission.recordShed(now, "flood", 25_000, 0)
	admission.ledger.RecordAsked(now, "flood", 25_000)
	admission.ledger.RecordAsked(now, "small", 100)
	admission.ledger.RecordAdmitted(now, "flood", 500)
	f := New(Config{Admission: admission, Lag: func() time.Duration { return shedAllLag * 9 / 10 }, UnsyncedFor: func() time.Duration { return 0 }})
	shedOf := func(account string) int {
		count := 0
		for range 200 {
			if f.overloaded(now, &task{account: account}, true) != "" {
				count++
			}
		}
		return count
	}
	flood, small := shedOf("flood"), shedOf("small")
	c.Check(flood < 200 && small > 0, qt.IsFalse, qt.Commentf("of 200 requests each %d of the flood are refused, and %d of the account within its share", flood, small))
}

// TestUnboundedSpareLevelIsNotLogged guards against log lines in which an account without
// competitors seems to have a spare level far below 0.
func TestUnboundedSpareLevelIsNotLogged(t *testing.T) {
	c := qt.New(t)
	admission := newTestAdmission(c, 4, 1000)
	now := time.Now()
	admission.ledger.RecordAsked(now, "alone", 5000)
	_, logged := shareFields(admission.share(now, "alone"))["spare_tokens"]
	c.Check(logged, qt.IsFalse)
	admission.ledger.RecordAsked(now, "other", 5000)
	_, logged = shareFields(admission.share(now.Add(time.Second/10), "alone"))["spare_tokens"]
	c.Check(logged, qt.IsTrue)
}

// TestStandingLagShedsRequests guards against a router that admits requests although its
// work waits for long, as the scheduling latency does not show it.
func TestStandingLagShedsRequests(t *testing.T) {
	c := qt.New(t)
	standing := 2 * shedAllLag
	f := New(Config{
		Admission: newTestAdmission(c, 4, 1000), Lag: func() time.Duration { return 0 }, UnsyncedFor: func() time.Duration { return 0 },
		StandingLag: func() time.Duration { return standing },
	})
	c.Check(f.overloaded(time.Now(), &task{account: "a"}, true), qt.Equals, overloadLag)
	c.Check(f.Overloaded(time.Now()), qt.IsTrue)
	c.Check(f.Overwhelmed(), qt.IsTrue)
	standing = 0
	c.Check(f.overloaded(time.Now(), &task{account: "a"}, true), qt.Equals, overloadReason(""))
	c.Check(f.Overwhelmed(), qt.IsFalse)
}

// TestNothingIsReadToBeRefused guards against a router that spends its processor time on
// reading requests all of which it refuses, so that it serves few of an account whose
// callers all reach it.
func TestNothingIsReadToBeRefused(t *testing.T) {
	c := qt.New(t)
	for lag := time.Duration(0); lag <= 4*shedAllLag; lag += shedStartLag {
		f := New(Config{Lag: func() time.Duration { return lag }, UnsyncedFor: func() time.Duration { return 0 }})
		const highest = 1 - 1e-9 // random is below 1.
		c.Check(f.Overwhelmed(), qt.Equals, shed(lag, false, highest), qt.Commentf("%v", lag))
	}
}

// TestRouterThatRejectsMostConnectionsIsNotReady guards against a router that gets all
// callers of a flood, of which it can serve a small part, while others have time for them:
// its lag is short again and again, as it rejects most of them.
func TestRouterThatRejectsMostConnectionsIsNotReady(t *testing.T) {
	c := qt.New(t)
	f := New(Config{Lag: func() time.Duration { return 0 }, UnsyncedFor: func() time.Duration { return 0 }})
	now := time.Unix(1_000_000, 0)
	rejects := func(now time.Time) float64 {
		const connections = 1000
		rejected := 0
		for range connections {
			if !f.AcceptsConnection(now, 0) {
				rejected++
			}
		}
		return float64(rejected) / connections
	}
	c.Check(f.Overloaded(now), qt.IsFalse)
	for range 100 {
		f.acceptance.recordShed(now)
	}
	c.Assert(rejects(now) > 0.5, qt.IsTrue)
	c.Check(f.Overloaded(now), qt.IsTrue)
	// Without further callers it is ready soon, when it would reject few of them.
	now = now.Add(3 * time.Second)
	c.Assert(rejects(now) < 0.5, qt.IsTrue)
	c.Check(f.Overloaded(now), qt.IsFalse)
}
