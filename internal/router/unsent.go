package router

import (
	"context"

	"oleanderramp/internal/wire"
)

// maxUnsentAttempts bounds the attempts that are recorded as never sent.
const maxUnsentAttempts = 4096

// unsentAttempts records the latest attempts of this process that were never
// sent to an endpoint and never will be. An attempt evicted from it counts as
// sent.
type unsentAttempts struct {
	ids map[string]struct{}
	// ring holds the keys of ids; next is the position of the oldest once the
	// ring is full.
	ring []string
	next int
}

func newUnsentAttempts() *unsentAttempts {
	return &unsentAttempts{ids: make(map[string]struct{})}
}

func (u *unsentAttempts) add(attempt string) {
	if _, found := u.ids[attempt]; found {
		return
	}
	u.ids[attempt] = struct{}{}
	if len(u.ring) < maxUnsentAttempts {
		u.ring = append(u.ring, attempt)
		return
	}
	delete(u.ids, u.ring[u.next])
	u.ring[u.next] = attempt
	u.next = (u.next + 1) % maxUnsentAttempts
}

func (u *unsentAttempts) contains(attempt string) bool {
	_, found := u.ids[attempt]
	return found
}

// markUnsent records that the task will never be sent: its begin failed, or
// another attempt has its record.
func (r *Router) markUnsent(t *task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent.add(t.request.ID)
}

// finishUnsent finishes the started attempt as not run if it was never sent.
// Such a record exists when a late copy of the begin is applied after the
// earlier attempt has ended, or when the begin is committed after it has timed
// out at the router. It reports whether the outcome was committed.
func (r *Router) finishUnsent(ctx context.Context, t *task, attempt string) bool {
	r.mu.Lock()
	unsent := r.unsent.contains(attempt)
	r.mu.Unlock()
	if !unsent {
		return false
	}
	finish := t.finishRequest(wire.RecordState_RECORD_STATE_NOT_RUN, nil)
	finish.Attempt = attempt
	finishCtx, cancel := context.WithTimeout(ctx, r.cfg.CommitTimeout)
	defer cancel()
	return r.cfg.Records.Finish(finishCtx, finish) == nil
}
