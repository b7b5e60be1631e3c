package edge

import (
	"math/rand/v2"
	"time"
)

const (
	// drainingRetryAfter is the Retry-After time of a daemon that is shutting
	// down or overloaded. It is short because another daemon takes the request.
	drainingRetryAfter = 50 * time.Millisecond
	// shedStartLag is the lag above which requests are shed, and shedAllLag the
	// lag at which all are.
	shedStartLag = 10 * time.Millisecond
	shedAllLag   = 50 * time.Millisecond
	// starvedLag and starvedUnsynced are the thresholds of Lag and UnsyncedFor at
	// which, when both are reached, a daemon counts as too overloaded to
	// communicate with its control hosts. It refuses all requests then.
	starvedLag      = 5 * time.Millisecond
	starvedUnsynced = 1500 * time.Millisecond
)

// rejectEarly refuses a request before its body is read while the daemon is
// shutting down or overloaded. The connection is closed, so that the caller's
// next one reaches another daemon. Tokens refused because of overload still
// count as asked for, so that the account counts as one that wants more than it
// gets.
func (f *Forwarder) rejectEarly(t *task, resolved bool) *failure {
	now := time.Now()
	switch {
	case f.refusing.Load():
		return &failure{status: 503, outcome: OutcomeNotRun, code: CodeDraining, retryAfter: drainingRetryAfter, message: "the daemon is shutting down"}
	case f.overloaded(now, t, resolved):
		if resolved {
			f.cfg.Admission.recordAsked(now, t.account, t.tokens())
		}
		return &failure{status: 503, outcome: OutcomeNotRun, code: CodeOverloaded, retryAfter: drainingRetryAfter, message: "the daemon is overloaded"}
	default:
		return nil
	}
}

// overloaded reports whether to refuse a request because this daemon is
// overloaded.
func (f *Forwarder) overloaded(now time.Time, t *task, resolved bool) bool {
	if f.cfg.MaxActive > 0 && f.Active() > f.cfg.MaxActive {
		return true
	}
	lag := f.cfg.Lag()
	if lag >= starvedLag && f.cfg.UnsyncedFor() >= starvedUnsynced {
		return true
	}
	if lag <= shedStartLag {
		return false
	}
	return shed(lag, !resolved || f.cfg.Admission.beyondShare(now, t.account), rand.Float64())
}

// Overloaded reports whether this daemon is refusing most of its requests.
func (f *Forwarder) Overloaded() bool { return f.cfg.Lag() >= (shedStartLag+shedAllLag)/2 }

// shed reports whether to refuse a request at the given lag. Requests with
// shedFirst set are all refused before any other is. random is uniform in
// [0, 1).
func shed(lag time.Duration, shedFirst bool, random float64) bool {
	probability := 2 * float64(lag-shedStartLag) / float64(shedAllLag-shedStartLag)
	if !shedFirst {
		probability--
	}
	return probability > random
}
