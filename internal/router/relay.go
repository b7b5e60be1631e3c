package router

import (
	"bytes"
	"net/http"
	"strconv"
)

// Sink takes the answer to a request, piece by piece.
type Sink interface {
	// MarkReplayed marks the answer as a saved one. It comes before Head.
	MarkReplayed()
	Head(status int, header http.Header) error
	Data(p []byte) error
}

// maxBufferedBytes bounds how much of an answer that is no stream is held back until
// it is complete, so that a broken one can be asked for again.
const maxBufferedBytes = 1 << 20

// relay passes an endpoint's answer on to the caller. It holds back answers
// that are no streams, up to limit bytes, as they could still be replaced.
type relay struct {
	sink Sink
	// limit is how many bytes may be held back; a larger answer is passed on.
	limit  int
	stream bool

	status int
	header http.Header
	buffered   bytes.Buffer
	// forwarded is true once the caller has part of the answer.
	forwarded bool
}

// Head takes the status and header.
func (r *relay) Head(status int, header http.Header) error {
	r.status, r.header = status, header
	r.buffered.Reset()
	return nil
}

// Data takes a piece of the body.
func (r *relay) Data(p []byte) error {
	if r.forwarded {
		return r.sink.Data(p)
	}
	if r.fitsBuffer(len(p)) {
		_, _ = r.buffered.Write(p) // A buffer never fails.
		return nil
	}
	if err := r.forward(); err != nil {
		return err
	}
	return r.sink.Data(p)
}

// fitsBuffer tells whether n more bytes are held back.
func (r *relay) fitsBuffer(n int) bool {
	return !r.stream && r.buffered.Len()+n <= r.limit
}

// finish gives the caller an answer that is whole. One that was held back gets
// its length, so that callers of any HTTP version notice a cut.
func (r *relay) finish() error {
	if !r.forwarded && r.buffered.Len() > 0 {
		r.header = withContentLength(r.header, r.buffered.Len())
	}
	return r.forward()
}

// withContentLength returns a copy of the header with the length of the body.
func withContentLength(header http.Header, length int) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = make(http.Header)
	}
	copied.Set("Content-Length", strconv.Itoa(length))
	return copied
}

// forward gives the caller what was held back.
func (r *relay) forward() error {
	if r.forwarded {
		return nil
	}
	r.forwarded = true
	if err := r.sink.Head(r.status, r.header); err != nil {
		return err
	}
	if r.buffered.Len() == 0 {
		return nil
	}
	return r.sink.Data(r.buffered.Bytes())
}
