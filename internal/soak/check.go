package soak

import (
	"time"

	"oleanderramp/platform/outside"
)

const (
	// maxDrainDelay is how long after its acknowledgement an endpoint that leaves
	// may still get requests.
	maxDrainDelay = 2500 * time.Millisecond
	// stabilizationTime is how long the site must have been without faults for the
	// promises that are bounded in time.
	stabilizationTime = 4 * time.Second
)

// checkLedger checks what endpoints ran against what callers sent and got.
func (s *Site) checkLedger() {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	for _, e := range s.ledger.unsolicited {
		s.recorder.addFinding("UNASKED", "%s ran %s, which nobody sent", e.endpoint, e.path)
	}
	for _, r := range s.ledger.requests {
		for _, e := range r.executions {
			s.checkExecution(r, e)
		}
		s.checkRequest(r)
	}
}

func (s *Site) checkExecution(r *sentRequest, e execution) {
	switch {
	case e.path != r.path || e.body != r.body:
		s.recorder.addFinding("UNASKED", "%s ran as %s %q", r.id, e.path, e.body)
	case e.account != r.account || e.key != "":
		s.recorder.addFinding("UNASKED", "%s ran for %q with key %q, not for %q", r.id, e.account, e.key, r.account)
	case e.service != r.kind.service:
		s.recorder.addFinding("ROUTE", "%s (%s) ran at %s of %s", r.id, r.kind.name, e.endpoint, e.service)
	case e.leaveAcknowledged > 0 && e.at > e.leaveAcknowledged+maxDrainDelay && s.faultFree(e.leaveAcknowledged-stabilizationTime, e.at):
		s.recorder.addFinding("DRAIN", "%s ran at %s %v after its leaving was acknowledged", r.id, e.endpoint, e.at-e.leaveAcknowledged)
	}
}

func (s *Site) checkRequest(r *sentRequest) {
	runs := len(r.executions)
	switch {
	case r.kind.atMostOnce && runs > 1:
		s.recorder.addFinding("TWICE", "%s (%s) ran %d times", r.id, r.kind.name, runs)
	case runs > maxAttempts:
		s.recorder.addFinding("BUDGET", "%s (%s) ran at %d endpoints of %d", r.id, r.kind.name, runs, maxAttempts)
	case r.kind.atMostOnce && outside.PromisesNotRun(r.status) && runs > 0:
		s.recorder.addFinding("REFUSED", "%s (%s) was refused by %d and has run", r.id, r.kind.name, r.status)
	case r.failure != nil && !r.abandoned && runs > 0 && s.faultFree(r.began-stabilizationTime, r.ended):
		s.recorder.addFinding("LOST", "%s (%s) ran and got no whole answer: %v", r.id, r.kind.name, r.failure)
	}
}

// faultFree tells whether no fault was under way in the time.
func (s *Site) faultFree(from, to time.Duration) bool {
	return from >= s.faultFreeFrom && (s.faultFreeUntil == 0 || to <= s.faultFreeUntil)
}
