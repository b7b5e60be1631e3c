package site

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/discovery"
	"oleanderramp/internal/settings"
)

func TestMaxActiveRequests(t *testing.T) {
	c := qt.New(t)
	tests := []struct{ descriptors, memoryMB, want int }{
		{4100, 0, 825},
		{4100, 284, 825},
		{4100, 112, 597},
		{100, 0, 1},
	}
	for _, test := range tests {
		got := maxActiveRequests(&settings.Site{MaxDescriptors: test.descriptors, MemoryMB: test.memoryMB})
		c.Check(got, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func TestInTurn(t *testing.T) {
	c := qt.New(t)
	list := []string{"a", "b", "c"}
	c.Check(inTurn(list, 0, 2), qt.DeepEquals, []string{"a", "b"})
	c.Check(inTurn(list, 5, 2), qt.DeepEquals, []string{"c", "a"})
	c.Check(inTurn(list, 1, 5), qt.DeepEquals, []string{"b", "c", "a"})
	c.Check(inTurn(nil, 1, 2), qt.HasLen, 0)
}

func TestNearest(t *testing.T) {
	c := qt.New(t)
	hosts := []discovery.Host{
		{Address: "a", Region: "x", Zone: "x-1"}, {Address: "b", Region: "y", Zone: "y-1"},
		{Address: "c", Region: "y", Zone: "y-2"}, {Address: "d", Region: "y", Zone: "y-2"},
	}
	c.Check(nearest(hosts, "y", "y-1"), qt.Equals, "b")
	c.Check(nearest(hosts, "y", "y-2"), qt.Equals, "c")
	c.Check(nearest(hosts, "y", "y-3"), qt.Equals, "b")
	c.Check(nearest(hosts, "z", "z-1"), qt.Equals, "a")
	c.Check(nearest(nil, "y", "y-1"), qt.Equals, "")
}
