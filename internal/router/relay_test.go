package router_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/endpoint"
)

// TestCompleteResponsesHaveContentLength checks that an HTTP/1.0 client, for
// which the end of the connection ends the body, can tell a truncated response
// from a complete one.
func TestCompleteResponsesHaveContentLength(t *testing.T) {
	empty := func(_ context.Context, sink endpoint.Sink) (endpoint.Result, error) {
		return endpoint.Result{Status: http.StatusNoContent, Complete: true}, sink.Head(http.StatusNoContent, nil)
	}
	tests := []struct {
		name       string
		idempotent bool
		respond    callFunc
		want       string
	}{
		{"idempotent", true, answers("done"), "4"},
		{"at most once", false, answers("done"), "4"},
		{"no body", true, empty, ""},
		{"larger than the buffer", true, answers(strings.Repeat("x", 1<<20+1)), ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				env := newTestEnv(test.respond)
				for range 2 {
					sink, failure := env.serve(test.idempotent, "key-1", "{}")
					c.Check(outcome(failure), qt.Equals, "ok")
					c.Check(sink.length, qt.Equals, test.want)
				}
			})
		})
	}
}
