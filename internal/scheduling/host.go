// Package scheduling runs the schedulers of a control host: it turns the
// batches of routers and of other regions into inputs of the pure schedulers,
// and their decisions into batches.
package scheduling

import (
	"sync"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/wire"
)

// Timing and bounds of a scheduler host.
const (
	tickPeriod = 50 * time.Millisecond
	// exchangePeriod is the time between two exchanges with other regions.
	exchangePeriod = 300 * time.Millisecond
	// virtualServicePeriod is the time between two batches that tell routers the
	// virtual service of their accounts.
	virtualServicePeriod = time.Second
	// inputQueueSize bounds the inputs that wait for the scheduling goroutine.
	inputQueueSize = 4096
	// maxInputBatch bounds the inputs taken before decisions are made.
	maxInputBatch = 256
	// routerGrace is how long a router may be gone before its requests are
	// dropped.
	routerGrace = 2 * time.Second
	// sharesRefreshPeriod is the time between two looks at the bundle.
	sharesRefreshPeriod = 200 * time.Millisecond
)

// Shares tells the weights of the client accounts and the drained endpoints of
// a service, from the bundle in force.
type Shares interface {
	// Generation grows with each change of what the other methods return.
	Generation() uint64
	Shares(service string) map[string]int
	Drained(service string) []string
}

// Regions sends batches to the schedulers of other regions.
type Regions interface {
	// Others returns the other regions that have a live scheduler.
	Others(now time.Time, own string) []string
	// Send delivers the batch to the host that schedules the service in the
	// region. It never blocks; a batch may be lost.
	Send(now time.Time, service, region string, batch *wire.ExchangeBatch)
}

// Metrics shows what a Host schedules.
type Metrics interface {
	// Scheduled sets the figures of one service in one region. gap is the
	// largest difference in weighted service between two accounts with
	// waiting requests.
	Scheduled(service, region string, slots, inUse, waiting int, gap float64)
}

// Config says what a Host needs.
type Config struct {
	Self    *wire.Process
	Shares  Shares
	Regions Regions
	Metrics Metrics
	Log     log.Interface
}

// Host runs the schedulers of this daemon, all in one goroutine.
type Host struct {
	cfg    Config
	inputs chan input
	stop   chan struct{}
	done   sync.WaitGroup
}

// input is one thing that the scheduling goroutine must take in.
type input func(now time.Time, l *loop)

// New starts a host without schedulers; each comes into being with its first
// demand or announcement.
func New(cfg Config) *Host {
	h := &Host{cfg: cfg, inputs: make(chan input, inputQueueSize), stop: make(chan struct{})}
	l := newLoop(cfg)
	h.done.Go(func() {
		tick := time.NewTicker(tickPeriod)
		defer tick.Stop()
		for {
			select {
			case <-h.stop:
				return
			case in := <-h.inputs:
				in(time.Now(), l)
				h.processQueued(l)
			case <-tick.C:
				l.tick(time.Now())
			}
			l.decide(time.Now())
		}
	})
	return h
}

// processQueued takes the inputs that wait already, up to inputsPerRound.
func (h *Host) processQueued(l *loop) {
	for range maxInputBatch {
		select {
		case in := <-h.inputs:
			in(time.Now(), l)
		default:
			return
		}
	}
}

// enqueue hands an input over. It returns false when the host has stopped.
func (h *Host) enqueue(in input) bool {
	select {
	case h.inputs <- in:
		return true
	case <-h.stop:
		return false
	}
}

// Exchange takes a batch from the scheduler of another region.
func (h *Host) Exchange(batch *wire.ExchangeBatch) {
	h.enqueue(func(now time.Time, l *loop) { l.exchange(now, batch) })
}

// Close stops scheduling and waits for it.
func (h *Host) Close() error {
	close(h.stop)
	h.done.Wait()
	return nil
}
