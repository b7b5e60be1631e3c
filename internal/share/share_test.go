package share_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/share"
)

var start = time.Unix(1_000_000, 0)

const window = 4 * time.Second

func TestLevel(t *testing.T) {
	tests := []struct {
		name     string
		asked    map[string]float64
		capacity float64
		want     float64
	}{
		{"nobody asks", nil, 100, 100},
		{"room for all", map[string]float64{"a": 10, "b": 20}, 100, 90},
		{"all ask for more", map[string]float64{"a": 100, "b": 200}, 100, 50},
		{"small ones get all", map[string]float64{"a": 10, "b": 20, "c": 500, "d": 400}, 100, 35},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := share.New(window)
			for account, asked := range test.asked {
				l.Ask(start, account, asked)
			}
			c.Check(l.Share(start, "a", test.capacity).Level, qt.Equals, test.want)
		})
	}
}

func TestUseLeavesTheWindow(t *testing.T) {
	c := qt.New(t)
	l := share.New(window)
	l.Ask(start, "a", 10)
	l.Admit(start, "a", 4)
	c.Check(l.Own(start.Add(3*time.Second)), qt.DeepEquals, []share.Use{{Account: "a", Asked: 10, Admitted: 4}})
	c.Check(l.Own(start.Add(window)), qt.HasLen, 0)
}

func TestOtherRoutersCount(t *testing.T) {
	c := qt.New(t)
	l := share.New(window)
	l.Ask(start, "big", 100)
	l.Ask(start, "small", 10)
	l.SetOthers([]share.Use{{Account: "big", Asked: 300, Admitted: 85}})
	got := l.Share(start, "big", 100)
	c.Check(got.Level, qt.Equals, 90.0)
	c.Check(got.Within(5), qt.IsTrue)
	c.Check(got.Within(6), qt.IsFalse)
	c.Check(l.Share(start, "small", 100).Within(1000), qt.IsTrue)
}
