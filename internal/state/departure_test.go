package state_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
)

func depart(endpoint string, startedMS, nowMS int64) *wire.Command {
	return &wire.Command{NowUnixMs: nowMS, Body: &wire.Command_RecordDeparture{RecordDeparture: &wire.RecordDeparture{Endpoint: endpoint, StartedMs: startedMS}}}
}

// TestDepartures guards against a departure that is forgotten while a daemon may still know
// the endpoint, that ends a later start of it, or that a snapshot loses.
func TestDepartures(t *testing.T) {
	c := qt.New(t)
	m := state.New(state.Limits{})
	for i, step := range []struct {
		command *wire.Command
		code    string
	}{
		{depart("a", 5, 1000), ""},
		{depart("b", 5, 2000), ""},
		{depart("a", 5, 3000), ""},
		{depart("a", 4, 4000), ""},
		{depart("", 4, 4000), state.CodeBadCommand},
		{depart("c", 0, 4000), state.CodeBadCommand},
	} {
		result := &wire.Result{}
		c.Assert(proto.Unmarshal(m.Apply(uint64(i+1), encodeCommand(step.command)), result), qt.IsNil)
		c.Check(result.GetError().GetCode(), qt.Equals, step.code, qt.Commentf("command %d", i))
	}
	restored := state.New(state.Limits{})
	c.Assert(restored.Restore(snapshot(t, m)), qt.IsNil)
	for _, machine := range []*state.Machine{m, restored} {
		c.Check(machine.DeparturesSince(0), qt.HasLen, 2)
		c.Check(machine.DeparturesSince(1)[0].GetEndpoint(), qt.Equals, "b")
		c.Check(machine.HasDeparture("a", 5), qt.IsTrue)
		c.Check(machine.HasDeparture("a", 6), qt.IsFalse)
		machine.Apply(10, encodeCommand(depart("a", 6, 50_000)))
		machine.Apply(11, encodeCommand(depart("d", 6, 109_000)))
		machine.Apply(12, encodeCommand(depart("e", 6, 168_000)))
		c.Check(machine.HasDeparture("a", 6), qt.IsTrue)
		c.Check(machine.HasDeparture("b", 5), qt.IsFalse, qt.Commentf("two minutes have passed"))
		c.Check(machine.DeparturesSince(3), qt.HasLen, 2)
	}
}
