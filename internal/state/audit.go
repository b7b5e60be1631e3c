package state

import (
	"encoding/hex"
	"slices"
	"strings"

	"oleanderramp/internal/wire"
)

// auditTrail holds the latest actions of operators, the oldest first.
type auditTrail struct {
	limits  Limits
	entries []*wire.AuditEntry
	// dropped counts the entries that were removed to make room for later ones.
	dropped uint64
}

func newAuditTrail(limits Limits) *auditTrail {
	return &auditTrail{limits: limits}
}

func (t *auditTrail) add(entry *wire.AuditEntry) {
	entry.Operator = truncate(entry.GetOperator())
	t.entries = append(t.entries, entry)
	if excess := len(t.entries) - t.limits.MaxAuditEntries; excess > 0 {
		clear(t.entries[:excess])
		t.entries = t.entries[excess:]
		t.dropped += uint64(excess)
	}
}

// Audit returns the latest limit actions of operators (all if limit is 0), the
// oldest first, and the number of older entries that were dropped.
func (m *Machine) Audit(limit int) (entries []*wire.AuditEntry, dropped uint64) {
	entries = m.audit.entries
	if limit > 0 && limit < len(entries) {
		entries = entries[len(entries)-limit:]
	}
	return slices.Clone(entries), m.audit.dropped
}

// truncate limits a text to maxNameBytes and keeps it valid UTF-8.
func truncate(text string) string {
	if len(text) <= maxNameBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxNameBytes], "")
}

func formatDigest(digest []byte) string {
	return hex.EncodeToString(digest[:min(len(digest), maxDigestBytes)])
}
