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
	// faultPause is the time between two faults, at the most; they overlap.
	faultPause = 900 * time.Millisecond
	// longestFault bounds how long one lasts.
	longestFault = 4 * time.Second
	// diskRest is the time between two lost disks: the site must have replaced
	// the one before.
	diskRest = 8 * time.Second
	// linkDelay is the longest delay of a link.
	linkDelay = 120 * time.Millisecond
	// tornBytes bounds what a loss of power leaves behind of a write.
	tornBytes = 300
	// leastFailing and mostFailing bound the share of an endpoint's answers
	// that go wrong, in percent.
	leastFailing = 10
	mostFailing  = 70
)

// fault is a sort of trouble. It begins, lasts, and has ended when run returns.
type fault struct {
	name   string
	weight int
	run    func(f *injector, ctx context.Context)
}

var faults = []fault{
	{"kill", 4, func(f *injector, ctx context.Context) {
		f.alone(f.process(), func(p *Process) {
			p.kill()
			f.last(ctx)
		})
	}},
	{"stop in good order", 4, func(f *injector, _ context.Context) {
		f.alone(f.process(), func(p *Process) { f.site.stop(p) })
	}},
	{"pause", 4, func(f *injector, ctx context.Context) {
		p := f.process()
		p.signal(syscall.SIGSTOP)
		f.last(ctx)
		p.signal(syscall.SIGCONT)
	}},
	{"kill all control hosts", 1, func(f *injector, ctx context.Context) {
		for _, p := range f.site.controls {
			down := f.duration(longestFault)
			f.site.troubles.Go(func() {
				f.alone(p, func(p *Process) {
					p.kill()
					sleep(ctx, down)
				})
			})
		}
	}},
	{"lose a disk", 2, func(f *injector, _ context.Context) {
		f.spoilDisk(func(folder string) error { return os.RemoveAll(folder) })
	}},
	{"damage a disk", 1, func(f *injector, _ context.Context) {
		f.spoilDisk(func(folder string) error { return appendToLog(folder, f.garbage()) })
	}},
	{"tear a write", 2, func(f *injector, _ context.Context) {
		f.alone(f.control(), func(p *Process) {
			p.kill()
			// A sector of the write was not written.
			f.check(appendToLog(p.settings.DataFolder, make([]byte, 1+f.random.IntN(tornBytes))))
		})
	}},
	{"change settings", 2, (*injector).changeSettings},
	{"cut off a host", 3, func(f *injector, ctx context.Context) { f.hold(ctx, true, true) }},
	{"cut a host one way", 3, func(f *injector, ctx context.Context) {
		in := f.random.IntN(2) == 0
		f.hold(ctx, in, !in)
	}},
	{"isolate a host", 1, func(f *injector, ctx context.Context) {
		r := f.hostRelay()
		r.Isolate(relay.AllSources)
		f.last(ctx)
		r.Heal(relay.AllSources)
	}},
	{"reset connections", 3, func(f *injector, _ context.Context) { f.anyRelay().Reset(relay.AllSources) }},
	{"silence connections", 3, func(f *injector, _ context.Context) { f.anyRelay().Blackhole(relay.AllSources) }},
	{"delay connections", 2, func(f *injector, ctx context.Context) {
		r := f.anyRelay()
		r.Delay(relay.AllSources, f.duration(linkDelay))
		f.last(ctx)
		r.Heal(relay.AllSources)
	}},
	{"hold an endpoint's answers", 2, func(f *injector, ctx context.Context) {
		r := f.endpoint().relay
		r.Hold(relay.AllSources, false, true)
		f.last(ctx)
		r.Heal(relay.AllSources)
	}},
	{"crash an endpoint", 3, func(f *injector, ctx context.Context) {
		f.changeEndpoint(f.endpoint(), func(e *Endpoint) {
			e.crash()
			f.last(ctx)
		})
	}},
	{"give an address to another service", 1, func(f *injector, ctx context.Context) {
		f.changeEndpoint(f.endpoint(), func(e *Endpoint) {
			e.crash()
			f.last(ctx)
			f.check(e.start(otherService(e.service)))
			f.last(ctx)
			e.crash()
		})
	}},
	{"an endpoint leaves", 2, func(f *injector, ctx context.Context) {
		f.changeEndpoint(f.endpoint(), func(e *Endpoint) { e.leave(ctx) })
	}},
	{"an endpoint fails in part", 3, func(f *injector, ctx context.Context) {
		e := f.endpoint()
		e.failing.Store(int32(leastFailing + f.random.IntN(mostFailing-leastFailing)))
		f.last(ctx)
		e.failing.Store(0)
	}},
	{"more callers", 2, func(f *injector, ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, f.duration(longestFault))
		defer cancel()
		f.site.callers(ctx, f.site.config.Callers)
		<-ctx.Done()
	}},
}

