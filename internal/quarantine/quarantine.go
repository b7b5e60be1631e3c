// Package quarantine finds the requests that crash endpoints.
//
// A crash makes each request in flight on the endpoint a suspect. A suspect
// runs alone the next time, so a second crash convicts it, and a whole answer
// clears it. A convicted digest is quarantined for a time.
//
// It is a pure state machine: the present time is an argument.
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

// Config bounds a Table. Zero fields take their defaults.
type Config struct {
	// MaxEntries bounds the digests that are remembered.
	MaxEntries int
	// SuspectTime is how long a suspect is remembered after its last crash.
	SuspectTime time.Duration
	// QuarantineTime is how long a digest is quarantined.
	QuarantineTime time.Duration
}

// Defaults fills the fields that are unset.
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

// Status says how a request is to be treated.
type Status int

// The statuses.
const (
	// Clear requests run like any other.
	Clear Status = iota
	// Suspect requests run alone on an endpoint, once at a time.
	Suspect
	// Quarantined requests are refused at once.
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
	// RetryAfter is how long the quarantine lasts yet; 0 for other statuses.
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

// record is what is known of one digest.
type record struct {
	// crashes counts the endpoints that died while they ran the digest.
	crashes int
	// until is when the record is forgotten.
	until time.Time
	// quarantined digests are refused until then.
	quarantined bool
	// running says that a copy of a suspect is under way.
	running bool
}

// New returns an empty Table.
func New(config Config) *Table {
	config.Defaults()
	return &Table{config: config, records: make(map[Digest]*record)}
}

// RecordCrash counts the crash of an endpoint for the digests that were in flight
// on it, and returns those that are quarantined by it, to be published to the
// fleet.
//
// A suspect is quarantined when it ran alone, or when it was the only suspect
// among its companions. Several suspects in one crash (copies that were in
// flight before they became suspects) stay suspects: the next run tells.
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

// recordDigestCrash adds one crash in which so many suspects were in flight, and returns
// true when the digest is quarantined by it.
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

// Check returns how a request with the digest is to be treated now.
func (t *Table) Check(now time.Time, digest Digest) Verdict {
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

// TryStart reserves the one run of a suspect. It returns false when a copy of the
// request is under way already, so that the caller's repeats do not cost an
// endpoint each; that is over when Crash, Cleared or End is called. It returns
// true for a digest that is no suspect, and false for a quarantined one.
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

// EndRun gives back a run of Start that told nothing: the request was withdrawn,
// or failed without a crash.
func (t *Table) EndRun(digest Digest) {
	if r := t.records[digest]; r != nil {
		r.running = false
	}
}

// ClearSuspect forgets a suspect whose answer was whole. It returns false when the
// digest was no suspect; a quarantined digest stays so.
func (t *Table) ClearSuspect(now time.Time, digest Digest) bool {
	r := t.lookup(now, digest)
	if r == nil || r.quarantined {
		return false
	}
	delete(t.records, digest)
	return true
}

// MergeQuarantined quarantines a digest that another router has convicted. It returns
// false when the digest is quarantined for as long already.
func (t *Table) MergeQuarantined(digest Digest, until time.Time) bool {
	r := t.records[digest]
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

// MergeSuspect makes a digest a suspect that crashed an endpoint at another
// router, unless this router knows it already.
func (t *Table) MergeSuspect(now time.Time, digest Digest) bool {
	if t.lookup(now, digest) != nil {
		return false
	}
	t.add(digest, &record{crashes: 1, until: now.Add(t.config.SuspectTime)})
	return true
}

// Suspects returns the digests that crashed an endpoint and are not
// quarantined, ordered.
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

// QuarantinedEntries returns the quarantined digests, ordered, for a peer that knows
// none.
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

// Len returns the number of digests remembered, expired ones included until
// they are met.
func (t *Table) Len() int { return len(t.records) }
