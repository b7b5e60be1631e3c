package router

import (
	"context"
)

// beginRequest counts a request in, unless the router is shutting down.
func (r *Router) beginRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.active++
	return true
}

func (r *Router) endRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	r.closeIdleIfDrained()
}

// closeIdleIfDrained closes idle once nothing runs any more. r.mu is held.
func (r *Router) closeIdleIfDrained() {
	if !r.draining || r.active > 0 {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

// Active returns the number of requests in progress.
func (r *Router) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// Drain refuses new requests and waits for those in progress, or for the
// context. It returns the number of requests that are still in progress.
func (r *Router) Drain(ctx context.Context) int {
	r.mu.Lock()
	r.draining = true
	r.closeIdleIfDrained()
	r.mu.Unlock()
	select {
	case <-r.idle:
	case <-ctx.Done():
	}
	return r.Active()
}

// Close ends work in the background and waits for it.
func (r *Router) Close() error {
	r.cancelBackground()
	r.background.Wait()
	return nil
}
