// Package quarantine identifies the requests that crash endpoints.
//
// A crash makes each request in flight on the endpoint a suspect. The next time,
// a suspect runs alone, so that a second crash shows that it is the cause and a
// complete answer clears it. A request that caused a second crash is quarantined
// for a limited time.
//
// The package does no I/O and reads no clock: the current time is an argument.
package quarantine

import (
	"slices"
	"time"
)

// Defaults of Config.
const (
	defaultMaxEntries     = 10_000
	defaultSuspectTime    = 10 * time.Minute
	defaultQuarantineTime = 10 * time.Minute
)

// crashLimit is the number of crashes at which a digest is quarantined.
const crashLimit = 2

// Config sets the limits of a Table. Zero fields take their defaults.
type Config struct {
	// MaxEntries bounds the number of digests in the table.
	MaxEntries int
	// SuspectTime is how long a digest stays a suspect after its last crash.
	SuspectTime time.Duration
	// QuarantineTime is how long a digest is quarantined.
	QuarantineTime time.Duration
}

// Defaults sets the unset fields to their defaults.
func (c *Config) Defaults() {
	if c.MaxEntries == 0 {
		c.MaxEntries = defaultMaxEntries
	}
	if c.SuspectTime == 0 {
		c.SuspectTime = defaultSuspectTime
	}
	if c.QuarantineTime == 0 {
		c.QuarantineTime = defaultQuarantineTime
	}
}

// Status determines how a request is handled.
type Status int

// The statuses.
const (
	// Clear requests run without restrictions.
	Clear Status = iota
	// Suspect requests run alone on an endpoint, one copy at a time.
	Suspect
	// Quarantined requests are refused immediately.
	Quarantined
)

func (s Status) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	default:
		return "clear"
	}
}

// Verdict is the status of a request.
type Verdict struct {
	Status Status
	// RetryAfter is the remaining time of the quarantine; 0 for other statuses.
	RetryAfter time.Duration
}

// Entry is a quarantined digest and the end of its quarantine.
type Entry struct {
	Digest Digest
	Until  time.Time
}

// Table holds one router's suspects and quarantined digests. It is not safe
// for concurrent use.
type Table struct {
	config  Config
	records map[Digest]*record
}

// record is the state of one digest.
type record struct {
	// crashes counts the endpoint crashes during which the digest was in flight.
	crashes int
	// until is when the record expires.
	until time.Time
	// quarantined digests are refused until the record expires.
	quarantined bool
	// running is set while a copy of a suspect runs.
	running bool
}

// New returns an empty Table.
func New(config Config) *Table {
	config.Defaults()
	return &Table{config: config, records: make(map[Digest]*record)}
}

// RecordCrash counts the crash of an endpoint for the digests that were in flight
// on it. It returns the digests that this crash puts into quarantine, to be
// published to the fleet.
//
// A suspect is quarantined when it was the only suspect in flight. Several
// suspects in one crash (copies that were in flight before they became suspects)
// stay suspects, because only their next run shows which one is the cause.
func (t *Table) RecordCrash(now time.Time, inFlight []Digest) []Entry {
	distinct := slices.Clone(inFlight)
	slices.SortFunc(distinct, compareDigests)
	distinct = slices.Compact(distinct)
	suspects := 0
	for _, digest := range distinct {
		if t.lookup(now, digest) != nil {
			suspects++
		}
	}
	var quarantined []Entry
	for _, digest := range distinct {
		if t.recordDigestCrash(now, digest, suspects) {
			quarantined = append(quarantined, Entry{Digest: digest, Until: t.records[digest].until})
		}
	}
	return quarantined
}

