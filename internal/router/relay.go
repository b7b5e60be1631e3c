package router

import (
	"bytes"
	"net/http"
	"strconv"
)

// Sink receives the response to a request in parts.
type Sink interface {
	// MarkReplayed marks the response as replayed from a record. It must be
	// called before Head.
	MarkReplayed()
	Head(status int, header http.Header) error
	Data(p []byte) error
}

// maxBufferedBytes bounds how much of a non-streaming response is buffered
// until it is complete, so that the request can still be retried when the
// response is truncated.
const maxBufferedBytes = 1 << 20

// relay forwards an endpoint's response to the caller. It buffers non-streaming
// responses up to limit bytes, since a retry may still replace them.
type relay struct {
	sink Sink
	// limit is how many bytes are buffered; a larger response is forwarded as
	// it arrives.
	limit  int
	stream bool

	status   int
	header   http.Header
	buffered bytes.Buffer
	// forwarded is true once part of the response may have been sent to the
	// caller.
	forwarded bool
}

// Head stores the status and header, and discards what was buffered.
func (r *relay) Head(status int, header http.Header) error {
	r.status, r.header = status, header
	r.buffered.Reset()
	return nil
}

// Data buffers or forwards a part of the body.
func (r *relay) Data(p []byte) error {
	if r.forwarded {
		return r.sink.Data(p)
	}
	if r.fitsBuffer(len(p)) {
		_, _ = r.buffered.Write(p) // bytes.Buffer never returns an error.
		return nil
	}
	if err := r.forward(); err != nil {
		return err
	}
	return r.sink.Data(p)
}

// fitsBuffer reports whether n more bytes can be buffered.
func (r *relay) fitsBuffer(n int) bool {
	return !r.stream && r.buffered.Len()+n <= r.limit
}

// finish forwards a complete response. A buffered one gets a Content-Length, so
// that a client of any HTTP version can detect truncation.
func (r *relay) finish() error {
	if !r.forwarded && r.buffered.Len() > 0 {
		r.header = withContentLength(r.header, r.buffered.Len())
	}
	return r.forward()
}

// withContentLength returns a copy of the header with the Content-Length set.
func withContentLength(header http.Header, length int) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = make(http.Header)
	}
	copied.Set("Content-Length", strconv.Itoa(length))
	return copied
}

// forward sends the head and the buffered body to the caller.
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
