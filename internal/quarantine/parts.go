package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// partCrashLimit is the number of runs of requests with a prompt part, each sent
	// after the crash that ended the one before, at which the part is quarantined. A
	// request that merely ran beside the cause is often in two: it is retried.
	partCrashLimit = 3
	// maxPartCrashes bounds the crashes that are kept for a part.
	maxPartCrashes = 16
	// quarantineGrowth is the factor by which each further crash, that of a probe,
	// prolongs the quarantine of a part, up to maxQuarantineSteps times.
	quarantineGrowth   = 4
	maxQuarantineSteps = 3
	// reportJitter is by how much the times of one event may differ, as each daemon
	// that passes a report on tells only how long ago it was.
	reportJitter = 250 * time.Millisecond
	// probeTime is how long the probe of a part may take before another one may run.
	probeTime = 15 * time.Second
)

// PartReport is evidence about a prompt part, as routers tell each other.
type PartReport struct {
	Part Digest
	// Crash identifies the crash that ended a request with the part; 0 reports that a
	// request with the part was answered.
	Crash uint64
	// SentAt is when the request was sent, and At when it ended.
	SentAt, At time.Time
}

// answered reports whether the report is of an answered request.
func (r PartReport) answered() bool { return r.Crash == 0 }

// PartsConfig sets the limits of Parts. Zero fields take their defaults, but for
// ProbeDelay.
type PartsConfig struct {
	MaxEntries     int
	SuspectTime    time.Duration
	QuarantineTime time.Duration
	// ProbeDelay is how long after the end of a quarantine this router sends a probe.
	// Routers should differ, so that the first one's probe ends before the next.
	ProbeDelay time.Duration
}

// Parts finds the prompt parts that crash endpoints, from the requests that were
// beginning when endpoints crashed and from those that were answered. No two requests
// with such a part need be alike, so that Table does not recognise them.
//
// A part is quarantined after partCrashLimit crashes in sequence without an answer.
// After its quarantine a single request is let through as a probe. An answer at any
// time clears the part, as a request with a part that crashes endpoints gets none.
//
// The evidence is a set, and what follows from it does not depend on the order in
// which it arrives, so that all routers that have heard of it agree. Parts is not safe
// for concurrent use.
type Parts struct {
	config  PartsConfig
	records map[Digest]*partRecord
}

// partRecord is the evidence about one prompt part.
type partRecord struct {
	// crashes are those after answeredAt, in ascending order of At, at most one for
	// each crash.
	crashes    []partCrash
	answeredAt time.Time
	// sequence is the number of crashes that follow one another; sequenceAt is when
	// the last of them happened.
	sequence   int
	sequenceAt time.Time
	// probeUntil is until when a probe is expected to be running.
	probeUntil time.Time
	// mergedAt is when evidence was last added. The record expires SuspectTime after
	// that and after its quarantine.
	mergedAt time.Time
}

// partCrash is a crash of an endpoint that ran a request with the part.
type partCrash struct {
	id         uint64
	sentAt, at time.Time
	// mergedAt is when it became known here.
	mergedAt time.Time
}

// NewParts returns Parts without evidence.
func NewParts(config PartsConfig) *Parts {
	limits := Config{MaxEntries: config.MaxEntries, SuspectTime: config.SuspectTime, QuarantineTime: config.QuarantineTime}
	limits.Defaults()
	config.MaxEntries, config.SuspectTime, config.QuarantineTime = limits.MaxEntries, limits.SuspectTime, limits.QuarantineTime
	return &Parts{config: config, records: make(map[Digest]*partRecord)}
}

// Len returns the number of parts with evidence.
func (p *Parts) Len() int { return len(p.records) }

// Add adds evidence and reports whether it was new and quarantines the part.
func (p *Parts) Add(now time.Time, report PartReport) bool {
	r := p.records[report.Part]
	if r == nil {
		if report.answered() || now.Sub(report.At) >= p.config.SuspectTime {
			return false
		}
		r = &partRecord{}
		p.add(now, report.Part, r)
	}
	before := r.sequence
	if !r.add(now, report) {
		return false
	}
	return before < r.sequence && r.sequence >= partCrashLimit
}

// add adds the evidence and reports whether it was new.
func (r *partRecord) add(now time.Time, report PartReport) bool {
	added := false
	if report.answered() {
		added = r.addAnswer(report)
	} else {
		added = r.addCrash(now, report)
	}
	if added {
		r.mergedAt = now
		r.countSequence()
	}
	return added
}

// addAnswer removes the crashes before the answer, and reports whether there were any
// or the answer is newer than the last one.
func (r *partRecord) addAnswer(report PartReport) bool {
	crashes := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c partCrash) bool { return !c.at.After(report.At) })
	newer := report.At.Sub(r.answeredAt) >= reportJitter
	if newer {
		r.answeredAt = report.At
	}
	return newer || len(r.crashes) < crashes
}

