// Package scheduling runs the schedulers of a daemon. It converts the
// batches from routers and from other regions to inputs of the schedulers,
// which do no input or output of their own, and their decisions to batches.
package scheduling

import (
	"sync"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/wire"
)

// Intervals and limits of a Manager.
const (
	tickPeriod = 50 * time.Millisecond
	// exchangePeriod is the time between two exchanges with other regions.
	exchangePeriod = 300 * time.Millisecond
	// virtualServicePeriod is the time between two batches that send routers
	// the virtual service of their accounts.
	virtualServicePeriod = time.Second
	// inputQueueSize is the capacity of the input channel of the scheduling
	// goroutine.
	inputQueueSize = 4096
	// maxInputBatch bounds the inputs that are processed before decisions are
	// made.
	maxInputBatch = 256
	// routerGrace is how long a router may be disconnected before its requests
	// are dropped.
	routerGrace = 2 * time.Second
	// sharesRefreshPeriod is the time between two checks for new shares and
	// drained endpoints.
	sharesRefreshPeriod = 200 * time.Millisecond
)

// Shares provides the weights of the client accounts and the drained endpoints
// of a service, from the bundle in force.
type Shares interface {
	// Generation grows whenever the results of the other methods change.
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

// Metrics receives the figures of a Manager's schedulers.
type Metrics interface {
	// SetSchedule sets the figures of one service in one region. gap is the
	// largest difference in virtual service between two accounts with waiting
	// requests.
	SetSchedule(service, region string, slots, inUse, waiting int, gap float64)
}

// Config holds the dependencies of a Manager.
type Config struct {
	Self    *wire.Process
	Shares  Shares
	Regions Regions
	Metrics Metrics
	Log     log.Interface
}

// Manager runs all schedulers of this daemon in one goroutine.
type Manager struct {
	cfg    Config
	inputs chan input
	stop   chan struct{}
	done   sync.WaitGroup
}

// input is an event for the scheduling goroutine to process.
type input func(now time.Time, l *loop)

// New starts a manager without schedulers. The scheduler of a service and region
// is created when the first input for it arrives.
func New(cfg Config) *Manager {
	m := &Manager{cfg: cfg, inputs: make(chan input, inputQueueSize), stop: make(chan struct{})}
	l := newLoop(cfg)
	m.done.Go(func() {
		tick := time.NewTicker(tickPeriod)
		defer tick.Stop()
		for {
			select {
			case <-m.stop:
				return
			case in := <-m.inputs:
				in(time.Now(), l)
				m.processQueued(l)
			case <-tick.C:
				l.tick(time.Now())
			}
			l.decide(time.Now())
		}
	})
	return m
}

// processQueued processes the inputs that are already queued, up to
// maxInputBatch.
func (m *Manager) processQueued(l *loop) {
	for range maxInputBatch {
		select {
		case in := <-m.inputs:
			in(time.Now(), l)
		default:
			return
		}
	}
}

// enqueue passes an input to the scheduling goroutine. It returns false when
// the manager has stopped.
func (m *Manager) enqueue(in input) bool {
	select {
	case m.inputs <- in:
		return true
	case <-m.stop:
		return false
	}
}

// Exchange processes a batch from another region.
func (m *Manager) Exchange(batch *wire.ExchangeBatch) {
	m.enqueue(func(now time.Time, l *loop) { l.exchange(now, batch) })
}

// Close stops the scheduling goroutine and waits for it to end.
func (m *Manager) Close() error {
	close(m.stop)
	m.done.Wait()
	return nil
}
