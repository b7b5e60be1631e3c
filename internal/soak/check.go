package soak

import (
	"time"

	"oleanderramp/platform/outside"
)

const (
	// leaveBound is how long after its acknowledgement an endpoint that leaves
	// may still get requests.
	leaveBound = 2500 * time.Millisecond
	// stableFor is how long the site must have been without faults for the
	// promises that are bounded in time.
	stableFor = 4 * time.Second
)

// checkLedger checks what endpoints ran against what callers sent and got.
func (s *Site) checkLedger() {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	for _, e := range s.ledger.stray {
		s.journal.find("UNASKED", "%s ran %s, which nobody sent", e.endpoint, e.path)
	}
	for _, r := range s.ledger.requests {
		for _, e := range r.executions {
			s.checkExecution(r, e)
		}
		s.checkRequest(r)
	}
}

func (s *Site) checkExecution(r *sent, e execution) {
	switch {
	case e.path != r.path || e.body != r.body:
		s.journal.find("UNASKED", "%s ran as %s %q", r.id, e.path, e.body)
	case e.account != r.account || e.key != "":
		s.journal.find("UNASKED", "%s ran for %q with key %q, not for %q", r.id, e.account, e.key, r.account)
	case e.service != r.kind.service:
		s.journal.find("ROUTE", "%s (%s) ran at %s of %s", r.id, r.kind.name, e.endpoint, e.service)
	case e.left > 0 && e.at > e.left+leaveBound && s.calm(e.left-stableFor, e.at):
		s.journal.find("DRAIN", "%s ran at %s %v after its leaving was acknowledged", r.id, e.endpoint, e.at-e.left)
	}
}

func (s *Site) checkRequest(r *sent) {
	runs := len(r.executions)
	switch {
	case r.kind.once && runs > 1:
		s.journal.find("TWICE", "%s (%s) ran %d times", r.id, r.kind.name, runs)
	case runs > maxAttempts:
		s.journal.find("BUDGET", "%s (%s) ran at %d endpoints of %d", r.id, r.kind.name, runs, maxAttempts)
	case r.kind.once && outside.GuaranteesNotRun(r.status) && runs > 0:
		s.journal.find("REFUSED", "%s (%s) was refused by %d and has run", r.id, r.kind.name, r.status)
	case r.failure != nil && !r.abandoned && runs > 0 && s.calm(r.began-stableFor, r.ended):
		s.journal.find("LOST", "%s (%s) ran and got no whole answer: %v", r.id, r.kind.name, r.failure)
	}
}

// calm tells whether no fault was under way in the time.
func (s *Site) calm(from, to time.Duration) bool {
	return from >= s.calmFrom && (s.calmTo == 0 || to <= s.calmTo)
}
