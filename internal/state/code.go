package state

import (
	"fmt"
	"strings"

	"oleanderramp/internal/wire"
)

// The codes of refused commands. A refused command changed nothing but the
// time, the audit trail and what is known of the process that sent it.
const (
	// CodeBadCommand: the command can't be decoded or breaks a bound.
	CodeBadCommand = "bad_command"
	// CodeUnknownCommand: the command is of a later version.
	CodeUnknownCommand = "unknown_command"
	// CodeStaleIndex: the index was applied already.
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
	// CodeOutcomeUnknown: the outcome was given up as unknown, so that it
	// can't end as not run.
	CodeOutcomeUnknown = "outcome_unknown"

	// CodeProcessAbandoned: the process was superseded or abandoned.
	CodeProcessAbandoned = "process_abandoned"
	// CodeProcessesFull: there is no room for another host.
	CodeProcessesFull = "processes_full"

	// CodeBundleInvalid: the document has findings, listed in the message.
	CodeBundleInvalid = "bundle_invalid"
	// CodeBundleConflict: another bundle has the version; it is in the
	// result.
	CodeBundleConflict = "bundle_conflict"
	// CodeUnknownParent: the parent version was not accepted yet.
	CodeUnknownParent = "unknown_parent"
	// CodeBundleUnknown: there is no bundle of that digest.
	CodeBundleUnknown = "bundle_unknown"
	// CodeBundleWithdrawn: the proposal was withdrawn.
	CodeBundleWithdrawn = "bundle_withdrawn"
	// CodeBundleAccepted: the bundle is accepted already.
	CodeBundleAccepted = "bundle_accepted"
	// CodeSameOperator: the proposer can't sign off the own proposal.
	CodeSameOperator = "same_operator"
	// CodeNotSignedOff: the proposal is not signed off yet.
	CodeNotSignedOff = "not_signed_off"

	// CodeFenceHeld: another process holds the fence; it is in the result.
	CodeFenceHeld = "fence_held"
	// CodeFencesFull: there is no room for another name.
	CodeFencesFull = "fences_full"
	// CodeQuarantineFull: there is no room for another digest.
	CodeQuarantineFull = "quarantine_full"
	// CodeDrainsFull: there is no room for another drained endpoint.
	CodeDrainsFull = "drains_full"
)

// maxMessageBytes bounds the message of a refused command.
const maxMessageBytes = 16 << 10

func errorResult(code, format string, args ...any) *wire.Result {
	message := fmt.Sprintf(format, args...)
	if len(message) > maxMessageBytes {
		message = strings.ToValidUTF8(message[:maxMessageBytes], "") + "..."
	}
	return &wire.Result{Error: &wire.CommandError{Code: code, Message: message}}
}

// Bounds of the texts in commands, in bytes.
const (
	maxNameBytes   = 256
	maxKeyBytes    = 256
	maxDigestBytes = 64
)

// isValidText tells whether a required text is there and within its bound.
func isValidText(text string, limit int) bool {
	return text != "" && len(text) <= limit
}

func isValidDigest(digest []byte) bool {
	return len(digest) > 0 && len(digest) <= maxDigestBytes
}
