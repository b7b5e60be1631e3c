package site

import (
	"context"
	"os"
	"sync"
	"time"
)

const (
	// standingLagWindow is the time over which standingLag takes the shortest delay. It
	// is longer than a machine with a processor quota pauses.
	standingLagWindow = 200 * time.Millisecond
	// standingLagPeriod is the interval between two probes.
	standingLagPeriod = 50 * time.Millisecond
)

// standingLag measures how long this process takes to notice that a descriptor has
// become readable, which is how late it handles any network event. It writes a byte to a
// pipe and waits for it like for a connection. A long run queue delays each probe, a
// burst of work only some: so the lag is the shortest delay within standingLagWindow.
type standingLag struct {
	reader, writer *os.File
	done           sync.WaitGroup

	mu     sync.Mutex
	probes probeWindow
}

// newStandingLag starts to measure. Without a pipe, the lag remains 0.
func newStandingLag(ctx context.Context) *standingLag {
	s := &standingLag{}
	var err error
	s.reader, s.writer, err = os.Pipe()
	if err != nil {
		return s
	}
	s.done.Go(func() { runPeriodically(ctx, standingLagPeriod, s.send) })
	s.done.Go(s.receive)
	return s
}

// send sends a probe, unless one is on its way.
func (s *standingLag) send(context.Context) {
	s.mu.Lock()
	started := s.probes.start(time.Now())
	s.mu.Unlock()
	if started {
		_, _ = s.writer.Write([]byte{0}) // Fails once the meter is closed.
	}
}

// receive receives probes until the pipe is closed.
func (s *standingLag) receive() {
	var probe [1]byte
	for {
		if _, err := s.reader.Read(probe[:]); err != nil {
			return
		}
		s.mu.Lock()
		s.probes.end(time.Now())
		s.mu.Unlock()
	}
}

// value returns the lag.
func (s *standingLag) value(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes.shortest(now)
}

// close stops the meter. The context that it was started with must have ended.
func (s *standingLag) close() {
	_ = s.writer.Close() // Fails without a pipe, as does the other.
	s.done.Wait()
	_ = s.reader.Close()
}

// probeWindow holds the delays of the probes of the last standingLagWindow.
type probeWindow struct {
	// startedAt is when the probe on its way was sent; zero if there is none.
	startedAt time.Time
	// ended holds the probes that came back, oldest first.
	ended []endedProbe
}

// endedProbe is a probe that came back.
type endedProbe struct {
	at    time.Time
	delay time.Duration
}

// start records that a probe is sent. It reports false if one is on its way.
func (w *probeWindow) start(now time.Time) bool {
	if !w.startedAt.IsZero() {
		return false
	}
	w.startedAt = now
	return true
}

// end records that the probe came back.
func (w *probeWindow) end(now time.Time) {
	w.removeExpired(now)
	w.ended = append(w.ended, endedProbe{at: now, delay: now.Sub(w.startedAt)})
	w.startedAt = time.Time{}
}

// shortest returns the shortest delay of the probes that came back within the window,
// or, if none did, for how long one has been on its way.
func (w *probeWindow) shortest(now time.Time) time.Duration {
	w.removeExpired(now)
	if len(w.ended) == 0 {
		if w.startedAt.IsZero() {
			return 0
		}
		return now.Sub(w.startedAt)
	}
	shortest := w.ended[0].delay
	for _, probe := range w.ended[1:] {
		shortest = min(shortest, probe.delay)
	}
	return shortest
}

func (w *probeWindow) removeExpired(now time.Time) {
	for len(w.ended) > 0 && now.Sub(w.ended[0].at) > standingLagWindow {
		w.ended = w.ended[1:]
	}
}
