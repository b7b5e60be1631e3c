package endpoint

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// maxPause bounds Notice.Pause.
const maxPause = time.Hour

// Headers holds the names of the headers in which endpoints state which request
// a response belongs to, that they did not run a request, that they leave, and how
// many requests they take.
type Headers struct {
	// Request carries the request id in requests and responses.
	Request string
	// NotRun states that the endpoint did not run the call: with the value
	// NotRunValue on a response with status 503 or, if NotRunValue is empty,
	// with any value on any status from 400 on. In the latter case status 421
	// means the same without the header.
	NotRun      string
	NotRunValue string
	// Leaving states, with any value, that the endpoint shuts down and wants no
	// further requests. Optional.
	Leaving string
	// RateLimit states how many requests a second the endpoint takes from all
	// callers together, as a decimal number. Optional.
	RateLimit string
}

// isRefusal reports whether the endpoint states that it did not run the call.
func (h Headers) isRefusal(status int, header http.Header) bool {
	value := header.Get(h.NotRun)
	if h.NotRunValue != "" {
		return status == http.StatusServiceUnavailable && value == h.NotRunValue
	}
	return status == http.StatusMisdirectedRequest || status >= http.StatusBadRequest && value != ""
}

// Notice is what an endpoint states about itself in the header of a response.
type Notice struct {
	// Leaving reports whether the endpoint wants no further requests.
	Leaving bool
	// Pause is how long the endpoint wants no requests from this caller; 0 if it
	// said nothing about it.
	Pause time.Duration
	// RateLimit is how many requests a second the endpoint takes from all callers
	// together; 0 if it stated no limit. It is at least minRateLimit otherwise.
	RateLimit float64
	// Answer reports whether the response answers this call and is no failure, so
	// that a limit which is not stated has ended.
	Answer bool
}

// minRateLimit bounds Notice.RateLimit from below: without requests, no answer would
// ever state the end of the limit.
const minRateLimit = 0.1

// notice returns what the header of a response with the status states. A Retry-After
// time that is no number of seconds counts as none, as does a rate limit that is no
// decimal number from 0 on.
func (h Headers) notice(status int, header http.Header) Notice {
	n := Notice{Leaving: h.Leaving != "" && header.Get(h.Leaving) != "", RateLimit: h.rateLimit(header)}
	if status != http.StatusServiceUnavailable {
		return n
	}
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err == nil && seconds > 0 {
		n.Pause = time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	return n
}

// rateLimit returns the rate limit that the header states, or 0.
func (h Headers) rateLimit(header http.Header) float64 {
	if h.RateLimit == "" {
		return 0
	}
	limit, err := strconv.ParseFloat(header.Get(h.RateLimit), 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0
	}
	return max(limit, minRateLimit)
}
