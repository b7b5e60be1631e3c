package caller

import (
	"errors"
	"net/http"
	"os"
	"time"

	"oleanderramp/internal/httpserver"
	"oleanderramp/internal/membudget"
	"oleanderramp/internal/memgate"
	"oleanderramp/internal/router"
	"oleanderramp/internal/strictjson"
	"oleanderramp/pkg/bundle"
)

// memoryRetryAfter is the Retry-After time of a request for which there is no memory.
const memoryRetryAfter = time.Second

// documentBounds bounds the documents of completion requests. A prompt may be a list of
// tokens.
var documentBounds = strictjson.Bounds{Values: 1 << 18, Depth: 100}

const (
	// valueBytes is the approximate memory of a decoded value of a document.
	valueBytes = 64
	// smallDocumentBytes is the size up to which a document's decoded form counts as
	// covered by the claim for its body.
	smallDocumentBytes = 8 << 10
)

// openBody returns the claim for the memory of the request's body. If it is evicted, the
// read that waits for more of the body fails.
func (h *handler) openBody(a *responseWriter, r *http.Request, account *bundle.ClientAccount) *memgate.Claim {
	holder := httpserver.Host(r.RemoteAddr)
	if account != nil {
		holder = account.Name
	}
	return h.cfg.Memory.OpenBody(holder, func() {
		_ = a.control.SetReadDeadline(time.Unix(1, 0)) // On a closed connection the read fails.
	})
}

// readBody reads the whole body within the limits of size, time and memory.
func (h *handler) readBody(a *responseWriter, r *http.Request, claim *memgate.Claim) ([]byte, *router.Error) {
	if r.ContentLength > h.cfg.MaxBodyBytes {
		return nil, refusal(router.CodeBodyTooLarge, "the request body exceeds %d bytes", h.cfg.MaxBodyBytes)
	}
	body, err := claim.ReadBody(r.Context(), http.MaxBytesReader(a.w, r.Body, h.cfg.MaxBodyBytes), r.ContentLength)
	if err == nil {
		claim.SetEvictable(false)
		a.bodyUnread = false
		if h.cfg.Memory == nil {
			_ = a.control.SetReadDeadline(time.Time{}) // As in newResponseWriter.
		}
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal(router.CodeBodyTooLarge, "the request body exceeds %d bytes", h.cfg.MaxBodyBytes)
	}
	if errors.Is(err, memgate.ErrNoMemory) {
		h.cfg.Memory.Ended(memgate.NoMemory, httpserver.Host(r.RemoteAddr), membudget.Body)
		return nil, noMemory(err)
	}
	a.body = nil // The rest can't be read.
	switch {
	case errors.Is(err, memgate.ErrEvicted):
		return nil, noMemory(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal(router.CodeBadRequest, "the request body was not received within %v", h.cfg.ReadBodyTimeout)
	default:
		return nil, refusal(router.CodeBadRequest, "reading the request body failed: %v", err)
	}
}

func noMemory(err error) *router.Error {
	return router.NewError(router.CodeNoMemory, router.OutcomeNotRun, memoryRetryAfter, "%v", err)
}

// openDocument counts the memory that decoding the request's body takes, and refuses a
// document with too many values.
func (h *handler) openDocument(r *http.Request, request *router.Request) (*memgate.Claim, *router.Error) {
	if len(request.Body) <= smallDocumentBytes {
		return nil, nil
	}
	values, err := strictjson.Check(request.Body, documentBounds)
	if err != nil {
		h.cfg.Memory.Ended(memgate.TooManyValues, request.Account.Name, membudget.Document)
		return nil, refusal(router.CodeDocumentTooComplex, "%v", err)
	}
	// The fields are copied from the body once before they are decoded.
	claim, err := h.cfg.Memory.OpenDocument(r.Context(), request.Account.Name, int64(len(request.Body)+values*valueBytes))
	if err != nil {
		return nil, noMemory(err)
	}
	return claim, nil
}
