package endpoint

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestEventScanner(t *testing.T) {
	tests := []struct {
		name     string
		input    string
		complete string
		events   int
		tokens   int
		done     bool
	}{
		{"part of an event", "data: {}\n", "", 0, 0, false},
		{"chat", "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n", "", 1, 1, false},
		{"no content", "data: {\"choices\":[{\"delta\":{}}]}\n\n", "", 1, 0, false},
		{"CRLF", "data: {\"choices\":[{\"text\":\"a\"}]}\r\n\r\n", "", 1, 1, false},
		{"no space", "data:[DONE]\n\n", "", 0, 0, true},
		{"comment", ": ping\n\n", "", 0, 0, false},
		{"DONE within text is no end", "data: x [DONE]\n\n", "", 1, 0, false},
		{"usage wins", "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"usage\":{\"completion_tokens\":9}}\n\n", "", 2, 9, false},
		{"usage null", "data: {\"choices\":[{\"text\":\"a\"}],\"usage\":null}\n\n", "", 1, 1, false},
		{"text after DONE", "data: [DONE]\n\ndata: 1\n\n", "data: [DONE]\n\n", 0, 0, true},
		{"data in two lines", "data: [DO\ndata: NE]\n\n", "", 1, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := eventScanner{buffer: eventBuffer{maxBytes: 1000}}
			complete, err := s.add([]byte(test.input))
			qt.Assert(t, err, qt.IsNil)
			want := test.complete
			if want == "" && (test.events > 0 || test.done || test.name == "comment") {
				want = test.input
			}
			qt.Check(t, string(complete), qt.Equals, want)
			qt.Check(t, s.events, qt.Equals, test.events)
			qt.Check(t, s.tokens(), qt.Equals, test.tokens)
			qt.Check(t, s.done, qt.Equals, test.done)
		})
	}
}

func TestEventScannerBoundsOneEvent(t *testing.T) {
	s := eventScanner{buffer: eventBuffer{maxBytes: 100}}
	_, err := s.add(bytes.Repeat([]byte("x"), 101))
	qt.Check(t, err, qt.Equals, errEventTooLarge)
}

// The scanner must return the same bytes and counts however the stream is split
// into reads.
func TestEventScannerIndependentOfReadSizes(t *testing.T) {
	parts := []string{
		"data: 1\n\n", ": ping\n\n", "data: {\"choices\":[{\"text\":\"a\"}]}\r\n\r\n",
		"event: x\ndata: 2\ndata: 3\n\n", "\n", "\r\n", "data: [DONE]\n\n", "data: cut",
	}
	rapid.Check(t, func(t *rapid.T) {
		var input []byte
		for _, part := range rapid.SliceOf(rapid.SampledFrom(parts)).Draw(t, "parts") {
			input = append(input, part...)
		}
		checkSplit(t, input, func(left int) int { return rapid.IntRange(1, left).Draw(t, "read") })
	})
}

func FuzzEventScanner(f *testing.F) {
	f.Add([]byte("data: {\"usage\":{\"completion_tokens\":-1}}\n\ndata: [DONE]\n\n"), byte(3))
	f.Add([]byte("\r\n\n\r\ndata\n\n"), byte(1))
	f.Fuzz(func(t *testing.T, input []byte, step byte) {
		checkSplit(t, input, func(left int) int { return min(left, int(step)+1) })
	})
}

type fatal interface {
	Fatalf(format string, args ...any)
}

func checkSplit(t fatal, input []byte, read func(left int) int) {
	single := eventScanner{buffer: eventBuffer{maxBytes: 1 << 20}}
	want, err := single.add(input)
	if err != nil {
		return
	}
	split := eventScanner{buffer: eventBuffer{maxBytes: 1 << 20}}
	var got []byte
	for rest := input; len(rest) > 0; {
		n := read(len(rest))
		complete, err := split.add(rest[:n])
		if err != nil {
			t.Fatalf("add: %v", err)
		}
		got = append(got, complete...)
		rest = rest[n:]
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("events: got %q, want %q", got, want)
	}
	if single.events != split.events || single.tokens() != split.tokens() || single.done != split.done {
		t.Fatalf("counts: got %+v, want %+v", split, single)
	}
	if single.tokens() < 0 {
		t.Fatalf("tokens: got %d", single.tokens())
	}
	if !bytes.HasPrefix(input, want) {
		t.Fatalf("events %q are no prefix of %q", want, input)
	}
}
