package endpoint

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
)

// request builds an HTTP request that the transport cannot send a second time,
// whatever the method and the idempotency headers are, because its body cannot
// be rewound. A replayable call is the exception: it uses a new connection, on
// which the transport does not retry.
func (a *attempt) request() (*http.Request, error) {
	target := "http://" + a.call.Address
	if !a.call.Raw {
		target += a.call.Path
	}
	trace := &httptrace.ClientTrace{GotConn: a.gotConn, WroteRequest: a.wroteRequest}
	ctx := httptrace.WithClientTrace(a.ctx, trace)
	request, err := http.NewRequestWithContext(ctx, a.call.Method, target, nil)
	if err != nil {
		return nil, err
	}
	if a.call.Raw {
		// The path is sent byte for byte, without being parsed.
		request.URL.Opaque = a.call.Path
		request.Host = a.call.Host
	}
	request.Header = forwardable(a.call.Header)
	if a.call.RequestID != "" {
		request.Header.Set(a.headers.Request, a.call.RequestID)
	}
	if a.call.Raw && request.Header.Get("User-Agent") == "" {
		// An empty value keeps the transport from adding its own User-Agent.
		request.Header.Set("User-Agent", "")
	}
	a.requestHeader = request.Header
	request.ContentLength = int64(len(a.call.Body))
	if a.call.replayable() {
		request.Body = http.NoBody
	} else {
		request.Body = nonRewindableBody{bytes.NewReader(a.call.Body)}
	}
	return request, nil
}

// replayable reports whether the call has no body but a method that usually has
// one. Its request must use http.NoBody, because the transport would send an
// empty nonRewindableBody with chunked encoding. As the transport can rewind
// http.NoBody, it could send such a request a second time.
func (c Call) replayable() bool {
	if len(c.Body) > 0 {
		return false
	}
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return false
	default:
		return true
	}
}

// nonRewindableBody is a body that the transport cannot rewind.
type nonRewindableBody struct{ io.Reader }

func (nonRewindableBody) Close() error { return nil }

// hopByHop lists the hop-by-hop headers, which apply to one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardable returns a copy of the header without the hop-by-hop headers and
// those that the transport sets itself.
func forwardable(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = make(http.Header)
	}
	for _, line := range copied["Connection"] {
		for _, name := range strings.Split(line, ",") {
			copied.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		copied.Del(name)
	}
	copied.Del("Content-Length")
	copied.Del("Host")
	copied.Del("Expect")
	copied.Del("Accept-Encoding")
	return copied
}
