// Package operator serves the operator API, an HTTP API with JSON bodies.
// Operators are authenticated by a bearer key; all changes are committed by the
// quorum.
package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/event"
	"oleanderramp/internal/settings"
	"oleanderramp/pkg/bundle"
)

// Config holds the dependencies and limits of the handler.
type Config struct {
	// Operators lists the operators that may use the API.
	Operators []settings.Operator
	Quorum    Quorum
	Fleet     Fleet
	// ParseBundle decodes and validates a bundle document; its error is a
	// *finding.Error.
	ParseBundle func(document []byte) (*bundle.Bundle, error)
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	Log          log.Interface
}

// requestTimeout bounds the time to handle a request. It is shorter than the
// client's own timeout, so that an operator gets an error response when the
// quorum is not available.
const requestTimeout = 5 * time.Second

// handler serves the API. It has no mutable state.
type handler struct {
	keys         *keyring
	quorum       Quorum
	fleet        Fleet
	parseBundle  func(document []byte) (*bundle.Bundle, error)
	maxBodyBytes int64
	log          log.Interface
}

// routeFunc handles the requests of one route. The result is sent as JSON, and
// nil as an empty object.
type routeFunc func(r *http.Request, operator string) (any, error)

// New returns the handler for all paths under /v1/.
func New(config Config) http.Handler {
	h := &handler{
		keys:         newKeyring(config.Operators),
		quorum:       config.Quorum,
		fleet:        config.Fleet,
		parseBundle:  config.ParseBundle,
		maxBodyBytes: config.MaxBodyBytes,
		log:          config.Log,
	}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/bundles", h.change("propose", h.propose))
	mux.Handle("GET /v1/bundles", h.read(h.bundles))
	mux.Handle("GET /v1/bundles/{digest}", h.read(h.bundle))
	mux.Handle("POST /v1/bundles/{digest}/sign-off", h.change("sign-off", h.signOff))
	mux.Handle("POST /v1/bundles/{digest}/accept", h.change("accept", h.accept))
	mux.Handle("POST /v1/bundles/{digest}/withdraw", h.change("withdraw", h.withdraw))
	mux.Handle("GET /v1/audit", h.read(h.audit))
	mux.Handle("GET /v1/endpoints", h.read(h.endpoints))
	mux.Handle("POST /v1/endpoints/{service}/{name}/drain", h.change("drain", h.drain))
	mux.Handle("POST /v1/endpoints/{service}/{name}/undrain", h.change("undrain", h.undrain))
	mux.Handle("GET /v1/accounts", h.read(h.accounts))
	mux.Handle("GET /v1/fleet", h.read(h.status))
	mux.Handle("GET /v1/replicas", h.read(h.replicas))
	mux.Handle("POST /v1/replicas", h.change("add replica", h.addReplica))
	mux.Handle("DELETE /v1/replicas/{id}", h.change("remove replica", h.removeReplica))
	mux.Handle("/v1/", h.read(notFound))
	return mux
}

// read wraps a route with authentication, the request timeout and the body
// limit. Used alone it is for routes that change nothing.
func (h *handler) read(serve routeFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, ok := h.keys.operator(r.Header.Get("Authorization"))
		if !ok {
			h.rejectKey(w, r)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, h.maxBodyBytes)
		response, err := serve(r.WithContext(ctx), operator)
		respond(w, response, err)
	})
}

// change wraps a route that makes a change, and logs the operator's action.
func (h *handler) change(action string, serve routeFunc) http.Handler {
	return h.read(func(r *http.Request, operator string) (any, error) {
		response, err := serve(r, operator)
		result := "ok"
		if err != nil {
			result = toAPIError(err).Code()
		}
		event.OperatorActed.Log(h.log, event.Fields{
			"operator": operator, "act": action, "path": r.URL.Path, "result": result,
		})
		return response, err
	})
}

func (h *handler) rejectKey(w http.ResponseWriter, r *http.Request) {
	event.OperatorRefused.Log(h.log, event.Fields{"remote": r.RemoteAddr, "path": r.URL.Path})
	respond(w, nil, errUnauthorized)
}

func notFound(r *http.Request, _ string) (any, error) {
	return nil, notFoundf("no route %s %s", r.Method, r.URL.Path)
}
