package httpserver

import (
	"bytes"
	"strconv"
	"strings"
)

// maxRefusedHeaderBytes is the largest header of a request that is refused without
// net/http.
const maxRefusedHeaderBytes = 16 << 10

var (
	headerEnd = []byte("\r\n\r\n")
	lastChunk = []byte("\r\n0\r\n\r\n")
)

// wholeRequest finds the end of the first request on a connection. It understands no more
// of HTTP/1 than that takes.
type wholeRequest struct {
	// header holds what has arrived of the header; nil once it is complete.
	header []byte
	// complete is true once the header has arrived. Then bodyLeft is how much of the body
	// is missing, and chunked is set for a body of unknown length, of which tail holds the
	// last bytes.
	complete bool
	bodyLeft int64
	chunked  bool
	tail     []byte
}

// add adds bytes that have arrived, and reports whether the request is whole. ok is false
// for what can't be a request.
func (r *wholeRequest) add(p []byte) (whole, ok bool) {
	if r.complete {
		r.addBody(p)
		return r.whole(), true
	}
	r.header = append(r.header, p...)
	end := bytes.Index(r.header, headerEnd)
	if end < 0 {
		return false, len(r.header) <= maxRefusedHeaderBytes
	}
	// The line end stays, as a chunked body may end right after the header.
	rest := r.header[end+len("\r\n"):]
	ok = r.readHeader(string(r.header[:end]))
	r.header, r.complete = nil, true
	if !r.chunked {
		rest = rest[len("\r\n"):]
	}
	r.addBody(rest)
	return r.whole(), ok
}

// readHeader finds out how long the body is. It reports whether that is stated at all.
func (r *wholeRequest) readHeader(header string) bool {
	for line := range strings.SplitSeq(header, "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			length, err := strconv.ParseInt(value, 10, 64)
			if err != nil || length < 0 {
				return false
			}
			r.bodyLeft = length
		case "transfer-encoding":
			r.chunked = true
		case "expect":
			// The caller sends no body before it has an answer.
			r.bodyLeft, r.chunked = 0, false
			return true
		}
	}
	return true
}

func (r *wholeRequest) addBody(p []byte) {
	if !r.chunked {
		r.bodyLeft -= int64(len(p))
		return
	}
	r.tail = append(r.tail, p...)
	r.tail = bytes.Clone(r.tail[max(len(r.tail)-len(lastChunk), 0):])
}

func (r *wholeRequest) whole() bool {
	if r.chunked {
		return bytes.Equal(r.tail, lastChunk)
	}
	return r.bodyLeft <= 0
}
