package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/caller"
	"oleanderramp/internal/router"
	"oleanderramp/pkg/bundle"
)

// TestRefusalOfLargeBodyArrives guards against requests that get neither an answer nor a
// refusal: a daemon that refused a request before its body was read closed the connection
// while the caller was still sending, which lost the refusal.
func TestRefusalOfLargeBodyArrives(t *testing.T) {
	const size = 8 << 20
	tests := []struct {
		name, path, key string
		notReady        *router.Error
		want            int
	}{
		{"unknown key", "/v1/completions", "other", nil, http.StatusUnauthorized},
		{"unknown path", "/removed", key, nil, http.StatusNotFound},
		{"not ready", "/v1/completions", key, router.NewError(router.CodeNotReady, router.OutcomeNotRun, time.Second, "starting"), http.StatusServiceUnavailable},
		{"over the limit", "/v1/completions", key, nil, http.StatusRequestEntityTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			data, err := json.Marshal(document())
			c.Assert(err, qt.IsNil)
			held, err := bundle.Parse(data)
			c.Assert(err, qt.IsNil)
			server := httptest.NewServer(caller.New(caller.Config{
				Bundles: &fakeBundles{held: held, notReady: test.notReady},
				Router:  &fakeRouter{respond: func(context.Context, router.Sink) error { return nil }},
				Log:     &log.Logger{Handler: discard.Default, Level: log.ErrorLevel}, MaxBodyBytes: size - 1,
				ReadBodyTimeout: time.Minute, WriteStallTimeout: time.Minute,
			}))
			c.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = conn.Close() })
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
				test.path, test.key, size, strings.Repeat("x", size))
			c.Assert(err, qt.IsNil)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, test.want)
			_ = response.Body.Close()
		})
	}
}
