package placement

import "time"

// Timing of the lease. All holders must use the same.
const (
	// LeaseTerm is how long an acquired lease holds.
	LeaseTerm = 10 * time.Second
	// SendTimeout bounds the time from the decision for an order to the end of
	// its sending.
	SendTimeout = 2 * time.Second
	// ClockMargin is by how much the clocks of two hosts may drift apart
	// within a lease term.
	ClockMargin = time.Second
)

// firstToken is the fencing number of the first holder ever.
const firstToken = 1

// Lease is the holder's view of its fenced lease. The zero value is none. Its
// times are of the holder's own clock, so that clocks set differently do no
// harm.
type Lease struct {
	token uint64
	expires  time.Time
	// previousHolderExpiry is when the former holder has surely ended; zero without
	// one.
	previousHolderExpiry time.Time
}

// FencingToken returns the fencing number; 0 without a lease.
func (l Lease) FencingToken() uint64 { return l.token }

// Until returns when the lease ends unless it is renewed.
func (l Lease) Until() time.Time { return l.expires }

// PreviousHolderExpiry returns when the former holder has surely ended.
func (l Lease) PreviousHolderExpiry() time.Time { return l.previousHolderExpiry }

// Acquired returns the lease after the quorum has granted or renewed it. sent
// is when the question left, received when the answer came.
//
// The term counts from sent, which is before the quorum took the question. A
// former holder's last renewal was committed before the grant of a new number,
// so its term ends at the latest one term after received, whatever the clocks
// of the quorum's leaders say.
func (l Lease) Acquired(sent, received time.Time, number uint64) Lease {
	next := Lease{token: number, expires: sent.Add(LeaseTerm), previousHolderExpiry: l.previousHolderExpiry}
	if number != l.token {
		next.previousHolderExpiry = received.Add(LeaseTerm + SendTimeout + ClockMargin)
	}
	if number == firstToken {
		next.previousHolderExpiry = time.Time{}
	}
	return next
}

// CoversSend tells whether the sending of an order decided now ends before the lease
// does.
func (l Lease) CoversSend(now time.Time) bool {
	return l.token > 0 && l.expires.Sub(now) > SendTimeout
}

// allowsOrder tells whether the endpoint may get an order now.
func (l Lease) allowsOrder(now time.Time, e Endpoint) bool {
	return e.ChecksFencing || !now.Before(l.previousHolderExpiry)
}
