package edge

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReadyAnswerIsWrittenLate guards against a complete answer that was
// not written and the connection broken off, because the daemon came to write it
// only after the request's deadline.
func TestReadyAnswerIsWrittenLate(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a := &answer{w: w, control: http.NewResponseController(w), deadline: time.Now().Add(-time.Second), status: http.StatusOK, draining: func() bool { return false }}
		_, _ = a.buffered.WriteString("answer") // Writing to a buffer never fails.
		if a.finish() != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	response, err := http.Get(server.URL)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(string(body), qt.Equals, "answer")
}
