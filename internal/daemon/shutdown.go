package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/peer"
)

// Drain refuses new requests and waits for those in progress until the shutdown
// timeout has passed or the context ends. It returns how many requests are
// aborted.
func (d *Daemon) Drain(ctx context.Context) int {
	event.DaemonDraining.Log(d.log, event.Fields{"host": d.settings.Host})
	d.members.drain()
	handoverEnd := time.Now().Add(d.handoverTime())
	limited, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Limits.ShutdownTimeoutMS)*time.Millisecond)
	defer cancel()
	aborted := d.drainRouter(limited)
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(handoverEnd)):
	}
	aborted = max(aborted, d.drainCallers(limited))
	if aborted > 0 {
		event.RequestsAborted.Log(d.log, event.Fields{"requests": aborted})
	}
	return aborted
}

// handoverTime returns how long a daemon continues to schedule after it has
// begun to drain. The other daemons need this time to learn of the drain by a
// probe and to switch to another scheduler.
func (d *Daemon) handoverTime() time.Duration {
	if d.scheduling == nil || len(d.otherControlHosts()) == 0 {
		return 0
	}
	return 2 * peer.ProbePeriod
}

// drainRouter makes the router refuse new requests and waits for those in
// progress. It returns how many remain when the context ends.
func (d *Daemon) drainRouter(ctx context.Context) int {
	if d.router == nil {
		return 0
	}
	return d.router.Drain(ctx)
}

// drainCallers waits for the connections of callers. A request that has begun to
// arrive is not known to the router, and an answer may not be written yet when the
// router has done with it. It returns how many requests over HTTP/1 remain when the
// context ends.
func (d *Daemon) drainCallers(ctx context.Context) int {
	if d.callers == nil {
		return 0
	}
	d.callers.server.Drain(ctx)
	return d.callers.open.Busy()
}

// serverShutdownTimeout limits the shutdown of all HTTP servers, which comes
// after the requests have been drained.
const serverShutdownTimeout = time.Second

// Close stops all components of the daemon and waits for them.
func (d *Daemon) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), serverShutdownTimeout)
	defer cancel()
	errs := d.closeServers(ctx)
	errs = append(errs, closeAll(d.closers())...)
	if d.client != nil {
		d.client.Close()
	}
	d.memory.Close()
	event.DaemonStopped.Log(d.log, event.Fields{"host": d.settings.Host})
	return errors.Join(errs...)
}

// closeServers shuts the HTTP servers down, at the latest when the context ends.
func (d *Daemon) closeServers(ctx context.Context) []error {
	errs := make([]error, len(d.servers))
	var closing sync.WaitGroup
	for i, server := range d.servers {
		closing.Go(func() { errs[i] = server.shutdown(ctx) })
	}
	closing.Wait()
	return errs
}

// closer is a component of the daemon.
type closer interface{ Close() error }

// closers returns the running components in the order in which they are closed.
func (d *Daemon) closers() []closer {
	var list []closer
	add := func(running bool, c closer) {
		if running {
			list = append(list, c)
		}
	}
	add(d.placement != nil, d.placement)
	add(d.prober != nil, d.prober)
	add(d.watcher != nil, d.watcher)
	add(d.router != nil, d.router)
	add(d.dispatcher != nil, d.dispatcher)
	add(d.publisher != nil, d.publisher)
	add(d.scheduling != nil, d.scheduling)
	add(d.replica != nil, d.replica)
	add(d.exchanger != nil, d.exchanger)
	add(d.peerServer != nil, d.peerServer)
	add(d.dialer != nil, d.dialer)
	return slices.Clip(list)
}

func closeAll(list []closer) []error {
	var errs []error
	for _, c := range list {
		errs = append(errs, c.Close())
	}
	return errs
}
