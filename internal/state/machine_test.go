package state_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
)

// driver applies commands to a machine with increasing indexes.
type driver struct {
	*state.Machine
	index uint64
	nowMS int64
}

func newDriver(limits state.Limits) *driver {
	return &driver{Machine: state.New(limits), nowMS: 1_000_000}
}

func (d *driver) do(command *wire.Command) *wire.Result {
	d.index++
	command.NowUnixMs = d.nowMS
	return decodeResult(d.Apply(d.index, encodeCommand(command)))
}

func encodeCommand(command *wire.Command) []byte {
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	return data
}

func decodeResult(data []byte) *wire.Result {
	var result wire.Result
	if err := proto.Unmarshal(data, &result); err != nil {
		panic(err)
	}
	return &result
}

func propose(operator, document string) *wire.Command {
	return &wire.Command{Body: &wire.Command_ProposeBundle{
		ProposeBundle: &wire.ProposeBundle{Operator: operator, Document: []byte(document)},
	}}
}

func proposeDelta(operator string, delta []byte) *wire.Command {
	return &wire.Command{Body: &wire.Command_ProposeBundle{
		ProposeBundle: &wire.ProposeBundle{Operator: operator, Delta: delta},
	}}
}

func signOff(operator string, digest []byte) *wire.Command {
	return &wire.Command{Body: &wire.Command_SignOffBundle{
		SignOffBundle: &wire.SignOffBundle{Operator: operator, Digest: digest},
	}}
}

func accept(operator string, digest []byte) *wire.Command {
	return &wire.Command{Body: &wire.Command_AcceptBundle{
		AcceptBundle: &wire.AcceptBundle{Operator: operator, Digest: digest},
	}}
}

func withdraw(operator string, digest []byte) *wire.Command {
	return &wire.Command{Body: &wire.Command_WithdrawBundle{
		WithdrawBundle: &wire.WithdrawBundle{Operator: operator, Digest: digest},
	}}
}

// document returns a small valid bundle. Bundles with different shares differ.
func document(parent uint64, share int) string {
	return fmt.Sprintf(`{"version":0,"parent":%d,
		"regions":[{"name":"maz","zones":["maz-1"]}],
		"client_accounts":[{"name":"fair","share":%d,"key_sha256":[],"services":["orders"]}],
		"services":[{"name":"orders","protocol":"plain","kinds":[{"name":"book","idempotent":false}]}]}`,
		parent, share)
}

func acquire(name string, holder *wire.Process, leaseMS uint32) *wire.Command {
	return &wire.Command{Body: &wire.Command_AcquireFence{
		AcquireFence: &wire.AcquireFence{Name: name, Holder: holder, LeaseMs: leaseMS},
	}}
}

func quarantine(digest string, durationMS uint32) *wire.Command {
	return &wire.Command{Body: &wire.Command_Quarantine{
		Quarantine: &wire.QuarantineDigest{Service: "orders", Digest: []byte(digest), DurationMs: durationMS},
	}}
}

func drain(endpoint string, drained bool) *wire.Command {
	return &wire.Command{Body: &wire.Command_DrainEndpoint{
		DrainEndpoint: &wire.DrainEndpoint{Operator: "ann", Service: "orders", Endpoint: endpoint, Drained: drained},
	}}
}

func TestFences(t *testing.T) {
	c := qt.New(t)
	d := newDriver(state.Limits{MaxFences: 2})
	a, b := router("a", 1), router("b", 1)
	for i, step := range []struct {
		delay  int64
		name   string
		holder *wire.Process
		lease  uint32
		code   string
		number uint64
	}{
		{0, "placement", a, 100, "", 1},
		{50, "placement", a, 100, "", 1},
		{99, "placement", b, 100, state.CodeFenceHeld, 1},
		{0, "placement", router("a", 2), 100, state.CodeFenceHeld, 1},
		{1, "placement", b, 100, "", 2},
		{100, "placement", b, 100, "", 3},
		{0, "placement", b, 0, "", 3},
		{0, "placement", a, 100, "", 4},
		{0, "other", b, 100, "", 1},
		{0, "third", b, 100, state.CodeFencesFull, 0},
		{0, "other", b, 3_600_001, state.CodeBadCommand, 0},
		{0, "", b, 1, state.CodeBadCommand, 0},
	} {
		d.nowMS += step.delay
		result := d.do(acquire(step.name, step.holder, step.lease))
		c.Assert(result.GetError().GetCode(), qt.Equals, step.code, qt.Commentf("step %d", i))
		c.Assert(result.GetFence().GetNumber(), qt.Equals, step.number, qt.Commentf("step %d", i))
	}
	d.do(abandon(a))
	c.Assert(d.do(acquire("placement", a, 100)).GetError().GetCode(), qt.Equals, state.CodeProcessAbandoned)
	held, _ := d.Fence("placement")
	c.Assert(held.GetHolder().GetHost(), qt.Equals, "a")
}

