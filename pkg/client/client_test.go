package client_test

import (
	"context"
	"encoding/pem"
	"errors"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/pkg/client"
)

// newClient starts a server with the handler and returns a client for it.
func newClient(c *qt.C, handler http.HandlerFunc) *client.Client {
	server := httptest.NewServer(handler)
	c.Cleanup(server.Close)
	got, err := client.New(client.Config{Server: server.URL, Key: "secret"})
	c.Assert(err, qt.IsNil)
	c.Cleanup(got.Close)
	return got
}

func TestProposeSendsDocumentUnchanged(t *testing.T) {
	c := qt.New(t)
	const document = "{ \"parent\": 0 }\n"
	cl := newClient(c, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		c.Check(err, qt.IsNil)
		c.Check(string(body), qt.Equals, document)
		c.Check(r.Method+" "+r.URL.Path, qt.Equals, "POST /v1/bundles")
		c.Check(r.Header.Get("Authorization"), qt.Equals, "Bearer secret")
		_, _ = io.WriteString(w, `{"digest":"ab","stage":"proposed"}`)
	})
	got, err := cl.Propose(context.Background(), []byte(document))
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, client.BundleStatus{Digest: "ab", Stage: client.StageProposed})
}

func TestErrorResponse(t *testing.T) {
	c := qt.New(t)
	cl := newClient(c, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"code":"no_quorum","message":"no leader"}`)
	})
	err := cl.Drain(context.Background(), "s", "e")
	var apiErr *client.Error
	c.Assert(errors.As(err, &apiErr), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(apiErr.Code(), qt.Equals, client.CodeNoQuorum)
	c.Check(apiErr.Status(), qt.Equals, http.StatusServiceUnavailable)
	c.Check(apiErr.RetryAfter(), qt.Equals, 2*time.Second)
	c.Check(err, qt.ErrorMatches, `no leader \(no_quorum\)`)
}

func TestUnknownErrorBodyKeepsStatus(t *testing.T) {
	c := qt.New(t)
	cl := newClient(c, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "<html>", http.StatusBadGateway)
	})
	_, err := cl.Fleet(context.Background())
	c.Check(err, qt.ErrorMatches, `unexpected response 502 Bad Gateway \(internal\)`)
}

func TestTruncatedResponse(t *testing.T) {
	tests := []struct{ name, length, body string }{
		{"half", "20", `{"digest":`},
		{"nothing", "20", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cl := newClient(c, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", test.length)
				_, _ = io.WriteString(w, test.body)
			})
			_, err := cl.Accept(context.Background(), "ab")
			var unreachable *client.UnreachableError
			c.Assert(errors.As(err, &unreachable), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func TestUnreachableServer(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	cl, err := client.New(client.Config{Server: server.URL})
	c.Assert(err, qt.IsNil)
	_, err = cl.Bundles(context.Background())
	var unreachable *client.UnreachableError
	c.Assert(errors.As(err, &unreachable), qt.IsTrue, qt.Commentf("%v", err))
}

func TestServerCertificate(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "[]")
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	c.Cleanup(server.Close)
	caFile := filepath.Join(c.TempDir(), "ca.pem")
	ca := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	c.Assert(os.WriteFile(caFile, ca, 0o600), qt.IsNil)

	trusting, err := client.New(client.Config{Server: server.URL, CAFile: caFile})
	c.Assert(err, qt.IsNil)
	_, err = trusting.Bundles(context.Background())
	c.Check(err, qt.IsNil)

	other, err := client.New(client.Config{Server: server.URL})
	c.Assert(err, qt.IsNil)
	_, err = other.Bundles(context.Background())
	var unreachable *client.UnreachableError
	c.Check(errors.As(err, &unreachable), qt.IsTrue, qt.Commentf("%v", err))
}

func TestBadConfig(t *testing.T) {
	c := qt.New(t)
	_, err := client.New(client.Config{Server: "127.0.0.1:9430"})
	c.Check(err, qt.IsNotNil)
	_, err = client.New(client.Config{Server: "https://127.0.0.1:9430", CAFile: "none.pem"})
	c.Check(err, qt.ErrorMatches, "read CA file: .*")
}
