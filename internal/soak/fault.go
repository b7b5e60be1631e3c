package soak

import (
	"context"
	"os"
	"syscall"
	"time"

	"oleanderramp/internal/relay"
)

const (
	// maxFaultInterval is the maximum time between the starts of two faults,
	// which may overlap.
	maxFaultInterval = 900 * time.Millisecond
	// maxFaultDuration is the maximum duration of one phase of a fault.
	maxFaultDuration = 4 * time.Second
	// minDiskFaultInterval is the minimum time between two disk faults, so that
	// the site can replace the lost replica before it loses the next one.
	minDiskFaultInterval = 8 * time.Second
	// maxLinkDelay is the maximum delay that is added to a connection.
	maxLinkDelay = 120 * time.Millisecond
	// maxTornBytes is the maximum number of bytes that a torn or damaged write
	// leaves at the end of a log.
	maxTornBytes = 300
	// minFailurePercent and maxFailurePercent bound the percentage of an
	// endpoint's requests that fail.
	minFailurePercent = 10
	maxFailurePercent = 70
)

// fault is a kind of fault. run injects it and returns when it has ended.
type fault struct {
	name   string
	weight int
	run    func(f *injector, ctx context.Context)
}

var faults = []fault{
	{"kill", 4, func(f *injector, ctx context.Context) {
		f.restartProcess(f.process(), func(p *Process) {
			p.kill()
			f.waitRandom(ctx)
		})
	}},
	{"graceful stop", 4, func(f *injector, _ context.Context) {
		f.restartProcess(f.process(), func(p *Process) { f.site.stop(p) })
	}},
	{"pause", 4, func(f *injector, ctx context.Context) {
		p := f.process()
		p.signal(syscall.SIGSTOP)
		f.waitRandom(ctx)
		p.signal(syscall.SIGCONT)
	}},
	{"kill all control hosts", 1, func(f *injector, ctx context.Context) {
		for _, p := range f.site.controls {
			down := f.duration(maxFaultDuration)
			f.site.activeFaults.Go(func() {
				f.restartProcess(p, func(p *Process) {
					p.kill()
					sleep(ctx, down)
				})
			})
		}
	}},
	{"lose a disk", 2, func(f *injector, _ context.Context) {
		f.damageDisk(func(folder string) error { return os.RemoveAll(folder) })
	}},
	{"damage a disk", 1, func(f *injector, _ context.Context) {
		f.damageDisk(func(folder string) error { return appendToLog(folder, f.randomBytes()) })
	}},
	{"tear a write", 2, func(f *injector, _ context.Context) {
		f.restartProcess(f.control(), func(p *Process) {
			p.kill()
			// Zero bytes stand for a sector that did not reach the disk.
			f.recordError(appendToLog(p.settings.DataFolder, make([]byte, 1+f.random.IntN(maxTornBytes))))
		})
	}},
	{"change settings", 2, (*injector).changeSettings},
	{"partition a host", 3, func(f *injector, ctx context.Context) { f.holdTraffic(ctx, true, true) }},
	{"partition a host in one direction", 3, func(f *injector, ctx context.Context) {
		in := f.random.IntN(2) == 0
		f.holdTraffic(ctx, in, !in)
	}},
	{"isolate a host", 1, func(f *injector, ctx context.Context) {
		r := f.hostRelay()
		r.Isolate(relay.AllSources)
		f.waitRandom(ctx)
		r.Heal(relay.AllSources)
	}},
	{"reset connections", 3, func(f *injector, _ context.Context) { f.anyRelay().Reset(relay.AllSources) }},
	{"silence connections", 3, func(f *injector, _ context.Context) { f.anyRelay().Blackhole(relay.AllSources) }},
	{"delay connections", 2, func(f *injector, ctx context.Context) {
		r := f.anyRelay()
		r.Delay(relay.AllSources, f.duration(maxLinkDelay))
		f.waitRandom(ctx)
		r.Heal(relay.AllSources)
	}},
	{"hold an endpoint's answers", 2, func(f *injector, ctx context.Context) {
		r := f.endpoint().relay
		r.Hold(relay.AllSources, false, true)
		f.waitRandom(ctx)
		r.Heal(relay.AllSources)
	}},
	{"crash an endpoint", 3, func(f *injector, ctx context.Context) {
		f.restartEndpoint(f.endpoint(), func(e *Endpoint) {
			e.crash()
			f.waitRandom(ctx)
		})
	}},
	{"reuse an address for another service", 1, func(f *injector, ctx context.Context) {
		f.restartEndpoint(f.endpoint(), func(e *Endpoint) {
			e.crash()
			f.waitRandom(ctx)
			f.recordError(e.start(otherService(e.service)))
			f.waitRandom(ctx)
			e.crash()
		})
	}},
	{"an endpoint leaves", 2, func(f *injector, ctx context.Context) {
		f.restartEndpoint(f.endpoint(), func(e *Endpoint) { e.leave(ctx) })
	}},
	{"an endpoint fails some requests", 3, func(f *injector, ctx context.Context) {
		e := f.endpoint()
		e.failurePercent.Store(int32(minFailurePercent + f.random.IntN(maxFailurePercent-minFailurePercent)))
		f.waitRandom(ctx)
		e.failurePercent.Store(0)
	}},
	{"more callers", 2, func(f *injector, ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, f.duration(maxFaultDuration))
		defer cancel()
		f.site.startCallers(ctx, f.site.config.Callers)
		<-ctx.Done()
	}},
}
