package state_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
)

// recordModel is the reference model of the records of one account and service.
type recordModel struct {
	records   map[string]*modelRecord
	latest    map[string]uint64
	abandoned map[string]bool
	retention int64
	capacity  int
}

type modelRecord struct {
	digest, attempt, body string
	owner                 *wire.Process
	state                 wire.RecordState
	ended                 []string
	changed               int64
}

func (m *recordModel) expire(now int64) {
	for key, r := range m.records {
		if r.state != started && now-r.changed >= m.retention {
			delete(m.records, key)
		}
	}
}

func (m *recordModel) admit(now int64, p *wire.Process) bool {
	last := m.latest[p.Host]
	if p.Incarnation < last || p.Incarnation == last && m.abandoned[p.Host] {
		return false
	}
	if p.Incarnation > last {
		m.markUnknown(now, p.Host, p.Incarnation)
	}
	m.latest[p.Host], m.abandoned[p.Host] = p.Incarnation, false
	return true
}

func (m *recordModel) markUnknown(now int64, host string, before uint64) {
	for _, r := range m.records {
		if r.state == started && r.owner.Host == host && r.owner.Incarnation < before {
			r.state, r.changed = unknown, now
		}
	}
}

func (m *recordModel) apply(now int64, command *wire.Command) string {
	m.expire(now)
	switch body := command.Body.(type) {
	case *wire.Command_Begin:
		if !m.admit(now, body.Begin.Router) {
			return state.CodeProcessAbandoned
		}
		return m.begin(now, body.Begin)
	case *wire.Command_Finish:
		return m.finish(now, body.Finish)
	case *wire.Command_Register:
		if !m.admit(now, body.Register.Process) {
			return state.CodeProcessAbandoned
		}
	case *wire.Command_Abandon:
		p := body.Abandon.Process
		if m.admit(now, p) {
			m.abandoned[p.Host] = true
			m.markUnknown(now, p.Host, p.Incarnation+1)
		}
	}
	return "unspecified"
}

func (m *recordModel) begin(now int64, request *wire.BeginRequest) string {
	r := m.records[request.IdempotencyKey]
	if r == nil {
		if len(m.records) == m.capacity {
			return state.CodeRecordsFull
		}
		r = &modelRecord{state: notRun}
		m.records[request.IdempotencyKey] = r
	}
	switch {
	case r.digest != "" && r.digest != string(request.RequestDigest):
		return state.CodeKeyReused
	case slices.Contains(r.ended, request.Attempt):
		return state.CodeAttemptEnded
	case r.state == notRun:
		r.state, r.changed = started, now
		r.digest, r.attempt, r.owner = string(request.RequestDigest), request.Attempt, request.Router
		return "go"
	case r.state == started && r.attempt == request.Attempt && r.owner.String() == request.Router.String():
		return "go"
	}
	return r.text()
}

func (r *modelRecord) text() string {
	switch r.state {
	case started:
		return "started"
	case notRun:
		return "not_run"
	case unknown:
		return "unknown"
	}
	return "finished " + r.body
}

func (m *recordModel) finish(now int64, request *wire.FinishRequest) string {
	r := m.records[request.IdempotencyKey]
	ran := request.State != notRun
	switch {
	case r == nil && ran:
		return state.CodeRecordMissing
	case r == nil && len(m.records) == m.capacity:
		return state.CodeRecordsFull
	case r == nil:
		r = &modelRecord{state: notRun}
		m.records[request.IdempotencyKey] = r
	}
	ended := slices.Contains(r.ended, request.Attempt)
	switch {
	case ran && ended:
		return state.CodeAttemptEnded
	case ended:
		return "not_run"
	case r.state == notRun && ran:
		return state.CodeRecordMissing
	case r.state != notRun && r.attempt != request.Attempt:
		return state.CodeAttemptMismatch
	case r.state == finished && !ran:
		return state.CodeRecordFinished
	case r.state == unknown && !ran:
		return state.CodeOutcomeUnknown
	case r.state == finished, r.state == unknown && request.State == unknown:
		return r.text()
	}
	r.state, r.changed, r.body = request.State, now, string(request.Answer.GetBody())
	if !ran {
		r.ended = append(r.ended, request.Attempt)
	}
	return r.text()
}

func drawRecordCommand(t *rapid.T) *wire.Command {
	key := rapid.SampledFrom([]string{"k", "l", "m"}).Draw(t, "key")
	digest := rapid.SampledFrom([]string{"d", "d", "d", "e"}).Draw(t, "digest")
	attempt := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "attempt")
	process := router(rapid.SampledFrom([]string{"r", "s"}).Draw(t, "host"), rapid.Uint64Range(1, 4).Draw(t, "incarnation"))
	switch rapid.IntRange(0, 9).Draw(t, "act") {
	case 0:
		return register(process)
	case 1:
		return abandon(process)
	case 2, 3, 4:
		end := rapid.SampledFrom([]wire.RecordState{finished, notRun, unknown}).Draw(t, "end")
		return finish(key, attempt, end, fmt.Sprint("answer ", rapid.IntRange(0, 1).Draw(t, "body")))
	default:
		return begin(key, digest, attempt, process)
	}
}

// checkRecords applies random commands to a machine and compares the results
// with the model.
func checkRecords(t *rapid.T, injectFault func(*state.Machine)) error {
	d := newDriver(state.Limits{RecordRetention: 50 * time.Millisecond, MaxRecords: 2})
	injectFault(d.Machine)
	m := &recordModel{
		records: make(map[string]*modelRecord), latest: make(map[string]uint64), abandoned: make(map[string]bool),
		retention: 50, capacity: 2,
	}
	for i := range rapid.IntRange(1, 60).Draw(t, "length") {
		d.nowMS += rapid.SampledFrom([]int64{0, 1, 1, 20}).Draw(t, "delay")
		command := drawRecordCommand(t)
		got, want := outcome(d.do(command)), m.apply(d.nowMS, command)
		if got != want {
			return fmt.Errorf("command %d, %v: got %q, want %q", i, command, got, want)
		}
		if count, _ := d.RecordCount(); count != len(m.records) {
			return fmt.Errorf("command %d, %v: got %d records, want %d", i, command, count, len(m.records))
		}
	}
	return nil
}

func TestRecordsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := checkRecords(t, func(*state.Machine) {}); err != nil {
			t.Fatal(err)
		}
	})
}

func TestModelDetectsRestartOfUnknown(t *testing.T) {
	expectDetected(t, func(t *rapid.T) error { return checkRecords(t, (*state.Machine).AllowRestartOfUnknown) })
}

// expectDetected fails unless the check detects a fault within 500 random runs.
func expectDetected(t *testing.T, check func(*rapid.T) error) {
	t.Helper()
	for seed := range 500 {
		err := rapid.Custom(func(t *rapid.T) error { return check(t) }).Example(seed)
		if err != nil {
			return
		}
	}
	t.Fatal("the faulty machine passed 500 runs")
}
