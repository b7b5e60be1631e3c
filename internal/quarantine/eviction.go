package quarantine

import (
	"bytes"
	"time"
)

func compareDigests(a, b Digest) int { return bytes.Compare(a[:], b[:]) }

// lookup returns the record of the digest, or nil when there is none. It deletes
// an expired record.
func (t *Table) lookup(now time.Time, digest Digest) *record {
	r := t.records[digest]
	if r == nil {
		return nil
	}
	if !r.until.After(now) {
		delete(t.records, digest)
		return nil
	}
	return r
}

// add adds a record for the digest. A full table first evicts the suspect that
// expires first or, if it holds no suspect, the quarantined digest that does.
func (t *Table) add(digest Digest, r *record) {
	for len(t.records) >= t.config.MaxEntries {
		t.evict()
	}
	t.records[digest] = r
}

func (t *Table) evict() {
	var victim Digest
	var worst *record
	for digest, r := range t.records {
		if worst == nil || evictsBefore(digest, r, victim, worst) {
			victim, worst = digest, r
		}
	}
	delete(t.records, victim)
}

func evictsBefore(digest Digest, r *record, victim Digest, worst *record) bool {
	if r.quarantined != worst.quarantined {
		return !r.quarantined
	}
	if !r.until.Equal(worst.until) {
		return r.until.Before(worst.until)
	}
	return compareDigests(digest, victim) < 0
}
