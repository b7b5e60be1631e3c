package queue_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderramp/internal/queue"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRefusals(t *testing.T) {
	q := queue.New(queue.Config{MaxPerAccount: 2, MaxTotal: 10})
	for id := range uint64(2) {
		admission, refusal := q.Offer(start, "large", id)
		qt.Assert(t, refusal, qt.IsNil)
		qt.Check(t, admission.Ahead, qt.Equals, int(id))
	}
	_, refusal := q.Offer(start, "large", 2)
	qt.Check(t, refusal.Reason, qt.Equals, queue.ReasonAccountFull)
	_, refusal = q.Offer(start, "small", 1)
	qt.Check(t, refusal.Reason, qt.Equals, queue.ReasonDuplicate)
	_, refusal = q.OfferLimited(start, "large", 3, queue.Limits{MaxPerAccount: 3})
	qt.Check(t, refusal, qt.IsNil)
	qt.Check(t, q.Counts(), qt.DeepEquals, []queue.Count{{Account: "large", Waiting: 3}})
}

// A flood of one account must leave room in the queue for other accounts, even
// if the bound of the account is larger than that of the queue.
func TestFloodLeavesCapacityForOtherAccounts(t *testing.T) {
	q := queue.New(queue.Config{MaxPerAccount: 1000, MaxTotal: 100})
	for id := range uint64(500) {
		q.Offer(start, "flood", id)
	}
	qt.Check(t, q.Waiting("flood"), qt.Equals, 50)
	_, refusal := q.Offer(start, "flood", 500)
	qt.Check(t, refusal.Reason, qt.Equals, queue.ReasonRouterFull)
	for id := range uint64(25) {
		_, refusal := q.Offer(start, "band", 1000+id)
		qt.Assert(t, refusal, qt.IsNil)
	}
}

func TestRetryAfterFollowsTheAccountsDrainRate(t *testing.T) {
	tests := []struct {
		name     string
		interval time.Duration
		want     time.Duration
	}{
		{"2 a second", 500 * time.Millisecond, 5 * time.Second},
		{"1 in 4 seconds", 4 * time.Second, 40 * time.Second},
		{"1 in a minute", time.Minute, 120 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := queue.New(queue.Config{MaxPerAccount: 10, RateWindow: 30 * time.Second})
			now := start
			for id := range uint64(10) {
				q.Offer(now, "a", id)
			}
			for id := range uint64(100) {
				now = now.Add(test.interval)
				q.Granted(now, id)
				q.Offer(now, "a", id+10)
			}
			_, refusal := q.Offer(now, "a", 1000)
			got := refusal.RetryAfter
			qt.Check(t, got >= test.want*9/10 && got <= test.want*11/10, qt.IsTrue,
				qt.Commentf("got %v, want about %v", got, test.want))
		})
	}
}

// Time in which an account has no waiting requests must not lower its drain
// rate.
func TestIdleTimeDoesNotSlowTheDrainRate(t *testing.T) {
	q := queue.New(queue.Config{MaxPerAccount: 10, RateWindow: 30 * time.Second})
	now := start
	q.Offer(now, "a", 0)
	for id := range uint64(100) {
		now = now.Add(500 * time.Millisecond)
		q.Offer(now, "a", id+1)
		q.Granted(now, id)
	}
	q.Granted(now, 100)
	now = now.Add(time.Minute)
	for id := range uint64(10) {
		q.Offer(now, "a", id)
	}
	got := q.RetryAfter(now, "a")
	qt.Check(t, got > 4*time.Second && got < 6*time.Second, qt.IsTrue, qt.Commentf("got %v, want about 5s", got))
}

func TestExpire(t *testing.T) {
	q := queue.New(queue.Config{Timeout: time.Second})
	q.OfferLimited(start, "a", 1, queue.Limits{Timeout: 3 * time.Second})
	q.Offer(start, "a", 2)
	q.Offer(start.Add(time.Millisecond), "b", 3)
	qt.Check(t, q.Expire(start.Add(time.Second-1)), qt.HasLen, 0)
	qt.Check(t, q.Expire(start.Add(2*time.Second)), qt.DeepEquals, []uint64{2, 3})
	next, ok := q.NextExpiry()
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, next, qt.Equals, start.Add(3*time.Second))
	qt.Check(t, q.Withdraw(start, 2), qt.IsFalse)
	qt.Check(t, q.Withdraw(start, 1), qt.IsTrue)
	qt.Check(t, q.Total(), qt.Equals, 0)
}

// For any sequence of operations, each id leaves the queue once and the bounds
// hold.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := queue.Config{MaxPerAccount: 4, MaxTotal: 8, Timeout: 5 * time.Second}
		q := queue.New(config)
		now := start
		waiting := map[uint64]string{}
		leave := func(id uint64, got bool) {
			if _, want := waiting[id]; got != want {
				t.Fatalf("removed id %d: got %v, want %v", id, got, want)
			}
			delete(waiting, id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
				id := rapid.Uint64Range(0, 20).Draw(t, "id")
				_, refusal := q.Offer(now, name, id)
				if refusal == nil {
					waiting[id] = name
				} else if refusal.RetryAfter <= 0 {
					t.Fatalf("refusal without RetryAfter: %+v", refusal)
				}
			},
			"grant":    func(t *rapid.T) { id := rapid.Uint64Range(0, 20).Draw(t, "id"); leave(id, q.Granted(now, id)) },
			"withdraw": func(t *rapid.T) { id := rapid.Uint64Range(0, 20).Draw(t, "id"); leave(id, q.Withdraw(now, id)) },
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				for _, id := range q.Expire(now) {
					leave(id, true)
				}
			},
			"": func(t *rapid.T) {
				counts := map[string]int{}
				for _, name := range waiting {
					counts[name]++
				}
				for _, name := range []string{"a", "b", "c"} {
					if q.Waiting(name) != counts[name] || counts[name] > config.MaxPerAccount {
						t.Fatalf("waiting requests of %s: got %d, want %d", name, q.Waiting(name), counts[name])
					}
				}
				if q.Total() != len(waiting) || q.Total() > config.MaxTotal {
					t.Fatalf("total waiting requests: got %d, want %d", q.Total(), len(waiting))
				}
			},
		})
	})
}
