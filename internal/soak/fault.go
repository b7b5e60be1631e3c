package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"oleanderramp/internal/relay"
	"oleanderramp/internal/settings"
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

// injector injects one fault. Its choices derive from the seed.
type injector struct {
	site   *Site
	random *rand.Rand
	name   string
}

// inject starts faults until the context ends. Site.activeFaults tracks those
// that are still running.
func (s *Site) inject(ctx context.Context, random *rand.Rand) {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	for sleep(ctx, time.Duration(random.Int64N(int64(maxFaultInterval)))) {
		at := random.IntN(total)
		i := slices.IndexFunc(faults, func(f fault) bool {
			at -= f.weight
			return at < 0
		})
		f := &injector{site: s, name: faults[i].name, random: newRandom(random)}
		s.activeFaults.Go(func() {
			s.recorder.addFault("%s begins", f.name)
			faults[i].run(f, ctx)
			s.recorder.addFault("%s ends", f.name)
		})
	}
}

func (f *injector) duration(most time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(most)))
}

// waitRandom waits for a random time of up to maxFaultDuration.
func (f *injector) waitRandom(ctx context.Context) { sleep(ctx, f.duration(maxFaultDuration)) }

// recordTarget records the target of a fault, or why it was skipped.
func (f *injector) recordTarget(what string) { f.site.recorder.addFault("%s: %s", f.name, what) }

func (f *injector) process() *Process {
	all := slices.Concat(f.site.controls, f.site.routers)
	p := all[f.random.IntN(len(all))]
	f.recordTarget(p.name())
	return p
}

func (f *injector) control() *Process {
	p := f.site.controls[f.random.IntN(len(f.site.controls))]
	f.recordTarget(p.name())
	return p
}

func (f *injector) endpoint() *Endpoint {
	e := f.site.endpoints[f.random.IntN(len(f.site.endpoints))]
	f.recordTarget(fmt.Sprintf("endpoint %d", e.number))
	return e
}

func (f *injector) hostRelay() *relay.Relay { return f.site.relayOf(f.control()) }

func (f *injector) anyRelay() *relay.Relay {
	if f.random.IntN(2) == 0 {
		return f.endpoint().relay
	}
	return f.hostRelay()
}

// recordError reports a step of the soak itself that failed.
func (f *injector) recordError(err error) {
	if err != nil {
		f.site.recorder.addFinding("SOAK", "%s: %v", f.name, err)
	}
}

// restartProcess stops a process by calling end and starts it again. It does
// nothing if another fault is doing so already.
func (f *injector) restartProcess(p *Process, end func(*Process)) {
	if !p.stopMu.TryLock() {
		f.recordTarget("skipped, another fault is stopping the target")
		return
	}
	defer p.stopMu.Unlock()
	end(p)
	f.recordError(p.start())
}

// restartEndpoint stops an endpoint by calling end and starts it again. It does
// nothing if another fault is doing so already.
func (f *injector) restartEndpoint(e *Endpoint, end func(*Endpoint)) {
	if !e.stopMu.TryLock() {
		f.recordTarget("skipped, another fault is stopping the target")
		return
	}
	defer e.stopMu.Unlock()
	end(e)
	f.recordError(e.start(e.service))
}

// damageDisk kills a control host and damages its data folder before it starts
// again. It does nothing if the last disk fault was less than
// minDiskFaultInterval ago.
func (f *injector) damageDisk(damage func(folder string) error) {
	if !f.site.reserveDiskFault(time.Now()) {
		f.recordTarget("skipped, the last disk fault was too recent")
		return
	}
	f.restartProcess(f.control(), func(p *Process) {
		p.kill()
		f.recordError(damage(p.settings.DataFolder))
	})
}

// reserveDiskFault reports whether another disk fault is allowed now. If so, it
// records the time.
func (s *Site) reserveDiskFault(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastDiskFault) < minDiskFaultInterval {
		return false
	}
	s.lastDiskFault = now
	return true
}

// randomBytes returns between 1 and maxTornBytes random non-zero bytes, which no
// write can have left at the end of a log.
func (f *injector) randomBytes() []byte {
	garbage := make([]byte, 1+f.random.IntN(maxTornBytes))
	for i := range garbage {
		garbage[i] = byte(1 + f.random.IntN(255))
	}
	return garbage
}

// appendToLog appends tail to the newest segment of a replica's log.
func appendToLog(folder string, tail []byte) error {
	segments, err := filepath.Glob(filepath.Join(folder, "log-????????????????"))
	if err != nil || len(segments) == 0 {
		return err
	}
	file, err := os.OpenFile(slices.Max(segments), os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(tail)
	return errors.Join(err, file.Close())
}

// changeSettings writes other seeds into the settings of a process, and in half
// of the cases makes it reload them with SIGHUP.
func (f *injector) changeSettings(context.Context) {
	p := f.process()
	first := f.random.IntN(len(f.site.controls))
	err := p.changeSettings(func(s *settings.Site) {
		s.Seeds = nil
		for i := range seedCount {
			s.Seeds = append(s.Seeds, f.site.controlAddress((first+i)%len(f.site.controls)))
		}
	})
	f.recordError(err)
	if f.random.IntN(2) == 0 {
		p.signal(syscall.SIGHUP)
	}
}

// holdTraffic holds back the bytes to a control host, from it, or both for a
// while.
func (f *injector) holdTraffic(ctx context.Context, in, out bool) {
	p := f.control()
	own, source := f.site.relayOf(p), p.settings.PeerSource()
	own.Hold(relay.AllSources, in, out)
	for _, other := range f.site.relays {
		other.Hold(source, out, in)
	}
	f.waitRandom(ctx)
	own.Heal(relay.AllSources)
	for _, other := range f.site.relays {
		other.Heal(source)
	}
}
