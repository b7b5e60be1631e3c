package state_test

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
)

// lostOutput is the output of a call whose response was lost.
const lostOutput = "lost"

// call is a client's operation on the machine.
type call struct {
	client  int
	tick    int64
	input   any
	command *wire.Command
	// read is used in place of command by calls that change nothing.
	read func() string
	// text formats the result of command as the output.
	text func(*wire.Result) string
	// returned is called with the output.
	returned func(output string)
}

// simulation simulates clients that call a machine over a network. The network
// loses responses, so that clients send calls again, and delivers copies of
// completed calls late.
type simulation struct {
	*driver
	t       *rapid.T
	tick    int64
	pending map[int]*call
	copies  []*wire.Command
	history []porcupine.Operation
}

// run simulates random events until the clients have begun the number of calls.
func (s *simulation) run(calls, clients int, next func(client int) *call) {
	s.pending = make(map[int]*call)
	for begun := 0; begun < calls; {
		s.tick++
		client := rapid.IntRange(0, clients-1).Draw(s.t, "client")
		event := rapid.IntRange(0, 9).Draw(s.t, "event")
		c := s.pending[client]
		switch {
		case event == 0 && len(s.copies) > 0:
			s.do(rapid.SampledFrom(s.copies).Draw(s.t, "copy"))
		case event == 1:
			s.restart()
		case c == nil:
			c = next(client)
			c.client, c.tick = client, s.tick
			s.pending[client] = c
			begun++
		default:
			s.deliver(c, event < 4)
		}
	}
	for _, c := range s.pending {
		s.record(c, lostOutput, s.tick+1)
	}
}

// restart replaces the machine with one restored from its snapshot.
func (s *simulation) restart() {
	if err := s.Restore(snapshot(s.t, s.Machine)); err != nil {
		s.t.Fatal(err)
	}
}

func (s *simulation) deliver(c *call, loseAnswer bool) {
	var output string
	if c.read != nil {
		output = c.read()
	} else {
		result := s.do(c.command)
		output = c.text(result)
		// A begin that found another attempt running is not copied: a late
		// copy may start a record that its router doesn't run, which is safe
		// but not linearizable.
		if result.GetError() == nil && output != "started" {
			s.copies = append(s.copies, c.command)
		}
	}
	if loseAnswer {
		return
	}
	delete(s.pending, c.client)
	s.record(c, output, s.tick)
	if c.returned != nil {
		c.returned(output)
	}
}

func (s *simulation) record(c *call, output string, tick int64) {
	s.history = append(s.history, porcupine.Operation{
		ClientId: c.client, Input: c.input, Call: c.tick, Output: output, Return: tick,
	})
}

func (s *simulation) check(model porcupine.Model) error {
	if !porcupine.CheckOperations(model, s.history) {
		return fmt.Errorf("the history is not linearizable: %v", s.history)
	}
	return nil
}

// recordInput is an operation on one at-most-once record.
type recordInput struct {
	operation string
	client    int
	attempt   string
	outcome   wire.RecordState
	body      string
}

// recordState is the model state of one at-most-once record and its clients.
type recordState struct {
	state         wire.RecordState
	attempt, body string
	client        int
	abandoned     [3]bool
}

// recordHistoryModel is the linearizability model of one at-most-once record.
// Attempts are unique.
var recordHistoryModel = porcupine.Model{
	Init: func() any { return recordState{state: notRun} },
	Step: func(before, input, output any) (bool, any) {
		s, in := before.(recordState), input.(recordInput)
		want := s.step(in)
		return output == lostOutput || output == want ||
			// The response to an earlier begin was lost, and the client was
			// abandoned before it sent the begin again.
			in.operation == "begin" && output == state.CodeProcessAbandoned, s
	},
}

func (s *recordState) text() string {
	text := strings.ToLower(strings.TrimPrefix(s.state.String(), "RECORD_STATE_"))
	if s.state == finished {
		text += " " + s.body
	}
	return text
}

func (s *recordState) step(in recordInput) string {
	sameAttempt := s.attempt == in.attempt
	switch {
	case in.operation == "read":
		return s.text()
	case in.operation == "abandon":
		s.abandoned[in.client] = true
		if s.state == started && s.client == in.client {
			s.state = unknown
		}
		return "unspecified"
	case in.operation == "begin" && s.abandoned[in.client]:
		return state.CodeProcessAbandoned
	case in.operation == "begin" && s.state == notRun:
		s.state, s.attempt, s.client = started, in.attempt, in.client
		return "go"
	case in.operation == "begin":
		return s.text()
	case sameAttempt && s.state == unknown && in.outcome == notRun:
		return state.CodeOutcomeUnknown
	case sameAttempt && (s.state == started || s.state == unknown && in.outcome == finished):
		s.state, s.body = in.outcome, in.body
	}
	return s.text()
}

// checkBookings simulates three routers that book with the same idempotency key,
// and checks that at most one booking runs.
func checkBookings(t *rapid.T, injectFault func(*state.Machine)) error {
	s := &simulation{driver: newDriver(state.Limits{}), t: t}
	injectFault(s.Machine)
	runs := 0
	started := make(map[int]string)
	s.run(25, 3, func(client int) *call {
		process := router(fmt.Sprint("r", client), 1)
		in := recordInput{operation: "begin", client: client, attempt: fmt.Sprint("attempt-", s.tick)}
		act := rapid.IntRange(0, 9).Draw(t, "act")
		switch {
		case started[client] != "" && act < 7:
			in.operation, in.attempt = "finish", started[client]
			delete(started, client)
			in.outcome, in.body = drawOutcome(t, &runs)
			return &call{input: in, text: outcome, command: finish("k", in.attempt, in.outcome, in.body)}
		case act == 0:
			in.operation, in.client = "abandon", rapid.IntRange(0, 2).Draw(t, "victim")
			return &call{input: in, text: outcome, command: abandon(router(fmt.Sprint("r", in.client), 1))}
		case act == 1:
			in.operation = "read"
			return &call{input: in, read: s.readRecord}
		}
		return &call{
			input: in, text: outcome, command: begin("k", "d", in.attempt, process),
			returned: func(output string) {
				if output == "go" {
					started[client] = in.attempt
				}
			},
		}
	})
	if runs > 1 {
		return fmt.Errorf("the booking ran %d times: %v", runs, s.history)
	}
	return s.check(recordHistoryModel)
}

