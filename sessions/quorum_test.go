package sessions_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// timeoutContext returns a context with a timeout, which the end of the test
// cancels.
func timeoutContext(c *qt.C, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	c.Cleanup(cancel)
	return ctx
}

// mustBook books an order through daemon n and retries while the outcome is
// "not_run".
func (f *fleet) mustBook(c *qt.C, n int, order string) callerResponse {
	c.Helper()
	var a callerResponse
	err := waitFor("booking "+order, func() (err error) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		a, err = f.book(ctx, n, order)
		if err == nil && a.outcome == "not_run" {
			return fmt.Errorf("%s: %s", a.code, a.body)
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	c.Assert(a.outcome, qt.Equals, "ok", qt.Commentf("%+v", a))
	return a
}

// checkRanOnce checks that each of the orders order-0 to order-(orders-1) ran
// exactly once.
func (f *fleet) checkRanOnce(c *qt.C, orders int) {
	c.Helper()
	runs := f.bookingRuns()
	for i := range orders {
		order := fmt.Sprintf("order-%d", i)
		c.Check(runs[order], qt.Equals, 1, qt.Commentf("%s", order))
	}
}

// bookAll books the given number of orders through all daemons in turn.
func (f *fleet) bookAll(c *qt.C, orders int) []callerResponse {
	answers := make([]callerResponse, orders)
	for i := range answers {
		answers[i] = f.mustBook(c, 1+i%f.size, fmt.Sprintf("order-%d", i))
	}
	return answers
}

// repairReplica asks daemon via to replace the replica oldID of the wiped daemon
// by its new one. It returns an error until the new replica is a voter that has
// caught up and the quorum can lose any one host without losing data.
func (f *fleet) repairReplica(via, wiped int, oldID string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := f.operatorClient(via).AddReplica(ctx, f.host(wiped)); err != nil {
		return err
	}
	status, err := f.quorum(via)
	if err != nil {
		return err
	}
	for _, r := range status.Replicas {
		if r.Host == f.host(wiped) && r.ID != oldID && r.Voter && r.CaughtUp && status.RepairNote == "" {
			return nil
		}
	}
	return fmt.Errorf("quorum not repaired: %+v", status)
}

// TestSecondHostLostAfterRepair wipes the disk of a replica, repairs the quorum
// and kills the leader right after. No booking record may be lost, and the
// quorum must continue.
func TestSecondHostLostAfterRepair(t *testing.T) {
	c := qt.New(t)
	f := startRelayedFleet(c, 3, 3)
	c.Assert(f.startOrderService(1, "maz"), qt.IsNil)
	c.Assert(f.awaitEndpoint(1, "orders-1", "available"), qt.IsNil)
	const orders = 40
	answers := f.bookAll(c, orders)

	leader := f.leader(1)
	wiped, other := 1+leader%3, 1+(leader+1)%3
	status, err := f.quorum(leader)
	c.Assert(err, qt.IsNil)
	oldID := ""
	for _, r := range status.Replicas {
		if r.Host == f.host(wiped) {
			oldID = r.ID
		}
	}
	c.Assert(f.kill(f.host(wiped)), qt.IsNil)
	c.Assert(os.RemoveAll(f.dataFolder(wiped)), qt.IsNil)
	c.Assert(f.startDaemon(wiped, false), qt.IsNil)
	c.Assert(waitFor("repair of the quorum", func() error { return f.repairReplica(leader, wiped, oldID) }), qt.IsNil)
	c.Assert(f.kill(f.host(leader)), qt.IsNil)

	for i, answer := range answers {
		repeat := f.mustBook(c, []int{wiped, other}[i%2], fmt.Sprintf("order-%d", i))
		c.Check(repeat.replayed, qt.IsTrue)
		c.Check(repeat.body, qt.Equals, answer.body)
	}
	f.mustBook(c, wiped, fmt.Sprintf("order-%d", orders))
	c.Assert(f.acceptAt(other, newDocument(5, 1)), qt.IsNil)
	c.Assert(f.awaitVersion(wiped, 2), qt.IsNil)
	f.checkRanOnce(c, orders+1)
}

// TestFollowerIsolated drops all traffic of a follower for many election
// timeouts and then reconnects it. The follower must catch up without forcing an
// election: leader and term stay the same.
func TestFollowerIsolated(t *testing.T) {
	c := qt.New(t)
	f := startRelayedFleet(c, 5, 3)
	c.Assert(f.startOrderService(1, "maz"), qt.IsNil)
	c.Assert(f.awaitEndpoint(1, "orders-1", "available"), qt.IsNil)
	leader := f.leader(1)
	follower := 1 + leader%3
	before, err := f.quorum(leader)
	c.Assert(err, qt.IsNil)
	all := []int{1, 2, 3, 4, 5}

	f.relays.isolate([]int{follower}, all)
	isolated := time.Now()
	orders := 0
	for ; time.Since(isolated) < isolationTime; orders++ {
		f.mustBook(c, leader, fmt.Sprintf("order-%d", orders))
	}
	c.Assert(f.acceptAt(leader, newDocument(5, 1)), qt.IsNil)
	a, err := f.book(timeoutContext(c, 10*time.Second), follower, "cut-off")
	c.Assert(err, qt.IsNil)
	c.Check(a.outcome, qt.Equals, "not_run")
	c.Check(a.code, qt.Equals, "no_quorum")

	f.relays.heal([]int{follower}, all)
	c.Assert(f.awaitVersion(follower, 2), qt.IsNil)
	f.mustBook(c, follower, "cut-off")
	after, err := f.quorum(follower)
	c.Assert(err, qt.IsNil)
	c.Check(after.Leader, qt.Equals, before.Leader)
	c.Check(after.Term, qt.Equals, before.Term)
	f.checkRanOnce(c, orders)
	c.Check(f.bookingRuns()["cut-off"], qt.Equals, 1)
}

// isolationTime is many times the election timeout.
const isolationTime = 8 * time.Second

// TestLeaderIsolated drops all traffic of the leader. The other replicas must
// elect a new leader, and the old one must follow it once it is reconnected.
func TestLeaderIsolated(t *testing.T) {
	c := qt.New(t)
	f := startRelayedFleet(c, 3, 3)
	c.Assert(f.startOrderService(1, "maz"), qt.IsNil)
	c.Assert(f.awaitEndpoint(1, "orders-1", "available"), qt.IsNil)
	f.bookAll(c, 6)
	leader := f.leader(1)
	others := []int{1 + leader%3, 1 + (leader+1)%3}
	f.relays.isolate([]int{leader}, others)
	c.Assert(f.acceptAt(others[0], newDocument(5, 1)), qt.IsNil)
	c.Assert(f.awaitVersion(others[1], 2), qt.IsNil)
	c.Assert(f.leader(others[0]), qt.Not(qt.Equals), leader)
	f.relays.heal([]int{leader}, others)
	c.Assert(f.awaitVersion(leader, 2), qt.IsNil)
	for i := range 6 {
		c.Check(f.mustBook(c, leader, fmt.Sprintf("order-%d", i)).replayed, qt.IsTrue)
	}
	f.checkRanOnce(c, 6)
}

// TestRecordOfRestartedDaemon kills a daemon while it runs a booking and
// restarts it at once. Its booking record must not stay open even though the
// daemon books nothing more: a repeat through another daemon reports that the
// outcome is unknown and doesn't run the order again.
func TestRecordOfRestartedDaemon(t *testing.T) {
	c := qt.New(t)
	f := startRelayedFleet(c, 3, 3)
	c.Assert(f.startOrderService(1, "maz", "--work", "2s"), qt.IsNil)
	c.Assert(f.awaitEndpoint(3, "orders-1", "available"), qt.IsNil)
	bookErr := make(chan error)
	go func() {
		_, err := f.book(context.Background(), 3, "order-0")
		bookErr <- err
	}()
	c.Assert(waitFor("start of the booking", func() error {
		if f.bookingRuns()["order-0"] == 0 {
			return errors.New("the order has not run")
		}
		return nil
	}), qt.IsNil)
	c.Assert(f.restart(3), qt.IsNil)
	c.Assert(<-bookErr, qt.IsNotNil)
	c.Assert(waitFor("code outcome_unknown", func() error {
		a, err := f.book(timeoutContext(c, requestTimeout), 1, "order-0")
		if err != nil {
			return err
		}
		c.Check(a.outcome, qt.Equals, "unknown")
		if a.code != "outcome_unknown" {
			return fmt.Errorf("response: %+v", a)
		}
		return nil
	}), qt.IsNil)
	f.checkRanOnce(c, 1)
}
