package directory

import "time"

const (
	// coldMargin is how much later the end of a cold phase must be than the known one to
	// be told to other daemons. The times that daemons compute differ by the delay of
	// their messages.
	coldMargin = 250 * time.Millisecond
	// maxColdFor bounds how long an endpoint may announce to be cold.
	maxColdFor = time.Hour
)

// ColdUntil returns the end of the cold phase that the endpoint announced; a time not
// after LastSeen if it is warm.
func (e Entry) ColdUntil() time.Time { return e.LastSeen.Add(e.ColdFor) }

// coldLongerThan reports whether e says that the endpoint is cold clearly longer than
// held does, or than it was known to be warm.
func (e Entry) coldLongerThan(held Entry) bool {
	return e.ColdFor > 0 && e.ColdUntil().Sub(held.ColdUntil()) > coldMargin
}

// mergeCold takes over from held what is known of the endpoint's temperature: the
// earliest time at which a daemon heard of its start, and, from another copy of the same
// announcement, the end of the cold phase, which daemons of an older version do not pass
// on.
func (e *Entry) mergeCold(held Entry) {
	if !held.FirstSeen.IsZero() && (e.FirstSeen.IsZero() || held.FirstSeen.Before(e.FirstSeen)) {
		e.FirstSeen = held.FirstSeen
	}
	if e.Sequence == held.Sequence {
		e.ColdFor = max(e.ColdFor, held.ColdUntil().Sub(e.LastSeen))
	}
}
