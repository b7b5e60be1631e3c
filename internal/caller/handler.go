// Package caller speaks HTTP with callers: it authenticates them, finds the
// service and kind of each request, and writes answers and refusals.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/apex/log"

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

// BundleSource gives the configuration bundle in force.
type BundleSource interface {
	// Admit returns the bundle, or the reason why the daemon may not take a
	// request now.
	Admit(now time.Time, idempotent bool) (*bundle.Bundle, *router.Error)
	// Current returns the bundle in force, or nil.
	Current() *bundle.Bundle
}

// Router runs requests.
type Router interface {
	Serve(ctx context.Context, request *router.Request, sink router.Sink) error
}

// Config says what a handler needs.
type Config struct {
	Bundles BundleSource
	Router  Router
	Log     log.Interface
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// ReadBodyTimeout bounds the time to read a body.
	ReadBodyTimeout time.Duration
	// WriteStallTimeout bounds the time that one write to a caller may take.
	WriteStallTimeout time.Duration
}

// handler serves all paths of callers.
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

// validateRequest refuses requests that the mux would redirect and methods that mean
// something to proxies.
func (h *handler) validateRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
			h.newResponseWriter(w, r).writeError(refusal(router.CodeBadRequest, "the method %s is not passed on", r.Method))
		case !isCanonicalPath(r.URL.Path):
			h.newResponseWriter(w, r).writeError(refusal(router.CodeBadRequest, "the path must have no empty, \".\" or \"..\" segments, encoded ones included"))
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// newRequestID returns a random id for a request.
func newRequestID() string {
	var id [12]byte
	_, _ = rand.Read(id[:]) // It never fails.
	return hex.EncodeToString(id[:])
}

func (h *handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.newResponseWriter(w, r).writeError(refusal(router.CodeUnknownService, "no such path: %s", r.URL.Path))
}
