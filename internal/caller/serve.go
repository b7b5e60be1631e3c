package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"oleanderramp/internal/router"
	"oleanderramp/pkg/bundle"
	"oleanderramp/pkg/prefix"
)

// maxPrefixBlocks bounds the number of prefix hashes of a prompt.
const maxPrefixBlocks = 16

// maxIdempotencyKeyBytes is the limit of the replicated state.
const maxIdempotencyKeyBytes = 256

// completionBody holds the fields of a completion request that are used for
// routing.
type completionBody struct {
	Model   string
	Adapter string
	Stream  bool
}

// parse decodes the fields by their exact names, as engines do: encoding/json
// alone would accept "Model" for "model".
func (c *completionBody) parse(data []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	for name, target := range map[string]any{"model": &c.Model, "adapter": &c.Adapter, "stream": &c.Stream} {
		if err := unmarshalField(fields[name], target); err != nil {
			return fmt.Errorf("field %q: %w", name, err)
		}
	}
	return nil
}

// unmarshalField decodes a field that may be absent.
func unmarshalField(data json.RawMessage, target any) error {
	if data == nil {
		return nil
	}
	return json.Unmarshal(data, target)
}

// completion serves the OpenAI-compatible completion paths.
func (h *handler) completion(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, func(b *bundle.Bundle, request *router.Request) *router.Error {
		document, failure := h.openDocument(r, request)
		if failure != nil {
			return failure
		}
		defer document.Close()
		var body completionBody
		if err := body.parse(request.Body); err != nil {
			return refusal(router.CodeBadRequest, "invalid JSON body: %v", err)
		}
		service, ok := b.ServiceForModel(body.Model)
		if !ok {
			return refusal(router.CodeUnknownModel, "no service has the model %q", body.Model)
		}
		request.Model, request.Adapter, request.Stream = body.Model, body.Adapter, body.Stream
		request.Path = r.URL.Path
		if prompt, err := prefix.Prompt(request.Body); err == nil {
			request.Prefix = prefix.Chain(prompt, maxPrefixBlocks)
		}
		return setKind(request, service, r)
	})
}

// plainService serves /services/NAME/PATH.
func (h *handler) plainService(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, func(b *bundle.Bundle, request *router.Request) *router.Error {
		service, ok := b.Service(r.PathValue("service"))
		if !ok {
			return refusal(router.CodeUnknownService, "unknown service %q", r.PathValue("service"))
		}
		request.Path = endpointPath(r)
		return setKind(request, service, r)
	})
}

// setKind sets the request's kind: from the Oleanderramp-Kind header, from the
// routes of a plain service, or else the service's first kind.
func setKind(request *router.Request, service *bundle.Service, r *http.Request) *router.Error {
	request.Service, request.Cost = service.Name, service.Cost
	if service.Protocol == bundle.ProtocolPlain {
		return setPlainKind(request, service, r)
	}
	if r.Header.Get(headerKind) != "" {
		return setNamedKind(request, service, r)
	}
	request.Kind = &service.Kinds[0]
	return nil
}

// setNamedKind sets the kind named by the Oleanderramp-Kind header.
func setNamedKind(request *router.Request, service *bundle.Service, r *http.Request) *router.Error {
	kind, ok := service.Kind(r.Header.Get(headerKind))
	if !ok {
		return refusal(router.CodeUnknownKind, "service %s has no kind %q", service.Name, r.Header.Get(headerKind))
	}
	request.Kind = kind
	return nil
}

// setPlainKind sets the kind of a request to a plain service. The header can't
// select an idempotent kind for a route whose kind runs at most once.
func setPlainKind(request *router.Request, service *bundle.Service, r *http.Request) *router.Error {
	routeKind, ok := service.KindForRoute(r.Method, "/"+r.PathValue("path"))
	if r.Header.Get(headerKind) == "" {
		if !ok {
			return refusal(router.CodeUnknownKind, "service %s has no kind for %s %s", service.Name, r.Method, request.Path)
		}
		request.Kind = routeKind
		return nil
	}
	if failure := setNamedKind(request, service, r); failure != nil {
		return failure
	}
	if ok && len(routeKind.Routes) > 0 && !routeKind.Idempotent && request.Kind.Idempotent {
		return refusal(router.CodeUnknownKind, "%s %s is of kind %s, which runs at most once, and can't be of kind %s",
			r.Method, request.Path, routeKind.Name, request.Kind.Name)
	}
	return nil
}

