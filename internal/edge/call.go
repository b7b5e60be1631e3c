package edge

import (
	"context"
	"net/http"
	"time"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/event"
	"oleanderramp/internal/ratelimit"
	"oleanderramp/pkg/routing"
)

// call returns the call to the endpoint of the placement.
func (f *Forwarder) call(ctx context.Context, now time.Time, t *task, p placement) endpoint.Call {
	left := t.deadline.Sub(now)
	send := ForwardInfo{TimeLeft: left, Account: t.account, Endpoint: p.choice.Endpoint.ID, Source: p.choice.Source.Address, LastEvent: t.answer.lastEvent}
	return endpoint.Call{
		RequestID: t.request.ID, Address: p.choice.Endpoint.Address, Host: t.request.Host,
		Method: t.request.Method, Path: t.request.Target, Body: t.request.Body,
		Header:        f.cfg.Codec.Outgoing(t.request, send),
		HeaderTimeout: f.headerTimeout(t, p, left), ProgressTimeout: f.progressTimeout(t, left),
		MaxAnswerBytes: f.cfg.MaxAnswerBytes, Stream: t.route.Kind == routing.Streaming,
		Idempotent: t.route.Idempotent(), Pooled: t.route.Kind != routing.Unsafe,
		Raw: true, RequireEcho: true, OnNotice: func(n endpoint.Notice) { f.recordNotice(t, p, n) },
		OnConnected:        func(header http.Header) { f.cfg.Codec.SetTimeLeft(header, time.Until(t.deadline)) },
		CallerDisconnected: func() bool { return f.cfg.CallerDisconnected(ctx) },
		OnSent:             func() { t.sentAt.Store(time.Now().UnixNano()) },
	}
}

// recordNotice records what an endpoint has stated about itself.
func (f *Forwarder) recordNotice(t *task, p placement, n endpoint.Notice) {
	before, after := p.reservation.recordNotice(time.Now(), n)
	if ratelimit.Differ(before, after) {
		event.EndpointRateLimit.Log(f.cfg.Log, event.Fields{
			"endpoint": p.choice.Endpoint.ID, "service": t.service, "request": t.request.ID, "limit_per_s": after, "before_per_s": before,
		})
	}
	if !n.Leaving && n.Pause == 0 {
		return
	}
	event.EndpointNotice.Log(f.cfg.Log, event.Fields{
		"endpoint": p.choice.Endpoint.ID, "service": t.service, "request": t.request.ID, "leaving": n.Leaving, "pause_ms": n.Pause.Milliseconds(),
	})
}

const (
	// headerTimeoutObjectives is the number of objectives after which an
	// idempotent request without an answer is sent to another endpoint as well.
	headerTimeoutObjectives = 2
	// progressTimeoutGaps is the number of maximum event gaps after which the rest
	// of a stalled stream is requested from another endpoint as well.
	progressTimeoutGaps = 3
	// lagAllowanceFactor multiplies this daemon's lag to extend both timeouts.
	lagAllowanceFactor = 20
)

// headerTimeout returns how long the endpoint may take until the answer's header before
// the request is sent to another one as well. A request that must run at most once gets
// all the time that is left.
func (f *Forwarder) headerTimeout(t *task, p placement, left time.Duration) time.Duration {
	if !t.route.Idempotent() || t.route.Objective <= 0 {
		return left
	}
	return min(left, headerTimeoutObjectives*max(t.route.Objective, p.choice.Predicted)+f.lagAllowance())
}

// progressTimeout returns how long the endpoint may pause within an answer before the
// rest is requested from another one as well.
func (f *Forwarder) progressTimeout(t *task, left time.Duration) time.Duration {
	if !t.route.Idempotent() || t.route.MaxEventGap <= 0 {
		return left
	}
	return min(left, progressTimeoutGaps*t.route.MaxEventGap+f.lagAllowance())
}

// lagAllowance returns how much longer than usual an endpoint may seem silent, as
// this daemon reads its answer late by about the lag for each step.
func (f *Forwarder) lagAllowance() time.Duration { return lagAllowanceFactor * f.cfg.Lag() }
