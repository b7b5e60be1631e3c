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
