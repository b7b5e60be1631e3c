package disk

import (
	"errors"
	"fmt"
)

// ErrLocked is returned if another process has locked the data folder.
var ErrLocked = errors.New("the data folder is in use by another process")

// ErrFailed is returned for all writes after a failed one, until the folder is
// opened again.
var ErrFailed = errors.New("the store rejects writes after a failed write")

// DamageError reports content that was neither written by a store nor left by
// an interrupted write. The replica must be replaced.
type DamageError struct {
	file   string
	offset int64
	reason string
}

// File returns the name of the damaged file.
func (e *DamageError) File() string { return e.file }

// Offset returns the offset in bytes of the header or record that is damaged.
func (e *DamageError) Offset() int64 { return e.offset }

func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s", e.file, e.offset, e.reason)
}

// VersionError reports a file whose format version this program doesn't
// support.
type VersionError struct {
	file    string
	version uint32
}

// File returns the name of the file.
func (e *VersionError) File() string { return e.file }

// Version returns the file's format version.
func (e *VersionError) Version() uint32 { return e.version }

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s has format version %d; this program supports only %d", e.file, e.version, formatVersion)
}

// WriteError reports a failed write to the data folder, for example because
// the disk is full.
type WriteError struct {
	operation string
	err       error
	retryable bool
}

// Retryable reports whether the disk was full and the files are as before the
// write, so that the same write may be repeated.
func (e *WriteError) Retryable() bool { return e.retryable }

func (e *WriteError) Error() string { return e.operation + ": " + e.err.Error() }

// Unwrap returns the error of the file system.
func (e *WriteError) Unwrap() error { return e.err }
