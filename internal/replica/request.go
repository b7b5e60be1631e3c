package replica

import (
	"context"

	"oleanderramp/internal/raft"
)

type requestKind uint8

const (
	requestCommand requestKind = iota
	requestBarrier
	requestChange
)

// request is a client call that waits for the quorum.
type request struct {
	ctx     context.Context
	kind    requestKind
	command []byte
	change  raft.Change
	// index and term are the position of the request's entry; for a barrier,
	// index is the index that must be applied.
	index uint64
	term  uint64
	// done has a capacity of one response.
	done chan response
}

type response struct {
	result []byte
	err    error
}

// finish completes the request. Only the first call has an effect.
func (q *request) finish(result []byte, err error) {
	select {
	case q.done <- response{result: result, err: err}:
	default:
	}
}
