package router

import (
	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/wire"
)

// task is a request being processed by the router.
type task struct {
	request *Request
	// recordDigest covers the content and the account. It is compared in
	// at-most-once records.
	recordDigest digest
	// contentDigest identifies the content for the quarantine.
	contentDigest quarantine.Digest
	// slotRequest identifies the current slot request to the schedulers.
	slotRequest uint64
	excluded    []string
	// attempts counts the calls and resumptions made so far.
	attempts int
	// reserved is true while this task holds the only concurrent run of a
	// suspect.
	reserved bool
	// crashUnconfirmed is true if the request was in flight at a crash of which other
	// routers may not know yet.
	crashUnconfirmed bool
	// recorded is true when the at-most-once record was begun before a slot was
	// granted.
	recorded bool
}

func (t *task) recordQuery() *wire.RecordQuery {
	return &wire.RecordQuery{
		Account: t.request.Account.Name, Service: t.request.Service, IdempotencyKey: t.request.IdempotencyKey,
	}
}

func (t *task) finishRequest(state wire.RecordState, saved *wire.SavedAnswer) *wire.FinishRequest {
	return &wire.FinishRequest{
		Account: t.request.Account.Name, Service: t.request.Service, IdempotencyKey: t.request.IdempotencyKey,
		Attempt: t.request.ID, State: state, Answer: saved,
	}
}
