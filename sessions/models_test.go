package sessions_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
)

// bookingInput is the input of an operation of the booking history: an attempt
// to book an order, or the count of its runs at the end.
type bookingInput struct {
	key   string
	count bool
}

// bookingOutput is the outcome of an attempt, with the response for "ok", or the
// number of runs. An attempt whose response was lost has the outcome "unknown".
type bookingOutput struct {
	outcome string
	answer  string
	runs    int
}

// bookingPhase is what the history so far shows about an order.
type bookingPhase int

const (
	phaseNotRun bookingPhase = iota
	phaseMayHaveRun
	phaseFinished
)

type bookingState struct {
	phase  bookingPhase
	answer string
}

// bookingModel specifies the valid outcomes for one idempotency key: the order
// runs at most once, the response never changes, "not_run" has no effect, and an
// order that may have run is never run again.
var bookingModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(bookingInput).key
			byKey[key] = append(byKey[key], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return bookingState{} },
	Step: func(state, input, output any) (bool, any) {
		s, out := state.(bookingState), output.(bookingOutput)
		if input.(bookingInput).count {
			return runsAllowed(s, out.runs), s
		}
		switch out.outcome {
		case "ok":
			if s.phase == phaseFinished && s.answer != out.answer {
				return false, s
			}
			return true, bookingState{phase: phaseFinished, answer: out.answer}
		case "unknown":
			if s.phase == phaseNotRun {
				s.phase = phaseMayHaveRun
			}
			return true, s
		case "not_run":
			return true, s
		}
		return false, s
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

func runsAllowed(s bookingState, runs int) bool {
	switch s.phase {
	case phaseNotRun:
		return runs == 0
	case phaseMayHaveRun:
		return runs <= 1
	}
	return runs == 1
}

// registerOp is an operation on the bundle register, which holds the accepted
// bundles and the open proposal.
type registerOp string

const (
	opPropose registerOp = "propose"
	opAccept  registerOp = "accept"
	opRead    registerOp = "read"
)

type registerInput struct {
	kind   registerOp
	parent uint64
	digest string
}

// registerOutput is the result of an operation. If the response was lost, the
// operation may or may not have taken effect.
type registerOutput struct {
	ok   bool
	lost bool
	// version is the version that a read returned. digest is the one that a read
	// returned or that a conflict error named.
	version uint64
	digest  string
}

// registerState holds the digests of the bundles accepted since version 1, each
// with a leading slash, and the digest of the open proposal.
type registerState struct {
	accepted string
	open     string
}

func (s registerState) version() uint64 { return 1 + uint64(strings.Count(s.accepted, "/")) }

func (s registerState) contains(digest string) bool {
	return s.open == digest || strings.Contains(s.accepted+"/", "/"+digest+"/")
}

// winner returns the digest of the bundle accepted on top of the parent version,
// or else that of the open proposal.
func (s registerState) winner(parent uint64) string {
	if parent >= s.version() {
		return s.open
	}
	return strings.Split(s.accepted, "/")[parent]
}

// registerModel is a compare-and-set register: one proposal per parent version
// wins, the others get a conflict error that names the winner, a repeated
// operation gets its first result, and accepted bundles stay. An operation whose
// response was lost may or may not have taken effect.
var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
		if in.kind == opRead {
			seen := out.version == s.version() && (out.version == 1 || out.digest == s.winner(out.version-1))
			return statesIf(seen, s)
		}
		next := s
		switch {
		case in.kind == opPropose && s.open == "" && s.version() == in.parent && !s.contains(in.digest):
			next.open = in.digest
		case in.kind == opAccept && s.open == in.digest:
			next = registerState{accepted: s.accepted + "/" + in.digest}
		}
		switch {
		case out.lost:
			return statesIf(true, s, next)
		case out.ok:
			return statesIf(next.contains(in.digest), next)
		}
		refused := next == s && !s.contains(in.digest)
		return statesIf(refused && (in.kind == opAccept || strings.HasPrefix(s.winner(in.parent), out.digest)), s)
	},
}).ToModel()

func statesIf(allowed bool, states ...any) []any {
	if !allowed {
		return nil
	}
	return states
}

// endOfHistory is the return time of an operation whose response was lost: it
// may take effect at any time after the call.
const endOfHistory = math.MaxInt64

