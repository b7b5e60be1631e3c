package daemon

import (
	"context"
	"errors"
	"sync"

	"oleanderramp/internal/peer"
	"oleanderramp/internal/router"
	"oleanderramp/internal/scheduling"
	"oleanderramp/internal/wire"
)

// links opens links to scheduler hosts. The link to this daemon's own scheduler
// uses no network connection.
type links struct {
	self   string
	local  *scheduling.Manager
	dialer *peer.Dialer
}

// Open opens a link to the host.
func (l *links) Open(host string, receive func(*wire.SchedulerBatch), closed func(error)) router.Link {
	if host == l.self && l.local != nil {
		return newLocalLink(l.local, receive, closed)
	}
	return peer.OpenSchedulerLink(l.dialer, host, receive, closed)
}

// localQueueSize is the number of batches that may wait for this daemon's own
// router.
const localQueueSize = 1024

// errLocalLinkFull closes a local link whose router processes batches too
// slowly.
var errLocalLinkFull = errors.New("queue of the local link is full")

// localLink connects the dispatcher to the scheduling manager of the same
// daemon. A goroutine delivers the manager's batches, so that the manager never
// waits for the dispatcher.
type localLink struct {
	manager *scheduling.Manager
	batches chan *wire.SchedulerBatch
	stop    context.CancelCauseFunc
	ctx     context.Context
	done    sync.WaitGroup
	// session is nil before the first batch. Only the dispatcher uses it.
	session *scheduling.Session
}

func newLocalLink(manager *scheduling.Manager, receive func(*wire.SchedulerBatch), closed func(error)) *localLink {
	ctx, cancel := context.WithCancelCause(context.Background())
	l := &localLink{manager: manager, batches: make(chan *wire.SchedulerBatch, localQueueSize), stop: cancel, ctx: ctx}
	l.done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				closed(context.Cause(ctx))
				return
			case batch := <-l.batches:
				receive(batch)
			}
		}
	})
	return l
}

// Send passes the batch to the manager. It returns false if the link is closed.
func (l *localLink) Send(batch *wire.RouterBatch) bool {
	if l.ctx.Err() != nil {
		return false
	}
	if l.session != nil {
		l.session.Receive(batch)
		return true
	}
	l.session = l.manager.Join(batch, func(b *wire.SchedulerBatch) bool {
		select {
		case l.batches <- b:
			return true
		default:
			l.stop(errLocalLinkFull)
			return false
		}
	})
	return true
}

// Cancel ends the session without waiting for the goroutine.
func (l *localLink) Cancel() {
	l.stop(nil)
	if l.session != nil {
		l.session.Leave()
	}
}

// Close ends the session and waits for the goroutine.
func (l *localLink) Close() error {
	l.Cancel()
	l.done.Wait()
	return nil
}
