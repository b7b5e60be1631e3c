package replica

import (
	"errors"
	"fmt"
)

// ErrOutcomeUnknown is returned when the leadership was lost, or the replica
// stopped, before the outcome of the command was known. The command may still be
// committed.
var ErrOutcomeUnknown = errors.New("leadership lost or replica stopped before the outcome of the command was known")

// ErrBusy is returned when too many commands are pending. The command was not
// accepted.
var ErrBusy = errors.New("too many commands are waiting for the quorum")

// ErrStopped is returned when the replica was closed or has failed. The command
// was not accepted.
var ErrStopped = errors.New("the replica has stopped")

// NotLeaderError is returned when the replica is not the leader. The command was
// not accepted.
type NotLeaderError struct {
	leader string
}

// Leader returns the host of the leader, or "" when it is unknown.
func (e *NotLeaderError) Leader() string { return e.leader }

func (e *NotLeaderError) Error() string {
	if e.leader == "" {
		return "not the leader; the leader is unknown"
	}
	return fmt.Sprintf("not the leader; the leader is %s", e.leader)
}
