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

func TestNearest(t *testing.T) {
	c := qt.New(t)
	hosts := []discovery.Host{{Address: "a", Region: "x"}, {Address: "b", Region: "y"}, {Address: "c", Region: "y"}}
	c.Check(nearest(hosts, "y"), qt.Equals, "b")
	c.Check(nearest(hosts, "z"), qt.Equals, "a")
	c.Check(nearest(nil, "y"), qt.Equals, "")
}
