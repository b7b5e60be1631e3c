package daemon

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/router"
	"oleanderramp/internal/wire"
)

// fakePublisherQuorum commits each command after a delay.
type fakePublisherQuorum struct {
	delay time.Duration
	err   error
	// lag is how long the slowest replica is behind.
	lag     time.Duration
	started time.Time
}

func (q *fakePublisherQuorum) Execute(ctx context.Context, _ *wire.Command) (*wire.Result, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(q.delay):
		return &wire.Result{}, q.err
	}
}

func (*fakePublisherQuorum) Query(context.Context, *wire.QueryRequest) (*wire.QueryResponse, error) {
	return &wire.QueryResponse{}, nil
}

func (q *fakePublisherQuorum) Status(context.Context) (*wire.QuorumStatusResponse, error) {
	slowest := uint64(6)
	if time.Since(q.started) >= q.lag {
		slowest = 7
	}
	return &wire.QuorumStatusResponse{Commit: 7, Members: []*wire.QuorumMember{{Match: 7}, {Match: slowest}}}, nil
}

// TestPublicationSaysWhetherTheFleetKnows guards against a report of a crash that is
// taken for known because its publication has ended.
func TestPublicationSaysWhetherTheFleetKnows(t *testing.T) {
	tests := []struct {
		name      string
		quorum    fakePublisherQuorum
		took      time.Duration
		confirmed bool
	}{
		{"known to all", fakePublisherQuorum{}, 0, true},
		{"one replica is slow", fakePublisherQuorum{lag: 2 * applyPollInterval}, 2 * applyPollInterval, true},
		{"one replica is down", fakePublisherQuorum{lag: time.Hour}, replicationWaitTimeout, false},
		{"refused", fakePublisherQuorum{err: errors.New("no quorum")}, 0, false},
		{"no quorum", fakePublisherQuorum{delay: time.Hour}, router.ReportTimeout, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				test.quorum.started = time.Now()
				p := newPublisher(&test.quorum, &log.Logger{Handler: discard.Default, Level: log.ErrorLevel})
				publication := p.Suspect("assistant", []quarantine.Digest{{1}})
				<-publication.Done()
				c.Check(publication.Confirmed(), qt.Equals, test.confirmed)
				c.Check(time.Since(test.quorum.started), qt.Equals, test.took)
				c.Check(p.Close(), qt.IsNil)
			})
		})
	}
}

// TestDroppedPublicationIsUnconfirmed checks that what finds the queue full is not
// taken for known.
func TestDroppedPublicationIsUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPublisher(&fakePublisherQuorum{delay: time.Hour}, &log.Logger{Handler: discard.Default, Level: log.ErrorLevel})
		p.Suspect("assistant", []quarantine.Digest{{1}})
		synctest.Wait()
		for range publishQueueSize {
			p.Suspect("assistant", []quarantine.Digest{{1}})
		}
		dropped := p.Quarantine("assistant", quarantine.Entry{})
		<-dropped.Done()
		c.Check(dropped.Confirmed(), qt.IsFalse)
		c.Check(p.Close(), qt.IsNil)
	})
}