// addCrash adds a crash and reports whether it was new. Of several requests that one
// crash ended, the one that was sent last counts.
func (r *partRecord) addCrash(now time.Time, report PartReport) bool {
	if !report.At.After(r.answeredAt) {
		return false
	}
	crash := partCrash{id: report.Crash, sentAt: report.SentAt, at: report.At, mergedAt: now}
	known := slices.IndexFunc(r.crashes, func(c partCrash) bool { return c.id == crash.id })
	switch {
	case known >= 0:
		if crash.sentAt.Sub(r.crashes[known].sentAt) < reportJitter {
			return false
		}
		r.crashes[known].sentAt = crash.sentAt
	case len(r.crashes) >= maxPartCrashes:
		return false
	default:
		r.crashes = append(r.crashes, crash)
		slices.SortFunc(r.crashes, func(a, b partCrash) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
		})
	}
	return true
}

// countSequence counts the crashes whose request was sent after the one before
// happened. Requests that were running already are no new evidence, such as when
// several endpoints fail at once.
func (r *partRecord) countSequence() {
	r.sequence, r.sequenceAt = 0, time.Time{}
	for _, crash := range r.crashes {
		if r.sequence == 0 || crash.sentAt.After(r.sequenceAt) {
			r.sequence++
			r.sequenceAt = crash.at
		}
	}
}

// quarantinedUntil returns the end of the quarantine; the zero time if there is none.
func (p *Parts) quarantinedUntil(r *partRecord) time.Time {
	if r.sequence < partCrashLimit {
		return time.Time{}
	}
	duration := p.config.QuarantineTime
	for range min(r.sequence-partCrashLimit, maxQuarantineSteps) {
		duration *= quarantineGrowth
	}
	return r.sequenceAt.Add(duration)
}

// expired reports whether the record has no effect any more.
func (p *Parts) expired(now time.Time, r *partRecord) bool {
	end := r.mergedAt
	if until := p.quarantinedUntil(r); until.After(end) {
		end = until
	}
	return now.Sub(end) >= p.config.SuspectTime
}

// add adds a record. A full table first deletes the record whose evidence is oldest.
func (p *Parts) add(now time.Time, part Digest, r *partRecord) {
	if len(p.records) >= p.config.MaxEntries {
		p.deleteExpired(now)
	}
	if len(p.records) >= p.config.MaxEntries {
		p.evict()
	}
	p.records[part] = r
}

func (p *Parts) deleteExpired(now time.Time) {
	for part, r := range p.records {
		if p.expired(now, r) {
			delete(p.records, part)
		}
	}
}

// evict deletes the record with the shortest sequence of crashes, of these the one
// whose evidence is oldest.
func (p *Parts) evict() {
	var victim Digest
	var worst *partRecord
	for part, r := range p.records {
		if worst == nil || cmp.Or(cmp.Compare(r.sequence, worst.sequence), r.mergedAt.Compare(worst.mergedAt), compareDigests(part, victim)) < 0 {
			victim, worst = part, r
		}
	}
	delete(p.records, victim)
}

// StatusOf returns the status of requests with the part. A Suspect is due for a
// probe, see StartProbe. Parts that are not quarantined are Clear, also if requests
// with them were running at a crash.
func (p *Parts) StatusOf(now time.Time, part Digest) Verdict {
	r := p.records[part]
	if r == nil {
		return Verdict{Status: Clear}
	}
	if p.expired(now, r) {
		delete(p.records, part)
		return Verdict{Status: Clear}
	}
	until := p.quarantinedUntil(r)
	if until.IsZero() {
		return Verdict{Status: Clear}
	}
	until = until.Add(p.config.ProbeDelay)
	if r.probeUntil.After(until) {
		until = r.probeUntil
	}
	if now.Before(until) {
		return Verdict{Status: Quarantined, RetryAfter: until.Sub(now)}
	}
	return Verdict{Status: Suspect}
}

// StartProbe records that a request with the part is sent as a probe. Further
// requests are refused until its end is known, or for probeTime.
func (p *Parts) StartProbe(now time.Time, part Digest) {
	if r := p.records[part]; r != nil {
		r.probeUntil = now.Add(probeTime)
	}
}

// Reports returns the evidence that became known here within maxAge, and all evidence
// about quarantined parts, for routers that do not know it.
func (p *Parts) Reports(now time.Time, maxAge time.Duration) []PartReport {
	p.deleteExpired(now)
	var list []PartReport
	for part, r := range p.records {
		if now.Sub(r.mergedAt) < maxAge && !r.answeredAt.IsZero() {
			list = append(list, PartReport{Part: part, At: r.answeredAt})
		}
		for _, crash := range r.crashes {
			if r.sequence >= partCrashLimit || now.Sub(crash.mergedAt) < maxAge {
				list = append(list, PartReport{Part: part, Crash: crash.id, SentAt: crash.sentAt, At: crash.at})
			}
		}
	}
	slices.SortFunc(list, func(a, b PartReport) int {
		return cmp.Or(compareDigests(a.Part, b.Part), a.At.Compare(b.At), cmp.Compare(a.Crash, b.Crash))
	})
	return list
}
