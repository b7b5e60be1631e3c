package site

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/settings"
)

func TestMaxOpenConnections(t *testing.T) {
	tests := []struct{ memoryMB, descriptors, want int }{
		{0, 4096, 2472},
		{112, 4096, 2389},
		{284, 4096, 2472},
		{0, 0, 1},
	}
	for _, test := range tests {
		got := maxOpenConnections(&settings.Site{MemoryMB: test.memoryMB, MaxDescriptors: test.descriptors})
		qt.Check(t, got, qt.Equals, test.want)
	}
}