// injector makes one fault, as the seed says.
type injector struct {
	site   *Site
	random *rand.Rand
	name   string
}

// inject begins faults until the context ends; Site.troubles has those that last.
func (s *Site) inject(ctx context.Context, random *rand.Rand) {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	for sleep(ctx, time.Duration(random.Int64N(int64(faultPause)))) {
		at := random.IntN(total)
		i := slices.IndexFunc(faults, func(f fault) bool {
			at -= f.weight
			return at < 0
		})
		f := &injector{site: s, name: faults[i].name, random: branch(random)}
		s.troubles.Go(func() {
			s.journal.fault("%s begins", f.name)
			faults[i].run(f, ctx)
			s.journal.fault("%s ends", f.name)
		})
	}
}

func (f *injector) duration(most time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(most)))
}

// last waits while the fault lasts.
func (f *injector) last(ctx context.Context) { sleep(ctx, f.duration(longestFault)) }

// chose notes what a fault concerns.
func (f *injector) chose(what string) { f.site.journal.fault("%s: %s", f.name, what) }

func (f *injector) process() *Process {
	all := slices.Concat(f.site.controls, f.site.routers)
	p := all[f.random.IntN(len(all))]
	f.chose(p.name())
	return p
}

func (f *injector) control() *Process {
	p := f.site.controls[f.random.IntN(len(f.site.controls))]
	f.chose(p.name())
	return p
}

func (f *injector) endpoint() *Endpoint {
	e := f.site.endpoints[f.random.IntN(len(f.site.endpoints))]
	f.chose(fmt.Sprintf("endpoint %d", e.number))
	return e
}

func (f *injector) hostRelay() *relay.Relay { return f.site.relayOf(f.control()) }

func (f *injector) anyRelay() *relay.Relay {
	if f.random.IntN(2) == 0 {
		return f.endpoint().relay
	}
	return f.hostRelay()
}

// check notes a step of the soak that could not be made.
func (f *injector) check(err error) {
	if err != nil {
		f.site.journal.find("SOAK", "%s: %v", f.name, err)
	}
}

// alone ends a process, which no other fault does meanwhile, and starts it
// again.
func (f *injector) alone(p *Process, end func(*Process)) {
	if !p.busy.TryLock() {
		f.chose("ends already")
		return
	}
	defer p.busy.Unlock()
	end(p)
	f.check(p.start())
}

// changeEndpoint ends an endpoint in the same way.
func (f *injector) changeEndpoint(e *Endpoint, end func(*Endpoint)) {
	if !e.busy.TryLock() {
		f.chose("ends already")
		return
	}
	defer e.busy.Unlock()
	end(e)
	f.check(e.start(e.service))
}

// spoilDisk makes a control host's disk unusable while it is down, if the site
// has had the time to replace the last one.
func (f *injector) spoilDisk(spoil func(folder string) error) {
	if !f.site.mayLoseDisk(time.Now()) {
		f.chose("none yet")
		return
	}
	f.alone(f.control(), func(p *Process) {
		p.kill()
		f.check(spoil(p.settings.DataFolder))
	})
}

// mayLoseDisk tells whether another disk may be lost now, and counts it.
func (s *Site) mayLoseDisk(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.diskLost) < diskRest {
		return false
	}
	s.diskLost = now
	return true
}

// garbage returns bytes that no write left behind.
func (f *injector) garbage() []byte {
	garbage := make([]byte, 1+f.random.IntN(tornBytes))
	for i := range garbage {
		garbage[i] = byte(1 + f.random.IntN(255))
	}
	return garbage
}

// appendToLog appends to the newest segment of a replica's log.
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

// changeSettings gives a process other seeds, with or without a signal.
func (f *injector) changeSettings(context.Context) {
	p := f.process()
	first := f.random.IntN(len(f.site.controls))
	err := p.changeSettings(func(s *settings.Site) {
		s.Seeds = nil
		for i := range seedCount {
			s.Seeds = append(s.Seeds, f.site.controlAddress((first+i)%len(f.site.controls)))
		}
	})
	f.check(err)
	if f.random.IntN(2) == 0 {
		p.signal(syscall.SIGHUP)
	}
}

// hold keeps the bytes to a control host back for a while, those from it, or
// both.
func (f *injector) hold(ctx context.Context, in, out bool) {
	p := f.control()
	own, source := f.site.relayOf(p), p.settings.PeerSource()
	own.Hold(relay.AllSources, in, out)
	for _, other := range f.site.relays {
		other.Hold(source, out, in)
	}
	f.last(ctx)
	own.Heal(relay.AllSources)
	for _, other := range f.site.relays {
		other.Heal(source)
	}
}
