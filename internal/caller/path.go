package caller

import (
	"net/http"
	"net/url"
	"path"
	"strings"
)

// servicesPrefix is the path prefix of services with the plain protocol.
const servicesPrefix = "/services/"

// apiHeaderPrefix is the prefix of the headers that this API defines.
const apiHeaderPrefix = "Oleanderramp-"

// isAPIHeader reports whether the header name, in canonical form, belongs to
// this API.
func isAPIHeader(name string) bool { return strings.HasPrefix(name, apiHeaderPrefix) }

// isCanonicalPath reports whether the decoded path is absolute and has no
// empty, "." or ".." segments, so that every server interprets it in the same
// way. A trailing slash is allowed.
func isCanonicalPath(decoded string) bool {
	if !strings.HasPrefix(decoded, "/") || strings.HasSuffix(decoded, "//") {
		return false
	}
	trimmed := strings.TrimSuffix(decoded, "/")
	return trimmed == "" || path.Clean(trimmed) == trimmed
}

// endpointPath returns the path to request from the endpoint: the part after
// the service's name, escaped as the caller escaped it, with the query.
func endpointPath(r *http.Request) string {
	_, escaped, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix), "/")
	target := url.URL{Path: "/" + r.PathValue("path"), RawPath: "/" + escaped, RawQuery: r.URL.RawQuery}
	return target.RequestURI()
}