func TestSuspects(t *testing.T) {
	c := qt.New(t)
	d := newDriver(state.Limits{MaxQuarantined: 2})
	suspect := func(durationMS uint32, digests ...string) *wire.Command {
		list := &wire.SuspectDigests{Service: "orders", DurationMs: durationMS}
		for _, digest := range digests {
			list.Digests = append(list.Digests, []byte(digest))
		}
		return &wire.Command{Body: &wire.Command_Suspect{Suspect: list}}
	}
	now := time.UnixMilli(d.nowMS)
	d.do(suspect(100, "x", "y", "z"))
	c.Assert(d.Suspected(now), qt.HasLen, 2)
	c.Assert(d.Quarantined(now), qt.HasLen, 0)
	c.Assert(d.Suspected(now.Add(100*time.Millisecond)), qt.HasLen, 0)
	c.Assert(d.do(suspect(0, "x")).GetError().GetCode(), qt.Equals, state.CodeBadCommand)
	c.Assert(d.do(suspect(1, "")).GetError().GetCode(), qt.Equals, state.CodeBadCommand)
}

func TestQuarantine(t *testing.T) {
	c := qt.New(t)
	d := newDriver(state.Limits{MaxQuarantined: 1})
	d.do(quarantine("x", 100))
	d.do(quarantine("x", 50))
	now := time.UnixMilli(d.nowMS)
	c.Assert(d.Quarantined(now)[0].GetDurationMs(), qt.Equals, uint32(100))
	c.Assert(d.Quarantined(now.Add(100*time.Millisecond)), qt.HasLen, 0)
	c.Assert(d.do(quarantine("y", 50)).GetError().GetCode(), qt.Equals, state.CodeQuarantineFull)
	d.nowMS += 100
	c.Assert(d.do(quarantine("y", 50)).GetError(), qt.IsNil)
	c.Assert(d.do(quarantine("y", 0)).GetError().GetCode(), qt.Equals, state.CodeBadCommand)
}

func TestDrains(t *testing.T) {
	c := qt.New(t)
	d := newDriver(state.Limits{MaxDrained: 1})
	d.do(drain("e1", true))
	d.do(drain("e1", true))
	c.Assert(d.do(drain("e2", true)).GetError().GetCode(), qt.Equals, state.CodeDrainsFull)
	c.Assert(d.Drained(), qt.HasLen, 1)
	d.do(drain("e1", false))
	c.Assert(d.Drained(), qt.HasLen, 0)
	var acts []string
	entries, _ := d.Audit(0)
	for _, entry := range entries {
		acts = append(acts, entry.GetAct()+" "+entry.GetSubject()+" "+entry.GetResult())
	}
	c.Assert(acts, qt.DeepEquals, []string{
		"drain orders/e1 ok", "drain orders/e1 repeated", "drain orders/e2 drains_full", "undrain orders/e1 ok",
	})
}

func TestFullProcessTableEvictsOldHosts(t *testing.T) {
	c := qt.New(t)
	d := newDriver(state.Limits{MaxProcesses: 2})
	d.do(register(router("a", 1)))
	d.do(begin("k", "d", "x", router("b", 1)))
	c.Assert(d.do(register(router("c", 1))).GetError().GetCode(), qt.Equals, state.CodeProcessesFull)
	for range 7 * 24 * 60 {
		d.nowMS += time.Minute.Milliseconds()
		d.do(drain("e1", false))
	}
	c.Assert(d.do(register(router("c", 1))).GetError(), qt.IsNil)
	c.Assert(d.Processes(), qt.HasLen, 2)
	c.Assert(d.Processes()[0].GetProcess().GetHost(), qt.Equals, "b")
}

func TestBadCommandsChangeNothing(t *testing.T) {
	c := qt.New(t)
	m := state.New(state.Limits{})
	command := encodeCommand(&wire.Command{NowUnixMs: 1 << 60, Body: drain("e1", true).Body})
	c.Assert(decodeResult(m.Apply(1, []byte("\xff"))).GetError().GetCode(), qt.Equals, state.CodeBadCommand)
	c.Assert(decodeResult(m.Apply(2, command)).GetError().GetCode(), qt.Equals, state.CodeBadCommand)
	c.Assert(decodeResult(m.Apply(2, encodeCommand(drain("e1", true)))).GetError().GetCode(), qt.Equals, state.CodeStaleIndex)
	c.Assert(m.Drained(), qt.HasLen, 0)
	c.Assert(m.Index(), qt.Equals, uint64(2))
}

func TestStoreNotifiesWatchers(t *testing.T) {
	c := qt.New(t)
	s := state.NewStore(state.Limits{})
	woken := func(act func()) bool {
		changed := s.Changed()
		act()
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	apply := func(index uint64, command *wire.Command) func() {
		return func() { s.Apply(index, encodeCommand(command)) }
	}
	c.Assert(woken(apply(1, drain("e1", true))), qt.IsTrue)
	c.Assert(woken(apply(2, drain("e1", true))), qt.IsFalse)
	c.Assert(woken(apply(3, begin("k", "d", "a", router("r", 1)))), qt.IsFalse)
	c.Assert(woken(apply(4, quarantine("x", 10))), qt.IsTrue)
	c.Assert(woken(apply(5, propose("ann", document(0, 1)))), qt.IsTrue)
	data, err := s.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(woken(func() { c.Assert(s.Restore(data), qt.IsNil) }), qt.IsTrue)
	c.Assert(woken(func() { c.Assert(s.Restore(data[:9]), qt.ErrorIs, state.ErrSnapshot) }), qt.IsFalse)
	c.Assert(s.Index(), qt.Equals, uint64(5))
}
