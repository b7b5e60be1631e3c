package endpoint

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// receiveStream forwards the complete events of a stream to the sink, up to and
// including [DONE].
func (a *attempt) receiveStream(config ClientConfig, body io.Reader) *CallError {
	scanner := eventScanner{buffer: a.eventBuffer(config)}
	defer scanner.buffer.release()
	buffer := make([]byte, readBytes)
	for progress := true; ; {
		n, ended, callErr := a.read(body, buffer, progress)
		before := scanner.events
		if n > 0 {
			if failed := a.forwardEvents(&scanner, buffer[:n]); failed != nil {
				return failed
			}
		}
		progress = scanner.events > before
		if scanner.done {
			a.result.Complete = true
			a.drain(body, ended)
			return nil
		}
		if callErr != nil {
			return callErr
		}
		if ended {
			return a.newError(Truncated, errors.New("the stream ended without [DONE]"))
		}
	}
}

func (a *attempt) eventBuffer(config ClientConfig) eventBuffer {
	return eventBuffer{maxBytes: config.MaxEventBytes, pool: a.eventMemory}
}

// receiveRawStream forwards the complete events of a stream to the sink until
// its body ends. An incomplete event at the end is not forwarded.
func (a *attempt) receiveRawStream(config ClientConfig, body io.Reader) *CallError {
	events := a.eventBuffer(config)
	defer events.release()
	buffer := make([]byte, rawReadBytes)
	for progress := true; ; {
		n, ended, callErr := a.read(body, buffer, progress)
		if err := events.add(buffer[:n]); err != nil {
			return a.newError(WrongAnswer, err)
		}
		complete, count := completeEvents(events.pending)
		progress = hasField(events.pending[:complete])
		if failed := a.forward(events.pending[:complete]); failed != nil {
			return failed
		}
		a.result.Events += count
		tooLarge := events.discard(complete)
		switch {
		case callErr != nil:
			return callErr
		case ended && len(events.pending) > 0:
			return a.newError(Truncated, errors.New("the stream ended within an event"))
		case ended:
			a.result.Complete = true
			return nil
		case tooLarge != nil:
			return a.newError(WrongAnswer, tooLarge)
		}
	}
}

// rawReadBytes is the buffer size for reading a raw stream, whose events are
// small.
const rawReadBytes = 4 << 10

// completeEvents returns the total length and the number of the complete events at
// the start of p.
func completeEvents(p []byte) (length, count int) {
	for {
		size := eventLen(p[length:])
		if size == 0 {
			return length, count
		}
		length += size
		count++
	}
}

// hasField reports whether complete events have a line that is not a comment. Events of
// comments alone are no progress of a stream.
func hasField(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// forwardEvents forwards the events that p completes.
func (a *attempt) forwardEvents(scanner *eventScanner, p []byte) *CallError {
	complete, err := scanner.add(p)
	if err != nil {
		return a.newError(TooLarge, err)
	}
	if callErr := a.forward(complete); callErr != nil {
		return callErr
	}
	a.result.Events = scanner.events
	a.result.Tokens = scanner.tokens()
	return nil
}

// drain reads the end of a body after [DONE], so that the connection can be
// reused. If the body continues, the connection is closed.
func (a *attempt) drain(body io.Reader, ended bool) {
	if ended {
		return
	}
	a.silence.start(a.call.ProgressTimeout)
	var rest [1]byte
	_, err := body.Read(rest[:])
	a.silence.stop()
	if !errors.Is(err, io.EOF) {
		a.abandonConn()
	}
}

// eventScanner splits a stream into complete server-sent events.
type eventScanner struct {
	buffer eventBuffer
	// events is the number of complete events with data, not counting [DONE].
	events int
	// contentEvents is the number of events whose data is a chunk with content.
	contentEvents int
	// usage is the number of completion tokens that the stream reported.
	usage int
	// usageReported reports whether usage is set.
	usageReported bool
	// done reports whether [DONE] was received.
	done bool
}

// add appends the next bytes of the stream and returns the events that they
// complete. After [DONE] it returns no more events. The result is valid until
// the next call.
func (s *eventScanner) add(p []byte) ([]byte, error) {
	if err := s.buffer.add(p); err != nil {
		return nil, err
	}
	pending, end := s.buffer.pending, 0
	for !s.done {
		size := eventLen(pending[end:])
		if size == 0 {
			break
		}
		s.processEvent(pending[end : end+size])
		end += size
	}
	complete := bytes.Clone(pending[:end])
	if err := s.buffer.discard(end); err != nil && !s.done {
		return complete, err
	}
	return complete, nil
}

// eventLen returns the length of the first event, including the blank line that
// ends it, or 0 if the event is incomplete. Lines end with LF or CRLF.
func eventLen(p []byte) int {
	for start := 0; ; {
		i := bytes.IndexByte(p[start:], '\n')
		if i < 0 {
			return 0
		}
		line := bytes.TrimSuffix(p[start:start+i], []byte("\r"))
		start += i + 1
		if len(line) == 0 {
			return start
		}
	}
}

// processEvent counts one complete event and its tokens.
func (s *eventScanner) processEvent(p []byte) {
	data := eventData(p)
	switch {
	case data == nil:
	case string(data) == "[DONE]":
		s.done = true
	default:
		s.events++
		s.countTokens(data)
	}
}

// eventData returns the joined data lines of an event, nil if it has none.
func eventData(p []byte) []byte {
	var data []byte
	for line := range bytes.Lines(p) {
		line = bytes.TrimRight(line, "\r\n")
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		if data == nil {
			data = []byte{}
		} else {
			data = append(data, '\n')
		}
		data = append(data, value...)
	}
	return data
}

// chunk holds the fields of a streamed chunk, or of a complete response, from
// which tokens are counted.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func (s *eventScanner) countTokens(data []byte) {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return
	}
	if c.Usage != nil && c.Usage.CompletionTokens >= 0 {
		s.usage = c.Usage.CompletionTokens
		s.usageReported = true
	}
	for _, choice := range c.Choices {
		if choice.Text != "" || choice.Delta.Content != "" {
			s.contentEvents++
			return
		}
	}
}

// tokens returns the reported usage, or the number of events with content if the
// stream reported none.
func (s *eventScanner) tokens() int {
	if s.usageReported {
		return s.usage
	}
	return s.contentEvents
}

// usageScanner buffers the body of a response to find the token usage in it.
// Bodies of more than usageBytes are not searched.
type usageScanner struct {
	body     []byte
	tooLarge bool
}

func (u *usageScanner) add(p []byte) {
	if u.tooLarge || len(u.body)+len(p) > usageBytes {
		u.tooLarge = true
		u.body = nil
		return
	}
	u.body = append(u.body, p...)
}

func (u *usageScanner) tokens() int {
	var c chunk
	if u.tooLarge || json.Unmarshal(u.body, &c) != nil || c.Usage == nil {
		return 0
	}
	return max(c.Usage.CompletionTokens, 0)
}
