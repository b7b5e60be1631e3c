package disk

import (
	"errors"
	"syscall"
)

// fullError reports that the disk was full and that the files are as before the
// write.
type fullError struct{ err error }

func (e *fullError) Error() string { return e.err.Error() }

// Unwrap returns the error of the file system.
func (e *fullError) Unwrap() error { return e.err }

// undoFullWrite returns the error of a failed write. If the disk was full, it
// first removes with undo what the write left, and returns a fullError.
//
// A failed sync is never undone: what the disk holds then is unknown.
func undoFullWrite(err error, undo func() error) error {
	if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EDQUOT) {
		return err
	}
	if undoErr := undo(); undoErr != nil {
		return errors.Join(err, undoErr)
	}
	return &fullError{err: err}
}
