package soak

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"oleanderramp/platform/outside"
)

const (
	// maxDrainDelay is how long after its departure was acknowledged an endpoint
	// may still receive requests.
	maxDrainDelay = 2500 * time.Millisecond
	// stabilizationTime is how long the site must have been free of faults before
	// the invariants with a time bound are checked.
	stabilizationTime = 4 * time.Second
	// maxCloseDelay is how long after its last byte was sent a request that no endpoint
	// ran may end with its connection: the close may have crossed it.
	maxCloseDelay = 200 * time.Millisecond
)

// checkLedger checks the requests that endpoints ran against those that callers
// sent and the answers that they got.
func (s *Site) checkLedger() {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	for _, e := range s.ledger.unsolicited {
		s.recorder.addFinding("UNASKED", "%s ran a request to %s that no caller sent", e.endpoint, e.path)
	}
	for _, r := range s.ledger.requests {
		for _, e := range r.executions {
			s.checkExecution(r, e)
		}
		s.checkRequest(r)
		s.checkPaused(r)
	}
}

func (s *Site) checkExecution(r *sentRequest, e execution) {
	switch {
	case e.path != r.path || e.body != r.body:
		s.recorder.addFinding("UNASKED", "%s ran with path %s and body %q, which differ from those sent", r.id, e.path, e.body)
	case e.account != r.account || e.key != "":
		s.recorder.addFinding("UNASKED", "%s ran for account %q with key %q; want account %q without key", r.id, e.account, e.key, r.account)
	case e.service != r.kind.service:
		s.recorder.addFinding("ROUTE", "%s (%s) ran at endpoint %s of service %s", r.id, r.kind.name, e.endpoint, e.service)
	case r.kind.regions != nil && !slices.Contains(r.kind.regions, e.zone):
		s.recorder.addFinding("REGION", "%s (%s) ran at endpoint %s in %s, which is not allowed", r.id, r.kind.name, e.endpoint, e.zone)
	case s.evacuated(e):
		s.recorder.addFinding("EVACUATED", "%s ran at endpoint %s in the evacuated %s at %v", r.id, e.endpoint, e.zone, e.at)
	case e.leaveAcknowledged > 0 && e.at > e.leaveAcknowledged+maxDrainDelay && s.faultFree(e.leaveAcknowledged-stabilizationTime, e.at):
		s.recorder.addFinding("DRAIN", "%s ran at endpoint %s %v after its departure was acknowledged", r.id, e.endpoint, e.at-e.leaveAcknowledged)
	}
}

func (s *Site) checkRequest(r *sentRequest) {
	runs := len(r.executions)
	switch {
	case r.kind.atMostOnce && runs > 1:
		s.recorder.addFinding("TWICE", "%s (%s) ran %d times", r.id, r.kind.name, runs)
	case r.endpoints() > maxAttempts:
		s.recorder.addFinding("BUDGET", "%s (%s) ran at %d endpoints with at most %d allowed", r.id, r.kind.name, r.endpoints(), maxAttempts)
	case r.kind.atMostOnce && outside.GuaranteesNotRun(r.status) && runs > 0:
		s.recorder.addFinding("REFUSED", "%s (%s) was refused with status %d but ran", r.id, r.kind.name, r.status)
	case r.failure != nil && !r.abandoned && runs > 0 && s.faultFree(r.began-stabilizationTime, r.ended):
		s.recorder.addFinding("LOST", "%s (%s) ran but got no complete answer: %v", r.id, r.kind.name, r.failure)
	case r.failure != nil && !r.abandoned && r.wasRead() && s.faultFree(r.began-stabilizationTime, r.ended):
		s.recorder.addFinding("LOST", "%s (%s) was neither answered nor refused for %v: %v", r.id, r.kind.name, r.ended-r.sent, r.failure)
	}
}

// endpoints returns the number of endpoints that ran the request.
func (r *sentRequest) endpoints() int {
	ran := make(map[string]bool)
	for _, e := range r.executions {
		ran[e.endpoint] = true
	}
	return len(ran)
}

// wasRead reports whether the router has read the whole request, as far as its caller
// can tell: the connection was not closed around the last byte, nor reset, as it is if
// bytes are unread.
func (r *sentRequest) wasRead() bool {
	return r.sent > 0 && r.ended > r.sent+maxCloseDelay && !errors.Is(r.failure, syscall.ECONNRESET)
}

// faultFree reports whether the whole interval lies in the period without faults.
func (s *Site) faultFree(from, to time.Duration) bool {
	return from >= s.faultFreeFrom && (s.faultFreeUntil == 0 || to <= s.faultFreeUntil) && !s.stalled(from, to)
}
