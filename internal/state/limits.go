package state

import "time"

// Limits bounds the size of the state. It must be the same on all replicas.
type Limits struct {
	// RecordRetention is how long a record is kept after its last change, by
	// the clock of the state machine, which counts a pause of more than a
	// minute between two commands as one minute. A started record is kept
	// until its outcome is recorded, if only as unknown.
	RecordRetention time.Duration
	// MaxRecords is the maximum number of records.
	MaxRecords int
	// MaxRecordBytes is the maximum memory of the records. For a started
	// record, the largest answer that may be saved is reserved.
	MaxRecordBytes int64
	// MaxAnswerBytes is the maximum size of the body of a saved answer; a
	// larger body is omitted.
	MaxAnswerBytes int
	// MaxAcceptedBundles is the maximum number of accepted bundles that are
	// kept to answer commands that operators send again.
	MaxAcceptedBundles int
	// MaxDeltas is the maximum number of accepted bundles that are kept with
	// their delta.
	MaxDeltas int
	// MaxAuditEntries is the maximum number of entries of the audit trail; the
	// oldest ones are dropped.
	MaxAuditEntries int
	// MaxProcesses is the maximum number of hosts whose process is known.
	MaxProcesses int
	// MaxFences is the maximum number of fences.
	MaxFences int
	// MaxQuarantined is the maximum number of digests in quarantine, and also
	// of suspected digests.
	MaxQuarantined int
	// MaxDrained is the maximum number of drained endpoints.
	MaxDrained int
}

// Defaults sets the limits that are 0 to their defaults.
func (l *Limits) Defaults() {
	setDefault(&l.RecordRetention, 24*time.Hour)
	setDefault(&l.MaxRecords, 200_000)
	setDefault(&l.MaxRecordBytes, 256<<20)
	setDefault(&l.MaxAnswerBytes, 64<<10)
	setDefault(&l.MaxAcceptedBundles, 10_000)
	setDefault(&l.MaxDeltas, 64)
	setDefault(&l.MaxAuditEntries, 10_000)
	setDefault(&l.MaxProcesses, 10_000)
	setDefault(&l.MaxFences, 10_000)
	setDefault(&l.MaxQuarantined, 10_000)
	setDefault(&l.MaxDrained, 10_000)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
