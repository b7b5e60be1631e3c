package edge

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/directory"
	"oleanderramp/pkg/routing"
)

// newTestGate returns a gate with one engine of so many slots and a capacity of
// so many tokens a second.
func newTestGate(c *qt.C, slots int, tokensPerSecond float64) *Gate {
	g := NewGate("r", time.Second)
	table, err := routing.New(routing.Document{
		Version: 1, Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: slots}}},
		Limits: routing.Limits{TokensPerSecond: tokensPerSecond},
	})
	c.Assert(err, qt.IsNil)
	entry := directory.Entry{ID: "e", Service: "s", Address: "a", Region: "r", Slots: slots, LastSeen: time.Now()}
	g.Update(time.Now(), []directory.Entry{entry}, table, time.Second)
	return g
}

func wishFor(account string, tokens int) wish {
	return wish{
		demand:  balance.Demand{Service: "s", Prompt: balance.Prompt{Tokens: tokens}},
		account: account, objective: time.Second, patience: time.Minute, tokens: float64(tokens),
	}
}

func TestGateOutcomes(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	g := newTestGate(c, 4, 3000)

	// The first half of the slots is anybody's; beyond its share an account
	// gets no more than that.
	for range 2 {
		_, refused := g.place(ctx, wishFor("big", 2000))
		c.Assert(refused, qt.IsNil)
	}
	_, refused := g.place(ctx, wishFor("big", 2000))
	c.Check(refused.code, qt.Equals, CodeBeyondShare)
	c.Check(refused.outcome, qt.Equals, OutcomeNotRun)

	// An account within its share gets the rest, and waits when there is none.
	var last placement
	for range 2 {
		last, refused = g.place(ctx, wishFor("small", 100))
		c.Assert(refused, qt.IsNil)
	}
	start := time.Now()
	_, refused = g.place(ctx, wishFor("small", 100))
	c.Check(refused.code, qt.Equals, CodeBusy)
	c.Check(time.Since(start) >= time.Second/8, qt.IsTrue)

	// A place that comes free goes to who waits.
	time.AfterFunc(10*time.Millisecond, func() { last.ticket.end(time.Now(), balance.Answered) })
	_, refused = g.place(ctx, wishFor("small", 100))
	c.Check(refused, qt.IsNil)
	// Another service has no endpoint, and nobody waits for that.
	w := wishFor("small", 100)
	w.demand.Service = "none"
	_, refused = g.place(ctx, w)
	c.Check(refused.code, qt.Equals, CodeNoEndpoint)
}

// TestShortRequestsGoFirst checks that an account which has used its share with
// long requests still gets short ones answered.
func TestShortRequestsGoFirst(t *testing.T) {
	c := qt.New(t)
	g := newTestGate(c, 100, 10_000)
	now := time.Now()
	g.claim(now, wishFor("other", 10_000)) // It is owed a half.
	g.claim(now, wishFor("a", 4900))
	g.ledger.Admit(now, "a", 5000)
	now = now.Add(100 * time.Millisecond)
	within, _ := g.claim(now, wishFor("a", 4900))
	c.Check(within, qt.IsFalse)
	within, _ = g.claim(now, wishFor("a", 500))
	c.Check(within, qt.IsTrue)
}
