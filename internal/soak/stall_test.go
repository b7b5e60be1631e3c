package soak

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStallsAreFaults checks that a request beside a stall of the soak is not reported as
// lost, and that others are.
func TestStallsAreFaults(t *testing.T) {
	const began, ended = 20 * time.Second, 23 * time.Second
	tests := []struct {
		name string
		at   stall
		want string
	}{
		{"within the request", stall{21 * time.Second, 22 * time.Second}, ""},
		{"shortly before", stall{15 * time.Second, 17 * time.Second}, ""},
		{"long before", stall{14 * time.Second, 15 * time.Second}, "LOST"},
		{"afterwards", stall{24 * time.Second, 25 * time.Second}, "LOST"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &Site{recorder: &recorder{started: time.Now()}, ledger: newLedger(), faultFreeFrom: 10 * time.Second}
			s.recordStall(test.at)
			s.ledger.begin(&sentRequest{
				kind: requestKinds[3], id: "r", account: "large", failure: errors.New("EOF"), began: began, ended: ended,
				executions: []execution{{endpoint: "e", service: plainService, account: "large"}},
			})
			s.checkLedger()
			qt.Check(t, violatedInvariants(s), qt.Equals, test.want)
		})
	}
}

// TestRunningProcessHasNoStalls checks that nothing is recorded while the process runs.
func TestRunningProcessHasNoStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Site{recorder: &recorder{started: time.Now()}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		s.watchStalls(ctx)
		qt.Check(t, s.stalls, qt.HasLen, 0)
	})
}
