package router

import (
	"context"
)

// beginRequest counts an active request. It returns false when the router is
// draining.
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

// closeIdleIfDrained closes idle once the router is draining and no request is
// active. r.mu must be held.
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

// Drain rejects new requests and waits until those in progress have ended or
// the context is done. It returns the number of requests still in progress.
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

// Close stops background work and waits for it.
func (r *Router) Close() error {
	r.cancelBackground()
	r.background.Wait()
	return nil
}
