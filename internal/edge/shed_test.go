package edge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestShed(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		lag    time.Duration
		random float64
		want   bool
	}{
		{0, 0, false},
		{lagFrom, 0, false},
		{lagFrom + time.Millisecond, 0, true},
		{(lagFrom + lagAll) / 2, 0.49, true},
		{(lagFrom + lagAll) / 2, 0.51, false},
		{lagAll + time.Millisecond, 0.999, true},
	}
	for _, test := range tests {
		c.Check(shed(test.lag, test.random), qt.Equals, test.want, qt.Commentf("%v %v", test.lag, test.random))
	}
}
