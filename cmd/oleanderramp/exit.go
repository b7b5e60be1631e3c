package main

import (
	"errors"
	"fmt"

	"oleanderramp/pkg/client"
	"oleanderramp/pkg/finding"
)

// The exit codes are part of the command-line interface.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitFindings    = 3
	exitConflict    = 4
	exitUnreachable = 5
)

// usageError reports an invalid command line.
type usageError struct {
	message string
}

func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...)}
}

// reportedError wraps an error that the command has already printed.
type reportedError struct {
	err error
}

func (e *reportedError) Error() string { return e.err.Error() }
func (e *reportedError) Unwrap() error { return e.err }

func exitCode(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	var findings *finding.Error
	if errors.As(err, &findings) {
		return exitFindings
	}
	var unreachable *client.UnreachableError
	if errors.As(err, &unreachable) {
		return exitUnreachable
	}
	var apiError *client.Error
	if errors.As(err, &apiError) {
		return apiErrorExitCode(apiError.Code())
	}
	return exitFailed
}

func apiErrorExitCode(code string) int {
	switch code {
	case client.CodeFindings, client.CodeBundleInvalid:
		return exitFindings
	case client.CodeChangeRefused, client.CodeBundleConflict:
		return exitConflict
	case client.CodeNoQuorum:
		return exitUnreachable
	default:
		return exitFailed
	}
}
