package memgate

import (
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/membudget"
)

// Reason is why a client was rejected or its connection closed.
type Reason int

// The reasons.
const (
	// NoMemory clients were rejected as the budget had no room.
	NoMemory Reason = iota
	// Evicted clients were closed for others.
	Evicted
	// Stalled clients did not keep the minimum progress.
	Stalled
	// TooManyHeaderFields and HeaderTooLarge clients sent a header beyond its bounds.
	TooManyHeaderFields
	HeaderTooLarge
	// TooManyValues clients sent a document with too many or too deeply nested values.
	TooManyValues
	// SentAhead clients sent many requests ahead and did not get their turn.
	SentAhead
	reasons
)

var reasonNames = [reasons]string{"no_memory", "evicted", "stalled", "too_many_header_fields", "header_too_large", "too_many_values", "sent_ahead"}

// String returns the name of the reason in logs, metrics and answers.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{NoMemory, Evicted, Stalled, TooManyHeaderFields, HeaderTooLarge, TooManyValues, SentAhead}
}

// EndedCount returns how many clients were ended for the reason.
func (g *Gate) EndedCount(reason Reason) int64 { return g.ended[reason].Load() }

// Ended records that a client was rejected or its connection closed. Each reason is
// logged at most once in logPeriod, with the number of ends since.
func (g *Gate) Ended(reason Reason, holder string, kind membudget.Kind) {
	if g == nil {
		return
	}
	g.ended[reason].Add(1)
	count, held, ok := g.mayLog(time.Now(), reason)
	if !ok {
		return
	}
	eventOf(reason).Log(g.log, event.Fields{
		"reason": reason.String(), "holder": holder, "kind": kind.String(), "count": count, "held_bytes": held, "budget_bytes": g.Bytes(),
	})
}

func eventOf(reason Reason) event.Event {
	switch reason {
	case NoMemory, SentAhead:
		return event.ClientRejectedForMemory
	case Evicted:
		return event.ClientEvicted
	case Stalled:
		return event.ClientStalled
	case TooManyValues:
		return event.DocumentOverBounds
	default:
		return event.HeaderOverBounds
	}
}

// mayLog returns the number of ends since the last log line, and the memory in use.
func (g *Gate) mayLog(now time.Time, reason Reason) (count, held int64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unlogged[reason]++
	if now.Sub(g.loggedAt[reason]) < logPeriod {
		return 0, 0, false
	}
	count = g.unlogged[reason]
	g.loggedAt[reason], g.unlogged[reason] = now, 0
	return count, g.budget.Total(), true
}
