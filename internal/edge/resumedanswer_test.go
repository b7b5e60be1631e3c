package edge_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// resumeWith breaks a stream off after event 3 and lets the next endpoint give the answer.
// It returns what the caller got of the stream, and the error with which that ended.
func resumeWith(c *qt.C, answer string) (string, error) {
	s := newSite(c, newEndpoint(c, events(1, 3, false)), newEndpoint(c, rawAnswer(answer)))
	_, body, err := s.ask(c, "POST", "/resumable/", "x", map[string]string{"Oleanderramp-Key": "secret"})
	return body, err
}

// TestOnlyItsEventsResumeStream guards against an answer of the next endpoint that is joined
// to a stream of which it is no part, or that ends the stream as if it were complete.
func TestOnlyItsEventsResumeStream(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\n$ID\r\n"
		stream = head + "Content-Type: text/event-stream\r\n\r\n"
	)
	tests := []struct{ name, answer string }{
		{"JSON", head + "Content-Type: application/json\r\nContent-Length: 13\r\n\r\n{\"error\": 1}\n"},
		{"JSON in chunks", head + "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n{\"error\": 1}\n\r\n0\r\n\r\n"},
		{"text that looks like its events", head + "Content-Type: text/plain\r\n\r\nid: 4\ndata: x\n\n"},
		{"no type", head + "\r\nid: 4\ndata: x\n\n"},
		{"empty, no type", head + "Content-Length: 0\r\n\r\n"},
		{"no content", "HTTP/1.1 204 No Content" + streamLines},
		{"part", "HTTP/1.1 206 Partial Content" + streamLines},
		{"redirect", "HTTP/1.1 302 Found" + streamLines},
		{"error", "HTTP/1.1 500 No" + streamLines},
		{"refusal", "HTTP/1.1 429 Too Many" + streamLines},

		{"head of an error", stream + "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno\n\n"},
		{"event without an ID", stream + "data: {\"error\": 1}\n\n"},
		{"error event without an ID", stream + "event: error\n\nid: 4\ndata: x\n\n"},
		{"comment, then an event without an ID", stream + ": x\n\ndata: {\"error\": 1}\n\n"},
		{"event with another kind of ID", stream + "id: error\ndata: x\n\n"},
		{"comment, then another event", stream + ": x\n\nid: 3\ndata: x\n\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			body, err := resumeWith(c, test.answer)
			c.Check(err, qt.IsNotNil)
			c.Check(body, qt.Equals, completeStream(1, 3))
		})
	}
}

// TestStreamsAreResumed checks that what may stand before the first event, or in it, does not
// keep a stream from being resumed.
func TestStreamsAreResumed(t *testing.T) {
	tests := []struct{ name, typ, begin string }{
		{"parameter of the type", "Text/Event-Stream; charset=utf-8", ""},
		{"comments", "text/event-stream", ": x\n\n: y\n: z\n\n"},
		{"comment within the event", "text/event-stream", "data: x\n:\n"},
		{"retry time", "text/event-stream", "retry: 100\n\n"},
		{"field before the ID", "text/event-stream", "oleanderramp-weight-versions: 2\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			rest := test.begin + completeStream(4, 5)
			body, err := resumeWith(c, "HTTP/1.1 200 OK\r\n$ID\r\nContent-Type: "+test.typ+"\r\n\r\n"+rest)
			c.Check(err, qt.IsNil)
			c.Check(body, qt.Equals, completeStream(1, 3)+rest)
		})
	}
}

// TestOnlyStreamsAreResumed guards against an answer that is no stream, though it looks like
// events, and that another endpoint continues after half an event or under another status.
func TestOnlyStreamsAreResumed(t *testing.T) {
	const broken = "\r\nContent-Length: 1000\r\n\r\nid: 1\ndata: x\n\nid: 3\nda"
	tests := []struct{ name, answer, body string }{
		{"text", "HTTP/1.1 200 OK\r\n$ID\r\nContent-Type: text/plain" + broken, "id: 1\ndata: x\n\nid: 3\nda"},
		{"not found", "HTTP/1.1 404 No\r\n$ID\r\nContent-Type: text/event-stream" + broken, "id: 1\ndata: x\n\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			other := newEndpoint(c, events(4, 5, true))
			s := newSite(c, newEndpoint(c, rawAnswer(test.answer)), other)
			_, body, err := s.ask(c, "POST", "/resumable/", "x", map[string]string{"Oleanderramp-Key": "secret"})
			c.Check(err, qt.IsNotNil)
			c.Check(body, qt.Equals, test.body)
			c.Check(other.seen(), qt.HasLen, 0)
		})
	}
}
