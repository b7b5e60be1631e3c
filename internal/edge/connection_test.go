package edge

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// endedConnection is a connection that ended in the given way.
type endedConnection ConnectionEnd

func (c endedConnection) End() ConnectionEnd { return ConnectionEnd(c) }

// TestAttributeEnd checks that requests whose connection this daemon ended are not
// reported as abandoned by their callers, from which they could not be told apart.
func TestAttributeEnd(t *testing.T) {
	abandoned := &failure{outcome: OutcomeAbandoned, code: CodeBadBody}
	refused := &failure{status: 503, outcome: OutcomeNotRun, code: CodeBusy}
	tests := []struct {
		name    string
		failed  *failure
		end     ConnectionEnd
		code    Code
		outcome Outcome
		ended   bool
	}{
		{"open", abandoned, ConnectionOpen, CodeBadBody, OutcomeAbandoned, true},
		{"closed by the caller", abandoned, ConnectionClosedByCaller, CodeBadBody, OutcomeAbandoned, true},
		{"closed by the server", abandoned, ConnectionClosedByServer, CodeConnectionClosed, OutcomeFailed, true},
		{"timed out", abandoned, ConnectionTimedOut, CodeConnectionTimeout, OutcomeFailed, true},
		{"refused", refused, ConnectionTimedOut, CodeBusy, OutcomeNotRun, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := attributeEnd(WithConnection(context.Background(), endedConnection(test.end)), test.failed)
			c.Check(got.code, qt.Equals, test.code)
			c.Check(got.outcome, qt.Equals, test.outcome)
			c.Check(got.connectionEnded(), qt.Equals, test.ended)
		})
	}
	qt.Check(t, attributeEnd(context.Background(), nil), qt.IsNil)
	qt.Check(t, attributeEnd(context.Background(), abandoned), qt.Equals, abandoned)
}
