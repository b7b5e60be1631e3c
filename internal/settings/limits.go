package settings

import "oleanderramp/pkg/finding"

// Upper bounds of the limits.
const (
	maxBytes           = 1 << 30
	maxSavedBytes      = 64 << 10
	maxHeaderBytes     = 1 << 20
	maxCount           = 1_000_000
	maxTimeoutMS       = 24 * 3600 * 1000
	maxCommitTimeoutMS = 60_000
)

// Validate adds a finding for each limit that is out of range or conflicts with
// another one.
func (l *Limits) Validate(list *finding.List) {
	checkLimit(list, "max_body_bytes", l.MaxBodyBytes, maxBytes)
	checkLimit(list, "max_answer_bytes", l.MaxAnswerBytes, maxBytes)
	checkLimit(list, "max_saved_answer_bytes", l.MaxSavedAnswerBytes, maxSavedBytes)
	checkLimit(list, "max_header_bytes", l.MaxHeaderBytes, maxHeaderBytes)
	checkLimit(list, "max_connections", l.MaxConnections, maxCount)
	checkLimit(list, "max_queued_requests", l.MaxQueuedRequests, maxCount)
	checkLimit(list, "read_header_timeout_ms", l.ReadHeaderTimeoutMS, maxTimeoutMS)
	checkLimit(list, "read_body_timeout_ms", l.ReadBodyTimeoutMS, maxTimeoutMS)
	checkLimit(list, "write_stall_timeout_ms", l.WriteStallTimeoutMS, maxTimeoutMS)
	checkLimit(list, "shutdown_timeout_ms", l.ShutdownTimeoutMS, maxTimeoutMS)
	checkLimit(list, "commit_timeout_ms", l.CommitTimeoutMS, maxCommitTimeoutMS)
	checkLimit(list, "max_header_fields", l.MaxHeaderFields, maxCount)
	checkLimit(list, "min_bytes_per_s", l.MinBytesPerS, maxBytes)
	checkLimit(list, "body_stall_timeout_ms", l.BodyStallTimeoutMS, maxTimeoutMS)
	if l.MemoryMB < 0 {
		list.Addf("limits.memory_mb", "must not be negative")
	}
	checkLimit(list, "endpoint_dial_timeout_ms", l.EndpointDialTimeoutMS, maxTimeoutMS)
	if l.MaxSavedAnswerBytes > l.MaxAnswerBytes {
		list.Addf("limits.max_saved_answer_bytes", "must be at most max_answer_bytes, %d, not %d",
			l.MaxAnswerBytes, l.MaxSavedAnswerBytes)
	}
	if l.ReadHeaderTimeoutMS > l.ReadBodyTimeoutMS {
		list.Addf("limits.read_header_timeout_ms", "must be at most read_body_timeout_ms, %d, not %d",
			l.ReadBodyTimeoutMS, l.ReadHeaderTimeoutMS)
	}
}

func checkLimit[T int | int64](list *finding.List, name string, value, maximum T) {
	if value < 1 || value > maximum {
		list.Addf("limits."+name, "must be from 1 to %d, not %d", maximum, value)
	}
}

// Validate adds a finding for each problem of the log settings.
func (l *Log) Validate(list *finding.List) {
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		list.Addf("log.level", "must be debug, info, warn or error, not %q", l.Level)
	}
	switch l.Format {
	case "json", "text":
	default:
		list.Addf("log.format", "must be json or text, not %q", l.Format)
	}
}
