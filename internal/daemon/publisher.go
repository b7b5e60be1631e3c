package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/event"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/wire"
)

// publisher commits to the replicated state the digests of requests that crash
// endpoints or are suspected of it.
type publisher struct {
	quorum  *peer.Quorum
	entries chan publication
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// publication is a queued command; done is closed when it is finished.
type publication struct {
	service string
	command *wire.Command
	done    chan struct{}
}

// suspectDuration is how long a published digest remains suspected.
const suspectDuration = 10 * time.Minute

// publishQueueSize is the number of commands that may wait to be published.
const publishQueueSize = 64

func newPublisher(quorum *peer.Quorum, l log.Interface) *publisher {
	ctx, cancel := context.WithCancel(context.Background())
	p := &publisher{quorum: quorum, entries: make(chan publication, publishQueueSize), stop: cancel}
	p.done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case entry := <-p.entries:
				p.publish(ctx, entry, l)
				close(entry.done)
			}
		}
	})
	return p
}

func (p *publisher) publish(ctx context.Context, entry publication, l log.Interface) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	_, err := p.quorum.Execute(ctx, entry.command)
	if err == nil {
		err = p.waitForReplicas(ctx)
	}
	if err != nil {
		event.QuarantineUnpublished.Log(l, event.Fields{"service": entry.service, "error": err.Error()})
	}
}

// waitForReplicas waits, for replicationWaitTimeout at most, until all replicas
// hold the log up to the commit index at the time of the call. It then makes an
// index query, because the heartbeats with which the leader confirms the query
// carry the commit index to the followers.
func (p *publisher) waitForReplicas(ctx context.Context) error {
	replicationCtx, cancel := context.WithTimeout(ctx, replicationWaitTimeout)
	defer cancel()
	status, err := p.quorum.Status(replicationCtx)
	for commit := status.GetCommit(); err == nil && !allReplicated(status, commit); {
		select {
		case <-replicationCtx.Done():
		case <-time.After(applyPollInterval):
		}
		status, err = p.quorum.Status(replicationCtx)
	}
	_, err = p.quorum.Query(ctx, &wire.QueryRequest{Body: &wire.QueryRequest_Index{Index: &wire.IndexQuery{}}})
	return err
}

// allReplicated reports whether each member holds the log up to the index.
func allReplicated(status *wire.QuorumStatusResponse, index uint64) bool {
	for _, member := range status.GetMembers() {
		if member.GetMatch() < index {
			return false
		}
	}
	return true
}

// Quarantine publishes the entry, or drops it if the queue is full. The returned
// channel is closed once the replicas hold the entry or the attempt has failed.
func (p *publisher) Quarantine(service string, entry quarantine.Entry) <-chan struct{} {
	return p.enqueue(service, &wire.Command{Body: &wire.Command_Quarantine{Quarantine: &wire.QuarantineDigest{
		Service: service, Digest: entry.Digest[:],
		DurationMs: uint32(max(0, time.Until(entry.Until).Milliseconds())),
	}}})
}

// Suspect publishes the digests as suspected. The returned channel is that of
// Quarantine.
func (p *publisher) Suspect(service string, digests []quarantine.Digest) <-chan struct{} {
	suspects := &wire.SuspectDigests{Service: service, DurationMs: uint32(suspectDuration.Milliseconds())}
	for _, digest := range digests {
		suspects.Digests = append(suspects.Digests, digest[:])
	}
	return p.enqueue(service, &wire.Command{Body: &wire.Command_Suspect{Suspect: suspects}})
}

func (p *publisher) enqueue(service string, command *wire.Command) <-chan struct{} {
	done := make(chan struct{})
	select {
	case p.entries <- publication{service: service, command: command, done: done}:
	default:
		close(done)
	}
	return done
}

// Close stops the publisher and waits for the goroutine. Queued commands are not
// published.
func (p *publisher) Close() error {
	p.stop()
	p.done.Wait()
	return nil
}
