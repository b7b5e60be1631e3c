package endpoint_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/wire"
)

const validAnnouncement = `{"endpoint": "e1", "incarnation": 7, "sequence": 3, "service": "manuals",
 "region": "maz", "zone": "maz-1", "address": "10.0.0.9:8000", "slots": 8, "checks_fencing": true,
 "running": 2, "queued": 1, "models": ["m"], "adapters": ["a"], "cached": ["00000000000000ff"],
 "leaving": true, "lease_ms": 2000}`

func announce(t *testing.T, method, body string, sink func(*wire.Announcement) error) *httptest.ResponseRecorder {
	t.Helper()
	handler := endpoint.NewAnnouncements(sink, endpoint.AnnouncementLimits{MaxBytes: 4096})
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, "/v1/announcements", strings.NewReader(body)))
	return recorder
}

func TestValidAnnouncementIsPassedToSink(t *testing.T) {
	var got *wire.Announcement
	answer := announce(t, http.MethodPost, validAnnouncement, func(m *wire.Announcement) error {
		got = m
		return nil
	})
	qt.Assert(t, answer.Code, qt.Equals, http.StatusNoContent)
	want := &wire.Announcement{
		Endpoint: "e1", Incarnation: 7, Sequence: 3, Service: "manuals", Region: "maz", Zone: "maz-1",
		Address: "10.0.0.9:8000", Slots: 8, ChecksFencing: true, Running: 2, Queued: 1,
		Models: []string{"m"}, Adapters: []string{"a"}, Cached: []uint64{255}, Leaving: true, LeaseMs: 2000,
	}
	qt.Check(t, proto.Equal(got, want), qt.IsTrue, qt.Commentf("got %v", got))
}

// The expected responses to invalid announcements are in testdata. Setting
// UPDATE_GOLDEN=1 rewrites them.
func TestAnnouncementErrors(t *testing.T) {
	refuse := func(err error) func(*wire.Announcement) error {
		return func(*wire.Announcement) error { return err }
	}
	long := strings.Repeat("x", 129)
	tests := []struct {
		name   string
		method string
		body   string
		sink   func(*wire.Announcement) error
	}{
		{"method", http.MethodGet, "", nil},
		{"too_large", http.MethodPost, `{"endpoint":"` + strings.Repeat("x", 5000) + `"}`, nil},
		{"empty", http.MethodPost, "", nil},
		{"no_object", http.MethodPost, "[]", nil},
		{"cut", http.MethodPost, validAnnouncement[:100], nil},
		{"trailing", http.MethodPost, validAnnouncement + "{}", nil},
		{"missing", http.MethodPost, "{}", nil},
		{"types", http.MethodPost, `{"endpoint": 1, "incarnation": -1, "slots": 1e10, "models": "m",
		  "leaving": null, "Zone": "z", "zone": "z", "zone": "y"}`, nil},
		{"values", http.MethodPost, `{"endpoint": "` + long + `", "incarnation": 1, "service": "a\nb", "region": "r",
		  "zone": "z", "address": "localhost:1", "slots": 100001, "models": [""], "cached": ["ff", "000000000000000g"],
		  "lease_ms": 10}`, nil},
		{"refused", http.MethodPost, validAnnouncement,
			refuse(&endpoint.RefusedError{Code: "unknown_service", Message: "no such service"})},
		{"not_ready", http.MethodPost, validAnnouncement, refuse(errors.New("the daemon has no bundle yet"))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer := announce(t, test.method, test.body, test.sink)
			qt.Check(t, json.Valid(answer.Body.Bytes()), qt.IsTrue)
			got := http.StatusText(answer.Code) + "\n" + answer.Body.String()
			path := filepath.Join("testdata", "announcement_"+test.name+".golden")
			if os.Getenv("UPDATE_GOLDEN") != "" {
				qt.Assert(t, os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(path)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, got, qt.Equals, string(want))
		})
	}
}

func FuzzParseAnnouncement(f *testing.F) {
	f.Add([]byte(validAnnouncement))
	f.Add([]byte(`{"slots":1,"slots":2}`))
	f.Add([]byte(`{"a":[{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := endpoint.ParseAnnouncement(data, endpoint.AnnouncementLimits{})
		if err != nil {
			return
		}
		encoded, err := json.Marshal(document)
		qt.Assert(t, err, qt.IsNil)
		copied, err := endpoint.ParseAnnouncement(encoded, endpoint.AnnouncementLimits{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, copied.Endpoint, qt.Equals, document.Endpoint)
		qt.Assert(t, copied.Incarnation, qt.Equals, document.Incarnation)
	})
}
