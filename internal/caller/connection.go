package caller

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"oleanderramp/internal/router"
)

// connectionRetryAfter is the retry delay for a caller whose connection was
// refused because of the connection limit.
const connectionRetryAfter = time.Second

// RefuseConnection writes the response for a connection over the limit, without
// reading a request from it.
func RefuseConnection(w io.Writer) error {
	failure := router.NewError(router.CodeTooManyConnections, router.OutcomeNotRun, connectionRetryAfter,
		"the connection limit of the daemon is reached")
	id := newRequestID()
	body := append(marshalError(id, failure), '\n')
	response := http.Response{
		StatusCode: failure.Status(), ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header: http.Header{
			"Content-Type": {"application/json"}, headerRequest: {id}, headerOutcome: {string(failure.Outcome())},
			"Retry-After": {strconv.FormatInt(wholeSeconds(failure.RetryAfter()), 10)},
		},
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	return response.Write(w)
}