// admit returns the bundle in force and the client account of the request.
func (h *handler) admit(now time.Time, r *http.Request) (*bundle.Bundle, *bundle.ClientAccount, *router.Error) {
	b, notReady := h.cfg.Bundles.Admit(now, true)
	if notReady != nil {
		return nil, nil, notReady
	}
	account, failure := authenticate(b, r)
	return b, account, failure
}

// serve processes one request from its header to the end of its response.
// resolve sets the fields that depend on the path.
func (h *handler) serve(w http.ResponseWriter, r *http.Request, resolve func(*bundle.Bundle, *router.Request) *router.Error) {
	a := h.newResponseWriter(w, r)
	now := time.Now()
	b, account, failure := h.admit(now, r)
	if failure != nil {
		a.writeError(failure)
		return
	}
	claim := h.openBody(a, r, account)
	defer claim.Close()
	body, failure := h.readBody(a, r, claim)
	if failure != nil {
		a.writeError(failure)
		return
	}
	request := &router.Request{
		ID: a.id, Account: account, Method: r.Method, Header: forwardedHeader(r.Header), Body: body,
		IdempotencyKey: r.Header.Get(headerIdempotencyKey), Arrived: now,
	}
	if failure := resolve(b, request); failure != nil {
		a.writeError(failure)
		return
	}
	if failure := h.checkRequest(now, request); failure != nil {
		a.writeError(failure)
		return
	}
	h.run(a, r, request)
}

// checkRequest checks what depends on the request's service and kind: access,
// the idempotency key, and whether the daemon accepts the kind now.
func (h *handler) checkRequest(now time.Time, request *router.Request) *router.Error {
	if !mayAccess(request.Account, request.Service) {
		return refusal(router.CodeAccountNotAllowed, "client account %s is not allowed to use service %s", request.Account.Name, request.Service)
	}
	if !request.Kind.Idempotent && request.IdempotencyKey == "" {
		return refusal(router.CodeKeyRequired, "a request of kind %s runs at most once: send an Idempotency-Key header", request.Kind.Name)
	}
	if len(request.IdempotencyKey) > maxIdempotencyKeyBytes {
		return refusal(router.CodeBadRequest, "the Idempotency-Key header exceeds %d bytes", maxIdempotencyKeyBytes)
	}
	_, failure := h.cfg.Bundles.Admit(now, request.Kind.Idempotent)
	return failure
}

// run passes the request to the router, which writes the response to a.
func (h *handler) run(a *responseWriter, r *http.Request, request *router.Request) {
	err := h.cfg.Router.Serve(r.Context(), request, a)
	if err == nil {
		return
	}
	var failure *router.Error
	if !errors.As(err, &failure) {
		// Writing to the caller failed.
		failure = router.NewError(router.CodeCallerGone, router.OutcomeUnknown, 0, "%v", err)
	}
	a.writeError(failure)
}

// forwardedHeader returns the header for the endpoint, without the caller's
// key, hop-by-hop headers, and headers of this API, which the daemon sets
// itself.
func forwardedHeader(header http.Header) http.Header {
	copied := header.Clone()
	copied.Del("Authorization")
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	copied.Del("Connection")
	for name := range copied {
		if isAPIHeader(name) {
			copied.Del(name)
		}
	}
	return copied
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that the caller may use.
func (h *handler) models(w http.ResponseWriter, r *http.Request) {
	a := h.newResponseWriter(w, r)
	b, account, failure := h.admit(time.Now(), r)
	if failure != nil {
		a.writeError(failure)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, service := range b.Document().Services {
		if !mayAccess(account, service.Name) {
			continue
		}
		for _, name := range service.Models {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: service.Name})
		}
	}
	data, _ := json.Marshal(list)                                                // Strings can always be marshalled.
	_ = a.Head(http.StatusOK, http.Header{"Content-Type": {"application/json"}}) // Head never returns an error.
	_ = a.Data(append(data, '\n'))                                               // The caller may have disconnected.
}
