package placement

import "time"

// Timing of the lease. All holders must use the same.
const (
	// LeaseTerm is the duration of a lease.
	LeaseTerm = 10 * time.Second
	// SendTimeout bounds the time from deciding on an order to the end of
	// sending it.
	SendTimeout = 2 * time.Second
	// ClockMargin is the maximum drift between the clocks of two hosts within a
	// lease term.
	ClockMargin = time.Second
)

// firstToken is the fencing token of the first holder of a lease, which has no
// previous holder to wait for.
const firstToken = 1

// Lease is the holder's view of its fenced lease. The zero value means no
// lease. Its times are from the holder's own clock, so an offset between the
// clocks of two hosts has no effect.
type Lease struct {
	token   uint64
	expires time.Time
	// previousHolderExpiry is the time from which the previous holder certainly
	// sends no more orders; zero if there was no previous holder.
	previousHolderExpiry time.Time
}

// FencingToken returns the fencing token, or 0 without a lease.
func (l Lease) FencingToken() uint64 { return l.token }

// Until returns when the lease ends unless it is renewed.
func (l Lease) Until() time.Time { return l.expires }

// PreviousHolderExpiry returns the time from which the previous holder
// certainly sends no more orders, or zero if there was no previous holder.
func (l Lease) PreviousHolderExpiry() time.Time { return l.previousHolderExpiry }

// Acquired returns the lease after the quorum has granted or renewed it. sent
// is when the request was sent, received is when the response arrived.
//
// The term counts from sent, which is before the quorum handled the request.
// The previous holder's last renewal was committed before the new token was
// granted, so its term ends at most one term after received, whatever the
// clocks of the quorum's leaders show.
func (l Lease) Acquired(sent, received time.Time, token uint64) Lease {
	next := Lease{token: token, expires: sent.Add(LeaseTerm), previousHolderExpiry: l.previousHolderExpiry}
	if token != l.token {
		next.previousHolderExpiry = received.Add(LeaseTerm + SendTimeout + ClockMargin)
	}
	if token == firstToken {
		next.previousHolderExpiry = time.Time{}
	}
	return next
}

// CoversSend reports whether an order decided now can be sent before the lease
// expires.
func (l Lease) CoversSend(now time.Time) bool {
	return l.token > 0 && l.expires.Sub(now) > SendTimeout
}

// allowsOrder reports whether an order may be sent to the endpoint now. An
// endpoint that does not check fencing tokens gets no order before
// previousHolderExpiry, because it could not refuse a late order of the previous
// holder.
func (l Lease) allowsOrder(now time.Time, e Endpoint) bool {
	return e.ChecksFencing || !now.Before(l.previousHolderExpiry)
}
