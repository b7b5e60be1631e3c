package state_test

import (
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
)

const (
	started  = wire.RecordState_RECORD_STATE_STARTED
	finished = wire.RecordState_RECORD_STATE_FINISHED
	notRun   = wire.RecordState_RECORD_STATE_NOT_RUN
	unknown  = wire.RecordState_RECORD_STATE_UNKNOWN
)

func router(host string, incarnation uint64) *wire.Process {
	return &wire.Process{Host: host, Incarnation: incarnation}
}

func begin(key, digest, attempt string, process *wire.Process) *wire.Command {
	return &wire.Command{Body: &wire.Command_Begin{Begin: &wire.BeginRequest{
		Account: "fair", Service: "orders", IdempotencyKey: key, RequestDigest: []byte(digest),
		Attempt: attempt, Router: process, Endpoint: "e1",
	}}}
}

func finish(key, attempt string, outcome wire.RecordState, body string) *wire.Command {
	request := &wire.FinishRequest{Account: "fair", Service: "orders", IdempotencyKey: key, Attempt: attempt, State: outcome}
	if outcome == finished {
		request.Answer = &wire.SavedAnswer{Status: 200, Body: []byte(body)}
	}
	return &wire.Command{Body: &wire.Command_Finish{Finish: request}}
}

func register(process *wire.Process) *wire.Command {
	return &wire.Command{Body: &wire.Command_Register{Register: &wire.RegisterProcess{Process: process}}}
}

func abandon(process *wire.Process) *wire.Command {
	return &wire.Command{Body: &wire.Command_Abandon{Abandon: &wire.AbandonProcess{Process: process}}}
}

// outcome formats the result of a record command: the error code, or the state
// of the record with its answer.
func outcome(result *wire.Result) string {
	if code := result.GetError().GetCode(); code != "" {
		return code
	}
	text := strings.ToLower(strings.TrimPrefix(result.GetBegin().GetState().String(), "RECORD_STATE_"))
	if result.GetBegin().GetStarted() {
		text = "go"
	}
	if answer := result.GetBegin().GetAnswer(); answer != nil {
		text += " " + string(answer.GetBody())
	}
	if result.GetBegin().GetAnswer().GetBodyOmitted() {
		text += "omitted"
	}
	return text
}

func TestRecordLifecycles(t *testing.T) {
	r1, r2 := router("r", 1), router("r", 2)
	type step struct {
		command *wire.Command
		want    string
	}
	for name, steps := range map[string][]step{
		"saved answer": {
			{begin("k", "d", "a", r1), "go"},
			{begin("k", "d", "a", r1), "go"},
			{begin("k", "d", "b", r1), "started"},
			{begin("k", "other", "c", r1), state.CodeKeyReused},
			{finish("k", "b", finished, "no"), state.CodeAttemptMismatch},
			{finish("k", "a", finished, "yes"), "finished yes"},
			{finish("k", "a", finished, "late"), "finished yes"},
			{finish("k", "a", notRun, ""), state.CodeRecordFinished},
			{begin("k", "d", "a", r1), "finished yes"},
			{begin("k", "d", "b", r1), "finished yes"},
			{begin("k", "other", "c", r1), state.CodeKeyReused},
		},
		"not run begins again": {
			{begin("k", "d", "a", r1), "go"},
			{finish("k", "a", notRun, ""), "not_run"},
			{finish("k", "a", notRun, ""), "not_run"},
			{begin("k", "d", "a", r1), state.CodeAttemptEnded},
			{finish("k", "a", finished, "x"), state.CodeAttemptEnded},
			{begin("k", "d", "b", r1), "go"},
			{begin("k", "d", "a", r1), state.CodeAttemptEnded},
			{finish("k", "a", notRun, ""), "not_run"},
			{finish("k", "a", finished, "x"), state.CodeAttemptEnded},
			{begin("k", "d", "b", r1), "go"},
		},
		"ended before it began": {
			{finish("k", "a", notRun, ""), "not_run"},
			{begin("k", "d", "a", r1), state.CodeAttemptEnded},
			{begin("k", "d", "b", r1), "go"},
		},
		"new incarnation": {
			{begin("k", "d", "a", r1), "go"},
			{begin("l", "d", "b", r1), "go"},
			{finish("l", "b", finished, "yes"), "finished yes"},
			{register(r2), "unspecified"},
			{begin("k", "d", "a", r1), state.CodeProcessAbandoned},
			{begin("l", "d", "a", r1), state.CodeProcessAbandoned},
			{begin("l", "d", "c", r2), "finished yes"},
			{begin("k", "d", "c", r2), "unknown"},
			{finish("k", "a", notRun, ""), state.CodeOutcomeUnknown},
			{finish("k", "c", finished, "no"), state.CodeAttemptMismatch},
			{finish("k", "a", finished, "after all"), "finished after all"},
			{begin("k", "d", "c", r2), "finished after all"},
			{register(r1), state.CodeProcessAbandoned},
		},
		"abandoned": {
			{begin("k", "d", "a", r2), "go"},
			{abandon(r1), "unspecified"},
			{begin("k", "d", "a", r2), "go"},
			{abandon(r2), "unspecified"},
			{abandon(r2), "unspecified"},
			{begin("k", "d", "a", r2), state.CodeProcessAbandoned},
			{register(r2), state.CodeProcessAbandoned},
			{begin("k", "d", "b", router("s", 1)), "unknown"},
			{begin("k", "d", "b", router("r", 3)), "unknown"},
		},
		"recorded as unknown": {
			{begin("k", "d", "a", r1), "go"},
			{finish("k", "a", unknown, ""), "unknown"},
			{finish("k", "a", unknown, ""), "unknown"},
			{begin("k", "d", "a", r1), "unknown"},
		},
		"refused": {
			{finish("k", "a", finished, "x"), state.CodeRecordMissing},
			{finish("k", "a", started, ""), state.CodeBadCommand},
			{begin("", "d", "a", r1), state.CodeBadCommand},
			{begin("k", "", "a", r1), state.CodeBadCommand},
			{begin("k", "d", "a", router("r", 0)), state.CodeBadCommand},
			{begin(strings.Repeat("k", 257), "d", "a", r1), state.CodeBadCommand},
			{&wire.Command{}, state.CodeUnknownCommand},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := newDriver(state.Limits{})
			for i, step := range steps {
				c.Assert(outcome(d.do(step.command)), qt.Equals, step.want, qt.Commentf("step %d", i))
			}
		})
	}
}

