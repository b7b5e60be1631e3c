package soak

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestChecksCatch plants a broken promise each.
func TestChecksCatch(t *testing.T) {
	stream, once, booking, lookup := kinds[0], kinds[1], kinds[2], kinds[3]
	run := func(change func(*execution)) execution {
		e := execution{endpoint: "e", service: plainService, account: "large", path: "/x", body: "b", at: 20 * time.Second}
		change(&e)
		return e
	}
	fine := run(func(*execution) {})
	tests := []struct {
		name    string
		kind    kind
		status  int
		failure error
		runs    []execution
		want    string
	}{
		{"served", booking, 200, nil, []execution{fine}, ""},
		{"refused", booking, 503, nil, nil, ""},
		{"failed after it may have run", booking, 502, nil, []execution{fine}, ""},
		{"tried again", lookup, 200, nil, []execution{fine, fine}, ""},
		{"another path", lookup, 200, nil, []execution{run(func(e *execution) { e.path = "/y" })}, "UNASKED"},
		{"another body", lookup, 200, nil, []execution{run(func(e *execution) { e.body = "" })}, "UNASKED"},
		{"another account", lookup, 200, nil, []execution{run(func(e *execution) { e.account = "small" })}, "UNASKED"},
		{"key passed on", lookup, 200, nil, []execution{run(func(e *execution) { e.key = "k" })}, "UNASKED"},
		{"another service", lookup, 200, nil, []execution{run(func(e *execution) { e.service = engineService })}, "ROUTE"},
		{"endpoint had left", lookup, 200, nil, []execution{run(func(e *execution) { e.left = 16 * time.Second })}, "DRAIN"},
		{"endpoint was leaving", lookup, 200, nil, []execution{run(func(e *execution) { e.left = 18 * time.Second })}, ""},
		{"endpoint had left amid faults", lookup, 200, nil, []execution{run(func(e *execution) { e.left = 12 * time.Second })}, ""},
		{"booked twice", booking, 200, nil, []execution{fine, fine}, "TWICE"},
		{"streamed twice", once, 200, nil, []execution{run(serviceOfStreams), run(serviceOfStreams)}, "TWICE"},
		{"refused and run", booking, 503, nil, []execution{fine}, "REFUSED"},
		{"stream refused and run", once, 429, nil, []execution{run(serviceOfStreams)}, "REFUSED"},
		{"too many attempts", stream, 200, nil, []execution{run(serviceOfStreams), run(serviceOfStreams), run(serviceOfStreams)}, "BUDGET"},
		{"run and cut", lookup, 0, errors.New("EOF"), []execution{fine}, "LOST"},
		{"cut and not run", lookup, 0, errors.New("EOF"), nil, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &Site{journal: &journal{started: time.Now()}, ledger: newLedger(), calmFrom: 10 * time.Second}
			s.ledger.begin(&sent{
				kind: test.kind, id: "r", path: "/x", body: "b", account: "large", status: test.status, failure: test.failure,
				began: 19 * time.Second, ended: 21 * time.Second, executions: test.runs,
			})
			s.checkLedger()
			qt.Check(t, promises(s), qt.Equals, test.want)
		})
	}
}

func serviceOfStreams(e *execution) { e.service = engineService }

func promises(s *Site) string {
	var list []string
	for _, f := range s.journal.findings {
		list = append(list, f.Promise)
	}
	return strings.Join(list, " ")
}

func TestStrayExecution(t *testing.T) {
	s := &Site{journal: &journal{started: time.Now()}, ledger: newLedger()}
	s.ledger.ran("nobody's", execution{path: "/look/1"})
	s.ledger.ran("", execution{path: markPrefix(3) + "probe"})
	s.checkLedger()
	qt.Check(t, promises(s), qt.Equals, "UNASKED")
}

func TestReadBackIsWhatWasSent(t *testing.T) {
	c := qt.New(t)
	v := newVersions()
	_, first := v.next(0, false)
	_, second := v.next(1, true)
	c.Assert(string(first), qt.Not(qt.Equals), string(second))
	got, ok := v.take(first)
	c.Check(got, qt.Equals, 1)
	c.Check(ok, qt.IsTrue)
	_, ok = v.take(second)
	c.Check(ok, qt.IsFalse, qt.Commentf("other content under one version"))
	_, ok = v.take([]byte("never sent"))
	c.Check(ok, qt.IsFalse)
}
