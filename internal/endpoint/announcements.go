package endpoint

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/finding"
)

// RefusedError is returned by the sink of NewAnnouncements when a well-formed
// announcement is rejected permanently, for example because its service is
// unknown.
type RefusedError struct {
	// Code is a stable, machine-readable error code.
	Code    string
	Message string
}

func (e *RefusedError) Error() string { return e.Message }

// Error codes in the responses of the announcements handler.
const (
	CodeMethodNotAllowed    = "method_not_allowed"
	CodeBodyTooLarge        = "body_too_large"
	CodeBodyNotRead         = "body_not_read"
	CodeInvalidAnnouncement = "invalid_announcement"
	CodeNotReady            = "not_ready"
)

type errorDocument struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code     string            `json:"code"`
	Message  string            `json:"message"`
	Findings []findingDocument `json:"findings,omitempty"`
}

type findingDocument struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// NewAnnouncements returns the handler of POST /v1/announcements. Each valid
// announcement is passed to sink, which must not block. The handler responds
// with 204 if sink returns nil, with 422 if it returns a *RefusedError, and
// with 503 for any other error.
func NewAnnouncements(sink func(*wire.Announcement) error, limits AnnouncementLimits) http.Handler {
	limits.Defaults()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			writeError(w, http.StatusMethodNotAllowed, errorBody{Code: CodeMethodNotAllowed, Message: "use POST"})
			return
		}
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limits.MaxBytes))
		if err != nil {
			writeBodyError(w, err)
			return
		}
		document, err := ParseAnnouncement(data, limits)
		if err != nil {
			writeError(w, http.StatusBadRequest, invalidBody(err))
			return
		}
		writeSinkResult(w, sink(document.message(limits)))
	})
}

func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, errorBody{Code: CodeBodyTooLarge, Message: err.Error()})
		return
	}
	writeError(w, http.StatusBadRequest, errorBody{Code: CodeBodyNotRead, Message: "the body could not be read"})
}

func invalidBody(err error) errorBody {
	body := errorBody{Code: CodeInvalidAnnouncement, Message: "the announcement is not valid"}
	var found *finding.Error
	if errors.As(err, &found) {
		for _, f := range found.Findings() {
			body.Findings = append(body.Findings, findingDocument{Place: f.Place(), Message: f.Message()})
		}
	}
	return body
}

func writeSinkResult(w http.ResponseWriter, err error) {
	var refused *RefusedError
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.As(err, &refused):
		writeError(w, http.StatusUnprocessableEntity, errorBody{Code: refused.Code, Message: refused.Message})
	default:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, errorBody{Code: CodeNotReady, Message: err.Error()})
	}
}

func writeError(w http.ResponseWriter, status int, body errorBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorDocument{Error: body})
}