func TestBeginReturnsRunningAttempt(t *testing.T) {
	c := qt.New(t)
	d := newDriver(state.Limits{})
	d.do(begin("k", "d", "a", router("r", 1)))
	waiting := d.do(begin("k", "d", "b", router("s", 4))).GetBegin()
	c.Assert(waiting.GetAttempt(), qt.Equals, "a")
	c.Assert(waiting.GetRouter().GetHost(), qt.Equals, "r")
	c.Assert(outcome(d.do(finish("k", waiting.GetAttempt(), notRun, ""))), qt.Equals, "not_run")
	c.Assert(outcome(d.do(begin("k", "d", "b", router("s", 4)))), qt.Equals, "go")
}

func TestFullRecordTableRejectsBegin(t *testing.T) {
	c := qt.New(t)
	d := newDriver(state.Limits{MaxRecordBytes: 3_000, MaxAnswerBytes: 1_000, RecordRetention: time.Minute})
	c.Assert(outcome(d.do(begin("k", "d", "a", router("r", 1)))), qt.Equals, "go")
	c.Assert(outcome(d.do(begin("l", "d", "b", router("r", 1)))), qt.Equals, state.CodeRecordsFull)
	c.Assert(outcome(d.do(finish("k", "a", finished, strings.Repeat("x", 1_001)))), qt.Equals, "finished omitted")
	c.Assert(outcome(d.do(begin("l", "d", "b", router("r", 1)))), qt.Equals, "go")
	c.Assert(outcome(d.do(begin("m", "d", "b", router("r", 1)))), qt.Equals, state.CodeRecordsFull)

	d.nowMS += time.Minute.Milliseconds() - 1
	c.Assert(outcome(d.do(begin("k", "d", "c", router("r", 1)))), qt.Equals, "finished omitted")
	d.nowMS++
	c.Assert(outcome(d.do(begin("k", "d", "c", router("r", 1)))), qt.Equals, state.CodeRecordsFull)
	_, found := d.Record("fair", "orders", "k")
	c.Assert(found, qt.IsFalse)
	kept, _ := d.Record("fair", "orders", "l")
	c.Assert(kept.GetState(), qt.Equals, started)
}

// TestLeaderClockSkew alternates between the timestamps of leaders whose clocks
// differ. Records must neither expire early nor be kept beyond their retention.
func TestLeaderClockSkew(t *testing.T) {
	for name, wrong := range map[string]int64{
		"behind": -time.Hour.Milliseconds(), "years ahead": 1 << 40, "before 1970": math.MinInt64,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := newDriver(state.Limits{})
			start := time.Hour.Milliseconds() * 24 * 365
			d.nowMS = start
			d.do(begin("k", "d", "a", router("r", 1)))
			d.do(abandon(router("r", 1)))
			for range 10 {
				d.nowMS = start + wrong
				c.Assert(outcome(d.do(begin("k", "d", "b", router("s", 1)))), qt.Equals, "unknown")
				d.nowMS = start
				c.Assert(outcome(d.do(begin("k", "d", "b", router("s", 1)))), qt.Equals, "unknown")
			}
			for range 24 * 60 {
				d.nowMS += time.Minute.Milliseconds()
				d.do(register(router("s", 1)))
			}
			c.Assert(outcome(d.do(begin("k", "d", "b", router("s", 1)))), qt.Equals, "go")
		})
	}
}

func TestLeaseExpiresAfterClockJump(t *testing.T) {
	c := qt.New(t)
	d := newDriver(state.Limits{})
	d.nowMS += 1 << 40
	d.do(acquire("placement", router("a", 1), 100))
	d.nowMS -= 1 << 40
	c.Assert(d.do(acquire("placement", router("b", 1), 100)).GetError().GetCode(), qt.Equals, state.CodeFenceHeld)
	d.nowMS += 100
	c.Assert(d.do(acquire("placement", router("b", 1), 100)).GetFence().GetNumber(), qt.Equals, uint64(2))
	held, _ := d.Fence("placement")
	c.Assert(held.GetExpiresUnixMs(), qt.Equals, d.nowMS+100)
}

func TestIdlePeriodsExpireNothing(t *testing.T) {
	c := qt.New(t)
	d := newDriver(state.Limits{})
	d.do(begin("k", "d", "a", router("r", 1)))
	d.do(abandon(router("r", 1)))
	for range 10 {
		d.nowMS += 24 * time.Hour.Milliseconds()
		c.Assert(outcome(d.do(begin("k", "d", "b", router("s", 1)))), qt.Equals, "unknown")
	}
}
