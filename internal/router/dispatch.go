package router

import (
	"sync"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/wire"
)

// Timing and bounds of the dispatcher.
const (
	dispatchInterval = 100 * time.Millisecond
	// inputQueueSize bounds the inputs that wait for the dispatcher.
	inputQueueSize = 8192
	// maxInputsPerFlush bounds the inputs taken before batches are sent.
	maxInputsPerFlush = 256
	// reopenInterval is the time between two tries to open a link.
	reopenInterval = 100 * time.Millisecond
	// maxResentCompletions is how many completions per host are sent again after
	// a reconnection.
	maxResentCompletions = 256
)

// Link is a stream to a scheduler host.
type Link interface {
	// Send queues the batch, and returns false when the link is given up.
	Send(batch *wire.RouterBatch) bool
	// Cancel ends the link without waiting.
	Cancel()
	// Close ends the link and waits for it.
	Close() error
}

// LinkOpener opens links to scheduler hosts.
type LinkOpener interface {
	Open(host string, receive func(*wire.SchedulerBatch), closed func(error)) Link
}

// SchedulerLocator tells which host schedules a service.
type SchedulerLocator interface {
	Scheduler(now time.Time, service, region string) (host string, ok bool)
}

// DispatcherConfig says what a Dispatcher needs.
type DispatcherConfig struct {
	Self    *wire.Process
	Region  string
	Links   LinkOpener
	Schedulers SchedulerLocator
	Log     log.Interface
}

// Dispatcher brings this daemon's demands to the schedulers and their grants
// back. One goroutine owns its state.
type Dispatcher struct {
	inputs chan dispatchInput
	stop   chan struct{}
	done   sync.WaitGroup
	state  *dispatchState
}

// dispatchInput is one thing that the dispatcher must take in.
type dispatchInput func(now time.Time, s *dispatchState)

// NewDispatcher starts a dispatcher.
func NewDispatcher(cfg DispatcherConfig) *Dispatcher {
	d := &Dispatcher{inputs: make(chan dispatchInput, inputQueueSize), stop: make(chan struct{})}
	d.state = newDispatchState(cfg, d.enqueue)
	d.done.Go(func() {
		tick := time.NewTicker(dispatchInterval)
		defer tick.Stop()
		for {
			select {
			case <-d.stop:
				return
			case in := <-d.inputs:
				in(time.Now(), d.state)
				d.drainInputs()
			case <-tick.C:
				d.state.reassignSchedulers(time.Now())
			}
			d.state.flush(time.Now())
		}
	})
	return d
}

// drainInputs takes the inputs that wait already, up to inputsPerRound.
func (d *Dispatcher) drainInputs() {
	for range maxInputsPerFlush {
		select {
		case in := <-d.inputs:
			in(time.Now(), d.state)
		default:
			return
		}
	}
}

// enqueue hands an input over. It returns false when the dispatcher has
// stopped.
func (d *Dispatcher) enqueue(in dispatchInput) bool {
	select {
	case d.inputs <- in:
		return true
	case <-d.stop:
		return false
	}
}

// SlotResult is the answer to a demand: a grant, or a refusal.
type SlotResult struct {
	Grant   *wire.Grant
	Refusal *wire.Refusal
}

// Submit asks for a slot. The placement is delivered to the returned channel,
// which never blocks the dispatcher.
func (d *Dispatcher) Submit(demand *wire.Demand) <-chan SlotResult {
	placed := make(chan SlotResult, 1)
	d.enqueue(func(now time.Time, s *dispatchState) { s.submit(now, demand, placed) })
	return placed
}

// Withdraw ends the request's wait. A grant that is on its way is given back.
func (d *Dispatcher) Withdraw(request uint64) {
	d.enqueue(func(now time.Time, s *dispatchState) { s.withdraw(now, request) })
}

// Complete ends a granted request with its true cost.
func (d *Dispatcher) Complete(request uint64, cost float64, crashed bool) {
	d.enqueue(func(now time.Time, s *dispatchState) { s.complete(now, request, cost, crashed) })
}

// Announce passes an endpoint's announcement on to its scheduler.
func (d *Dispatcher) Announce(a *wire.Announcement) bool {
	return d.enqueue(func(now time.Time, s *dispatchState) { s.announce(now, a) })
}

// Close stops the dispatcher and its links, and waits for them.
func (d *Dispatcher) Close() error {
	close(d.stop)
	d.done.Wait()
	return d.state.close()
}
