package discovery_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/discovery"
)

var start = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func addresses(hosts []discovery.Host) []string {
	var list []string
	for _, h := range hosts {
		list = append(list, h.Address)
	}
	return list
}

func TestTargetsIncludeSeedsButNotSelf(t *testing.T) {
	c := qt.New(t)
	table := discovery.New("a", []string{"c", "a", "b"})
	c.Check(table.Targets(start), qt.DeepEquals, []string{"b", "c"})
	c.Check(table.Alive(start), qt.HasLen, 0)
	c.Check(table.MarkAlive(start, discovery.Host{Address: "a"}), qt.IsFalse)
	c.Check(table.Alive(start), qt.HasLen, 0)
}

func TestHostDiscoveryAndExpiry(t *testing.T) {
	c := qt.New(t)
	table := discovery.New("a", []string{"b"})
	c.Check(table.MarkAlive(at(0), discovery.Host{Address: "b", Incarnation: 1}), qt.IsTrue)
	c.Check(table.MarkAlive(at(1), discovery.Host{Address: "b", Incarnation: 1}), qt.IsFalse)
	table.AddCandidate(at(1), discovery.Host{Address: "d"})
	c.Check(table.Targets(at(1)), qt.DeepEquals, []string{"b", "d"})
	c.Check(addresses(table.Alive(at(1))), qt.DeepEquals, []string{"b"})

	// A restart is reported; a host without recent contact is not alive.
	c.Check(table.MarkAlive(at(2), discovery.Host{Address: "b", Incarnation: 2}), qt.IsTrue)
	c.Check(table.Alive(at(6)), qt.HasLen, 0)
	silence, ok := table.SinceContact(at(6), "b")
	c.Check(ok, qt.IsTrue)
	c.Check(silence, qt.Equals, 4*time.Second)

	// While no host is alive, no host is removed.
	c.Check(table.Targets(at(100)), qt.DeepEquals, []string{"b", "d"})
	table.MarkAlive(at(100), discovery.Host{Address: "b", Incarnation: 2})
	c.Check(table.Targets(at(100)), qt.DeepEquals, []string{"b"})
}

func TestSetSeeds(t *testing.T) {
	c := qt.New(t)
	table := discovery.New("a", []string{"b"})
	table.MarkAlive(at(0), discovery.Host{Address: "c"})
	table.SetSeeds([]string{"x", "y"})
	c.Check(table.Targets(at(0)), qt.DeepEquals, []string{"c", "x", "y"})
}
