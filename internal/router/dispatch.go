package router

import (
	"sync"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/wire"
)

// Timing and bounds of the dispatcher.
const (
	// dispatchInterval is the interval between two checks for changed schedulers.
	dispatchInterval = 100 * time.Millisecond
	// inputQueueSize bounds the inputs queued for the dispatcher.
	inputQueueSize = 8192
	// maxInputsPerFlush bounds the further inputs processed before batches are
	// sent.
	maxInputsPerFlush = 256
	// reopenInterval is the minimum time between two attempts to open a link.
	reopenInterval = 100 * time.Millisecond
	// maxResentCompletions is how many completions per host are resent after a
	// reconnection.
	maxResentCompletions = 256
)

// Link is a stream to a scheduler host.
type Link interface {
	// Send queues the batch. It returns false when the link has failed.
	Send(batch *wire.RouterBatch) bool
	// Cancel closes the link without waiting.
	Cancel()
	// Close closes the link and waits for it.
	Close() error
}

// LinkOpener opens links to scheduler hosts.
type LinkOpener interface {
	Open(host string, receive func(*wire.SchedulerBatch), closed func(error)) Link
}

// SchedulerLocator finds the host that schedules a service.
type SchedulerLocator interface {
	Scheduler(now time.Time, service, region string) (host string, ok bool)
}

// DispatcherConfig holds the dependencies of a Dispatcher.
type DispatcherConfig struct {
	Self       *wire.Process
	Region     string
	Links      LinkOpener
	Schedulers SchedulerLocator
	Log        log.Interface
}

// Dispatcher sends this daemon's demands to the schedulers and delivers their
// grants. One goroutine owns its state.
type Dispatcher struct {
	inputs chan dispatchInput
	stop   chan struct{}
	done   sync.WaitGroup
	state  *dispatchState
}

// dispatchInput is an operation on the dispatcher's state.
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

// drainInputs processes the queued inputs, up to maxInputsPerFlush.
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

// enqueue queues an input. It returns false when the dispatcher has stopped.
func (d *Dispatcher) enqueue(in dispatchInput) bool {
	select {
	case d.inputs <- in:
		return true
	case <-d.stop:
		return false
	}
}

// SlotResult is the response to a demand: a grant or a refusal.
type SlotResult struct {
	Grant   *wire.Grant
	Refusal *wire.Refusal
}

// Submit requests a slot. The result is sent on the returned channel, which is
// buffered and never blocks the dispatcher.
func (d *Dispatcher) Submit(demand *wire.Demand) <-chan SlotResult {
	result := make(chan SlotResult, 1)
	d.enqueue(func(now time.Time, s *dispatchState) { s.submit(now, demand, result) })
	return result
}

// Withdraw cancels the request's demand. A slot already granted is released.
func (d *Dispatcher) Withdraw(request uint64) {
	d.enqueue(func(now time.Time, s *dispatchState) { s.withdraw(now, request) })
}

// Complete releases the slot of a granted request and reports its actual cost.
func (d *Dispatcher) Complete(request uint64, cost float64, crashed bool) {
	d.enqueue(func(now time.Time, s *dispatchState) { s.complete(now, request, cost, crashed) })
}

// Announce forwards an endpoint's announcement to its scheduler.
func (d *Dispatcher) Announce(a *wire.Announcement) bool {
	return d.enqueue(func(now time.Time, s *dispatchState) { s.announce(now, a) })
}

// Close stops the dispatcher and its links, and waits for them.
func (d *Dispatcher) Close() error {
	close(d.stop)
	d.done.Wait()
	return d.state.close()
}
