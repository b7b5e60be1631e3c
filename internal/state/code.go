package state

import (
	"fmt"
	"strings"

	"oleanderramp/internal/wire"
)

// The error codes of refused commands. A refused command changes nothing but
// the clock, the audit trail and the state of the process that sent it.
const (
	// CodeBadCommand: the command can't be decoded, or a field is missing or
	// out of range.
	CodeBadCommand = "bad_command"
	// CodeUnknownCommand: this version doesn't know the command.
	CodeUnknownCommand = "unknown_command"
	// CodeStaleIndex: the log index was applied already.
	CodeStaleIndex = "stale_index"

	// CodeKeyReused: the idempotency key was used for another request.
	CodeKeyReused = "key_reused"
	// CodeRecordsFull: there is no room for a record; nothing was started.
	CodeRecordsFull = "records_full"
	// CodeRecordMissing: there is no such record.
	CodeRecordMissing = "record_missing"
	// CodeAttemptMismatch: the record belongs to another attempt.
	CodeAttemptMismatch = "attempt_mismatch"
	// CodeAttemptEnded: the attempt ended as not run and can't be used again.
	CodeAttemptEnded = "attempt_ended"
	// CodeRecordFinished: the request ran, so that it can't end as not run.
	CodeRecordFinished = "record_finished"
	// CodeOutcomeUnknown: the outcome was recorded as unknown, so that the
	// attempt can't end as not run.
	CodeOutcomeUnknown = "outcome_unknown"

	// CodeProcessAbandoned: the process was superseded or abandoned.
	CodeProcessAbandoned = "process_abandoned"
	// CodeProcessesFull: there is no room for another host.
	CodeProcessesFull = "processes_full"

	// CodeBundleInvalid: the document is invalid; the message lists the errors.
	CodeBundleInvalid = "bundle_invalid"
	// CodeBundleConflict: another bundle has the version; the result holds it.
	CodeBundleConflict = "bundle_conflict"
	// CodeUnknownParent: the parent version is not accepted yet.
	CodeUnknownParent = "unknown_parent"
	// CodeBundleUnknown: there is no bundle with that digest.
	CodeBundleUnknown = "bundle_unknown"
	// CodeBundleWithdrawn: the proposal was withdrawn.
	CodeBundleWithdrawn = "bundle_withdrawn"
	// CodeBundleAccepted: the bundle is accepted already.
	CodeBundleAccepted = "bundle_accepted"
	// CodeSameOperator: operators can't sign off their own proposals.
	CodeSameOperator = "same_operator"
	// CodeNotSignedOff: the proposal is not signed off yet.
	CodeNotSignedOff = "not_signed_off"

	// CodeFenceHeld: another process holds the fence; the result holds its
	// lease.
	CodeFenceHeld = "fence_held"
	// CodeFencesFull: there is no room for another fence.
	CodeFencesFull = "fences_full"
	// CodeQuarantineFull: there is no room for another digest.
	CodeQuarantineFull = "quarantine_full"
	// CodeDrainsFull: there is no room for another drained endpoint.
	CodeDrainsFull = "drains_full"
)

// maxMessageBytes is the maximum length of an error message.
const maxMessageBytes = 16 << 10

func errorResult(code, format string, args ...any) *wire.Result {
	message := fmt.Sprintf(format, args...)
	if len(message) > maxMessageBytes {
		message = strings.ToValidUTF8(message[:maxMessageBytes], "") + "..."
	}
	return &wire.Result{Error: &wire.CommandError{Code: code, Message: message}}
}

// Maximum lengths of the fields of commands, in bytes.
const (
	maxNameBytes   = 256
	maxKeyBytes    = 256
	maxDigestBytes = 64
)

// isValidText reports whether a required text is present and within its limit.
func isValidText(text string, limit int) bool {
	return text != "" && len(text) <= limit
}

func isValidDigest(digest []byte) bool {
	return len(digest) > 0 && len(digest) <= maxDigestBytes
}
