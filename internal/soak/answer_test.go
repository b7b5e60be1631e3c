package soak

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/platform/outside"
)

func TestAnswersAreChecked(t *testing.T) {
	r := &sentRequest{id: "r", kind: requestKinds[0]}
	want := string(expectedAnswer(r))
	tests := []struct {
		name, id, stamp string
		status          int
		body            string
		complete        bool
		want            string
	}{
		{"complete", "r", "e", 200, want, true, ""},
		{"truncated with an error", "r", "e", 200, want[:50], false, ""},
		{"truncated without an error", "r", "e", 200, want[:50], true, "ORDER"},
		{"missing first event", "r", "e", 200, want[len(streamEvent("r", 1)):], true, "MIXED"},
		{"trailing bytes", "r", "e", 200, want + "x", true, "MIXED"},
		{"answer to another request", "other", "e", 200, want, true, "MIXED"},
		{"missing stamp", "r", "", 200, want, true, "MIXED"},
		{"refused", "r", "", 503, "", true, ""},
		{"failed", "r", "e", 500, "", true, ""},
		{"denied", "r", "", 404, "", true, "DENIED"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &Site{recorder: &recorder{started: time.Now()}}
			response := &http.Response{StatusCode: test.status, Header: http.Header{}}
			outside.SetAnswerHeader(response.Header, test.id, test.stamp)
			s.checkAnswer(r, response, []byte(test.body), test.complete)
			qt.Check(t, violatedInvariants(s), qt.Equals, test.want)
		})
	}
}
