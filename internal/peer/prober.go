package peer

import (
	"context"
	"sync"
	"time"

	"oleanderramp/internal/wire"
)

// Timing of probes.
const (
	// ProbePeriod is the interval between probes of a host whose failure must
	// be detected quickly.
	ProbePeriod = 500 * time.Millisecond
	// SlowProbePeriod is the interval between probes of any other host.
	SlowProbePeriod = 4 * time.Second
	probeTimeout    = 400 * time.Millisecond
	// maxMissedProbes is the number of consecutive failed probes after which
	// the prober drops the connection and opens a new one.
	maxMissedProbes = 2
)

// ProbeSource provides the content of probes.
type ProbeSource interface {
	Probe() *wire.ProbeRequest
	// Urgent reports whether the host is to be probed every ProbePeriod instead
	// of every SlowProbePeriod.
	Urgent(now time.Time, host string) bool
}

// ProbeSink receives the results of probes.
type ProbeSink interface {
	// RecordAnswer is called for each answer.
	RecordAnswer(now time.Time, host string, response *wire.ProbeResponse)
	// ProbeFailed is called for each probe without an answer.
	ProbeFailed(now time.Time, host string, err error)
}

// Prober probes the control hosts, each in its own goroutine.
type Prober struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewProber starts probing the hosts.
func NewProber(dialer *Dialer, hosts []string, source ProbeSource, sink ProbeSink) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Prober{cancel: cancel}
	for _, host := range hosts {
		p.done.Go(func() {
			ticker := time.NewTicker(ProbePeriod)
			defer ticker.Stop()
			missed := 0
			var last time.Time
			for {
				if now := time.Now(); source.Urgent(now, host) || now.Sub(last) >= SlowProbePeriod {
					last = now
					missed = probe(ctx, dialer, host, source, sink, missed)
				}
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
			}
		})
	}
	return p
}

// probe sends one probe and returns the number of consecutive missed ones. It
// restarts from 0 after the connection is dropped.
func probe(ctx context.Context, dialer *Dialer, host string, source ProbeSource, sink ProbeSink, missed int) int {
	conn, err := dialer.Conn(host)
	if err != nil {
		sink.ProbeFailed(time.Now(), host, err)
		return missed + 1
	}
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := wire.NewMembershipClient(conn).Probe(callCtx, source.Probe())
	if err == nil {
		sink.RecordAnswer(time.Now(), host, response)
		return 0
	}
	if ctx.Err() != nil {
		return missed
	}
	sink.ProbeFailed(time.Now(), host, err)
	if missed+1 >= maxMissedProbes {
		dialer.Drop(host, conn)
		return 0
	}
	return missed + 1
}

// Close stops the probes and waits for them.
func (p *Prober) Close() error {
	p.cancel()
	p.done.Wait()
	return nil
}
