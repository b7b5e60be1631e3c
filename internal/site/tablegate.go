package site

import "time"

const (
	// confirmedTableTTL is how long after a confirmed read of the quorum the routing
	// table of a control host counts as the latest.
	confirmedTableTTL = time.Second
	// unconfirmedTableWait is how long a router without a routing table must have asked a
	// control host that can't confirm its own before it gets that one. The router asks
	// every other one before it asks the same again: any that reaches a quorum confirms
	// its table within a few round trips. After a restart of all processes no host can,
	// until a leader is elected, and callers must not wait for that.
	unconfirmedTableWait = primarySyncPeriod
	// tableAskGap is the longest time between two questions of a router that has had no
	// routing table since the first.
	tableAskGap = 3 * time.Second
)

// tableGate decides when a control host gives its routing table to a router that has
// none. After a restart, or out of touch with the others, the host may hold a former one,
// whose keys may have been withdrawn since. If no quorum is left, routers get the table
// all the same, as they could not serve anything otherwise.
//
// It is a pure state machine: the present time is an argument.
type tableGate struct {
	// confirmedAt is when the last confirmed read began; zero if there was none.
	confirmedAt time.Time
	// asking holds the routers without a table that have got none, by host.
	asking map[string]tableAsker
}

// tableAsker is a router that asks for its first routing table.
type tableAsker struct {
	incarnation uint64
	first, last time.Time
}

func newTableGate() *tableGate { return &tableGate{asking: make(map[string]tableAsker)} }

// confirm records that the table held now was the latest at that time.
func (g *tableGate) confirm(at time.Time) {
	if at.After(g.confirmedAt) {
		g.confirmedAt = at
	}
}

// confirmed reports whether the table counts as the latest.
func (g *tableGate) confirmed(now time.Time) bool {
	return !g.confirmedAt.IsZero() && now.Sub(g.confirmedAt) < confirmedTableTTL
}

// opens reports whether the router may have the table now.
func (g *tableGate) opens(now time.Time, router string, incarnation uint64) bool {
	for other, asker := range g.asking {
		if now.Sub(asker.last) > tableAskGap {
			delete(g.asking, other)
		}
	}
	if g.confirmed(now) {
		delete(g.asking, router)
		return true
	}
	asker, ok := g.asking[router]
	if !ok || asker.incarnation != incarnation {
		asker = tableAsker{incarnation: incarnation, first: now}
	}
	asker.last = now
	g.asking[router] = asker
	return now.Sub(asker.first) >= unconfirmedTableWait
}
