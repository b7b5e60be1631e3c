package memgate

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"oleanderramp/internal/membudget"
)

// bufferFactor is how much memory reading a whole body into a growing buffer takes, as a
// multiple of the body.
const bufferFactor = 2

// claimKey is the key of the gate and the holder of a request in its context.
type claimKey struct{}

type requestHolder struct {
	gate   *Gate
	holder string
}

// Bodies counts the bodies that a handler reads while it runs. A read for which there is
// no memory fails with ErrNoMemory or ErrEvicted.
func (g *Gate) Bodies(handler http.Handler) http.Handler {
	if g == nil {
		return handler
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			handler.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		holder := r.RemoteAddr[:max(strings.LastIndexByte(r.RemoteAddr, ':'), 0)]
		claim := g.OpenBody(holder, func() {
			_ = control.SetReadDeadline(time.Unix(1, 0)) // On a closed connection the read fails.
		})
		defer claim.Close()
		ctx := r.Context()
		r = r.WithContext(context.WithValue(ctx, claimKey{}, requestHolder{gate: g, holder: holder}))
		r.Body = &countedBody{ReadCloser: r.Body, ctx: ctx, claim: claim}
		handler.ServeHTTP(w, r)
	})
}

// countedBody is a body whose bytes count as memory once they are read.
type countedBody struct {
	io.ReadCloser
	ctx   context.Context
	claim *Claim
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.claim.Evicted() {
		return 0, ErrEvicted
	}
	if n == 0 {
		return n, err
	}
	b.claim.Progress(time.Now())
	if growErr := b.claim.Grow(b.ctx, int64(bufferFactor*n)); growErr != nil {
		if growErr == ErrNoMemory { //nolint:errorlint // Grow returns it as it is.
			b.claim.gate.Ended(NoMemory, b.claim.claim.Holder(), membudget.Body)
		}
		return 0, growErr
	}
	return n, err
}

// OpenDocument counts the memory of a document that is decoded from the request with
// the context, which Bodies has passed on. The claim is nil if nothing is counted.
func OpenDocument(ctx context.Context, bytes int64) (*Claim, error) {
	request, ok := ctx.Value(claimKey{}).(requestHolder)
	if !ok {
		return nil, nil
	}
	return request.gate.OpenDocument(ctx, request.holder, bytes)
}

// OpenDocument counts the memory of a document that is decoded for a holder.
func (g *Gate) OpenDocument(ctx context.Context, holder string, bytes int64) (*Claim, error) {
	claim := g.Open(holder, membudget.Document, nil)
	if err := claim.Grow(ctx, bytes); err != nil {
		claim.Close()
		g.Ended(NoMemory, holder, membudget.Document)
		return nil, err
	}
	return claim, nil
}