// drawOutcome makes a booking or not, and draws an outcome that the router may
// report for it.
func drawOutcome(t *rapid.T, runs *int) (outcome wire.RecordState, body string) {
	if rapid.Bool().Draw(t, "not sent") {
		return rapid.SampledFrom([]wire.RecordState{notRun, unknown}).Draw(t, "outcome"), ""
	}
	*runs++
	if rapid.Bool().Draw(t, "answered") {
		return finished, fmt.Sprint("booking ", *runs)
	}
	return unknown, ""
}

func (s *simulation) readRecord() string {
	known, found := s.Record("fair", "orders", "k")
	if !found {
		return "not_run"
	}
	return outcome(&wire.Result{Body: &wire.Result_Begin{Begin: known}})
}

// bundleInput is an operation on the bundles.
type bundleInput struct {
	operation, operator string
	parent, share       int
}

func (in bundleInput) content() string { return fmt.Sprint(in.parent, "/", in.share) }

// bundleHistoryModel is the linearizability model of the accepted bundle with
// compare-and-set proposals. The response to a call that was sent again may hold
// a later stage.
var bundleHistoryModel = porcupine.Model{
	Init: func() any { return bundleModel{} },
	Step: func(before, input, output any) (bool, any) {
		m, in := before.(bundleModel).clone(), input.(bundleInput)
		var want string
		switch in.operation {
		case "read":
			want = m.read()
		case "propose":
			want = m.propose(in.operator, in.content(), in.parent)
		default:
			want = m.apply(in.operation, in.operator, in.content(), in.parent)
		}
		got, _ := output.(string)
		withdrawnSince := got == state.CodeBundleWithdrawn && strings.Contains(want, " ")
		return got == lostOutput || withdrawnSince || withoutStage(got) == withoutStage(want), m
	},
	Equal: func(a, b any) bool { return reflect.DeepEqual(a, b) },
}

// withoutStage returns "3" for "accepted 3", and error codes unchanged.
func withoutStage(text string) string { return text[strings.IndexByte(text, ' ')+1:] }

func (m bundleModel) clone() bundleModel {
	if m.open != nil {
		open := *m.open
		m.open = &open
	}
	m.accepted, m.withdrawn = slices.Clip(m.accepted), slices.Clip(m.withdrawn)
	return m
}

func (m bundleModel) read() string {
	if len(m.accepted) == 0 {
		return "none"
	}
	return m.accepted[len(m.accepted)-1].content
}

// checkOperators simulates three operators that change bundles concurrently.
func checkOperators(t *rapid.T, injectFault func(*state.Machine)) error {
	s := &simulation{driver: newDriver(state.Limits{}), t: t}
	injectFault(s.Machine)
	acceptedDigests := make(map[uint64]string)
	var reverted error
	s.run(30, 3, func(client int) *call {
		current := version(s.Machine)
		if b := s.AcceptedBundle(); b != nil {
			if known := acceptedDigests[current]; known != "" && known != b.Digest().String() {
				reverted = errors.New("two bundles had the same version")
			}
			acceptedDigests[current] = b.Digest().String()
		}
		in := bundleInput{operator: fmt.Sprint("operator-", client), share: rapid.IntRange(1, 2).Draw(t, "share")}
		in.parent = max(0, int(current)-rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "age"))
		in.operation = rapid.SampledFrom([]string{"propose", "propose", "sign off", "sign off", "accept", "withdraw", "read"}).Draw(t, "act")
		digest := digestOf(document(uint64(in.parent), in.share))
		c := &call{input: in, text: stage}
		switch in.operation {
		case "propose":
			c.command = propose(in.operator, document(uint64(in.parent), in.share))
		case "sign off":
			c.command = signOff(in.operator, digest)
		case "accept":
			c.command = accept(in.operator, digest)
		case "withdraw":
			c.command = withdraw(in.operator, digest)
		default:
			c.read = s.readBundle
		}
		return c
	})
	return errors.Join(reverted, s.check(bundleHistoryModel))
}

func (s *simulation) readBundle() string {
	b := s.AcceptedBundle()
	if b == nil {
		return "none"
	}
	account, _ := b.Account("fair")
	return fmt.Sprint(b.Parent(), "/", account.Share)
}

func TestHistoriesAreLinearizable(t *testing.T) {
	for name, check := range map[string]func(*rapid.T, func(*state.Machine)) error{
		"bookings": checkBookings, "operators": checkOperators,
	} {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			if err := check(t, func(*state.Machine) {}); err != nil {
				t.Fatal(err)
			}
		}))
	}
}

func TestHistoriesDetectFaults(t *testing.T) {
	t.Run("bookings", func(t *testing.T) {
		expectDetected(t, func(t *rapid.T) error { return checkBookings(t, (*state.Machine).AllowRestartOfUnknown) })
	})
	t.Run("operators", func(t *testing.T) {
		expectDetected(t, func(t *rapid.T) error { return checkOperators(t, (*state.Machine).AllowSecondProposal) })
	})
}
