package edge

import (
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"oleanderramp/internal/membudget"
	"oleanderramp/internal/memgate"
)

// memoryRetryAfter is the Retry-After time of a request for whose body there is no
// memory. It is short because another daemon takes the request.
const memoryRetryAfter = 50 * time.Millisecond

// holderOf returns whose memory a request counts as: the account's, or else that of the
// caller's address.
func holderOf(r *http.Request, account string) string {
	if account != "" {
		return account
	}
	if at := strings.LastIndexByte(r.RemoteAddr, ':'); at >= 0 {
		return r.RemoteAddr[:at]
	}
	return r.RemoteAddr
}

// openBody returns the claim for the memory of the request's body. If it is evicted, the
// read that waits for more of the body fails.
func (f *Forwarder) openBody(r *http.Request, t *task) *memgate.Claim {
	return f.cfg.Memory.OpenBody(holderOf(r, t.account), func() {
		_ = t.answer.control.SetReadDeadline(time.Unix(1, 0)) // On a closed connection the read fails.
	})
}

// readBody reads the whole body of the request. A failure with a status leaves a part of
// the body unread.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, t *task, claim *memgate.Claim) *failure {
	body, limit := r.Body, f.cfg.Tables.Table().Limits().MaxBodyBytes
	if limit > 0 {
		if r.ContentLength > limit {
			return bodyTooLarge()
		}
		body = http.MaxBytesReader(w, body, limit)
	}
	var err error
	t.request.Body, err = claim.ReadBody(r.Context(), body, r.ContentLength)
	if err == nil {
		claim.SetEvictable(false)
		t.bodyReadAt = time.Now()
		return nil
	}
	t.request.Body = nil
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge()
	case errors.Is(err, memgate.ErrNoMemory), errors.Is(err, memgate.ErrEvicted):
		if errors.Is(err, memgate.ErrNoMemory) {
			f.cfg.Memory.Ended(memgate.NoMemory, holderOf(r, t.account), membudget.Body)
		}
		return &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, code: CodeNoMemory, retryAfter: memoryRetryAfter, message: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &failure{status: http.StatusRequestTimeout, outcome: OutcomeNotRun, code: CodeBodyTimeout, message: "the body did not arrive at the minimum pace"}
	default:
		return &failure{outcome: OutcomeAbandoned, code: CodeBadBody, message: "request body incomplete: " + err.Error()}
	}
}

func bodyTooLarge() *failure {
	return &failure{status: http.StatusRequestEntityTooLarge, outcome: OutcomeNotRun, code: CodeBodyTooLarge, message: "the body is too large"}
}
