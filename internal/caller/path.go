package caller

import (
	"net/http"
	"net/url"
	"path"
	"strings"
)

// servicesPrefix begins the paths of plain services.
const servicesPrefix = "/services/"

// apiHeaderPrefix begins the names of headers that this API defines.
const apiHeaderPrefix = "Oleanderramp-"

// isAPIHeader tells whether the header, in its canonical form, is one of this
// API's.
func isAPIHeader(name string) bool { return strings.HasPrefix(name, apiHeaderPrefix) }

// isCanonicalPath tells whether every server reads the decoded path in the same
// way: it is absolute and has no empty, "." or ".." segments. A slash at the
// end is allowed.
func isCanonicalPath(decoded string) bool {
	if !strings.HasPrefix(decoded, "/") || strings.HasSuffix(decoded, "//") {
		return false
	}
	trimmed := strings.TrimSuffix(decoded, "/")
	return trimmed == "" || path.Clean(trimmed) == trimmed
}

// endpointPath returns what an endpoint is asked for: the path after the
// service's name, escaped as the caller escaped it, with the query.
func endpointPath(r *http.Request) string {
	_, escaped, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix), "/")
	target := url.URL{Path: "/" + r.PathValue("path"), RawPath: "/" + escaped, RawQuery: r.URL.RawQuery}
	return target.RequestURI()
}
