package router

import (
	"crypto/sha256"
	"net/http"
	"time"

	"oleanderramp/pkg/bundle"
)

// Request is a caller's request, authenticated and matched to a service.
type Request struct {
	// ID is unique to the request and goes to the endpoint and back.
	ID      string
	Account *bundle.ClientAccount
	Service string
	Kind    *bundle.Kind
	Cost    bundle.CostUnit
	Method  string
	// Path is the path requested from the endpoint, with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Stream reports whether the caller requested an event stream.
	Stream         bool
	IdempotencyKey string
	Model          string
	Adapter        string
	// Prefix holds the hashes of the prompt's prefixes, shortest first.
	Prefix  []uint64
	Arrived time.Time
}

// digest identifies the content of a request and its account: equal digests
// mean the same request.
type digest [sha256.Size]byte

func (r *Request) digest() digest {
	h := sha256.New()
	for _, part := range []string{r.Account.Name, r.Service, r.Kind.Name, r.Method, r.Path} {
		_, _ = h.Write([]byte(part)) // hash.Hash never returns an error.
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	var d digest
	h.Sum(d[:0])
	return d
}

// estimate returns the expected cost, weighted by kind.
func (r *Request) estimate() float64 {
	estimate := r.Kind.EstimatedCost
	if estimate <= 0 {
		estimate = 1
	}
	return estimate * r.weight()
}

func (r *Request) weight() float64 {
	if r.Kind.Weight <= 0 {
		return 1
	}
	return r.Kind.Weight
}

// cost returns the true cost of a completed request, weighted by kind.
func (r *Request) cost(tokens int) float64 {
	if r.Cost == bundle.CostTokens {
		return float64(tokens) * r.weight()
	}
	return r.weight()
}

// queueTimeout returns how long the request may wait for a slot.
func (r *Request) queueTimeout() time.Duration {
	return time.Duration(r.Kind.QueueTimeoutMS) * time.Millisecond
}

// progressTimeout returns the longest allowed time between two bytes of a
// response.
func (r *Request) progressTimeout() time.Duration {
	return time.Duration(r.Kind.ProgressTimeoutMS) * time.Millisecond
}
