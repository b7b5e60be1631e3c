package site

import (
	"context"
	"errors"
	"sync"
	"time"

	"oleanderramp/internal/event"
)

const (
	// deregistrationDelay is how long a daemon that shuts down continues to
	// accept connections, as the load balancer takes some time to notice that
	// it is not ready.
	deregistrationDelay = 2500 * time.Millisecond
	// drainPollPeriod is the interval between two checks for requests in
	// progress.
	drainPollPeriod = 20 * time.Millisecond
	// closeDrainTimeout is how long Close waits for the calls in progress at the
	// servers.
	closeDrainTimeout = 300 * time.Millisecond
	// abortTimeout is how long the callers of requests that are aborted are waited for.
	abortTimeout = 200 * time.Millisecond
	// closeReserve is the part of the shutdown timeout reserved for closing.
	closeReserve = 700 * time.Millisecond
)

// Drain waits for the requests in progress until the context ends or the
// shutdown timeout, less closeReserve, has passed. It returns the number of
// requests that are aborted.
func (d *Daemon) Drain(ctx context.Context) int {
	event.DaemonDraining.Log(d.log, event.Fields{"host": d.settings.Host})
	if d.control != nil {
		d.control.drain()
	}
	if d.router == nil {
		return 0
	}
	d.router.drain()
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, d.settings.ShutdownTimeout()-closeReserve)
	defer cancel()
	d.awaitForwarded(ctx, start)
	if d.callers != nil {
		// An answer is written only after it has been forwarded, and a request is
		// read before it is counted as active.
		d.callers.Drain(ctx)
	}
	aborted := max(d.router.forwarder.Active(), d.router.conns.Busy())
	if aborted > 0 {
		event.RequestsAborted.Log(d.log, event.Fields{"host": d.settings.Host, "requests": aborted})
		d.abortRequests()
	}
	return aborted
}

// abortRequests ends the requests in progress, and waits a short time until those without
// an answer have got one.
func (d *Daemon) abortRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	d.router.forwarder.Abort()
	if d.callers != nil {
		d.callers.Drain(ctx)
	}
}

// awaitForwarded waits until no request is forwarded any more, but at least for
// deregistrationDelay since the start, after which further requests are refused.
// It returns early if the context ends.
func (d *Daemon) awaitForwarded(ctx context.Context, start time.Time) {
	ticker := time.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(start) < deregistrationDelay {
				continue
			}
			d.router.forwarder.Refuse()
			if d.router.forwarder.Active() == 0 {
				return
			}
		}
	}
}

// closeServers closes all servers. Calls in progress, also of endpoints and
// operators, get their answers if these are ready before the context ends.
func (d *Daemon) closeServers(ctx context.Context) []error {
	var drained sync.WaitGroup
	for _, s := range d.servers {
		drained.Go(func() { s.Drain(ctx) })
	}
	drained.Wait()
	var errs []error
	for _, s := range d.servers {
		errs = append(errs, s.Close())
	}
	return errs
}

// Close stops the daemon and waits for it.
func (d *Daemon) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeDrainTimeout)
	defer cancel()
	errs := d.closeServers(ctx)
	if d.router != nil {
		errs = append(errs, d.router.Close())
	}
	if d.control != nil {
		errs = append(errs, d.control.Close())
	}
	if d.peers != nil {
		errs = append(errs, d.peers.Close())
	}
	errs = append(errs, d.dialer.Close())
	d.memory.Close()
	err := errors.Join(errs...)
	event.DaemonStopped.Log(d.log, event.Fields{"host": d.settings.Host})
	return err
}
