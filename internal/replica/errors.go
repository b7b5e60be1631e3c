package replica

import (
	"errors"
	"fmt"
)

// ErrOutcomeUnknown says that the leadership was lost, or the replica stopped, before the
// fate of the command was known: it may be committed yet.
var ErrOutcomeUnknown = errors.New("leadership lost before the command's fate was known")

// ErrBusy says that too many commands wait; this one was not taken.
var ErrBusy = errors.New("too many commands wait for the quorum")

// ErrStopped says that the replica was closed or has failed; the command was
// not taken.
var ErrStopped = errors.New("the replica has stopped")

// NotLeaderError says that the replica doesn't lead, and took nothing.
type NotLeaderError struct {
	leader string
}

// Leader returns the host of the leader; empty when unknown.
func (e *NotLeaderError) Leader() string { return e.leader }

func (e *NotLeaderError) Error() string {
	if e.leader == "" {
		return "not the leader; the leader is unknown"
	}
	return fmt.Sprintf("not the leader; the leader is %s", e.leader)
}
