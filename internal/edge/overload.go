package edge

import (
	"maps"
	"math/rand/v2"
	"time"

	"oleanderramp/internal/event"
)

const (
	// drainingRetryAfter is the Retry-After time of a daemon that is shutting
	// down, overloadedRetryAfter that of one that is overloaded. They are short because
	// another daemon takes the request.
	drainingRetryAfter   = 50 * time.Millisecond
	overloadedRetryAfter = 10 * time.Millisecond
	// shedStartLag is the lag above which requests are shed, and shedAllLag the
	// lag at which all are: new connections are then rejected, as to look into requests
	// only to refuse them takes processor time from those in progress.
	shedStartLag = 10 * time.Millisecond
	shedAllLag   = 50 * time.Millisecond
	// maxFresh is the number of accepted connections from which nothing was read yet at
	// which further ones are rejected. A fifth of a core reads as many requests, and
	// refuses or sends them, in half a second.
	maxFresh = 64
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
// gets. A request stands for those on connections rejected before it, too.
func (f *Forwarder) rejectEarly(now time.Time, t *task, resolved bool) *failure {
	if f.refusing.Load() {
		return drainingFailure()
	}
	reason := f.overloaded(now, t, resolved)
	if reason == "" {
		return nil
	}
	t.overload = reason
	if resolved {
		f.cfg.Admission.recordShed(now, t.account, t.tokens(), f.acceptance.takeUnread())
	}
	f.acceptance.recordShed(now)
	return overloadedFailure()
}

func overloadedFailure() *failure {
	return &failure{status: 503, outcome: OutcomeNotRun, code: CodeOverloaded, retryAfter: overloadedRetryAfter, message: "the daemon is overloaded"}
}

// overloadReason is what showed that a daemon is overloaded, as logged.
type overloadReason string

const (
	overloadActive   overloadReason = "active_requests"
	overloadUnsynced overloadReason = "unsynced"
	overloadLag      overloadReason = "lag"
)

// logShed logs a request that was refused because this daemon is overloaded, unless
// too many were within the second.
func (f *Forwarder) logShed(now time.Time, t *task, fields func() event.Fields) {
	leftOut, ok := f.shedLines.allow(now)
	if !ok {
		return
	}
	line := fields()
	if t.account != "" {
		maps.Copy(line, shareFields(f.cfg.Admission.share(now, t.account)))
	}
	line["overload"], line["left_out"] = string(t.overload), leftOut
	line["lag_ms"], line["standing_lag_ms"] = f.cfg.Lag().Milliseconds(), f.cfg.StandingLag().Milliseconds()
	line["accepted_fraction"] = f.acceptance.fraction(now)
	line["unsynced_ms"] = f.cfg.UnsyncedFor().Milliseconds()
	event.RequestRefused.Log(f.cfg.Log, line)
}

// overloaded returns why to refuse a request because this daemon is overloaded,
// or "" if the request is not refused.
func (f *Forwarder) overloaded(now time.Time, t *task, resolved bool) overloadReason {
	if f.cfg.MaxActive > 0 && f.Active() > f.cfg.MaxActive {
		return overloadActive
	}
	if f.starved() {
		return overloadUnsynced
	}
	lag := f.lag()
	if lag <= shedStartLag {
		return ""
	}
	if shed(lag, !resolved || f.cfg.Admission.shedFirst(now, t.account, t.draw), rand.Float64()) {
		return overloadLag
	}
	return ""
}

// lag returns how long work waits for this daemon, by the measure that shows more.
func (f *Forwarder) lag() time.Duration { return max(f.cfg.Lag(), f.cfg.StandingLag()) }

// starved reports whether this daemon is too overloaded to communicate with its
// control hosts.
func (f *Forwarder) starved() bool {
	return f.lag() >= starvedLag && f.cfg.UnsyncedFor() >= starvedUnsynced
}

// Overwhelmed reports whether this daemon refuses all requests because it is
// overloaded.
func (f *Forwarder) Overwhelmed() bool { return f.lag() >= shedAllLag || f.starved() }

// AcceptsConnection reports whether to accept the next connection. While this daemon sheds
// requests, it rejects a part of the connections, and while Overwhelmed all.
// fresh is the number of connections that were accepted lately and from which nothing was
// read yet: a flood shows there before it shows in the lag.
func (f *Forwarder) AcceptsConnection(now time.Time, fresh int) bool {
	if f.Overwhelmed() || fresh >= maxFresh {
		f.acceptance.recordRejected()
		return false
	}
	return f.acceptance.next(now)
}

// minReadyFraction is the accepted fraction of new connections below which a daemon is not
// ready for any: other daemons can serve those that it would reject.
const minReadyFraction = 0.5

// Overloaded reports whether this daemon is refusing most of its requests, or rejecting
// most of the connections that callers open.
func (f *Forwarder) Overloaded(now time.Time) bool {
	return f.lag() >= (shedStartLag+shedAllLag)/2 || f.acceptance.fraction(now) < minReadyFraction
}

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
