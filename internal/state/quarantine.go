package state

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"oleanderramp/internal/wire"
)

// quarantineKey identifies requests to a service by their digest.
type quarantineKey struct {
	service string
	digest  string
}

// quarantineTable holds the expiry times of quarantined or suspected digests.
type quarantineTable struct {
	limits  Limits
	expires map[quarantineKey]int64
}

func newQuarantineTable(limits Limits) *quarantineTable {
	return &quarantineTable{limits: limits, expires: make(map[quarantineKey]int64)}
}

// quarantineDigest starts or extends a quarantine. It never shortens one.
func (m *Machine) quarantineDigest(request *wire.QuarantineDigest) *wire.Result {
	if !isValidText(request.GetService(), maxNameBytes) || !isValidDigest(request.GetDigest()) || request.GetDurationMs() == 0 {
		return errorResult(CodeBadCommand, "a quarantine needs a service, a digest and a duration")
	}
	if !m.quarantine.extend(m, quarantineKey{request.GetService(), string(request.GetDigest())}, request.GetDurationMs()) {
		return errorResult(CodeQuarantineFull, "there is no room for another digest")
	}
	return &wire.Result{}
}

// suspectDigests adds suspected digests. Those for which there is no room are
// ignored: only the router that reported them suspects them then.
func (m *Machine) suspectDigests(request *wire.SuspectDigests) *wire.Result {
	if !isValidText(request.GetService(), maxNameBytes) || request.GetDurationMs() == 0 {
		return errorResult(CodeBadCommand, "suspects need a service and a duration")
	}
	for _, digest := range request.GetDigests() {
		if !isValidDigest(digest) {
			return errorResult(CodeBadCommand, "a suspect's digest must have 1 to %d bytes", maxDigestBytes)
		}
	}
	for _, digest := range request.GetDigests() {
		m.suspects.extend(m, quarantineKey{request.GetService(), string(digest)}, request.GetDurationMs())
	}
	return &wire.Result{}
}

// extend sets the expiry of the entry to the duration from now, unless it
// expires later already. It returns false if there is no room for a new entry.
func (t *quarantineTable) extend(m *Machine, key quarantineKey, durationMS uint32) bool {
	for other, expiresMS := range t.expires {
		if expiresMS <= m.clock.nowMS {
			delete(t.expires, other)
		}
	}
	known, found := t.expires[key]
	if !found && len(t.expires) >= t.limits.MaxQuarantined {
		return false
	}
	if expiresMS := m.clock.nowMS + int64(durationMS); expiresMS > known {
		t.expires[key] = expiresMS
		m.revision++
	}
	return true
}

// Quarantined returns the digests in quarantine at now, ordered by service and
// digest, each with its remaining duration.
func (m *Machine) Quarantined(now time.Time) []*wire.QuarantineDigest {
	return m.quarantine.remaining(m, now)
}

// Suspected returns the suspected digests at now, in the form of Quarantined.
func (m *Machine) Suspected(now time.Time) []*wire.QuarantineDigest {
	return m.suspects.remaining(m, now)
}

func (t *quarantineTable) remaining(m *Machine, now time.Time) []*wire.QuarantineDigest {
	var digests []*wire.QuarantineDigest
	sinceMS := max(0, now.UnixMilli()-m.clock.lastTimestampMS)
	for _, q := range t.sorted() {
		left := q.GetExpiresMs() - m.clock.nowMS - sinceMS
		if left <= 0 {
			continue
		}
		digests = append(digests, &wire.QuarantineDigest{
			Service:    q.GetService(),
			Digest:     q.GetDigest(),
			DurationMs: uint32(min(left, 1<<32-1)),
		})
	}
	return digests
}

func (t *quarantineTable) sorted() []*wire.QuarantinedDigest {
	digests := make([]*wire.QuarantinedDigest, 0, len(t.expires))
	for key, expiresMS := range t.expires {
		digests = append(digests, &wire.QuarantinedDigest{
			Service: key.service, Digest: []byte(key.digest), ExpiresMs: expiresMS,
		})
	}
	slices.SortFunc(digests, func(a, b *wire.QuarantinedDigest) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), bytes.Compare(a.GetDigest(), b.GetDigest()))
	})
	return digests
}
