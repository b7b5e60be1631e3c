package membership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/membership"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newTable(self string) *membership.Table {
	var hosts []membership.ControlHost
	for _, region := range []string{"east", "west"} {
		for i := range 3 {
			hosts = append(hosts, membership.ControlHost{
				Host: fmt.Sprintf("%s-%d", region, i), Region: region, Scheduler: true,
			})
		}
	}
	return membership.New(self, hosts)
}

func TestSchedulerAgreesAndFailsOver(t *testing.T) {
	c := qt.New(t)
	one, two := newTable("east-0"), newTable("east-1")
	for i := range 3 {
		host := fmt.Sprintf("east-%d", i)
		one.RecordAnswer(start, host, false, 0)
		two.RecordAnswer(start, host, false, 0)
	}
	first, ok := one.Scheduler(start, "assistant", "east")
	c.Assert(ok, qt.IsTrue)
	same, _ := two.Scheduler(start, "assistant", "east")
	c.Assert(same, qt.Equals, first)

	later := start.Add(membership.LivenessTimeout)
	for i := range 3 {
		host := fmt.Sprintf("east-%d", i)
		if host != first {
			one.RecordAnswer(later, host, false, 0)
		}
	}
	if first != "east-0" {
		next, ok := one.Scheduler(later, "assistant", "east")
		c.Assert(ok, qt.IsTrue)
		c.Assert(next, qt.Not(qt.Equals), first)
	}
}

func TestSchedulerForRegionWithoutLiveHosts(t *testing.T) {
	c := qt.New(t)
	table := newTable("east-0")
	host, ok := table.Scheduler(start, "assistant", "west")
	c.Assert(ok, qt.IsTrue)
	c.Assert(host, qt.Equals, "east-0")

	table.SetDraining(true)
	_, ok = table.Scheduler(start, "assistant", "west")
	c.Assert(ok, qt.IsFalse)
}

func TestDrainingHostSchedulesNothing(t *testing.T) {
	c := qt.New(t)
	table := newTable("west-0")
	table.RecordAnswer(start, "east-1", true, 0)
	table.RecordAnswer(start, "east-2", false, 0)
	host, ok := table.Scheduler(start, "assistant", "east")
	c.Assert(ok, qt.IsTrue)
	c.Assert(host, qt.Equals, "east-2")
	c.Assert(table.Regions(start), qt.DeepEquals, []string{"east", "west"})
}

func TestHasScheduler(t *testing.T) {
	c := qt.New(t)
	table := newTable("north-0")
	c.Assert(table.HasScheduler(start, "east"), qt.IsFalse)
	table.RecordAnswer(start, "east-1", false, 0)
	c.Assert(table.HasScheduler(start, "east"), qt.IsTrue)
	c.Assert(table.HasScheduler(start.Add(membership.LivenessTimeout), "east"), qt.IsFalse)
	c.Assert(table.Contains("east-1"), qt.IsTrue)
	c.Assert(table.Contains("north-0"), qt.IsFalse)
}

func TestSlowlyProbedHostStaysAlive(t *testing.T) {
	c := qt.New(t)
	table := newTable("north-0")
	table.RecordAnswer(start, "east-1", false, 0)
	table.RecordAnswer(start, "west-1", false, 4*time.Second)
	later := start.Add(membership.LivenessTimeout + time.Second)
	table.RecordAnswer(later, "east-1", false, 0)
	host, ok := table.Scheduler(later, "assistant", "west")
	c.Assert(ok, qt.IsTrue)
	c.Assert(host, qt.Equals, "west-1")
	host, _ = table.Scheduler(start.Add(6*time.Second), "assistant", "west")
	c.Assert(host, qt.Not(qt.Equals), "west-1")
}

func TestUnreachableHostSchedulesNothing(t *testing.T) {
	c := qt.New(t)
	table := newTable("north-0")
	table.RecordAnswer(start, "east-1", false, 0)
	table.RecordUnreachable("east-1")
	c.Assert(table.Alive(start, "east-1"), qt.IsFalse)
	table.RecordAnswer(start, "east-1", false, 0)
	c.Assert(table.Alive(start, "east-1"), qt.IsTrue)
}