// TestBookingModel checks that the model accepts correct histories and rejects
// those of a faulty fleet.
func TestBookingModel(t *testing.T) {
	op := func(call, end int64, outcome, answer string) porcupine.Operation {
		return porcupine.Operation{
			Call: call, Return: end, Input: bookingInput{key: "k"}, Output: bookingOutput{outcome: outcome, answer: answer},
		}
	}
	count := func(runs int) porcupine.Operation {
		return porcupine.Operation{
			Call: 100, Return: 101, Input: bookingInput{key: "k", count: true}, Output: bookingOutput{runs: runs},
		}
	}
	tests := []struct {
		name    string
		history []porcupine.Operation
		want    bool
	}{
		{"run once and repeated", []porcupine.Operation{op(1, 2, "ok", "a"), op(3, 4, "ok", "a"), count(1)}, true},
		{"refused, then run", []porcupine.Operation{op(1, 2, "not_run", ""), op(3, 4, "ok", "a"), count(1)}, true},
		{"lost and not run", []porcupine.Operation{op(1, endOfHistory, "unknown", ""), count(0)}, true},
		{"run twice", []porcupine.Operation{op(1, 2, "ok", "a"), op(3, 4, "ok", "a"), count(2)}, false},
		{"different response to a repeat", []porcupine.Operation{op(1, 2, "ok", "a"), op(3, 4, "ok", "b"), count(1)}, false},
		{"ok without a run", []porcupine.Operation{op(1, 2, "ok", "a"), count(0)}, false},
		{"refused but run", []porcupine.Operation{op(1, 2, "not_run", ""), count(1)}, false},
		{"unknown and run twice", []porcupine.Operation{op(1, 2, "unknown", ""), count(2)}, false},
		{"invalid outcome", []porcupine.Operation{op(1, 2, "failed", ""), count(1)}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, porcupine.CheckOperations(bookingModel, test.history), qt.Equals, test.want)
		})
	}
}

// TestRegisterModel checks that the model accepts correct histories and rejects
// those of a faulty bundle register.
func TestRegisterModel(t *testing.T) {
	op := func(call, end int64, kind registerOp, digest string, out registerOutput) porcupine.Operation {
		return porcupine.Operation{Call: call, Return: end, Input: registerInput{kind: kind, parent: 1, digest: digest}, Output: out}
	}
	read := func(call int64, version uint64, digest string) porcupine.Operation {
		return op(call, call+1, opRead, "", registerOutput{version: version, digest: digest})
	}
	won, lost := registerOutput{ok: true}, registerOutput{lost: true}
	proposed := op(1, 2, opPropose, "a", won)
	accepted := op(3, 4, opAccept, "a", won)
	tests := []struct {
		name    string
		history []porcupine.Operation
		want    bool
	}{
		{"one proposal wins", []porcupine.Operation{proposed, op(1, 2, opPropose, "b", registerOutput{digest: "a"}), accepted, read(5, 2, "a")}, true},
		{"operations repeated", []porcupine.Operation{proposed, accepted, op(5, 6, opPropose, "a", won), op(7, 8, opAccept, "a", won)}, true},
		{"response lost", []porcupine.Operation{proposed, op(3, endOfHistory, opAccept, "a", lost), read(4, 1, ""), read(6, 2, "a")}, true},
		{"two open proposals", []porcupine.Operation{proposed, op(1, 2, opPropose, "b", won)}, false},
		{"two proposals win one version", []porcupine.Operation{proposed, accepted, op(5, 6, opPropose, "b", won)}, false},
		{"conflict names the wrong winner", []porcupine.Operation{proposed, op(3, 4, opPropose, "b", registerOutput{digest: "c"})}, false},
		{"stale read", []porcupine.Operation{proposed, accepted, read(5, 1, "")}, false},
		{"accepted bundle reverted", []porcupine.Operation{proposed, op(3, endOfHistory, opAccept, "a", lost), read(5, 2, "a"), read(7, 1, "")}, false},
		{"read of a bundle never proposed", []porcupine.Operation{proposed, accepted, read(5, 2, "b")}, false},
		{"proposal on the current version refused", []porcupine.Operation{op(1, 2, opPropose, "a", registerOutput{})}, false},
		{"accepted without a proposal", []porcupine.Operation{op(1, 2, opAccept, "a", won)}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, porcupine.CheckOperations(registerModel, test.history), qt.Equals, test.want)
		})
	}
}
