package site_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// answeringEndpoint answers each request with the text.
func answeringEndpoint(c *qt.C, text string) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Oleanderramp-Request-Id", r.Header.Get("Oleanderramp-Request-Id"))
		_, _ = io.WriteString(w, text)
	}))
	c.Cleanup(server.Close)
	return server
}

// TestOddAnnouncementsDoNotStopOtherEndpoints guards against one odd entry among those of
// the endpoints that keeps all routers from reading the list of them, or that replaces the
// entry of a sound endpoint for good.
func TestOddAnnouncementsDoNotStopOtherEndpoints(t *testing.T) {
	const sound = `{"service":"s","address":"127.0.0.1:9","zone":"z","slots":4,"state":"ready","sequence":1,"born":1}`
	change := func(old, odd string) string { return strings.Replace(sound, old, odd, 1) }
	tests := []struct{ name, path, body string }{
		{"id that is not UTF-8", "/Instances.Heartbeat/%ff", sound},
		{"leaving id that is not UTF-8", "/Instances.Deregister/%ff", ""},
		{"id with a line break", "/Instances.Heartbeat/a%0ab", sound},
		{"long id", "/Instances.Heartbeat/" + strings.Repeat("x", 5000), sound},
		{"start in the far future", "/Instances.Heartbeat/e", change(`"born":1`, `"born":9223372036854775807`)},
		{"leaving start in the far future", "/Instances.Deregister/e", `{"born":9223372036854775807}`},
		{"largest sequence number", "/Instances.Heartbeat/e", change(`"sequence":1`, `"sequence":18446744073709551615`)},
		{"negative start", "/Instances.Heartbeat/e", change(`"born":1`, `"born":-9223372036854775808`)},
		{"port out of range", "/Instances.Heartbeat/odd", change(":9", ":99999")},
		{"port 0", "/Instances.Heartbeat/odd", change(":9", ":0")},
		{"no port", "/Instances.Heartbeat/odd", change(":9", "")},
		{"address with a line break", "/Instances.Heartbeat/odd", change(":9", `:9\r\nX: y`)},
		{"negative slots", "/Instances.Heartbeat/odd", change(`"slots":4`, `"slots":-1`)},
		{"slots that become 0 as 32 bits", "/Instances.Heartbeat/odd", change(`"slots":4`, `"slots":4611686018427387904`)},
		{"software with a line break", "/Instances.Heartbeat/odd", change(`"zone"`, `"version":"v\n","zone"`)},
		{"long service", "/Instances.Heartbeat/odd", change(`"s"`, `"`+strings.Repeat("s", 5000)+`"`)},
	}
	t.Parallel()
	c := qt.New(t)
	s := newTestSite(c, 3)
	s.replace(0, routingDocument(1, ""))
	first, second := answeringEndpoint(c, "answer"), answeringEndpoint(c, "second")
	sequence := 10
	announce := func(id string, server *httptest.Server) bool {
		sequence++
		return s.announce(sequence%len(s.controls), id, server.Listener.Addr().String(), "ready", sequence) == http.StatusOK
	}
	c.Assert(announce("e", first), qt.IsTrue)
	s.eventually("the sound endpoint serves", s.serves)
	for _, test := range tests {
		for i := range s.controls {
			status, _ := call("POST", s.address(i, 1), test.path, "", test.body, nil)
			c.Check(status, qt.Equals, http.StatusBadRequest, qt.Commentf(test.name))
		}
		c.Check(announce("e", first), qt.IsTrue)
	}
	time.Sleep(time.Second) // For the router to hear of what should not be there.
	for range 20 {
		c.Check(s.serves(), qt.IsTrue)
	}

	// The list is still read: a second endpoint gets the requests when the first leaves.
	c.Assert(announce("second", second), qt.IsTrue)
	c.Assert(s.announce(0, "e", first.Listener.Addr().String(), "draining", sequence+1), qt.Equals, http.StatusOK)
	s.eventually("the second endpoint serves", func() bool {
		_, body := call("GET", s.address(100, 1), "/x/1", "a.example", "", map[string]string{"Oleanderramp-Request-Id": "id"})
		return body == "second"
	})
}
