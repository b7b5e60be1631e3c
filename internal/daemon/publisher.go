package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/event"
	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/router"
	"oleanderramp/internal/wire"
)

// publisherQuorum is what a publisher needs of the replicated state.
type publisherQuorum interface {
	quorumClient
	Status(ctx context.Context) (*wire.QuorumStatusResponse, error)
}

// publisher commits to the replicated state the digests of requests that crash
// endpoints or are suspected of it.
type publisher struct {
	quorum  publisherQuorum
	entries chan publication
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// publication is a queued command.
type publication struct {
	*router.Publication
	service string
	command *wire.Command
}

// suspectDuration is how long a published digest remains suspected.
const suspectDuration = 10 * time.Minute

// publishQueueSize is the number of commands that may wait to be published.
const publishQueueSize = 64

func newPublisher(quorum publisherQuorum, l log.Interface) *publisher {
	ctx, cancel := context.WithCancel(context.Background())
	p := &publisher{quorum: quorum, entries: make(chan publication, publishQueueSize), stop: cancel}
	p.done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case entry := <-p.entries:
				entry.End(p.publish(ctx, entry, l))
			}
		}
	})
	return p
}

// publish publishes the entry. It reports whether all replicas hold it.
func (p *publisher) publish(ctx context.Context, entry publication, l log.Interface) bool {
	ctx, cancel := context.WithTimeout(ctx, router.ReportTimeout)
	defer cancel()
	_, err := p.quorum.Execute(ctx, entry.command)
	replicated := false
	if err == nil {
		replicated, err = p.waitForReplicas(ctx)
	}
	if err != nil {
		event.QuarantineUnpublished.Log(l, event.Fields{"service": entry.service, "error": err.Error()})
	}
	return err == nil && replicated
}

// waitForReplicas waits, for replicationWaitTimeout at most, until all replicas
// hold the log up to the commit index at the time of the call, and reports whether
// they do. It then makes an index query, because the heartbeats with which the leader
// confirms the query carry the commit index to the followers.
func (p *publisher) waitForReplicas(ctx context.Context) (bool, error) {
	replicated := p.awaitReplicated(ctx)
	_, err := p.quorum.Query(ctx, &wire.QueryRequest{Body: &wire.QueryRequest_Index{Index: &wire.IndexQuery{}}})
	return replicated, err
}

func (p *publisher) awaitReplicated(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, replicationWaitTimeout)
	defer cancel()
	status, err := p.quorum.Status(ctx)
	for commit := status.GetCommit(); err == nil; status, err = p.quorum.Status(ctx) {
		if allReplicated(status, commit) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(applyPollInterval):
		}
	}
	return false
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

// Quarantine publishes the entry, or drops it if the queue is full.
func (p *publisher) Quarantine(service string, entry quarantine.Entry) *router.Publication {
	return p.enqueue(service, &wire.Command{Body: &wire.Command_Quarantine{Quarantine: &wire.QuarantineDigest{
		Service: service, Digest: entry.Digest[:],
		DurationMs: uint32(max(0, time.Until(entry.Until).Milliseconds())),
	}}})
}

// Suspect publishes the digests as suspected, or drops them if the queue is full.
func (p *publisher) Suspect(service string, digests []quarantine.Digest) *router.Publication {
	suspects := &wire.SuspectDigests{Service: service, DurationMs: uint32(suspectDuration.Milliseconds())}
	for _, digest := range digests {
		suspects.Digests = append(suspects.Digests, digest[:])
	}
	return p.enqueue(service, &wire.Command{Body: &wire.Command_Suspect{Suspect: suspects}})
}

func (p *publisher) enqueue(service string, command *wire.Command) *router.Publication {
	entry := publication{Publication: router.NewPublication(), service: service, command: command}
	select {
	case p.entries <- entry:
	default:
		entry.End(false)
	}
	return entry.Publication
}

// Close stops the publisher and waits for the goroutine. Queued commands are not
// published.
func (p *publisher) Close() error {
	p.stop()
	p.done.Wait()
	return nil
}