// recordDigestCrash counts one crash for the digest and reports whether it puts
// the digest into quarantine. suspects is the number of suspects in flight.
func (t *Table) recordDigestCrash(now time.Time, digest Digest, suspects int) bool {
	r := t.lookup(now, digest)
	if r == nil {
		t.add(digest, &record{crashes: 1, until: now.Add(t.config.SuspectTime)})
		return false
	}
	if r.quarantined {
		return false
	}
	r.crashes++
	r.running = false
	if r.crashes < crashLimit || suspects > 1 {
		r.until = now.Add(t.config.SuspectTime)
		return false
	}
	r.quarantined = true
	r.until = now.Add(t.config.QuarantineTime)
	return true
}

// StatusOf returns the current status of requests with the digest.
func (t *Table) StatusOf(now time.Time, digest Digest) Verdict {
	r := t.lookup(now, digest)
	switch {
	case r == nil:
		return Verdict{Status: Clear}
	case r.quarantined:
		return Verdict{Status: Quarantined, RetryAfter: r.until.Sub(now)}
	default:
		return Verdict{Status: Suspect}
	}
}

// TryStart reserves the single run of a suspect. It returns false when a copy of
// the request is already running, so that repeats by the caller do not crash one
// endpoint each. RecordCrash, ClearSuspect or EndRun ends the reservation. It
// returns true for a digest that is not a suspect, and false for a quarantined
// one.
func (t *Table) TryStart(now time.Time, digest Digest) bool {
	r := t.lookup(now, digest)
	if r == nil {
		return true
	}
	if r.quarantined || r.running {
		return false
	}
	r.running = true
	return true
}

// EndRun releases a run reserved by TryStart that neither cleared nor confirmed
// the suspect: the request was cancelled, or failed without a crash.
func (t *Table) EndRun(digest Digest) {
	if r := t.records[digest]; r != nil {
		r.running = false
	}
}

// ClearSuspect removes a suspect whose request was answered completely. It
// returns false when the digest was not a suspect. A quarantined digest stays
// quarantined.
func (t *Table) ClearSuspect(now time.Time, digest Digest) bool {
	r := t.lookup(now, digest)
	if r == nil || r.quarantined {
		return false
	}
	delete(t.records, digest)
	return true
}

// MergeQuarantined quarantines a digest that another router has quarantined. It
// returns false when the quarantine has ended, or the digest is already
// quarantined at least that long.
func (t *Table) MergeQuarantined(now time.Time, digest Digest, until time.Time) bool {
	if !now.Before(until) {
		return false
	}
	r := t.lookup(now, digest)
	if r == nil {
		t.add(digest, &record{quarantined: true, until: until})
		return true
	}
	if r.quarantined && !r.until.Before(until) {
		return false
	}
	r.quarantined = true
	r.until = until
	return true
}

// MergeSuspect makes a digest that was in flight at a crash seen by another
// router a suspect. It returns false when the table already has a record of the
// digest.
func (t *Table) MergeSuspect(now time.Time, digest Digest) bool {
	if t.lookup(now, digest) != nil {
		return false
	}
	t.add(digest, &record{crashes: 1, until: now.Add(t.config.SuspectTime)})
	return true
}

// Suspects returns the digests that are suspects and not quarantined, in
// ascending order.
func (t *Table) Suspects(now time.Time) []Digest {
	var digests []Digest
	for digest := range t.records {
		if r := t.lookup(now, digest); r != nil && !r.quarantined {
			digests = append(digests, digest)
		}
	}
	slices.SortFunc(digests, compareDigests)
	return digests
}

// QuarantinedEntries returns all quarantined digests in ascending order, for a
// peer that has none yet.
func (t *Table) QuarantinedEntries(now time.Time) []Entry {
	var entries []Entry
	for digest := range t.records {
		if r := t.lookup(now, digest); r != nil && r.quarantined {
			entries = append(entries, Entry{Digest: digest, Until: r.until})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return compareDigests(a.Digest, b.Digest) })
	return entries
}

// Len returns the number of digests in the table. Expired ones count until a
// lookup deletes them.
func (t *Table) Len() int { return len(t.records) }
