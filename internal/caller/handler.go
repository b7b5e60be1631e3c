// Package caller implements the HTTP API for callers: it authenticates them,
// resolves the service and kind of each request, and writes responses and
// errors.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/memgate"
	"oleanderramp/internal/router"
	"oleanderramp/pkg/bundle"
)

// Header names of the API.
const (
	headerOutcome        = "Oleanderramp-Outcome"
	headerRequest        = "Oleanderramp-Request"
	headerKind           = "Oleanderramp-Kind"
	headerReplayed       = "Oleanderramp-Replayed"
	headerIdempotencyKey = "Idempotency-Key"
)

// BundleSource provides the active configuration bundle.
type BundleSource interface {
	// Admit returns the bundle, or an error if the daemon can't accept a
	// request now.
	Admit(now time.Time, idempotent bool) (*bundle.Bundle, *router.Error)
	// Current returns the active bundle, or nil.
	Current() *bundle.Bundle
}

// Router runs requests.
type Router interface {
	Serve(ctx context.Context, request *router.Request, sink router.Sink) error
}

// Config holds the dependencies and limits of a handler.
type Config struct {
	Bundles BundleSource
	Router  Router
	Log     log.Interface
	// MaxBodyBytes bounds the size of a request body.
	MaxBodyBytes int64
	// ReadBodyTimeout bounds the time to read a body.
	ReadBodyTimeout time.Duration
	// WriteStallTimeout bounds the time that a single write to a caller may
	// take.
	WriteStallTimeout time.Duration
	// Memory is the budget for what callers make the daemon hold; nil for no bound.
	Memory *memgate.Gate
}

// handler serves all paths of the caller API.
type handler struct {
	cfg Config
}

// New returns the handler for callers.
func New(cfg Config) http.Handler {
	h := &handler{cfg: cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", h.completion)
	mux.HandleFunc("POST /v1/completions", h.completion)
	mux.HandleFunc("GET /v1/models", h.models)
	mux.HandleFunc("/services/{service}/{path...}", h.plainService)
	mux.HandleFunc("/services/{service}", h.notFound)
	mux.HandleFunc("/", h.notFound)
	return h.validateRequest(mux)
}

// validateRequest rejects requests that the mux would redirect, and methods
// with a special meaning for proxies.
func (h *handler) validateRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
			h.newResponseWriter(w, r).writeError(refusal(router.CodeBadRequest, "method %s is not supported", r.Method))
		case !isCanonicalPath(r.URL.Path):
			h.newResponseWriter(w, r).writeError(refusal(router.CodeBadRequest, "the path must have no empty, \".\" or \"..\" segments, encoded ones included"))
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// newRequestID returns a random request ID.
func newRequestID() string {
	var id [12]byte
	_, _ = rand.Read(id[:]) // rand.Read never returns an error.
	return hex.EncodeToString(id[:])
}

func (h *handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.newResponseWriter(w, r).writeError(refusal(router.CodeUnknownService, "no such path: %s", r.URL.Path))
}
